//! Claims on requests that may not be repeated, kept in the platform.
//!
//! Before a guard passes such a request on, it claims the request's key. Of all attempts with one
//! key, wherever they arrive, at most one is granted, and only the granted one may run. See
//! `docs/design/claims.md` for the ways weighed and the rates each carries.

mod book;
mod commit;
mod error;
mod head;
mod partition;
mod settings;

pub use book::ClaimBook;
pub use error::ClaimError;
pub use head::{AttemptId, ClaimKey, claim_key};
pub use partition::ClaimVerdict;
pub use settings::ClaimSettings;
