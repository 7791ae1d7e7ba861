//! Claims on keyed requests: the interface to the store that remembers which of them ran, and the
//! claim that an attempt holds. A keyed request may run only once, whichever daemons its copies
//! reach.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use async_trait::async_trait;
use derive_more::Display;

/// Longest wait for the record that a claimed request did not run. After it the refusal is sent all
/// the same: it is true, and a resend is then answered with "unknown", which is safe.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// Identifies a keyed request: no two requests that may both run share a key.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash)]
#[display("{service} {key}")]
pub struct ClaimKey {
    /// Service that is to run the request.
    pub service: Arc<str>,
    /// The caller's `Idempotency-Key`.
    pub key: String,
}

/// Identifies one attempt to run a request, drawn at random.
pub type AttemptId = u64;

/// Result of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// This attempt, and no other, may run the request.
    Granted,
    /// An earlier attempt ran the request, and its answer had this status.
    AlreadyRan {
        /// The status.
        status: u16,
    },
    /// An earlier attempt claimed the request, and may be running it or have run it.
    AlreadyClaimed,
    /// The result cannot be determined. The request must not run.
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
    /// Nothing was sent to the server: another attempt may claim the request.
    NotRun,
    /// The server may have run the request.
    Unknown,
}

/// Grants each keyed request to at most one attempt.
#[async_trait]
pub trait ClaimGate: Send + Sync {
    /// Claims a request for an attempt, by the deadline.
    async fn claim(&self, key: &ClaimKey, attempt: AttemptId, deadline: Instant) -> ClaimVerdict;

    /// Records how an attempt ended. Also called for an attempt whose claim was abandoned before
    /// its verdict was known, then with [`ClaimOutcome::NotRun`]: an implementation must treat
    /// this as a claim that it never saw, and must not grant that claim later.
    async fn record_outcome(&self, key: &ClaimKey, attempt: AttemptId, outcome: ClaimOutcome);
}

/// A claim that is settled when this is dropped, however the request ended. A claim that stayed
/// open would answer every resend with "unknown" until it expires.
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
                // An unavailable platform may have stored the claim, which must not stay.
                if verdict != ClaimVerdict::Unavailable {
                    pending.outcome = None;
                }
                Err(verdict)
            }
        }
    }

    /// Sets the outcome as far as it is known.
    pub(crate) fn set_outcome(&mut self, outcome: ClaimOutcome) {
        self.outcome = Some(outcome);
    }

    /// Waits a short time until it is recorded that the request did not run, so that the following
    /// retry at another daemon is granted.
    pub(crate) async fn release_unrun(mut self) {
        self.outcome = None;
        let release = self.gate.record_outcome(&self.key, self.attempt, ClaimOutcome::NotRun);
        if tokio::time::timeout(RELEASE_TIMEOUT, release).await.is_err() {
            log::info!("guard: a claim on a request that did not run was not released in time.");
        }
    }
}

impl Drop for PendingClaim {
    fn drop(&mut self) {
        let Some(outcome) = self.outcome.take() else { return };
        let (gate, key, attempt) = (self.gate.clone(), self.key.clone(), self.attempt);
        // Outside a runtime the process is ending, and the claim expires by itself.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move { gate.record_outcome(&key, attempt, outcome).await });
        }
    }
}
