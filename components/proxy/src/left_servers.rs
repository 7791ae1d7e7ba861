//! The server processes that have stated that they leave.

use std::{
    collections::{HashSet, VecDeque},
    sync::{Mutex, MutexGuard, PoisonError},
};

use sk_member::ServerId;

/// Number of processes remembered, those that left last: all servers of a large fleet, replaced
/// once.
const MAX_LEFT_SERVERS: usize = 1024;

/// The server processes that are known to leave, at any daemon. A late announcement, or a daemon
/// that has started again and does not know them, must not bring work back to them.
///
/// Nothing is remembered where a later process may use the id of one that has left.
#[derive(Default)]
pub(crate) struct LeftServers {
    has_unique_ids: bool,
    state: Mutex<LeftState>,
}

#[derive(Default)]
struct LeftState {
    servers: HashSet<ServerId>,
    /// In the order in which they were heard of.
    order: VecDeque<ServerId>,
}

impl LeftServers {
    /// Creates an empty memory. `has_unique_ids` tells whether no two processes have the same id.
    pub(crate) fn new(has_unique_ids: bool) -> Self {
        Self { has_unique_ids, state: Mutex::default() }
    }

    /// Records that a process leaves.
    pub(crate) fn insert(&self, id: &str) {
        if !self.has_unique_ids {
            return;
        }
        let mut state = self.lock();
        if state.servers.insert(id.to_owned()) {
            state.order.push_back(id.to_owned());
        }
        if state.order.len() > MAX_LEFT_SERVERS
            && let Some(oldest) = state.order.pop_front()
        {
            state.servers.remove(&oldest);
        }
    }

    /// Returns whether a process is known to leave.
    pub(crate) fn contains(&self, id: &str) -> bool {
        self.has_unique_ids && self.lock().servers.contains(id)
    }

    fn lock(&self) -> MutexGuard<'_, LeftState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
