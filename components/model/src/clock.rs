//! The time of day of this instance.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::UnixMillis;

/// Gives the time since the Unix epoch on this instance's clock.
///
/// For people, and for what has to outlast a process. It jumps, and those of two instances differ,
/// so nothing is timed by it and no bound is checked against another instance's.
pub fn unix_time() -> Duration {
    // A clock before 1970 is set wrongly; zero is as good as any other time it may show.
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Gives the same in milliseconds.
pub fn unix_now() -> UnixMillis {
    unix_time().as_millis() as UnixMillis
}
