//! Settings of placing.

use std::time::Duration;

/// How an endpoint is chosen among those that may take a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlacementOrder {
    /// The nearest data centre that is not loaded, and in it the better of two drawn by share. Made
    /// for work of a few milliseconds, where looking further costs as much as the work.
    #[default]
    Draw,
    /// Where the answer is expected first. Made for work that is long beside a round trip.
    Soonest,
}

/// Settings of placing, the same for all services of a daemon.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementSettings {
    /// How an endpoint is chosen. Default draw.
    pub order: PlacementOrder,
    /// Load of a tier, as our requests in flight per share, at which requests begin to spill to
    /// the next. Default 0.7: above it queues form at some server.
    pub spill_start: f64,
    /// Load at which all spill. Default 1.0, all slots taken. Between the two the portion grows
    /// evenly, since a sharp threshold would swing whole data centres back and forth.
    pub spill_full: f64,
    /// Share of a server that has just started, as a fraction. Default 0.1: one slot of twelve.
    pub cold_share: f64,
    /// Time in which the share grows to the whole. Default 30 s, for caches and pools to fill.
    pub warm_up: Duration,
    /// How long a load hint counts. Default 2 s: older ones describe a load that has moved on.
    pub hint_life: Duration,
    /// Portion of a share that a full hint takes away. Default 0.9: a server that wrongly reports
    /// itself full keeps a tenth, enough to show that it is not.
    pub hint_weight: f64,
    /// Load that a refusal stands for, as a hint. Default 0.5.
    pub refusal_load: f64,
    /// Failures in a row at which an endpoint is set aside. Default 5: at a normal failure rate of
    /// 5 %, five in a row are a matter of hours.
    pub failure_limit: u32,
    /// Failures that an unreachable endpoint counts for. Default 3, so that two connections
    /// refused suffice.
    pub unreachable_weight: u32,
    /// Mean latency at which an endpoint is set aside, in times the median of its peers. Default 4.
    pub slow_ratio: f64,
    /// Least excess over that median. Default 5 ms: below it the ratio is noise.
    pub slow_excess: Duration,
    /// Latencies needed for a judgement. Default 8, two seconds of one daemon's traffic.
    pub slow_samples: u32,
    /// Largest fraction of endpoints set aside at once. Default a third: the others can take its
    /// load. One may always be set aside where there are two or more.
    pub max_ejected_share: f64,
    /// First time aside; it doubles with each probe that fails. Default 5 s.
    pub ejection_base: Duration,
    /// Longest time aside. Default 60 s.
    pub ejection_cap: Duration,
    /// Wait for a slot in the own data centre that a kilobyte is worth which would have to cross to
    /// another, where the answer is in time either way. Default 4 ms.
    pub near_wait: Duration,
    /// What placing weighs.
    pub weights: PlacementWeights,
}

/// What placing by the soonest answer weighs. Each can be left out to find what it is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementWeights {
    /// Times of each kind of work, in place of one of all.
    pub by_work: bool,
    /// Failures of an endpoint.
    pub failures: bool,
    /// Time on the way.
    pub transit: bool,
    /// The guards' word on the wait for a slot.
    pub wait: bool,
    /// Endpoints that stand out by failures or slowness, which are set aside.
    pub outliers: bool,
}

impl Default for PlacementWeights {
    fn default() -> Self {
        Self { by_work: true, failures: true, transit: true, wait: true, outliers: true }
    }
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            order: PlacementOrder::Draw,
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
            near_wait: Duration::from_millis(4),
            weights: PlacementWeights::default(),
        }
    }
}

impl PlacementSettings {
    /// Returns how many of `count` endpoints may be set aside at once. At least one stays.
    pub fn max_ejected(&self, count: usize) -> usize {
        // Both casts are of small non-negative counts.
        let share = (count as f64 * self.max_ejected_share).floor() as usize;
        share.max(1).min(count.saturating_sub(1))
    }
}
