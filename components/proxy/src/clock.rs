//! The clock and the hashes that decisions are fed with.

use std::{
    sync::LazyLock,
    time::{Duration, Instant},
};

use sha2::{Digest, Sha256};

/// A second before the first reading, so that no reading is zero: a guard takes a start at zero as
/// "warm".
static START: LazyLock<(Instant, Duration)> =
    LazyLock::new(|| (Instant::now(), Duration::from_secs(1)));

/// Gives the time since about the start of this process, on the monotonic clock.
pub fn process_now() -> Duration {
    START.0.elapsed() + START.1
}

/// Hashes parts the same on every daemon and in every release.
///
/// Each part is preceded by its length, so that parts cannot run into each other.
pub(crate) fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    u64::from_le_bytes(first)
}
