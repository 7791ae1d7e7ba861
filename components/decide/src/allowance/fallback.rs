//! The bucket of a daemon whose owner does not answer.

use std::time::Duration;

use super::{AllowanceRate, token_interval};

/// Tokens with which the daemons of a fleet start beyond their part, in sum. Half of the slack of
/// the bound on a window; the other half covers the random start.
const START_TOKENS: f64 = 10.0;

/// A daemon's own part of an allowance.
#[derive(Clone, Debug)]
pub struct FallbackBucket {
    rate_per_s: f64,
    capacity: f64,
    level: f64,
    filled_at: Duration,
    /// Most tokens that it starts with.
    start: f64,
    is_suspended: bool,
}

impl FallbackBucket {
    /// Creates the bucket of one of `known` daemons, with a random start `phase` from 0 to 1.
    ///
    /// With a whole token each at the start, 80 daemons would let a workspace of one request a
    /// second send 80 at once. With a random part of a token they let through the rate.
    pub fn new(rate: AllowanceRate, known: u32, phase: f64, now: Duration) -> Self {
        let part = 1.0 / f64::from(known.max(1));
        let capacity = (rate.burst * part).max(1.0);
        let start = (phase + START_TOKENS * part).min(capacity);
        Self {
            rate_per_s: rate.rate_per_s * part,
            capacity,
            level: start,
            filled_at: now,
            start,
            is_suspended: false,
        }
    }

    /// Stops the refill until the next token is taken, because the owner grants tokens again. What
    /// was saved up beyond the start is lost, since the owner's bucket holds it as well.
    pub fn suspend(&mut self) {
        self.level = self.level.min(self.start);
        self.is_suspended = true;
    }

    /// Changes the limit or the number of daemons.
    pub fn set_terms(&mut self, rate: AllowanceRate, known: u32, now: Duration) {
        if !self.is_suspended {
            self.refill(now);
        }
        let part = 1.0 / f64::from(known.max(1));
        (self.rate_per_s, self.capacity) = (rate.rate_per_s * part, (rate.burst * part).max(1.0));
        self.level = self.level.min(self.capacity);
    }

    /// Takes a token.
    ///
    /// # Errors
    ///
    /// Returns the time until there is one.
    pub fn take(&mut self, now: Duration) -> Result<(), Duration> {
        self.refill(now);
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        Err(token_interval(self.rate_per_s).mul_f64((1.0 - self.level).min(1.0)))
    }

    /// Returns a token that was not used.
    pub fn give_back(&mut self) {
        self.level = (self.level + 1.0).min(self.capacity);
    }

    /// Takes a token for a request that was sent already; the level may become negative.
    pub fn charge(&mut self, now: Duration) {
        self.refill(now);
        self.level = (self.level - 1.0).max(-self.capacity);
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = match std::mem::take(&mut self.is_suspended) {
            true => Duration::ZERO,
            false => now.saturating_sub(self.filled_at),
        };
        self.filled_at = self.filled_at.max(now);
        self.level = (self.level + elapsed.as_secs_f64() * self.rate_per_s).min(self.capacity);
    }
}
