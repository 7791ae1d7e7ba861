//! Failures of the platform as its callers see them.

use std::time::Duration;

use thiserror::Error;

use crate::{ObjectKey, Revision};

/// Why a call to the platform gave no result.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The key is taken, free or at another revision than the condition names.
    #[error("object {key} is at revision {found:?}")]
    Conflict {
        /// Key of the object.
        key: ObjectKey,
        /// Revision found, none where the key is free.
        found: Option<Revision>,
    },
    /// The platform's rate is exhausted; nothing was done.
    #[error("platform refuses calls for {}ms", retry_after.as_millis())]
    Throttled {
        /// When to come back.
        retry_after: Duration,
    },
    /// The platform cannot be reached; nothing was done.
    #[error("platform is unavailable: {reason}")]
    Unavailable {
        /// What was seen.
        reason: String,
    },
    /// The answer was lost; a write may have taken effect.
    #[error("outcome is unknown: {reason}")]
    Unknown {
        /// What was seen.
        reason: String,
    },
    /// The value is larger than the platform holds; nothing was done.
    #[error("value of {size} bytes is too large")]
    TooLarge {
        /// Size of the value in bytes.
        size: usize,
    },
    /// The platform answered in a way that the client does not understand.
    #[error("platform answered out of protocol: {reason}")]
    Protocol {
        /// What was seen.
        reason: String,
    },
}

impl StoreError {
    /// Tells whether the same call may succeed when it is made again later.
    pub fn is_transient(&self) -> bool {
        matches!(self, Self::Throttled { .. } | Self::Unavailable { .. } | Self::Unknown { .. })
    }
}
