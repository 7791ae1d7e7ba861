//! Rate limits of workspaces over all daemons together.
//!
//! One daemon owns the bucket of a workspace and grants tokens; every other daemon holds tokens that
//! were granted to it and asks for more. The design load is that of a fleet of 80 daemons with 82
//! workspaces whose sizes follow a power law: most send less than one request a second to each
//! daemon, the largest sends hundreds in all, and one may send six times its usual demand. A daemon
//! whose owner does not answer continues on its part of the rate. The design note is
//! `docs/design/allowances.md`.

mod fallback;
mod fleet;
mod holder;
mod owner;
mod regular;

pub use fallback::FallbackBucket;
pub use fleet::{FleetTracker, FleetView, MemberPresence, choose_owner};
pub use holder::{HolderTerms, TakeStep, TokenHolder, TokenWant};
pub use owner::{OwnerBucket, OwnerTerms, TokenGrant};

use std::time::Duration;

/// Requests that a workspace may send, over all daemons together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllowanceRate {
    /// Requests a second.
    pub rate_per_s: f64,
    /// Requests at once beyond the rate.
    pub burst: f64,
}

/// Time for which a holder may use a token that was granted to it. It bounds what a lowered limit
/// and a moved demand leave over.
pub const TOKEN_LIFETIME: Duration = Duration::from_millis(600);
/// Longest wait for an owner's answer: 25 round trips between daemons, and a small part of the
/// response-time goal of a short request.
pub const OWNER_TIMEOUT: Duration = Duration::from_millis(50);
/// Longest time that a refused caller is told to wait. Promises further ahead would be made for
/// callers most of which do not come back.
pub const LONGEST_RETRY: Duration = Duration::from_secs(3);

/// Returns the time in which one token becomes available at a rate, at most [`LONGEST_RETRY`].
fn token_interval(rate_per_s: f64) -> Duration {
    let seconds = 1.0 / rate_per_s.max(f64::MIN_POSITIVE);
    Duration::from_secs_f64(seconds.min(LONGEST_RETRY.as_secs_f64()))
}
