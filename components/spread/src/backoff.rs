//! Pauses between tries, drawn so that many daemons do not return in step.

use std::time::Duration;

/// Doublings of the first pause after which the cap holds in any case.
const MAX_DOUBLINGS: u32 = 16;

/// Pause of one kind of try, with full jitter.
///
/// Made for a whole fleet whose tries fail at one moment, such as when the platform goes away.
/// Equal pauses would bring all of them back in the same millisecond, again and again; a draw
/// over the whole pause spreads them, doubling makes room for as many as there are, and the cap
/// bounds how long one stays behind after the fault has ended.
#[derive(Clone, Copy, Debug)]
pub struct RetryPause {
    base: Duration,
    cap: Duration,
    failures: u32,
}

impl RetryPause {
    /// Makes one whose first pause is drawn from nothing to `base`, and no pause is over `cap`.
    pub const fn new(base: Duration, cap: Duration) -> Self {
        Self { base, cap, failures: 0 }
    }

    /// Gives the pause after one more failure for a `draw` from 0 to 1.
    pub fn next(&mut self, draw: f64) -> Duration {
        let factor = 1 << self.failures.min(MAX_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        self.base.saturating_mul(factor).min(self.cap).mul_f64(draw.clamp(0.0, 1.0))
    }

    /// Allows longer pauses from now on.
    pub fn raise_cap(&mut self, cap: Duration) {
        self.cap = self.cap.max(cap);
    }

    /// Begins again with the first pause, after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}

/// Spreads a mean pause over half to one and a half of it.
pub(crate) fn jittered(mean: Duration) -> Duration {
    mean.mul_f64(rand::random_range(0.5..1.5))
}

/// Draws a pause between nothing and `most`.
pub(crate) fn drawn(most: Duration) -> Duration {
    most.mul_f64(rand::random_range(0.0..=1.0))
}
