//! Exponential backoff with full jitter.
//!
//! Many clients can fail at the same moment, as when a daemon or a configuration source goes.
//! Without jitter they return in step and fail again in step, which shows as load peaks at the
//! powers of two. A delay drawn uniformly from the whole window spreads them evenly.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Settings of a backoff.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffSettings {
    /// Window of the first delay. Default 10 ms: a few round trips within a region.
    pub base: Duration,
    /// Largest window. Default 5 s: a longer one would leave a client out after its peer is back.
    pub cap: Duration,
}

impl Default for BackoffSettings {
    fn default() -> Self {
        Self { base: Duration::from_millis(10), cap: Duration::from_secs(5) }
    }
}

impl BackoffSettings {
    /// Returns the window of an attempt: the base doubled with each failure before it, up to the
    /// cap.
    pub fn window(&self, failures: u32) -> Duration {
        // More doublings than this pass any cap and would overflow the factor.
        let factor = 1_u32 << failures.min(31);
        self.base.saturating_mul(factor).min(self.cap)
    }

    /// Draws the delay before an attempt, uniformly from zero to its window.
    pub fn delay(&self, failures: u32, rng: &mut (impl Rng + ?Sized)) -> Duration {
        draw_between(Duration::ZERO, self.window(failures), rng)
    }
}

/// Draws a duration uniformly from half the mean to one and a half of it, for tasks that recur: a
/// fleet that was started in one second would otherwise do them in step for ever.
pub fn draw_around(mean: Duration, rng: &mut (impl Rng + ?Sized)) -> Duration {
    draw_between(mean / 2, mean * 3 / 2, rng)
}

/// Draws a duration uniformly from `low` to `high`; returns `low` if the range is empty.
pub fn draw_between(low: Duration, high: Duration, rng: &mut (impl Rng + ?Sized)) -> Duration {
    let span = high.saturating_sub(low);
    low + span.mul_f64(rng.random::<f64>())
}
