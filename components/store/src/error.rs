//! Errors of calls to the platform.
//!
//! They separate calls that certainly had no effect from those whose effect is unknown, so that a
//! write is not repeated by mistake.

use std::time::Duration;

use thiserror::Error;

use crate::{ObjectKey, Revision};

/// Why a call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The condition of a write does not hold: the key is taken, free or at another revision.
    #[error("object {key} is at revision {found:?}")]
    Conflict {
        /// Key of the object.
        key: ObjectKey,
        /// Revision found, `None` where the key is free.
        found: Option<Revision>,
    },
    /// The platform's rate limit is exceeded; the call had no effect.
    #[error("platform refuses calls for {} ms", retry_after.as_millis())]
    Throttled {
        /// How long to wait before the next call.
        retry_after: Duration,
    },
    /// The platform cannot be reached; the call had no effect.
    #[error("platform is unavailable: {reason}")]
    Unavailable {
        /// Description of the failure.
        reason: String,
    },
    /// The answer was lost; a write may have taken effect.
    #[error("outcome of the call is unknown: {reason}")]
    Unknown {
        /// Description of the failure.
        reason: String,
    },
    /// The value is larger than the platform stores; the call had no effect.
    #[error("value of {size} bytes is too large")]
    TooLarge {
        /// Size of the value in bytes.
        size: usize,
    },
    /// The platform sent an answer that the client does not understand.
    #[error("unexpected answer from the platform: {reason}")]
    Protocol {
        /// Description of the failure.
        reason: String,
    },
}

impl StoreError {
    /// Returns whether the same call may succeed when it is made again later.
    pub fn is_transient(&self) -> bool {
        matches!(self, Self::Throttled { .. } | Self::Unavailable { .. } | Self::Unknown { .. })
    }
}
