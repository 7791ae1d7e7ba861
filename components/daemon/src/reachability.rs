//! Records since when other daemons are unreachable from this daemon, for reports.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
};

use sk_member::{LocalMark, MemberBoard, MemberMarks, MemberRecord, MemberView};
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
    fn observe(&self, view: &MemberView, marks: &MemberMarks) {
        let now = sk_model::unix_time_ms();
        let is_unreachable = |record: &MemberRecord| {
            !record.is_present() || marks.get(&record.proxy) == Some(&LocalMark::Unreachable)
        };
        let mut since = self.since.lock().unwrap_or_else(PoisonError::into_inner);
        since.retain(|proxy, _| view.get(proxy).is_some_and(|record| is_unreachable(record)));
        for record in view.values().filter(|record| is_unreachable(record)) {
            since.entry(record.proxy.clone()).or_insert(now);
        }
    }
}

/// Records reachability on each change of the members, until the member board is dropped.
pub(crate) async fn watch_reachability(times: Arc<UnreachableTimes>, members: Arc<MemberBoard>) {
    let mut views = members.subscribe();
    loop {
        let view = views.borrow_and_update().clone();
        times.observe(&view, &members.marks());
        if views.changed().await.is_err() {
            return;
        }
    }
}
