//! By when a daemon that stops has to have answered.

use std::time::Duration;

use tokio::{sync::watch, time::Instant};

/// Time at the end of a daemon's drain for answers to reach their callers: the grace that follows a
/// deadline, the way over a busy link and the orderly end of connections.
const ANSWER_RESERVE: Duration = Duration::from_millis(300);
/// Most of a drain that is given to that, as a divisor.
const ANSWER_RESERVE_DIVISOR: u32 = 4;

/// The end of a daemon's drain, which bounds the deadlines of its requests.
///
/// A request that is still open when the process ends loses its connection without a word, and its
/// caller cannot know whether it ran. So each is answered before: a guard refuses what cannot be
/// served by then as not run, while there is time to go elsewhere.
#[derive(Debug, Default)]
pub struct DrainClock(watch::Sender<Option<Instant>>);

impl DrainClock {
    /// Begins a drain of `drain` length that ends at `end`.
    pub fn end_at(&self, end: Instant, drain: Duration) {
        let answer_time = ANSWER_RESERVE.min(drain / ANSWER_RESERVE_DIVISOR);
        self.0.send_replace(Some(end.checked_sub(answer_time).unwrap_or(end)));
    }

    /// Bounds a deadline by the end of the drain, if one has begun.
    pub(crate) fn bound(&self, deadline: Instant) -> Instant {
        self.0.borrow().map_or(deadline, |end| deadline.min(end))
    }

    /// Bounds the time left to a request that arrives now.
    pub(crate) fn bound_remaining(&self, left: Duration) -> Duration {
        let now = Instant::now();
        self.bound(now + left).saturating_duration_since(now)
    }

    /// Awaits an answer until `grace` after its deadline, or after the end of a drain, also one that
    /// begins meanwhile; none where it does not come by then.
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
