//! Clocks and hashes that the decisions take as input.

use std::{
    sync::LazyLock,
    time::{Duration, Instant},
};

use rustix::time::{ClockId as SystemClock, clock_gettime};
use sha2::{Digest, Sha256};
use sk_decide::transit_time::ClockId;

/// Offset of one second, so that no reading is zero: a guard treats a start at zero as that of a
/// warm server.
static START: LazyLock<(Instant, Duration)> =
    LazyLock::new(|| (Instant::now(), Duration::from_secs(1)));

/// Returns the time since about the start of this process, on the monotonic clock.
pub fn time_since_start() -> Duration {
    START.0.elapsed() + START.1
}

/// Identifies this process's clock to other daemons. Drawn at random, so that the next process
/// beside the same server, whose clock may differ, is not mistaken for this one.
static CLOCK_ID: LazyLock<ClockId> = LazyLock::new(rand::random);

/// Returns the id of this process's clock.
pub(crate) fn clock_id() -> ClockId {
    *CLOCK_ID
}

/// Returns the time on a clock that also runs while the instance is suspended, for times that are
/// compared with another daemon's.
pub(crate) fn transit_now() -> Duration {
    let time = clock_gettime(SystemClock::Boottime);
    // Never negative: it counts from the system's start.
    Duration::new(time.tv_sec.unsigned_abs(), u32::try_from(time.tv_nsec).unwrap_or_default())
}

/// Returns a time in whole microseconds, as it is sent to other daemons.
pub(crate) fn whole_micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Hashes parts identically on every daemon and in every release.
///
/// Each part is preceded by its length, so that bytes cannot shift from one part to the next.
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
