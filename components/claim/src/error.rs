//! Errors of claiming.

use sk_store::{ObjectKey, StoreError};
use thiserror::Error;

/// Reason why a claim has no verdict. The request was not granted and must not run.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ClaimError {
    /// The platform is unavailable, too slow or under contention.
    #[error("claims are unavailable: {reason}")]
    Unavailable {
        /// Error of the platform, or the reason why no call was made.
        reason: String,
    },
    /// The platform rejects calls above its rate.
    #[error("the platform rejects claims above its rate")]
    Throttled,
    /// The platform holds data that is not a partition of claims.
    #[error("object {key} cannot be decoded: {reason}")]
    Corrupt {
        /// Key of the object.
        key: ObjectKey,
        /// Error of the decoder.
        reason: String,
    },
}

impl From<StoreError> for ClaimError {
    fn from(err: StoreError) -> Self {
        match err {
            StoreError::Throttled { .. } => Self::Throttled,
            err => Self::Unavailable { reason: err.to_string() },
        }
    }
}
