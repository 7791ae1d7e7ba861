//! Errors of the store of orders.

use thiserror::Error;

/// Failure of a call to the store of orders.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum OrderError {
    /// The object was changed or deleted since it was read.
    #[error("the order was changed meanwhile")]
    Changed,
    /// The store did not answer, or refused the call; a write may have taken effect.
    #[error("store of orders: {reason}")]
    Unavailable {
        /// Error message of the store.
        reason: String,
    },
}
