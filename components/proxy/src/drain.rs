//! The time by which a stopping daemon must have answered its requests.

use std::time::Duration;

use tokio::{sync::watch, time::Instant};

/// Time reserved at the end of a daemon's drain for answers to reach their callers: the grace
/// after a deadline, the transit over a busy link and the orderly close of connections.
const ANSWER_RESERVE: Duration = Duration::from_millis(300);
/// Divisor of a drain's length that yields the largest such reserve.
const ANSWER_RESERVE_DIVISOR: u32 = 4;

/// The end of a daemon's drain, which bounds the deadlines of its requests.
///
/// A request that is still open when the process ends loses its connection without an answer, and
/// its caller cannot know whether it ran. Therefore each request is answered before: a guard
/// refuses as not run what cannot be served by then, while there is time to send it elsewhere.
#[derive(Debug, Default)]
pub struct DrainClock(watch::Sender<Option<Instant>>);

impl DrainClock {
    /// Begins a drain of length `drain` that ends at `end`.
    pub fn begin_drain(&self, end: Instant, drain: Duration) {
        let reserve = ANSWER_RESERVE.min(drain / ANSWER_RESERVE_DIVISOR);
        self.0.send_replace(Some(end.checked_sub(reserve).unwrap_or(end)));
    }

    /// Returns whether a drain has begun.
    pub(crate) fn is_draining(&self) -> bool {
        self.0.borrow().is_some()
    }

    /// Bounds a deadline by the end of the drain, if one has begun.
    pub(crate) fn bound(&self, deadline: Instant) -> Instant {
        self.0.borrow().map_or(deadline, |end| deadline.min(end))
    }

    /// Bounds the remaining time of a request that arrives now.
    pub(crate) fn bound_remaining(&self, remaining: Duration) -> Duration {
        let now = Instant::now();
        self.bound(now + remaining).saturating_duration_since(now)
    }

    /// Awaits an answer until `grace` after its deadline, or after the end of a drain, including
    /// one that begins meanwhile. Returns `None` if it does not arrive by then.
    pub(crate) async fn await_until<T>(
        &self,
        deadline: Instant,
        grace: Duration,
        answer: impl Future<Output = T>,
    ) -> Option<T> {
        let mut ends = self.0.subscribe();
        tokio::pin!(answer);
        loop {
            let until = self.bound(deadline) + grace;
            tokio::select! {
                biased;
                answer = &mut answer => return Some(answer),
                () = tokio::time::sleep_until(until) => return None,
                // The sender lives as long as this clock.
                Ok(()) = ends.changed() => (),
            }
        }
    }
}
