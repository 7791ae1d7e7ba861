//! A cap on concurrent fetches at the daemon that serves them, against reconnect storms.
//!
//! Hundreds of daemons can return at once after a failure and all fetch the whole configuration.
//! Served together each gets a sliver of the link, all time out and all start again, so that none
//! ever finishes. The gate serves a few to their end and sends the others away, each with a time of
//! its own to return after those already assigned.
//!
//! Rejected alternative: a time drawn from a window that grows with the number sent away. That
//! number counts those who return in vain a second time, and all are served only after more than
//! twice the ideal time.

use std::time::Duration;

use rand::Rng;

use crate::backoff::draw_between;

/// Settings of a fetch gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateSettings {
    /// Fetches served at once. Default 8: a few hide each other's latency, more only share a link.
    pub limit: u32,
    /// Time that a fetch is assumed to take before any was measured. Default 20 ms.
    pub expected: Duration,
    /// Longest time for which a client is sent away. Default 4 s: within the 11 s in which a change
    /// must be in force. Clients beyond it are spread over its second half and ask again.
    pub max_wait: Duration,
}

impl Default for GateSettings {
    fn default() -> Self {
        Self { limit: 8, expected: Duration::from_millis(20), max_wait: Duration::from_secs(4) }
    }
}

/// Whether a fetch may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateVerdict {
    /// Start now; [`FetchGate::leave`] must be called when it ends.
    Start,
    /// Come back after this time.
    RetryAfter(Duration),
}

/// Caps concurrent fetches and spreads the clients it sends away.
#[derive(Clone, Debug)]
pub struct FetchGate {
    settings: GateSettings,
    active: u32,
    mean: Duration,
    /// Latest return time that was assigned.
    last_return_at: Duration,
}

impl FetchGate {
    /// Creates a gate with no fetch under way.
    pub fn new(settings: GateSettings) -> Self {
        let mean = settings.expected;
        Self { settings, active: 0, mean, last_return_at: Duration::ZERO }
    }

    /// Decides on a fetch that arrives at `now`.
    pub fn enter(&mut self, now: Duration, rng: &mut (impl Rng + ?Sized)) -> GateVerdict {
        if self.active < self.settings.limit {
            self.active += 1;
            return GateVerdict::Start;
        }
        GateVerdict::RetryAfter(self.next_return_wait(now, rng))
    }

    /// Records that a fetch ended after `took`, with or without success.
    pub fn leave(&mut self, took: Duration) {
        self.active = self.active.saturating_sub(1);
        // With a weight of one eighth the mean follows a change of snapshot size within some ten
        // fetches.
        self.mean = (self.mean * 7 + took) / 8;
    }

    /// Returns the number of fetches under way.
    pub fn active_count(&self) -> u32 {
        self.active
    }

    /// Returns the wait until the next return time that is not assigned. Return times are assigned
    /// at nine tenths of the rate at which fetches end, since at the full rate chance alone makes
    /// many return in vain. The jitter of one fetch keeps the returns from falling on the ends of
    /// the fetches before.
    fn next_return_wait(&mut self, now: Duration, rng: &mut (impl Rng + ?Sized)) -> Duration {
        let step = self.mean * 10 / (9 * self.settings.limit.max(1));
        let return_at = self.last_return_at.max(now) + step;
        let wait = return_at - now;
        if wait > self.settings.max_wait {
            return draw_between(self.settings.max_wait / 2, self.settings.max_wait, rng);
        }
        self.last_return_at = return_at;
        wait + draw_between(Duration::ZERO, self.mean, rng)
    }
}
