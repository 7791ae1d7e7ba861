//! What this daemon alone believes of others.

use std::{collections::BTreeMap, sync::Arc};

use derive_more::Display;
use sk_model::ProxyId;

/// A belief of this daemon about another one.
///
/// Marks never travel and are no part of records: a record's rank stays the owner's, so that
/// merging commutes, and a cut between regions ends without either side erasing the other's
/// records.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum LocalMark {
    /// Some observer does not hear it: others are preferred for new work.
    #[display("suspect")]
    Suspect,
    /// No observer that this daemon can reach hears it: no new work.
    #[display("unreachable")]
    Unreachable,
}

/// Marks by daemon; a daemon without a mark is reachable.
pub type MemberMarks = Arc<BTreeMap<ProxyId, LocalMark>>;
