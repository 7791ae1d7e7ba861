//! Whether a failed attempt is tried again.
//!
//! In the minutes after a failure every layer of a nested call sees errors. If each of seven layers
//! retries twice, one call becomes 3^7 = 2187 at the bottom and keeps the failed service down.
//! Three limits prevent it:
//!
//! - A budget per service: retries are at most a tenth of recent traffic, plus a small floor.
//! - One layer at a time: a call carries the retries of the layers above it
//!   ([`CallContext::retried_above`]), and a layer that serves a retry of another layer makes none
//!   of its own. A bottom server sees at most 1 + 2 x 7 sends of one call, not 3^7.
//! - What may have run is only repeated if it is declared repeatable.
//!
//! [`CallContext::retried_above`]: crate::deadline::CallContext::retried_above

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use derive_more::Display;
use rand::Rng;
use thiserror::Error;

use crate::backoff::BackoffSettings;

/// Cost of a retry, in the thousandths that the budget counts.
const RETRY_COST: u64 = 1000;

/// Whether an attempt ran on a server.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RunOutcome {
    /// No byte can have reached the server, or its guard reports that it did not pass the request
    /// on.
    #[display("not-run")]
    NotRun,
    /// A server got it and reported that it did not run it.
    #[display("turned-away")]
    RejectedByServer,
    /// The server ran it and its answer is a failure.
    #[display("ran")]
    Ran,
    /// Whether it ran cannot be known.
    #[display("unknown")]
    Unknown,
}

/// Settings of retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetrySettings {
    /// Retries a request may have at one layer. Default 2: with a fifth of the servers down, three
    /// independent placements fail in fewer than 1 % of cases.
    pub max_retries: u8,
    /// Thousandths of a retry that each first attempt pays in. Default 100, a tenth of traffic: it
    /// covers the daily failures and adds no more than a tenth to a service in trouble.
    pub deposit: u64,
    /// Thousandths of a retry paid in per second whatever the traffic. Default 1000, so that a
    /// service with a call a minute can still retry.
    pub floor: u64,
    /// Most thousandths in the budget. Default 20 000: the burst when one server of five goes with
    /// its 12 slots in use.
    pub cap: u64,
    /// Whether the cap and the floor are those of the whole fleet, of which each daemon has its
    /// part. Default no. Without it, a hundred daemons that lose a server at one moment send a
    /// hundred times the retries that one may.
    pub is_shared: bool,
    /// Whether a budget starts full. Default yes. One that is shared must not after a restart: the
    /// process before may just have spent its part.
    pub starts_full: bool,
    /// Attempts that no server accepted, and that are made again elsewhere without drawing on the
    /// budget. Default 0. Such an attempt costs the fleet a message and a server nothing.
    pub free_moves: u8,
    /// Whether a request that may repeat is sent again after a server has failed it, while its goal
    /// can be met. Default yes.
    pub retries_server_failures: bool,
    /// Delay before a retry.
    pub backoff: BackoffSettings,
}

/// Divisor of the budget for retries of requests that a server has failed. A server that fails a
/// request has run it, and the calls that it made for it are made again. At a service that mostly
/// other services call, such repeated calls are many beside its own requests.
const FAILURE_RETRY_DIVISOR: u64 = 4;

impl RetrySettings {
    /// Returns the settings of the budget for retries after failures of servers, a part of the
    /// whole.
    #[must_use]
    pub fn after_failures(&self) -> Self {
        Self {
            deposit: self.deposit / FAILURE_RETRY_DIVISOR,
            cap: self.cap / FAILURE_RETRY_DIVISOR,
            floor: 0,
            ..*self
        }
    }
}

impl Default for RetrySettings {
    fn default() -> Self {
        let backoff =
            BackoffSettings { cap: Duration::from_millis(250), ..BackoffSettings::default() };
        Self {
            max_retries: 2,
            deposit: 100,
            floor: 1000,
            cap: 20_000,
            is_shared: false,
            starts_full: true,
            free_moves: 0,
            retries_server_failures: true,
            backoff,
        }
    }
}

/// The retries a service may still make. Shared by all threads of a daemon.
///
/// In any span of time the retries granted are at most
/// `cap + deposit x first attempts + floor x seconds`, in thousandths.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    tokens: AtomicU64,
    /// Milliseconds up to which the floor is paid in.
    paid_until: AtomicU64,
    /// Daemons that share the cap and the floor.
    fleet: AtomicU64,
}

impl RetryBudget {
    /// Creates a budget at `now`, full or empty.
    pub fn new(settings: RetrySettings, now: Duration) -> Self {
        let tokens = if settings.starts_full { settings.cap } else { 0 };
        Self {
            settings,
            tokens: AtomicU64::new(tokens),
            paid_until: AtomicU64::new(whole_millis(now)),
            fleet: AtomicU64::new(1),
        }
    }

    /// Sets the number of daemons among which the cap and the floor are divided, where they are
    /// shared.
    pub fn set_fleet(&self, daemons: usize) {
        if self.settings.is_shared {
            let daemons = u64::try_from(daemons).unwrap_or(u64::MAX).max(1);
            self.fleet.store(daemons, Ordering::Relaxed);
            // A budget that was filled before the other daemons were known is more than its part.
            let part = self.settings.cap / daemons;
            self.tokens.fetch_min(part.max(RETRY_COST), Ordering::Relaxed);
        }
    }

    /// Returns the settings.
    pub fn settings(&self) -> &RetrySettings {
        &self.settings
    }

    /// Pays in for a first attempt. Retries pay nothing in, or they would pay for further retries.
    pub fn record_attempt(&self) {
        self.pay_in(self.settings.deposit);
    }

    /// Takes one retry out; returns `false` if none is left.
    pub fn take(&self, now: Duration) -> bool {
        self.pay_floor(now);
        self.tokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |tokens| {
                tokens.checked_sub(RETRY_COST)
            })
            .is_ok()
    }

    /// Returns the number of whole retries left.
    pub fn remaining_retries(&self) -> u64 {
        self.tokens.load(Ordering::Relaxed) / RETRY_COST
    }

    /// Pays in thousandths, up to this daemon's part of the cap.
    fn pay_in(&self, amount: u64) {
        // Never below one retry: a smaller part could not be spent at all, and of a hundred daemons
        // with 45 retries between them none would make any, however many requests paid in.
        let part = self.settings.cap / self.fleet.load(Ordering::Relaxed);
        let cap = part.max(RETRY_COST.min(self.settings.cap));
        let paid = |tokens: u64| Some(tokens.saturating_add(amount).min(cap));
        // The closure always returns a value, so the update cannot fail.
        let _ = self.tokens.fetch_update(Ordering::Relaxed, Ordering::Relaxed, paid);
    }

    /// Pays in the floor for the time since it was last paid in.
    fn pay_floor(&self, now: Duration) {
        let now = whole_millis(now);
        // `fetch_max` assigns each millisecond to one thread only, so none is paid in twice.
        let before = self.paid_until.fetch_max(now, Ordering::Relaxed);
        // The amount is a difference of totals: rounding each short step down would lose the whole
        // floor.
        let floor = self.settings.floor;
        let share = 1000 * self.fleet.load(Ordering::Relaxed);
        let total = |millis: u64| millis.saturating_mul(floor) / share;
        self.pay_in(total(now).saturating_sub(total(before)));
    }
}

/// A failed attempt, as the layer that sent it sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Whether it ran.
    pub outcome: RunOutcome,
    /// Whether the request may run twice without harm.
    pub is_repeatable: bool,
    /// Retries of this layer so far.
    pub own_retries: u8,
    /// Attempts so far that were moved elsewhere without drawing on the budget.
    pub own_free_moves: u8,
    /// Retries of layers above, as the request carried them.
    pub retried_above: u8,
    /// Time left for the request.
    pub remaining: Duration,
    /// Time an attempt usually takes, zero if not known.
    pub expected: Duration,
}

/// Why an attempt is not tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum GiveUpReason {
    /// It may have run and may not run twice.
    #[error("the request may have run and is not repeatable")]
    MayHaveRun,
    /// A layer above is already retrying.
    #[error("a layer above is retrying this request")]
    RetriedAbove,
    /// This layer has made all its retries.
    #[error("all retries of this layer are made")]
    RetryLimitReached,
    /// Another attempt would not finish in time.
    #[error("too little time is left for another attempt")]
    DeadlineTooNear,
    /// The service's budget is empty.
    #[error("the retry budget of the service is empty")]
    RetryBudgetEmpty,
    /// Every endpoint would answer the same.
    #[error("the refusal holds at every endpoint")]
    Final,
    /// The body was passed on as it came and cannot be sent again.
    #[error("the body has been sent and is not kept")]
    BodySent,
    /// As many servers as the route allows have had the request.
    #[error("the route allows no more servers")]
    ServerLimitReached,
    /// Refusals for want of a free slot have taken too long to ask another endpoint.
    #[error("refusals for want of a free slot have taken too long")]
    RefusalsTooSlow,
    /// No other endpoint may take it now.
    #[error("no other endpoint takes it")]
    NoEndpoint,
}

/// Decision on a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryVerdict {
    /// Try again after this time, at another endpoint.
    Retry(Duration),
    /// Try again at once at another endpoint: no server accepted the attempt.
    FreeMove,
    /// Answer with the failure.
    GiveUp(GiveUpReason),
}

/// Decides whether a failed attempt is tried again. Takes from the budget only when the verdict is
/// a retry.
pub fn may_retry(
    attempt: &FailedAttempt,
    budget: &RetryBudget,
    now: Duration,
    rng: &mut (impl Rng + ?Sized),
) -> RetryVerdict {
    let settings = budget.settings();
    let delay = settings.backoff.delay(u32::from(attempt.own_retries), rng);
    let may_have_run = matches!(attempt.outcome, RunOutcome::Ran | RunOutcome::Unknown);
    let is_unsent = attempt.outcome == RunOutcome::NotRun;
    let needed = delay.saturating_add(attempt.expected);
    match attempt {
        _ if may_have_run && !attempt.is_repeatable => {
            RetryVerdict::GiveUp(GiveUpReason::MayHaveRun)
        }
        _ if attempt.retried_above > 0 => RetryVerdict::GiveUp(GiveUpReason::RetriedAbove),
        _ if is_unsent
            && attempt.own_free_moves < settings.free_moves
            && !attempt.remaining.is_zero() =>
        {
            RetryVerdict::FreeMove
        }
        _ if attempt.own_retries >= settings.max_retries => {
            RetryVerdict::GiveUp(GiveUpReason::RetryLimitReached)
        }
        _ if needed >= attempt.remaining => RetryVerdict::GiveUp(GiveUpReason::DeadlineTooNear),
        _ if !budget.take(now) => RetryVerdict::GiveUp(GiveUpReason::RetryBudgetEmpty),
        _ => RetryVerdict::Retry(delay),
    }
}

fn whole_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
