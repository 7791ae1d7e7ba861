//! The relays of a data centre, as one daemon sees them.

use sk_member::Incarnation;
use sk_model::ProxyId;
use tokio::time::Instant;

/// One chosen daemon. Its process is part of it: a relay that restarts under its old name has lost
/// the acknowledgements that it had not kept yet, and must be told again.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RelayId {
    pub(crate) proxy: ProxyId,
    pub(crate) incarnation: Incarnation,
}

/// The relays of this daemon's data centre, first choice first.
#[derive(Clone, Debug)]
pub(crate) struct RelayView {
    pub(crate) relays: Vec<RelayId>,
    /// Place of this daemon among them.
    pub(crate) rank: Option<usize>,
    /// Since when they are the same.
    pub(crate) since: Instant,
}

impl Default for RelayView {
    fn default() -> Self {
        Self { relays: Vec::new(), rank: None, since: Instant::now() }
    }
}
