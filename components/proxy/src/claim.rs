//! The border to whatever remembers which keyed requests ran.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use async_trait::async_trait;
use derive_more::Display;

/// Longest wait for the note that a claimed request was not run. Beyond it the refusal goes out all
/// the same: it is true, and a resend is then told "unknown", which is safe.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(500);

/// Names a keyed request: no two requests that may both run have the same.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash)]
#[display("{service} {key}")]
pub struct ClaimKey {
    /// Service that is to run it.
    pub service: Arc<str>,
    /// The caller's `Idempotency-Key`.
    pub key: String,
}

/// Identifies one try to run a request, drawn at random.
pub type AttemptId = u64;

/// What became of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// This attempt, and no other, may run the request.
    Granted,
    /// An earlier attempt ran it and was answered with a status.
    AlreadyRan {
        /// The status.
        status: u16,
    },
    /// An earlier attempt claimed it, and may be running it or have run it.
    AlreadyClaimed,
    /// It cannot be found out. The request must not run.
    Unavailable,
}

/// How a claimed attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The server answered with a status.
    Ran {
        /// The status.
        status: u16,
    },
    /// The server was sent nothing: another attempt may claim the request.
    NotRun,
    /// The server may have run it.
    Unknown,
}

/// Grants each keyed request to at most one attempt.
#[async_trait]
pub trait ClaimGate: Send + Sync {
    /// Claims a request for an attempt, by the deadline.
    async fn claim(&self, key: &ClaimKey, attempt: AttemptId, deadline: Instant) -> ClaimVerdict;

    /// Records how an attempt ended. Also called for an attempt whose claim was given up
    /// before its verdict was known, then with [`ClaimOutcome::NotRun`]: an implementation must
    /// take that for a claim it never saw, and must not let that claim be granted later.
    async fn settle(&self, key: &ClaimKey, attempt: AttemptId, outcome: ClaimOutcome);
}

/// A claim under way, settled when this is dropped, by whatever way the request ended. A claim that
/// stayed open would answer every resend with "unknown" until it expires.
pub(crate) struct PendingClaim {
    gate: Arc<dyn ClaimGate>,
    key: ClaimKey,
    attempt: AttemptId,
    outcome: Option<ClaimOutcome>,
}

impl PendingClaim {
    /// Claims a request.
    ///
    /// # Errors
    ///
    /// Returns the verdict if it is not [`ClaimVerdict::Granted`].
    pub(crate) async fn claim(
        gate: Arc<dyn ClaimGate>,
        key: ClaimKey,
        deadline: Instant,
    ) -> Result<Self, ClaimVerdict> {
        let attempt = rand::random();
        let outcome = Some(ClaimOutcome::NotRun);
        let mut pending = Self { gate, key, attempt, outcome };
        let verdict = pending.gate.claim(&pending.key, attempt, deadline).await;
        match verdict {
            ClaimVerdict::Granted => Ok(pending),
            verdict => {
                // An unavailable platform may have taken the claim; it must not stay.
                if verdict != ClaimVerdict::Unavailable {
                    pending.outcome = None;
                }
                Err(verdict)
            }
        }
    }

    /// Sets what is known of the outcome by now.
    pub(crate) fn set_outcome(&mut self, outcome: ClaimOutcome) {
        self.outcome = Some(outcome);
    }

    /// Waits a short time until it is noted that the request was not run, so that the retry which
    /// follows at another daemon is granted.
    pub(crate) async fn release_unrun(mut self) {
        self.outcome = None;
        let settle = self.gate.settle(&self.key, self.attempt, ClaimOutcome::NotRun);
        if tokio::time::timeout(SETTLE_TIMEOUT, settle).await.is_err() {
            log::info!("guard: a claim could not be given back in time.");
        }
    }
}

impl Drop for PendingClaim {
    fn drop(&mut self) {
        let Some(outcome) = self.outcome.take() else { return };
        let (gate, key, attempt) = (self.gate.clone(), self.key.clone(), self.attempt);
        // Outside a runtime the process is ending, and the claim expires by itself.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move { gate.settle(&key, attempt, outcome).await });
        }
    }
}
