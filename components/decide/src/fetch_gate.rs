//! A cap on concurrent fetches at whoever serves them, for reconnect storms.
//!
//! Made for hundreds of daemons that return at once after a failure and all fetch the whole
//! configuration. Served together each gets a sliver of the link, all time out and all start again,
//! so that none ever finishes. The gate serves a few to their end and sends the others away with a
//! delay long enough for those ahead of them.

use std::time::Duration;

use rand::Rng;

use crate::backoff::draw_between;

/// Settings of a fetch gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateSettings {
    /// Fetches served at once. Default 8: a few hide each other's latency, more only share a link.
    pub limit: u32,
    /// Time one fetch is taken to last before any was measured. Default 20 ms.
    pub expected: Duration,
    /// Shortest window for the return of a client sent away. Default 50 ms.
    pub min_window: Duration,
    /// Longest window. Default 4 s: within the 11 s in which a change must be in force.
    pub max_window: Duration,
}

impl Default for GateSettings {
    fn default() -> Self {
        Self {
            limit: 8,
            expected: Duration::from_millis(20),
            min_window: Duration::from_millis(50),
            max_window: Duration::from_secs(4),
        }
    }
}

/// Whether a fetch may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateVerdict {
    /// Start now; [`FetchGate::leave`] follows when it ends.
    Enter,
    /// Come back after this time, drawn from a window that grows with the number sent away.
    ComeBack(Duration),
}

/// Caps concurrent fetches and spreads the clients it sends away.
#[derive(Clone, Debug)]
pub struct FetchGate {
    settings: GateSettings,
    active: u32,
    mean: Duration,
    sent_away: u32,
    window_end: Duration,
}

impl FetchGate {
    /// Makes a gate with no fetch under way.
    pub fn new(settings: GateSettings) -> Self {
        let mean = settings.expected;
        Self { settings, active: 0, mean, sent_away: 0, window_end: Duration::ZERO }
    }

    /// Decides on a fetch that arrives at `now`.
    pub fn enter(&mut self, now: Duration, rng: &mut (impl Rng + ?Sized)) -> GateVerdict {
        if self.active < self.settings.limit {
            self.active += 1;
            return GateVerdict::Enter;
        }
        let window = self.count_away(now);
        GateVerdict::ComeBack(draw_between(self.settings.min_window / 2, window, rng))
    }

    /// Takes note that a fetch ended after `took`, with or without success.
    pub fn leave(&mut self, took: Duration) {
        self.active = self.active.saturating_sub(1);
        // Weight one eighth: follows a change of snapshot size within some ten fetches.
        self.mean = (self.mean * 7 + took) / 8;
    }

    /// Gives the number of fetches under way.
    pub fn active_count(&self) -> u32 {
        self.active
    }

    /// Counts a client sent away and gives the window in which all counted ones can be served.
    fn count_away(&mut self, now: Duration) -> Duration {
        if now >= self.window_end {
            self.sent_away = 0;
        }
        self.sent_away = self.sent_away.saturating_add(1);
        let turns = self.sent_away / self.settings.limit + 1;
        let window = self
            .mean
            .saturating_mul(turns)
            .clamp(self.settings.min_window, self.settings.max_window);
        self.window_end = self.window_end.max(now + window);
        window
    }
}
