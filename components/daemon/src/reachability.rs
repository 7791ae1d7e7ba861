//! Records since when other daemons are unreachable from this daemon, for reports.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
};

use sk_member::{
    LocalReachability, MemberRecord, MemberSnapshot, ReachabilityMarks, SharedMembers,
};
use sk_model::{ProxyId, UnixMillis};

/// When each unreachable daemon was first observed as unreachable.
#[derive(Default)]
pub(crate) struct UnreachableTimes {
    since: Mutex<BTreeMap<ProxyId, UnixMillis>>,
}

impl UnreachableTimes {
    /// Returns since when a daemon is unreachable, `None` while it counts as reachable.
    pub(crate) fn unreachable_since(&self, proxy: &ProxyId) -> Option<UnixMillis> {
        let since = self.since.lock().unwrap_or_else(PoisonError::into_inner);
        since.get(proxy).copied()
    }

    /// Updates the times from the current members; a daemon that is reachable again is removed.
    fn observe(&self, snapshot: &MemberSnapshot, marks: &ReachabilityMarks) {
        let now = sk_model::unix_time_ms();
        let is_unreachable = |record: &MemberRecord| {
            !record.is_active() || marks.get(&record.proxy) == Some(&LocalReachability::Unreachable)
        };
        let mut since = self.since.lock().unwrap_or_else(PoisonError::into_inner);
        since.retain(|proxy, _| snapshot.get(proxy).is_some_and(|record| is_unreachable(record)));
        for record in snapshot.values().filter(|record| is_unreachable(record)) {
            since.entry(record.proxy.clone()).or_insert(now);
        }
    }
}

/// Records reachability on each change of the members, until the shared members are dropped.
pub(crate) async fn watch_reachability(times: Arc<UnreachableTimes>, members: Arc<SharedMembers>) {
    let mut snapshots = members.subscribe();
    loop {
        let snapshot = snapshots.borrow_and_update().clone();
        times.observe(&snapshot, &members.marks());
        if snapshots.changed().await.is_err() {
            return;
        }
    }
}
