//! Requests that were refused here, so that one that comes again is known as such.
//!
//! A caller counts the time to its answer from its first attempt. To a daemon that forgets its
//! refusals each attempt is a new request with its whole goal before it. In an overload most requests
//! then are returning ones, which are late however soon they are answered, and they take the slots in
//! which new ones would have been in time.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::time::Instant;

/// Hash of a request and its caller.
pub(crate) type RequestKey = u64;

/// Time for which a refusal is remembered, longer than callers of short work wait for an answer.
const REMEMBERED_TIME: Duration = Duration::from_secs(10);
/// Number of refusals remembered: more than a small instance refuses in that time.
const MAX_REMEMBERED: usize = 4096;

#[derive(Default)]
struct RefusalTable {
    first_arrivals: HashMap<RequestKey, Instant>,
    /// Refusals in their order, those included whose request has come again.
    refusals: VecDeque<(Instant, RequestKey)>,
}

/// Requests that were refused as not run and may come again.
#[derive(Default)]
pub struct RefusedRequests(Mutex<RefusalTable>);

impl RefusedRequests {
    /// Returns when a request that arrives now first arrived, and forgets it: `now` unless it was
    /// refused here before.
    pub(crate) fn take_first_arrival(&self, key: RequestKey, now: Instant) -> Instant {
        let mut table = self.lock();
        table.forget_old(now);
        table.first_arrivals.remove(&key).unwrap_or(now)
    }

    /// Remembers a request that is refused.
    pub(crate) fn record(&self, key: RequestKey, first_arrival: Instant) {
        let now = Instant::now();
        let mut table = self.lock();
        table.forget_old(now);
        table.first_arrivals.insert(key, first_arrival);
        table.refusals.push_back((now, key));
    }

    fn lock(&self) -> MutexGuard<'_, RefusalTable> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RefusalTable {
    /// Forgets the oldest refusals, beyond their time or number.
    fn forget_old(&mut self, now: Instant) {
        let is_old = |(at, _): &(Instant, RequestKey)| now.duration_since(*at) > REMEMBERED_TIME;
        while self.refusals.len() > MAX_REMEMBERED || self.refusals.front().is_some_and(is_old) {
            if let Some((_, key)) = self.refusals.pop_front() {
                self.first_arrivals.remove(&key);
            }
        }
    }
}
