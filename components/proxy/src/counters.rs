//! Counters of the request path, for the state dump and for metrics.

use std::{
    collections::BTreeMap,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    clock::whole_micros,
    outcome::{RefusalKind, RequestOutcome},
    times::RequestTimes,
};

/// Counters of one daemon since its start. They use relaxed atomics, so a dump may be a request
/// behind.
#[derive(Debug)]
pub struct ProxyCounters {
    in_flight: AtomicU64,
    outcomes: [AtomicU64; 3],
    refusals: Vec<AtomicU64>,
    retries: AtomicU64,
    retries_denied: AtomicU64,
    cut_answers: AtomicU64,
    pipelined: AtomicU64,
    wake_delay_us: AtomicU64,
    times: RequestTimes,
}

impl Default for ProxyCounters {
    fn default() -> Self {
        Self {
            in_flight: AtomicU64::new(0),
            outcomes: Default::default(),
            refusals: RefusalKind::ALL.iter().map(|_| AtomicU64::new(0)).collect(),
            retries: AtomicU64::new(0),
            retries_denied: AtomicU64::new(0),
            cut_answers: AtomicU64::new(0),
            pipelined: AtomicU64::new(0),
            wake_delay_us: AtomicU64::new(0),
            times: RequestTimes::default(),
        }
    }
}

/// Snapshot of the counters for a dump.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CounterSnapshot {
    /// Callers' requests in this daemon now.
    pub in_flight: u64,
    /// Callers' requests that a server answered.
    pub ran: u64,
    /// Callers' requests that did not run.
    pub not_run: u64,
    /// Callers' requests of which it is not known whether they ran.
    pub unknown: u64,
    /// Answers made by this daemon itself, by reason, as entry daemon and as guard; absent reasons
    /// are zero.
    pub refused: BTreeMap<String, u64>,
    /// Retries, which draw on the retry budget; attempts that are moved to another endpoint outside
    /// it do not count.
    pub retries: u64,
    /// Failed attempts that were not retried because of the retry rules.
    pub retries_denied: u64,
    /// Answers that ended in an error after their head.
    pub cut_answers: u64,
    /// Callers' requests that were read behind another one on their connection.
    #[serde(default)]
    pub pipelined: u64,
}

impl ProxyCounters {
    /// Returns the histograms of request times.
    pub fn times(&self) -> &RequestTimes {
        &self.times
    }

    /// Adds the time by which a task of this daemon was woken too late.
    pub fn add_wake_delay(&self, delay: Duration) {
        self.wake_delay_us.fetch_add(whole_micros(delay), Ordering::Relaxed);
    }

    /// Returns the time by which tasks were woken too late, in all.
    pub fn wake_delay(&self) -> Duration {
        Duration::from_micros(load(&self.wake_delay_us))
    }

    /// Returns a snapshot of the counters.
    pub fn snapshot(&self) -> CounterSnapshot {
        let counted = RefusalKind::ALL.iter().zip(&self.refusals);
        let refused = counted
            .map(|(kind, count)| (kind.as_str().to_owned(), load(count)))
            .filter(|(_, count)| *count > 0);
        CounterSnapshot {
            in_flight: load(&self.in_flight),
            ran: load(&self.outcomes[RequestOutcome::Ran as usize]),
            not_run: load(&self.outcomes[RequestOutcome::NotRun as usize]),
            unknown: load(&self.outcomes[RequestOutcome::Unknown as usize]),
            refused: refused.collect(),
            retries: load(&self.retries),
            retries_denied: load(&self.retries_denied),
            cut_answers: load(&self.cut_answers),
            pipelined: load(&self.pipelined),
        }
    }

    pub(crate) fn enter(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn leave(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    pub(crate) fn count_outcome(&self, outcome: RequestOutcome) {
        self.outcomes[outcome as usize].fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_refusal(&self, kind: RefusalKind) {
        self.refusals[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_retry(&self) {
        self.retries.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a failed attempt that the retry rules do not allow to be retried.
    pub(crate) fn count_denied(&self) {
        self.retries_denied.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request that was read behind another one on its connection.
    pub(crate) fn count_pipelined(&self) {
        self.pipelined.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts an answer that ended in an error after its head.
    pub(crate) fn count_cut(&self) {
        self.cut_answers.fetch_add(1, Ordering::Relaxed);
    }
}

fn load(count: &AtomicU64) -> u64 {
    count.load(Ordering::Relaxed)
}
