//! Pauses between tries.

use std::time::Duration;

/// Gives the pause before try `attempt + 1`, for a `draw` from the whole range of `u32`.
///
/// Made for many operators whose commits meet on one head. With equal pauses the losers of one
/// round would meet again in the next; a draw over the whole pause spreads them, doubling makes
/// room for as many as there are, and the cap bounds how long an operator waits.
pub fn full_jitter(base: Duration, cap: Duration, attempt: u32, draw: u32) -> Duration {
    let ceiling = base.saturating_mul(2_u32.saturating_pow(attempt)).min(cap);
    ceiling.mul_f64(f64::from(draw) / f64::from(u32::MAX))
}
