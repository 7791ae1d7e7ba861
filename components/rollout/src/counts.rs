//! Counts that a guard keeps while an order for its service is running.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use sk_decide::{WorkKey, rollout::VersionEvidence};
use tokio::time::Instant;

use crate::records::MAX_WORK_KINDS;

/// What a guard does with a request by the orders.
pub enum GuardVerdict {
    /// No order concerns it.
    Unrestricted,
    /// It runs and is counted.
    Counted(OrderCounter),
    /// The server's version gets nothing any more.
    Refused,
}

/// Counts of one order at one guard.
#[derive(Debug, Default)]
pub(crate) struct OrderCounts {
    sent: AtomicU64,
    evidence: Mutex<VersionEvidence>,
}

/// Handle by which the guard counts for an order.
#[derive(Clone, Debug)]
pub struct OrderCounter(pub(crate) Arc<OrderCounts>);

/// A request that the server runs. If it is dropped at or after its deadline without an answer, it
/// counts as a failure; dropped earlier, its caller has left and it says nothing.
pub struct CountedRequest {
    counts: Arc<OrderCounts>,
    work: WorkKey,
    began: Instant,
    deadline: Instant,
    is_ended: bool,
}

impl OrderCounts {
    pub(crate) fn sent(&self) -> u64 {
        self.sent.load(Ordering::Acquire)
    }

    pub(crate) fn evidence(&self) -> VersionEvidence {
        self.evidence.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn record(&self, work: WorkKey, is_failure: bool, took: Duration) {
        let mut evidence = self.evidence.lock().unwrap_or_else(PoisonError::into_inner);
        let has_room =
            evidence.by_work.len() < MAX_WORK_KINDS || evidence.by_work.contains_key(&work);
        evidence.record(if has_room { work } else { 0 }, is_failure, took);
    }
}

impl OrderCounter {
    /// Counts a request that is sent to the server now.
    pub fn begin(&self, work: WorkKey, deadline: Instant) -> CountedRequest {
        self.0.sent.fetch_add(1, Ordering::AcqRel);
        let (counts, began) = (self.0.clone(), Instant::now());
        CountedRequest { counts, work, began, deadline, is_ended: false }
    }
}

impl CountedRequest {
    /// Counts the response.
    pub fn finish(mut self, is_failure: bool) {
        self.is_ended = true;
        self.counts.record(self.work, is_failure, self.began.elapsed());
    }

    /// Ends a request that the server refused without running it.
    pub fn cancel(mut self) {
        self.is_ended = true;
    }
}

impl Drop for CountedRequest {
    fn drop(&mut self) {
        if !self.is_ended && Instant::now() >= self.deadline {
            self.counts.record(self.work, true, self.began.elapsed());
        }
    }
}
