//! The limit of requests a second that a server states, kept by its guard.
//!
//! A server in need states how many requests a second it takes from all daemons together. All of
//! them pass its guard, so the guard alone keeps the limit; shares of the daemons would have to be
//! agreed on, and would be wrong whenever callers move from one daemon to another.

use std::{cmp::Reverse, time::Duration};

use crate::admitting::{AdmissionGuard, RefusalReason, Released, Ticket};

/// What a server states about the requests a second that it takes from all callers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StatedRate {
    /// The server names no limit.
    Unlimited,
    /// Requests a second, finite and not negative.
    PerSecond(f64),
}

/// Time whose requests may come in one burst after a pause. Callers come unevenly, and without a
/// burst a part of what the server takes would be refused.
const BURST_TIME: Duration = Duration::from_secs(1);
/// Longest time between two requests, also at a limit of zero: only an answer can tell that the
/// limit has ended.
const MAX_INTERVAL: Duration = Duration::from_secs(4);
/// Requests that a server may get before its first answer, if it may have stated a limit before its
/// guard knew it. They are few enough to keep any limit.
const UNCONFIRMED_BURST: f64 = 4.0;
/// Part of a request that rounding may lose in a bucket.
const ROUNDING: f64 = 1e-6;

/// A token bucket: a request takes one token, and tokens come at the rate.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    per_second: f64,
    capacity: f64,
    tokens: f64,
    updated_at: Duration,
}

/// Limits the requests that are sent to a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct RateLimit {
    stated: StatedRate,
    /// When the statement was last heard.
    stated_at: Duration,
    /// `None` while nothing limits the requests.
    bucket: Option<TokenBucket>,
}

impl StatedRate {
    /// Returns the requests that the rate allows in a thousand seconds, `None` without a limit.
    pub fn per_thousand_seconds(self) -> Option<u64> {
        match self {
            Self::Unlimited => None,
            // The cast saturates for rates beyond any server's.
            Self::PerSecond(rate) => Some((rate * 1000.0).round() as u64),
        }
    }

    /// Returns whether the rate allows less than another one.
    fn is_below(self, other: Self) -> bool {
        match (self, other) {
            (Self::PerSecond(rate), Self::PerSecond(other)) => rate < other,
            (Self::PerSecond(_), Self::Unlimited) => true,
            (Self::Unlimited, _) => false,
        }
    }
}

impl TokenBucket {
    /// Creates a full bucket for a rate.
    fn new(per_second: f64, now: Duration) -> Self {
        let per_second = per_second.max(MAX_INTERVAL.as_secs_f64().recip());
        let capacity = (per_second * BURST_TIME.as_secs_f64()).max(1.0);
        Self { per_second, capacity, tokens: capacity, updated_at: now }
    }

    /// Returns the tokens in the bucket at `now`.
    fn tokens(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.updated_at).as_secs_f64();
        (self.tokens + passed * self.per_second).min(self.capacity)
    }

    /// Adds to the tokens in the bucket at `now`; a negative number takes some.
    fn add(&mut self, tokens: f64, now: Duration) {
        self.tokens = (self.tokens(now) + tokens).min(self.capacity);
        self.updated_at = self.updated_at.max(now);
    }
}

impl RateLimit {
    /// Creates the limit of a server that states none.
    pub(super) fn unlimited() -> Self {
        Self { stated: StatedRate::Unlimited, stated_at: Duration::ZERO, bucket: None }
    }

    /// Creates the limit of a server that may have stated one before its guard knew it: a few
    /// requests, until an answer tells.
    pub(super) fn unconfirmed(now: Duration) -> Self {
        let bucket = TokenBucket { capacity: UNCONFIRMED_BURST, ..TokenBucket::new(0.0, now) };
        let bucket = TokenBucket { tokens: UNCONFIRMED_BURST, ..bucket };
        Self { bucket: Some(bucket), ..Self::unlimited() }
    }

    /// Returns what the server stated last.
    pub(super) fn stated(&self) -> StatedRate {
        self.stated
    }

    /// Records what an answer states about a request that was sent at `sent_at`, and returns
    /// whether the statement has changed.
    ///
    /// Answers come out of order. One to a request that was sent before the present statement was
    /// heard can be older than it, so it may only lower the limit.
    pub(super) fn record_statement(
        &mut self,
        rate: StatedRate,
        sent_at: Duration,
        now: Duration,
    ) -> bool {
        let before = self.stated;
        if sent_at < self.stated_at && before.is_below(rate) {
            return false;
        }
        self.stated = rate;
        self.stated_at = now;
        self.bucket = match rate {
            StatedRate::Unlimited => None,
            StatedRate::PerSecond(rate) => {
                let full = TokenBucket::new(rate, now);
                let tokens = self.bucket.map_or(full.tokens, |bucket| bucket.tokens(now));
                Some(TokenBucket { tokens: tokens.min(full.capacity), ..full })
            }
        };
        before != rate
    }

    /// Returns whether anything limits the requests.
    pub(super) fn is_limited(&self) -> bool {
        self.bucket.is_some()
    }

    /// Returns how many requests may be sent at `now`.
    pub(super) fn room(&self, now: Duration) -> u32 {
        match &self.bucket {
            None => u32::MAX,
            // The cast saturates; more tokens than that are no limit.
            Some(bucket) => (bucket.tokens(now) + ROUNDING).floor().max(0.0) as u32,
        }
    }

    /// Returns the time until `requests` may be sent.
    pub(super) fn wait(&self, requests: u32, now: Duration) -> Duration {
        match &self.bucket {
            None => Duration::ZERO,
            Some(bucket) => {
                let missing = (f64::from(requests) - bucket.tokens(now)).max(0.0);
                let wait = Duration::try_from_secs_f64(missing / bucket.per_second);
                wait.unwrap_or(Duration::MAX)
            }
        }
    }

    /// Takes the token of a request that is sent at `now`.
    pub(super) fn take(&mut self, now: Duration) {
        if let Some(bucket) = &mut self.bucket {
            bucket.add(-1.0, now);
        }
    }

    /// Returns the token of a request that was not sent after all.
    pub(super) fn give_back(&mut self, now: Duration) {
        if let Some(bucket) = &mut self.bucket {
            bucket.add(1.0, now);
        }
    }
}

impl AdmissionGuard {
    /// Lets only a few requests through until an answer tells whether the server limits them. For
    /// a server that was running before this guard and may have stated a limit to another one.
    pub fn expect_limit(&mut self, now: Duration) {
        self.rate_limit = RateLimit::unconfirmed(now);
    }

    /// Ends the caution of [`AdmissionGuard::expect_limit`]: the server has just started and cannot
    /// have stated a limit before, or states none that can be read. A limit that was heard holds.
    pub fn expect_no_limit(&mut self) {
        if self.rate_limit.stated() == StatedRate::Unlimited {
            self.rate_limit = RateLimit::unlimited();
        }
    }

    /// Records what the answer to a request states about the requests that the server takes.
    /// Returns whether that has changed, and the requests that leave the queue for it.
    ///
    /// Whatever the lower limit leaves no room for is refused at once, while it can go elsewhere,
    /// and not when its turn comes.
    pub fn record_stated_rate(
        &mut self,
        rate: StatedRate,
        sent_at: Duration,
        now: Duration,
    ) -> (bool, Released) {
        match self.rate_limit.record_statement(rate, sent_at, now) {
            true => (true, self.refuse_beyond_rate(now)),
            false => (false, Released::default()),
        }
    }

    /// Removes and returns the waiting requests for which the limit leaves no room, not run. What has
    /// the most time left can best go elsewhere; calls of started requests stay longest.
    fn refuse_beyond_rate(&mut self, now: Duration) -> Released {
        let excess = self.unsent_count().saturating_sub(self.rate_limit.room(now));
        let mut waiting: Vec<Ticket> = self.waiting().collect();
        self.sort_most_movable(&mut waiting);
        waiting.truncate(excess as usize);
        waiting.iter().for_each(|ticket| self.remove(*ticket));
        let refused = waiting.into_iter().map(|ticket| (ticket, RefusalReason::RateLimited));
        Released { start: Vec::new(), refused: refused.collect() }
    }

    /// Sorts waiting requests by how well they can go elsewhere, the best first.
    pub(super) fn sort_most_movable(&self, waiting: &mut [Ticket]) {
        waiting.sort_by_key(|ticket| {
            self.calls.get(*ticket).map(|call| (call.is_nested, Reverse(call.latest_start)))
        });
    }

    /// Takes a request from the limit that is about to be sent, for the first time or again, and
    /// returns whether it may be sent.
    pub fn record_sent(&mut self, ticket: Ticket, now: Duration) -> bool {
        let unsent = self.unsent_count();
        let Some(call) = self.calls.get_mut(ticket) else { return false };
        // A repeat must not take the room of those that have been admitted.
        let needed = if call.is_sent { unsent.saturating_add(1) } else { 1 };
        if self.rate_limit.room(now) < needed {
            return false;
        }
        call.is_sent = true;
        self.rate_limit.take(now);
        true
    }

    /// Records that nothing of a request was sent after all.
    pub fn record_unsent(&mut self, ticket: Ticket, now: Duration) {
        if let Some(call) = self.calls.get_mut(ticket).filter(|call| call.is_sent) {
            call.is_sent = false;
            self.rate_limit.give_back(now);
        }
    }

    /// Returns whether the server's limit leaves no room for a further request, beside the admitted
    /// ones that are not sent yet and `pending` others.
    pub(super) fn has_reached_rate(&self, pending: u32, now: Duration) -> bool {
        let taken = || self.unsent_count().saturating_add(pending);
        self.rate_limit.is_limited() && self.rate_limit.room(now) <= taken()
    }

    /// Returns the time until the server's limit leaves room for a further request.
    pub(super) fn rate_wait(&self, now: Duration) -> Duration {
        match self.rate_limit.is_limited() {
            true => self.rate_limit.wait(self.unsent_count().saturating_add(1), now),
            false => Duration::ZERO,
        }
    }

    /// Returns the number of admitted requests that are not sent yet.
    fn unsent_count(&self) -> u32 {
        // The slots and the queue's limit bound it.
        self.calls.values().filter(|call| !call.is_sent).count() as u32
    }
}
