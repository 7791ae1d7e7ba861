//! Failures of claiming.

use sk_store::{ObjectKey, StoreError};
use thiserror::Error;

/// Why a claim has no verdict. The request was not granted and must not run.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ClaimError {
    /// The platform is away, too slow or contended.
    #[error("claims are unavailable: {reason}")]
    Unavailable {
        /// What was seen.
        reason: String,
    },
    /// The platform refuses calls over its rate.
    #[error("the platform refuses claims over its rate")]
    Throttled,
    /// The platform holds something that is not a partition of claims.
    #[error("object {key} cannot be read: {reason}")]
    Corrupt {
        /// Key of the object.
        key: ObjectKey,
        /// What is wrong with it.
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
