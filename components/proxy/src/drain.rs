//! The time by which a stopping daemon must have answered its requests.

use std::time::Duration;

use tokio::{sync::watch, time::Instant};

/// When a stopping daemon refuses and answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainTimes {
    /// When it stops accepting requests. One whose body arrives later is refused as well.
    pub refuse_at: Instant,
    /// When each of its requests is answered.
    pub answer_by: Instant,
}

/// The times of a daemon's drain, which bound the deadlines of its requests.
///
/// A request that is still open when the process ends loses its connection without an answer, and
/// its caller cannot know whether it ran. Therefore each request is answered before: a guard
/// refuses as not run what cannot be served by then, while there is time to send it elsewhere.
#[derive(Debug, Default)]
pub struct DrainClock(watch::Sender<Option<DrainTimes>>);

impl DrainClock {
    /// Begins a drain.
    pub fn begin_drain(&self, times: DrainTimes) {
        self.0.send_replace(Some(times));
    }

    /// Returns whether a drain has begun.
    pub(crate) fn is_draining(&self) -> bool {
        self.0.borrow().is_some()
    }

    /// Returns whether new requests are refused.
    pub(crate) fn is_refusing(&self) -> bool {
        self.0.borrow().is_some_and(|times| times.refuse_at <= Instant::now())
    }

    /// Bounds a deadline by the end of the drain, if one has begun.
    pub(crate) fn bound(&self, deadline: Instant) -> Instant {
        self.0.borrow().map_or(deadline, |times| deadline.min(times.answer_by))
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
