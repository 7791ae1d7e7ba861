//! Reachability of other daemons as observed by this daemon alone.

use std::{collections::BTreeMap, sync::Arc};

use derive_more::Display;
use sk_model::ProxyId;

/// Reachability of another daemon as observed by this daemon.
///
/// Marks are never sent and are not part of records. The rank of a record thus depends on its
/// owner only and merging stays commutative, and after a network cut between regions neither side
/// has erased the records of the other.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum LocalReachability {
    /// At least one observer does not hear the daemon: others are preferred for new work.
    #[display("suspect")]
    Suspect,
    /// No observer that this daemon can reach hears the daemon: it gets no new work.
    #[display("unreachable")]
    Unreachable,
}

/// Marks by daemon; a daemon without a mark is reachable.
pub type ReachabilityMarks = Arc<BTreeMap<ProxyId, LocalReachability>>;
