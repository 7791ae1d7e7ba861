//! Randomised pauses between tries, so that many daemons do not retry in step.

use std::time::Duration;

use sk_decide::backoff::{BackoffSettings, draw_around, draw_between};

/// Backoff of one kind of try, with full jitter.
///
/// It suits a whole fleet whose tries fail at the same moment, such as when the platform becomes
/// unreachable. The cap bounds how long a daemon lags behind after the fault has ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryPause {
    settings: BackoffSettings,
    failures: u32,
}

impl RetryPause {
    /// Creates a backoff whose first pause is drawn from zero to `base`; no pause exceeds `cap`.
    pub(crate) const fn new(base: Duration, cap: Duration) -> Self {
        Self { settings: BackoffSettings { base, cap }, failures: 0 }
    }

    /// Draws the pause after one more failure.
    pub(crate) fn next(&mut self) -> Duration {
        let pause = self.settings.delay(self.failures, &mut rand::rng());
        self.failures = self.failures.saturating_add(1);
        pause
    }

    /// Raises the cap of later pauses.
    pub(crate) fn raise_cap(&mut self, cap: Duration) {
        self.settings.cap = self.settings.cap.max(cap);
    }

    /// Restarts with the first pause, after a success.
    pub(crate) fn reset(&mut self) {
        self.failures = 0;
    }
}

/// Draws a pause between 0.5 and 1.5 times `mean`.
pub(crate) fn jittered(mean: Duration) -> Duration {
    draw_around(mean, &mut rand::rng())
}

/// Draws a pause between zero and `max`.
pub(crate) fn random_up_to(max: Duration) -> Duration {
    draw_between(Duration::ZERO, max, &mut rand::rng())
}
