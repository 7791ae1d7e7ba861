//! How long a connection may have been idle for a request to be sent on it.
//!
//! Some servers drop idle connections silently, and sooner than they announce. Whatever is sent
//! next is reset. A request that may repeat is then sent again and costs a round trip; one that may
//! run once only is lost, since nobody can tell a reset before its run from one after it. Each such
//! reset therefore lowers the allowed idle time for a while.

use std::time::Duration;

/// Longest idle time. Servers commonly close their connections after 5 s; a request sent at that
/// very moment would be lost with an unknown outcome.
pub const MAX_IDLE: Duration = Duration::from_secs(4);
/// Longest idle time for a request that may run once only. A busy server's connections wait for
/// some tens of milliseconds; in place of one that has waited for longer a new one is opened, which
/// costs a millisecond.
const MAX_RUN_ONCE_IDLE: Duration = Duration::from_millis(250);
/// Shortest idle time that a reset is attributed to. On a connection that was in use just now a
/// reset is the server's choice or its death, and says nothing of idle ones: with such resets
/// counted, a server that lost answers got a new connection for nearly each request.
const MIN_STALE_IDLE: Duration = Duration::from_millis(100);
/// Longest time from the sending of a request to the reset of a connection that its server had dropped
/// while it was idle: a round trip within an instance, on a busy machine. Later the server had the
/// request, and may have run it.
const MAX_STALE_RESET: Duration = Duration::from_millis(50);
/// Time in which a lowered limit doubles.
const LIMIT_DOUBLING_TIME: Duration = Duration::from_secs(5);

/// Returns whether a server had dropped a connection while it was idle. The connection had been idle for
/// `idle`, `None` for a new one, and was reset `held` after a request was sent on it.
pub fn was_stale(idle: Option<Duration>, held: Duration) -> bool {
    idle.is_some_and(|idle| idle >= MIN_STALE_IDLE) && held <= MAX_STALE_RESET
}

/// Limit on the idle time of one server's connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct IdleLimit {
    /// A lowered limit, and when it was lowered.
    lowered: Option<(Duration, Duration)>,
}

impl IdleLimit {
    /// Returns how long a connection may have been idle at `now`.
    pub fn limit(&self, is_repeatable: bool, now: Duration) -> Duration {
        let usual = if is_repeatable { MAX_IDLE } else { MAX_RUN_ONCE_IDLE };
        let lowered = self.lowered.map(|(limit, at)| {
            let doublings =
                now.saturating_sub(at).as_secs_f64() / LIMIT_DOUBLING_TIME.as_secs_f64();
            // After a minute the limit is far beyond the usual one; the bound keeps the factor
            // finite.
            limit.mul_f64(doublings.min(20.0).exp2())
        });
        lowered.map_or(usual, |lowered| lowered.min(usual))
    }

    /// Records that a connection which had been idle for `idle` was found dead, and lowers the
    /// limit to half of that.
    pub fn record_stale(&mut self, idle: Duration, now: Duration) {
        if idle < MIN_STALE_IDLE {
            return;
        }
        let limit = (idle / 2).min(self.limit(true, now));
        self.lowered = Some((limit, now));
    }
}
