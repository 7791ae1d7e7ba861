//! How long messages of other daemons were in transit.
//!
//! More bytes can wait on a link than it carries in a caller's time. What comes over it left its
//! daemon long ago: the time that it states as left has passed, its caller may be gone, and the
//! message that reports this waits behind it on the same link. If the stated time were believed, a
//! call of 400 ms that was in transit for 700 ms would be run for nobody.
//!
//! The clocks of two daemons are unrelated, but their difference is constant. The least difference
//! between arrival and departure is that of the fastest message, and whatever another message shows
//! beyond it was spent in transit.
//!
//! Where a link has been full since its daemons started, the fastest message was slow itself, and
//! what all of them have lost is not seen. Answers show it: an answer that leaves at a time of one
//! clock and arrives at a time of the other bounds the difference of the clocks from the other side.
//! The daemon that gets the answers keeps this bound and sends it along with its next message.
//!
//! Before the first message there is the opening of its connection. It began at a known time of the
//! sender's clock and was seen here, which makes it a message as well; and it crossed the same link
//! in both directions, so that what follows it closely takes about as long as it took.

use std::{collections::HashMap, time::Duration};

/// Identifies the clock of one process of a daemon.
pub type ClockId = u64;

/// Largest drift between two clocks, in millionths: each quartz clock is within a hundred
/// millionths of true time. A least difference that could never rise would count the drift as time
/// in transit.
const DRIFT_PER_MILLION: i64 = 200;
/// Clocks that are remembered: several times the daemons of a large fleet, since each restart adds
/// one. At the limit all are forgotten and learned again from the next message of each.
pub const MAX_CLOCKS: usize = 4096;

/// Time after the opening of a connection for which it shows how full the link is.
pub const OPENING_VALIDITY: Duration = Duration::from_secs(1);

/// Least amount by which the clock of another daemon is ahead of the own one, as its answers show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockBound {
    /// The other daemon's clock.
    pub clock: ClockId,
    /// Microseconds, negative if it is behind.
    pub ahead_micros: i64,
}

/// A daemon's clock as its answers show it.
#[derive(Clone, Copy, Debug)]
pub struct AnswerClock {
    bound: ClockBound,
    seen_at: Duration,
}

impl AnswerClock {
    /// Creates the record of a clock from an answer that left at `sent_at` by it and arrived at
    /// `now`.
    pub fn new(clock: ClockId, sent_at: Duration, now: Duration) -> Self {
        let ahead_micros = signed_micros(sent_at) - signed_micros(now);
        Self { bound: ClockBound { clock, ahead_micros }, seen_at: now }
    }

    /// Adds a further answer. An answer by another clock replaces the record: the daemon has started
    /// again.
    pub fn record_answer(&mut self, clock: ClockId, sent_at: Duration, now: Duration) {
        let mut new = Self::new(clock, sent_at, now);
        if clock == self.bound.clock {
            let known = self.bound(now).ahead_micros;
            new.bound.ahead_micros = new.bound.ahead_micros.max(known);
        }
        *self = new;
    }

    /// Returns the bound at `now`, which loosens with the drift of the clocks.
    pub fn bound(&self, now: Duration) -> ClockBound {
        let drift = drift_micros(self.seen_at, now);
        ClockBound { ahead_micros: self.bound.ahead_micros - drift, ..self.bound }
    }
}

impl ClockBound {
    /// Returns the longest time for which a message can have been in transit that left at `sent_at`
    /// by its sender's clock and arrived at `now`, if the sender knows this bound of the clock here.
    ///
    /// It is longer than the transit by at most the time that the fastest answer took on its way
    /// back, which the answer to this message will take as well.
    pub fn longest_transit(&self, sent_at: Duration, now: Duration) -> Duration {
        let micros = signed_micros(now) - signed_micros(sent_at) - self.ahead_micros;
        Duration::from_micros(micros.max(0).unsigned_abs())
    }
}

/// The opening of a connection, as the side that opened it measured it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkOpening {
    /// When it began, by that side's clock.
    pub began: Duration,
    /// Time until the connection was established.
    pub took: Duration,
}

impl LinkOpening {
    /// Returns whether a message that leaves at `sent_at`, by the same clock, closely follows the
    /// opening.
    pub fn is_followed_by(&self, sent_at: Duration) -> bool {
        sent_at < self.began + self.took + OPENING_VALIDITY
    }
}

/// The least difference between arrivals here and departures by one clock.
#[derive(Clone, Copy, Debug)]
struct ClockOffset {
    micros: i64,
    seen_at: Duration,
    /// The opening that the clock was first known by, if any.
    opening: Option<LinkOpening>,
}

/// Offsets of the other daemons' clocks.
#[derive(Clone, Debug, Default)]
pub struct TransitClocks {
    offsets: HashMap<ClockId, ClockOffset>,
}

impl TransitClocks {
    /// Records a message that left at `sent_at` by its sender's clock and arrived at `now` by this
    /// one's, and returns how much longer it was in transit than the fastest one. Both clocks have
    /// to go on while an instance is suspended, or its messages would count as late by that time
    /// from then on.
    pub fn record_message(&mut self, clock: ClockId, sent_at: Duration, now: Duration) -> Duration {
        let micros = signed_micros(now) - signed_micros(sent_at);
        let first = ClockOffset { micros, seen_at: now, opening: None };
        let offset = self.offset_or_insert(clock, first);
        let drift = drift_micros(offset.seen_at, now);
        offset.micros = micros.min(offset.micros + drift);
        offset.seen_at = now;
        let late = Duration::from_micros((micros - offset.micros).unsigned_abs());
        // Nothing else shows how long the first messages of a clock were in transit.
        let opening = offset.opening.filter(|opening| opening.is_followed_by(sent_at));
        opening.map_or(late, |opening| late.max(opening.took))
    }

    /// Records the opening of a connection that was accepted at `accepted_at`, if nothing is known
    /// yet of the clock that it was measured by.
    ///
    /// The time from its beginning to its acceptance covers three transits at least. It can make
    /// messages look faster than they were, never slower.
    pub fn record_opening(&mut self, clock: ClockId, opening: LinkOpening, accepted_at: Duration) {
        let micros = signed_micros(accepted_at) - signed_micros(opening.began);
        let first = ClockOffset { micros, seen_at: accepted_at, opening: Some(opening) };
        self.offset_or_insert(clock, first);
    }

    /// Returns the offset of a clock, after storing `first` if it has none.
    fn offset_or_insert(&mut self, clock: ClockId, first: ClockOffset) -> &mut ClockOffset {
        if self.offsets.len() >= MAX_CLOCKS && !self.offsets.contains_key(&clock) {
            self.offsets.clear();
        }
        self.offsets.entry(clock).or_insert(first)
    }
}

/// Returns by how many microseconds two clocks can drift apart from one time to another.
fn drift_micros(from: Duration, to: Duration) -> i64 {
    (signed_micros(to) - signed_micros(from)) * DRIFT_PER_MILLION / 1_000_000
}

fn signed_micros(time: Duration) -> i64 {
    i64::try_from(time.as_micros()).unwrap_or(i64::MAX)
}
