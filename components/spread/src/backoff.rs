//! Pauses between tries, drawn so that many daemons do not return in step.

use std::time::Duration;

use sk_decide::backoff::{BackoffSettings, draw_around, draw_between};

/// Pause of one kind of try, with full jitter.
///
/// Made for a whole fleet whose tries fail at one moment, such as when the platform goes away. The
/// cap bounds how long a daemon stays behind after the fault has ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryPause {
    settings: BackoffSettings,
    failures: u32,
}

impl RetryPause {
    /// Makes one whose first pause is drawn from nothing to `base`, and no pause is over `cap`.
    pub(crate) const fn new(base: Duration, cap: Duration) -> Self {
        Self { settings: BackoffSettings { base, cap }, failures: 0 }
    }

    /// Draws the pause after one more failure.
    pub(crate) fn next(&mut self) -> Duration {
        let pause = self.settings.delay(self.failures, &mut rand::rng());
        self.failures = self.failures.saturating_add(1);
        pause
    }

    /// Allows longer pauses from now on.
    pub(crate) fn raise_cap(&mut self, cap: Duration) {
        self.settings.cap = self.settings.cap.max(cap);
    }

    /// Begins again with the first pause, after a success.
    pub(crate) fn reset(&mut self) {
        self.failures = 0;
    }
}

/// Spreads a mean pause over half to one and a half of it.
pub(crate) fn jittered(mean: Duration) -> Duration {
    draw_around(mean, &mut rand::rng())
}

/// Draws a pause between nothing and `most`.
pub(crate) fn drawn(most: Duration) -> Duration {
    draw_between(Duration::ZERO, most, &mut rand::rng())
}
