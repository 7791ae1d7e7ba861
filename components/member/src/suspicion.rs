//! Suspicions: reports of an observer that it no longer hears another daemon.

use serde::{Deserialize, Serialize};
use sk_model::ProxyId;

use crate::Incarnation;

/// A report of an observer that it does not hear a daemon, or that it hears it again.
///
/// A suspicion is valid until the suspected daemon raises its sequence, the observer withdraws it,
/// or it expires. Reports of one observer about one daemon are ordered by `number`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberSuspicion {
    /// Name of the suspected daemon.
    pub proxy: ProxyId,
    /// Incarnation of the suspected daemon as known to the observer.
    pub incarnation: Incarnation,
    /// Sequence of the suspected daemon as known to the observer.
    pub sequence: u64,
    /// Name of the observer.
    pub observer: ProxyId,
    /// Number of the report. It grows with each report of the observer, also across restarts of
    /// the observer, because it starts at its incarnation.
    #[serde(rename = "round")]
    pub number: u64,
    /// Whether the observer hears the daemon again.
    pub is_withdrawn: bool,
}
