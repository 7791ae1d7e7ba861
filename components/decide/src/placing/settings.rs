//! Settings of placement.

use std::time::Duration;

/// How an endpoint is chosen among those that may take a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlacementOrder {
    /// The nearest data centre that is not loaded, and in it the better of two endpoints drawn in
    /// proportion to their slots. For work of a few milliseconds, where trying farther endpoints
    /// costs as much as the work.
    #[default]
    TwoChoices,
    /// The endpoint whose answer is expected first. For work that is long beside a round trip.
    Soonest,
}

/// Settings of placement, the same for all services of a daemon.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementSettings {
    /// Rule by which an endpoint is chosen. Default [`PlacementOrder::TwoChoices`].
    pub order: PlacementOrder,
    /// Load of the endpoints at one distance, in requests of this daemon in flight per slot counted
    /// on, at which requests begin to spill to the next distance. Default 0.7: above it queues form
    /// at some server.
    pub spill_start: f64,
    /// Load at which all requests spill. Default 1.0: all slots are taken. Between the two loads
    /// the fraction that spills grows evenly, since a sharp threshold would make whole data centres
    /// swing back and forth.
    pub spill_full: f64,
    /// Fraction of its slots that is counted on at a server that has just started. Default 0.1: one
    /// slot of twelve.
    pub cold_share: f64,
    /// Time in which that fraction grows to 1. Default 30 s, for caches and pools to fill.
    pub warm_up: Duration,
    /// How long a load hint counts. Default 2 s: an older one describes a load that has changed.
    pub hint_life: Duration,
    /// Fraction of the slots counted on that a hint of full load takes away. Default 0.9: a server
    /// that wrongly reports itself full keeps a tenth, enough to show that it is not.
    pub hint_weight: f64,
    /// Load that a refusal counts as, as a hint. Default 0.5.
    pub refusal_load: f64,
    /// Failures in a row at which an endpoint is ejected. Default 5: at a normal failure rate of
    /// 5 %, five in a row come by chance once in three million requests, which take a daemon hours.
    pub failure_limit: u32,
    /// Failures that an unreachable endpoint counts as. Default 3, so that two refused connections
    /// suffice.
    pub unreachable_weight: u32,
    /// Mean latency at which an endpoint is ejected, as a multiple of the median of its peers.
    /// Default 4.
    pub slow_ratio: f64,
    /// Least excess over that median. Default 5 ms: below it the ratio is noise.
    pub slow_excess: Duration,
    /// Latencies needed for that verdict. Default 8: two seconds of one daemon's traffic.
    pub slow_samples: u32,
    /// Largest fraction of endpoints that are ejected at once. Default a third, whose load the
    /// others can take. One may always be ejected where there are two or more.
    pub max_ejected_share: f64,
    /// Time of a first ejection; it doubles with each probe that fails. Default 5 s.
    pub ejection_base: Duration,
    /// Longest time of an ejection. Default 60 s.
    pub ejection_cap: Duration,
    /// Wait for a slot in the own data centre that is accepted per kilobyte which would otherwise
    /// cross to another data centre, where the answer is in time either way. Default 4 ms.
    pub local_wait_per_kilobyte: Duration,
    /// Observations that placement takes into account.
    pub factors: PlacementFactors,
}

/// Observations that [`PlacementOrder::Soonest`] takes into account. Each can be left out, to
/// measure what it gains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementFactors {
    /// Service times of each kind of work, in place of one time per class.
    pub by_work: bool,
    /// Failure rates of endpoints.
    pub failures: bool,
    /// Transit times to endpoints.
    pub transit: bool,
    /// Waits for a slot that guards report.
    pub wait: bool,
    /// Ejection of endpoints that stand out by failures or slowness.
    pub outliers: bool,
    /// Calls of started requests, which go before requests of callers.
    pub nested_first: bool,
    /// How attempts to find a free slot ended.
    pub slot_odds: bool,
    /// Whether the goal is met in the own data centre, before a free slot is looked for elsewhere.
    pub near_first: bool,
    /// Time that earlier attempts of a returning request have taken.
    pub returns: bool,
}

impl Default for PlacementFactors {
    fn default() -> Self {
        Self {
            by_work: true,
            failures: true,
            transit: true,
            wait: true,
            outliers: true,
            nested_first: true,
            slot_odds: true,
            near_first: true,
            returns: true,
        }
    }
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            order: PlacementOrder::TwoChoices,
            spill_start: 0.7,
            spill_full: 1.0,
            cold_share: 0.1,
            warm_up: Duration::from_secs(30),
            hint_life: Duration::from_secs(2),
            hint_weight: 0.9,
            refusal_load: 0.5,
            failure_limit: 5,
            unreachable_weight: 3,
            slow_ratio: 4.0,
            slow_excess: Duration::from_millis(5),
            slow_samples: 8,
            max_ejected_share: 1.0 / 3.0,
            ejection_base: Duration::from_secs(5),
            ejection_cap: Duration::from_secs(60),
            local_wait_per_kilobyte: Duration::from_millis(4),
            factors: PlacementFactors::default(),
        }
    }
}

impl PlacementSettings {
    /// Returns how many of `count` endpoints may be ejected at once. At least one stays in service.
    pub fn max_ejected(&self, count: usize) -> usize {
        // Both casts are of small non-negative counts.
        let share = (count as f64 * self.max_ejected_share).floor() as usize;
        share.max(1).min(count.saturating_sub(1))
    }
}
