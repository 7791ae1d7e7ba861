//! Since when other daemons are not reachable, as this daemon saw it.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
};

use sk_member::{LocalMark, MemberBoard, MemberMarks, MemberRecord, MemberView};
use sk_model::{ProxyId, UnixMillis};

/// When each daemon that is not reachable was first seen so.
#[derive(Default)]
pub(crate) struct ReachClock {
    since: Mutex<BTreeMap<ProxyId, UnixMillis>>,
}

impl ReachClock {
    /// Gives since when a daemon is not reachable, none while it is believed to be.
    pub(crate) fn lost_since(&self, proxy: &ProxyId) -> Option<UnixMillis> {
        let since = self.since.lock().unwrap_or_else(PoisonError::into_inner);
        since.get(proxy).copied()
    }

    fn observe(&self, view: &MemberView, marks: &MemberMarks) {
        let now = sk_model::unix_now();
        let is_lost = |record: &MemberRecord| {
            !record.is_present() || marks.get(&record.proxy) == Some(&LocalMark::Unreachable)
        };
        let mut since = self.since.lock().unwrap_or_else(PoisonError::into_inner);
        since.retain(|proxy, _| view.get(proxy).is_some_and(|record| is_lost(record)));
        for record in view.values().filter(|record| is_lost(record)) {
            since.entry(record.proxy.clone()).or_insert(now);
        }
    }
}

/// Watches the members until the board is gone.
pub(crate) async fn watch_reach(clock: Arc<ReachClock>, members: Arc<MemberBoard>) {
    let mut views = members.subscribe();
    loop {
        let view = views.borrow_and_update().clone();
        clock.observe(&view, &members.marks());
        if views.changed().await.is_err() {
            return;
        }
    }
}
