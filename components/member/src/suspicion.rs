//! What one observer says of a daemon that it no longer hears.

use serde::{Deserialize, Serialize};
use sk_model::ProxyId;

use crate::Incarnation;

/// An observer's word that it does not hear a daemon, or that it hears it again.
///
/// A word holds until the daemon's owner raises its sequence, the observer takes it back, or it
/// expires. Words of one observer about one daemon are ordered by `round`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberSuspicion {
    /// The daemon that is not heard.
    pub proxy: ProxyId,
    /// Its process, as the observer knew it.
    pub incarnation: Incarnation,
    /// Its sequence, as the observer knew it.
    pub sequence: u64,
    /// The daemon that speaks.
    pub observer: ProxyId,
    /// Grows with each word of the observer, also over its restarts: it starts at the observer's
    /// incarnation.
    pub round: u64,
    /// Whether the observer hears the daemon again.
    pub is_withdrawn: bool,
}
