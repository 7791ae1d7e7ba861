//! The relays of a data centre in the view of one daemon.

use sk_member::Incarnation;
use sk_model::ProxyId;
use tokio::time::Instant;

/// One process chosen as relay. The incarnation is part of the identity: a relay that restarts
/// under its old name has lost the acknowledgements that it had not stored yet, and needs them
/// again.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RelayId {
    pub(crate) proxy: ProxyId,
    pub(crate) incarnation: Incarnation,
}

/// The relays of this daemon's data centre, ordered by preference.
#[derive(Clone, Debug)]
pub(crate) struct RelayView {
    pub(crate) relays: Vec<RelayId>,
    /// Position of this daemon among them; `None` if it is no relay.
    pub(crate) rank: Option<usize>,
    /// Since when the relays have been the same.
    pub(crate) unchanged_since: Instant,
}

impl Default for RelayView {
    fn default() -> Self {
        Self { relays: Vec::new(), rank: None, unchanged_since: Instant::now() }
    }
}
