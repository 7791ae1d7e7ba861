//! The phases of a daemon's graceful stop.

use std::time::Duration;

/// Time reserved at the end of a grace for the last log lines and the exit of the process.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// Time reserved at the end of a stop for answers to reach their callers: the grace after a
/// deadline, the transit over a busy link and the orderly close of connections.
const ANSWER_RESERVE: Duration = Duration::from_millis(300);
/// Divisor of a grace that yields the largest exit margin and the largest answer reserve. Together
/// they take at most the last sixth of it.
const GRACE_DIVISOR: u32 = 12;
/// Divisor of a drain's length that yields the largest answer reserve where no grace is known.
const DRAIN_DIVISOR: u32 = 4;

/// The phases of a daemon's graceful stop, each counted from its begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    /// Time for which new requests are accepted, so that callers learn of the stop before they are
    /// refused.
    pub leave: Duration,
    /// Time after which requests that still wait for the local backend server are refused. They
    /// would not finish by the end.
    pub refuse_queued: Duration,
    /// Time by which requests are answered.
    pub answer_by: Duration,
    /// Time after which nothing is waited for any more.
    pub end: Duration,
}

impl StopSchedule {
    /// Returns the schedule of a stop that has to end within `grace`, after which the platform
    /// ends the process. `leave` is at most half of the stop.
    pub fn within_grace(grace: Duration, leave: Duration) -> Self {
        let share = grace / GRACE_DIVISOR;
        let end = grace.saturating_sub(EXIT_MARGIN.min(share));
        Self::new(leave.min(end / 2), end, ANSWER_RESERVE.min(share))
    }

    /// Returns the schedule of a stop that accepts requests for `leave`, and waits up to `drain`
    /// for those in flight after that.
    pub fn of_phases(leave: Duration, drain: Duration) -> Self {
        Self::new(leave, leave + drain, ANSWER_RESERVE.min(drain / DRAIN_DIVISOR))
    }

    fn new(leave: Duration, end: Duration, reserve: Duration) -> Self {
        let refuse_queued = leave + (end - leave) / 2;
        Self { leave, refuse_queued, answer_by: end.saturating_sub(reserve), end }
    }
}
