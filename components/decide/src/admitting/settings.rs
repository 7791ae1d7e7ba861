//! Settings of admission.

use std::time::Duration;

use crate::WorkClass;

/// Which of the waiting requests starts next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QueueOrder {
    /// Teams in turn, and within a team its callers. For work of a few milliseconds, where a queue
    /// has emptied before an order by goals could make a difference.
    #[default]
    Fair,
    /// By rank, then by whether the response-time goal can still be met.
    Urgent,
}

/// Settings of the guard of one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GuardSettings {
    /// Which of the waiting requests starts next. Default fair.
    pub order: QueueOrder,
    /// Requests the server runs at once. Default 12, as servers state it.
    pub slots: u32,
    /// Short requests queued at most. Default 24: two rounds of all slots, so that a wait stays
    /// about twice the service time.
    pub short_queue: u32,
    /// Long requests queued at most. Default 12: they wait for seconds, which few callers do.
    pub long_queue: u32,
    /// Fraction of slots that long work may always use, and gets in contention. Default a third:
    /// short work that uses two thirds of the slots still has room for its bursts.
    pub long_share: f64,
    /// Time in which a server that has just started gets all its slots. Default 10 s.
    pub warm_up: Duration,
    /// Fraction of slots withheld at its start. Default 0.5: six of twelve run.
    pub cold_reserve: f64,
    /// Whether a more urgent request takes the place of the least urgent one in a full queue.
    /// Default yes.
    pub evicts_less_urgent: bool,
    /// Whether long work is bounded by what the link carries. Default yes.
    pub limits_long_by_link: bool,
    /// Whether a server that refuses requests although it has a free slot gets fewer of them. Default
    /// no: where servers refuse at random, the next attempt succeeds as often as before, and this
    /// only takes room away.
    pub limits_by_refusals: bool,
    /// Longest wait of a trial for an empty server. Default 200 ms, since the slots that empty
    /// meanwhile stay unused.
    pub trial_max_wait: Duration,
    /// Longest time for which the server is kept empty beside a trial. Default 500 ms; a trial that
    /// runs longer goes on with others beside it.
    pub trial_exclusive_time: Duration,
    /// Shortest time after which a refused caller may return. Default 1 s, the unit of the header.
    pub retry_after_min: Duration,
    /// Window over which returns are spread. Default 2 s: at a thousand refusals a second the
    /// returns come evenly and not in step.
    pub retry_after_window: Duration,
}

impl Default for GuardSettings {
    fn default() -> Self {
        Self {
            order: QueueOrder::Fair,
            slots: 12,
            short_queue: 24,
            long_queue: 12,
            long_share: 1.0 / 3.0,
            warm_up: Duration::from_secs(10),
            cold_reserve: 0.5,
            evicts_less_urgent: true,
            limits_long_by_link: true,
            limits_by_refusals: false,
            trial_max_wait: Duration::from_millis(200),
            trial_exclusive_time: Duration::from_millis(500),
            retry_after_min: Duration::from_secs(1),
            retry_after_window: Duration::from_secs(2),
        }
    }
}

impl GuardSettings {
    /// Returns the queue's bound for a class.
    pub fn queue_limit(&self, class: WorkClass) -> u32 {
        match class {
            WorkClass::Short => self.short_queue,
            WorkClass::Long => self.long_queue,
        }
    }

    /// Returns the share of long work among a number of slots, at least one.
    pub fn long_share_of(&self, slots: u32) -> u32 {
        // The value is between zero and the slots, so the cast only rounds.
        ((f64::from(slots) * self.long_share).floor() as u32).max(1)
    }
}
