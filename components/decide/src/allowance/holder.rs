//! The tokens of a workspace at a daemon that does not own its bucket.

use std::{collections::VecDeque, time::Duration};

use super::{
    AllowanceRate, FallbackBucket, LONGEST_RETRY, TOKEN_LIFETIME, TokenGrant, token_interval,
};

/// Demand for which tokens are taken ahead of need.
const AHEAD_TIME: Duration = Duration::from_millis(300);
/// Demand below which the remaining tokens are too few: the time of some round trips.
const LOW_TIME: Duration = Duration::from_millis(60);
/// Demand from which a workspace counts as busy at a daemon: three requests in [`AHEAD_TIME`].
const BUSY_PER_S: f64 = 10.0;
/// Time over which demand is averaged.
const DEMAND_TIME: Duration = Duration::from_millis(500);
/// Longest time for which requests are refused without asking the owner again. The owner keeps the
/// tokens of that time.
const LONGEST_PAUSE: Duration = Duration::from_millis(100);
/// Time for which a holder asks for no tokens ahead of need after it got fewer than it asked for.
const AHEAD_PAUSE: Duration = Duration::from_millis(50);
/// Time in which a holder starts only one fallback bucket, so that an owner that answers now and
/// then grants no further start.
const FALLBACK_REUSE: Duration = Duration::from_secs(10);

/// Time of an owner's silence in which the holder's own tokens count as spent when the owner answers
/// again. Afterwards the owner counts the holder as cut off and refills less.
const UNNOTICED_SILENCE: Duration = Duration::from_millis(1_500);

/// What a holder asks of the owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenWant {
    /// Tokens for requests that wait.
    pub needed: u32,
    /// Tokens ahead of need.
    pub ahead: u32,
    /// Tokens for requests that were sent without one, such as repeats, and requests during a short
    /// silence of the owner.
    pub spent: u32,
}

/// The limit of a workspace, as a holder knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HolderTerms {
    /// Limit of the workspace.
    pub rate: AllowanceRate,
    /// Number of daemons that share it while the owner does not answer.
    pub known: u32,
}

/// What happens with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeStep {
    /// It has a token.
    Granted,
    /// There is none before the time given.
    Refused {
        /// Time after which it may come back.
        retry_after: Duration,
    },
    /// The owner has to be asked.
    Ask,
}

/// Tokens of one workspace at one daemon.
#[derive(Clone, Debug)]
pub struct TokenHolder {
    terms: HolderTerms,
    /// Tokens with the time at which they expire.
    tokens: VecDeque<(Duration, u32)>,
    spent: u32,
    demand_per_s: f64,
    demand_at: Duration,
    /// Requests are refused up to here, and may come back after it and the time given.
    pause: Option<(Duration, Duration)>,
    /// Tokens ahead of need are not asked for before, because the owner had none left.
    ahead_at: Duration,
    is_silent: bool,
    /// When the owner became silent.
    silent_at: Duration,
    fallback: Option<(Duration, FallbackBucket)>,
}

impl TokenHolder {
    /// Creates a holder without tokens.
    pub fn new(terms: HolderTerms, now: Duration) -> Self {
        Self {
            terms,
            tokens: VecDeque::new(),
            spent: 0,
            demand_per_s: 0.0,
            demand_at: now,
            pause: None,
            ahead_at: now,
            is_silent: false,
            silent_at: now,
            fallback: None,
        }
    }

    /// Changes the limit. The tokens held are capped at what the new limit allows to hold.
    pub fn set_terms(&mut self, terms: HolderTerms, now: Duration) {
        if self.terms == terms {
            return;
        }
        if terms.rate != self.terms.rate {
            self.pause = None;
        }
        self.terms = terms;
        let mut room = self.most_held();
        for (_, count) in &mut self.tokens {
            *count = room.min(*count);
            room -= *count;
        }
        if let Some((_, fallback)) = &mut self.fallback {
            fallback.set_terms(terms.rate, terms.known, now);
        }
    }

    /// Takes a token for a request. `phase` from 0 to 1 is a random number for the start of a
    /// fallback bucket.
    pub fn take(&mut self, phase: f64, now: Duration) -> TakeStep {
        self.record_demand(now);
        if self.take_held(now) {
            return TakeStep::Granted;
        }
        match self.pause {
            _ if self.is_silent => self.take_fallback(phase, now),
            Some((until, _)) if now < until => TakeStep::Refused { retry_after: self.refuse(now) },
            _ => TakeStep::Ask,
        }
    }

    /// Refuses a request and returns the time after which it may come back. Each request that comes
    /// back needs a token of its own, so that the times of requests refused in a row differ.
    pub fn refuse(&mut self, now: Duration) -> Duration {
        let (until, retry_at) = self.pause.unwrap_or((now, now));
        let interval = token_interval(self.terms.rate.rate_per_s);
        self.pause = Some((until, (retry_at + interval).min(now + LONGEST_RETRY)));
        retry_at.saturating_sub(now)
    }

    /// Takes a token that is held here; returns whether there was one.
    pub fn take_held(&mut self, now: Duration) -> bool {
        self.expire(now);
        let Some((_, count)) = self.tokens.front_mut() else { return false };
        *count -= 1;
        if *count == 0 {
            self.tokens.pop_front();
        }
        true
    }

    /// Takes a token of this daemon's own part of the rate.
    pub fn take_fallback(&mut self, phase: f64, now: Duration) -> TakeStep {
        let HolderTerms { rate, known } = self.terms;
        self.set_silent(now);
        self.pause = None;
        let is_unnoticed = now.saturating_sub(self.silent_at) < UNNOTICED_SILENCE;
        let (_, fallback) = self
            .fallback
            .get_or_insert_with(|| (now, FallbackBucket::new(rate, known, phase, now)));
        match fallback.take(now) {
            Ok(()) => {
                self.spent = self.spent.saturating_add(u32::from(is_unnoticed));
                TakeStep::Granted
            }
            Err(retry_after) => TakeStep::Refused { retry_after },
        }
    }

    /// Returns what to ask of the owner for `waiting` requests.
    pub fn want(&mut self, waiting: u32, now: Duration) -> TokenWant {
        let demand = self.demand(now);
        let ahead = match demand {
            demand if demand < BUSY_PER_S || now < self.ahead_at => 0,
            demand => {
                let wanted = (demand * AHEAD_TIME.as_secs_f64()) as u32;
                wanted.min(self.most_held()).saturating_sub(self.held(now))
            }
        };
        TokenWant { needed: waiting, ahead, spent: std::mem::take(&mut self.spent) }
    }

    /// Returns whether the owner should be asked although no request waits: tokens run low, or
    /// requests were sent without one.
    pub fn should_ask(&mut self, now: Duration) -> bool {
        let demand = self.demand(now);
        let is_low = f64::from(self.held(now)) <= demand * LOW_TIME.as_secs_f64();
        let is_paused = now < self.ahead_at || self.pause.is_some_and(|(until, _)| now < until);
        self.spent > 0 || (demand >= BUSY_PER_S && !is_paused && is_low)
    }

    /// Adds the tokens that the owner granted to `want`.
    pub fn receive(&mut self, want: TokenWant, grant: TokenGrant, now: Duration) {
        if std::mem::take(&mut self.is_silent)
            && let Some((_, fallback)) = &mut self.fallback
        {
            fallback.suspend();
        }
        self.fallback.take_if(|(began, _)| now.saturating_sub(*began) >= FALLBACK_REUSE);
        if grant.tokens > 0 {
            self.tokens.push_back((now + TOKEN_LIFETIME, grant.tokens));
        }
        if grant.tokens < want.needed + want.ahead {
            self.ahead_at = now + AHEAD_PAUSE;
        }
        self.pause = match grant.tokens < want.needed {
            false => None,
            true => {
                let pause = grant.retry_after.min(LONGEST_PAUSE);
                Some((now + pause, now + grant.retry_after))
            }
        };
    }

    /// Records that the owner did not answer in time, or cannot be asked. `want` is asked again
    /// later as far as it was spent.
    pub fn record_silence(&mut self, want: TokenWant) {
        self.spent = self.spent.saturating_add(want.spent).min(self.most_held());
    }

    /// Returns a token that was not used.
    pub fn give_back(&mut self, now: Duration) {
        let has_room = self.held(now) < self.most_held();
        match &mut self.fallback {
            Some((_, fallback)) if self.is_silent => fallback.give_back(),
            _ if has_room => self.tokens.push_back((now + TOKEN_LIFETIME, 1)),
            _ => (),
        }
    }

    /// Counts a request that was sent without a token.
    pub fn charge(&mut self, now: Duration) {
        match &mut self.fallback {
            Some((_, fallback)) if self.is_silent => fallback.charge(now),
            _ => {
                if !self.take_held(now) {
                    self.spent = self.spent.saturating_add(1);
                }
            }
        }
    }

    /// Returns whether the owner has not answered since it was last asked.
    pub fn is_silent(&self) -> bool {
        self.is_silent
    }

    /// Records that requests are decided by this daemon's own part until the owner answers.
    pub fn set_silent(&mut self, now: Duration) {
        if !std::mem::replace(&mut self.is_silent, true) {
            self.silent_at = now;
        }
    }

    /// Returns the number of tokens held.
    pub fn held(&self, now: Duration) -> u32 {
        self.tokens.iter().filter(|(expiry, _)| *expiry > now).map(|(_, count)| count).sum()
    }

    /// Returns the most tokens that a holder may have: those for [`AHEAD_TIME`] of the whole rate.
    fn most_held(&self) -> u32 {
        (self.terms.rate.rate_per_s * AHEAD_TIME.as_secs_f64()).ceil().max(1.0) as u32
    }

    fn expire(&mut self, now: Duration) {
        while self.tokens.front().is_some_and(|(expiry, count)| *expiry <= now || *count == 0) {
            self.tokens.pop_front();
        }
    }

    fn record_demand(&mut self, now: Duration) {
        self.demand_per_s = self.demand(now) + 1.0 / DEMAND_TIME.as_secs_f64();
        self.demand_at = self.demand_at.max(now);
    }

    fn demand(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.demand_at).as_secs_f64();
        self.demand_per_s * (-elapsed / DEMAND_TIME.as_secs_f64()).exp()
    }
}
