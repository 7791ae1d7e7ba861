//! The bucket of a workspace at the daemon that owns it.

use std::{sync::Arc, time::Duration};

use super::{AllowanceRate, LONGEST_RETRY, TokenWant, regular::RegularHolders, token_interval};

/// Refill time that the bucket holds beyond the burst. Holders that were refused ask again only
/// after a pause, and the tokens of that pause must not be lost.
const PAUSE_CREDIT: Duration = Duration::from_millis(100);
/// Part of the tokens beyond the needed ones that one holder gets ahead of need, so that one holder
/// does not empty the bucket for the others.
const AHEAD_PART: f64 = 0.5;

/// What an owner grants to one holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenGrant {
    /// Tokens granted.
    pub tokens: u32,
    /// Time until a request that found no token may come back; zero if all needed tokens were
    /// granted.
    pub retry_after: Duration,
}

/// The daemons that share a limit, as its owner knows them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnerTerms {
    /// Daemons that are alive; the others continue on their own parts.
    pub alive: u32,
    /// All daemons that may serve requests.
    pub known: u32,
}

/// Token bucket of one workspace at its owner.
#[derive(Clone, Debug)]
pub struct OwnerBucket {
    rate: AllowanceRate,
    terms: OwnerTerms,
    holders: RegularHolders,
    level: f64,
    filled_at: Duration,
    /// Time up to which tokens are promised to callers that were refused.
    promised_until: Duration,
}

impl OwnerBucket {
    /// Creates a bucket without the burst, so that a change of owner grants no burst twice. It has
    /// one token and those of [`PAUSE_CREDIT`], so that a workspace of few requests loses none.
    pub fn new(rate: AllowanceRate, terms: OwnerTerms, now: Duration) -> Self {
        let holders = RegularHolders::default();
        let mut bucket =
            Self { rate, terms, holders, level: 1.0, filled_at: now, promised_until: now };
        bucket.level += bucket.refill_rate() * PAUSE_CREDIT.as_secs_f64();
        bucket
    }

    /// Changes the limit or the daemons that share it; a lower capacity takes effect at once.
    pub fn set_terms(&mut self, rate: AllowanceRate, terms: OwnerTerms, now: Duration) {
        if (self.rate, self.terms) != (rate, terms) {
            self.refill(now);
            (self.rate, self.terms) = (rate, terms);
            self.level = self.level.min(self.capacity());
            self.promised_until = self.promised_until.min(now);
        }
    }

    /// Returns the time since the last grant.
    pub fn idle_time(&self, now: Duration) -> Duration {
        now.saturating_sub(self.filled_at)
    }

    /// Grants tokens to a holder: the needed ones if there are enough, and some ahead of need.
    pub fn grant(&mut self, holder: &Arc<str>, want: TokenWant, now: Duration) -> TokenGrant {
        self.refill(now);
        self.holders.record(holder, now);
        // Repeats have run already. The debt is bounded, so that it cannot block a workspace for
        // longer than a window.
        self.level = (self.level - f64::from(want.spent)).max(-self.capacity());
        let needed = f64::from(want.needed).min(self.level.floor()).max(0.0);
        self.level -= needed;
        let ahead = f64::from(want.ahead).min((self.level * AHEAD_PART).floor()).max(0.0);
        self.level -= ahead;
        let missing = want.needed - needed as u32;
        let retry_after = match missing {
            0 => Duration::ZERO,
            missing => self.promise(missing, now),
        };
        TokenGrant { tokens: (needed + ahead) as u32, retry_after }
    }

    /// Returns when the first of `missing` requests may come back, and promises a token to each.
    fn promise(&mut self, missing: u32, now: Duration) -> Duration {
        let interval = token_interval(self.refill_rate());
        let first = now + interval.mul_f64((1.0 - self.level).max(0.0));
        let at = self.promised_until.max(first).min(now + LONGEST_RETRY);
        self.promised_until = (at + interval * missing).min(now + LONGEST_RETRY);
        at - now
    }

    fn refill_rate(&self) -> f64 {
        self.rate.rate_per_s * self.part()
    }

    /// Returns the part of the daemons that is alive.
    fn part(&self) -> f64 {
        f64::from(self.terms.alive) / f64::from(self.terms.known.max(1))
    }

    /// Returns the most tokens in the bucket: the burst. The credit for pauses comes on top only where
    /// the burst is shorter, since tokens that holders still have add to a window as well.
    fn capacity(&self) -> f64 {
        let credit = self.refill_rate() * PAUSE_CREDIT.as_secs_f64();
        (self.rate.burst * self.part()).max(1.0 + credit)
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        let known = f64::from(self.terms.known.max(1));
        let silent = f64::from(self.holders.silent(now)) / known;
        let refill_rate = self.rate.rate_per_s * (self.part() - silent).max(1.0 / known);
        self.level = (self.level + elapsed * refill_rate).min(self.capacity());
    }
}
