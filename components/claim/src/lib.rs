//! Claims on requests that may run at most once, stored in the platform.
//!
//! A caller whose answer is lost resends the request, through any daemon. Run twice, it would make
//! a second reservation or confirmation.
//!
//! Before a guard forwards such a request, it claims the key of the request. Of all attempts with
//! one key, wherever they arrive, at most one is granted, and only the granted one may run. See
//! `docs/design/claims.md` for the alternatives considered and the rates that each supports.

mod client;
mod commit;
mod error;
mod head;
mod partition;
mod settings;

pub use client::ClaimClient;
pub use error::ClaimError;
pub use head::{AttemptId, ClaimKey, claim_key};
pub use partition::ClaimVerdict;
pub use settings::ClaimSettings;
