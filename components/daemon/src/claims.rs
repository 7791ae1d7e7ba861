//! Claims in the platform behind the guard's border.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use async_trait::async_trait;
use sk_claim::{ClaimBook, claim_key};
use sk_proxy::{AttemptId, ClaimGate, ClaimKey, ClaimOutcome, ClaimVerdict};

/// Longest wait for a verdict. A guard's slot is held meanwhile, so that a platform that is away
/// must not keep it for a whole deadline.
const CLAIM_WAIT: Duration = Duration::from_secs(2);

/// The claim book as the guard sees it.
pub(crate) struct BookGate {
    pub(crate) book: Arc<ClaimBook>,
}

#[async_trait]
impl ClaimGate for BookGate {
    async fn claim(&self, key: &ClaimKey, attempt: AttemptId, deadline: Instant) -> ClaimVerdict {
        let end = deadline.min(Instant::now() + CLAIM_WAIT);
        let name = claim_key(&key.service, &key.key);
        let verdict = tokio::time::timeout_at(end.into(), self.book.claim(&name, attempt)).await;
        match verdict {
            Ok(Ok(sk_claim::ClaimVerdict::Granted)) => ClaimVerdict::Granted,
            Ok(Ok(sk_claim::ClaimVerdict::AlreadyRan(status))) => {
                ClaimVerdict::AlreadyRan { status }
            }
            Ok(Ok(sk_claim::ClaimVerdict::AlreadyClaimed)) => ClaimVerdict::AlreadyClaimed,
            // The book gives the claim back by itself where it failed; where the wait was too
            // long, the guard's settling does.
            Ok(Err(_)) | Err(_) => ClaimVerdict::Unavailable,
        }
    }

    async fn settle(&self, key: &ClaimKey, attempt: AttemptId, outcome: ClaimOutcome) {
        let name = claim_key(&key.service, &key.key);
        match outcome {
            ClaimOutcome::Ran { status } => self.book.ran(&name, attempt, status),
            ClaimOutcome::NotRun => self.book.give_back(&name, attempt).await,
            // The claim stands without an outcome, which is what a resend is told.
            ClaimOutcome::Unknown => (),
        }
    }
}
