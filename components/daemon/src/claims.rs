//! Claims on requests with an `Idempotency-Key`, which may run only once, for the guard.
//!
//! Before such a request runs, the guard claims it in the platform, so that a resend through
//! another daemon does not run it again.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use async_trait::async_trait;
use sk_claim::{ClaimClient, claim_key};
use sk_proxy::{AttemptId, ClaimGate, ClaimKey, ClaimOutcome, ClaimVerdict};

/// Longest wait for a claim. The request occupies a slot of the guard meanwhile, and an unavailable
/// platform must not block it for a whole deadline.
const CLAIM_WAIT: Duration = Duration::from_secs(2);

/// Gives the guard access to the claim client.
pub(crate) struct ClaimClientGate {
    pub(crate) claim_client: Arc<ClaimClient>,
}

#[async_trait]
impl ClaimGate for ClaimClientGate {
    async fn claim(&self, key: &ClaimKey, attempt: AttemptId, deadline: Instant) -> ClaimVerdict {
        let end = deadline.min(Instant::now() + CLAIM_WAIT);
        let name = claim_key(&key.service, &key.key);
        let verdict =
            tokio::time::timeout_at(end.into(), self.claim_client.claim(&name, attempt)).await;
        match verdict {
            Ok(Ok(sk_claim::ClaimVerdict::Granted)) => ClaimVerdict::Granted,
            Ok(Ok(sk_claim::ClaimVerdict::AlreadyRan(status))) => {
                ClaimVerdict::AlreadyRan { status }
            }
            Ok(Ok(sk_claim::ClaimVerdict::AlreadyClaimed)) => ClaimVerdict::AlreadyClaimed,
            // After an error the client itself releases the claim; after a timeout the guard
            // releases it with `record_outcome`.
            Ok(Err(_)) | Err(_) => ClaimVerdict::Unavailable,
        }
    }

    async fn record_outcome(&self, key: &ClaimKey, attempt: AttemptId, outcome: ClaimOutcome) {
        let name = claim_key(&key.service, &key.key);
        match outcome {
            ClaimOutcome::Ran { status } => self.claim_client.record_status(&name, attempt, status),
            ClaimOutcome::NotRun => self.claim_client.release(&name, attempt).await,
            // The claim remains without an outcome, and a resend is answered with "unknown".
            ClaimOutcome::Unknown => (),
        }
    }
}
