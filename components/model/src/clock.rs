//! Wall-clock time of this instance.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::UnixMillis;

/// Returns the time since the Unix epoch on this instance's clock.
///
/// It serves times that people read and times that must outlast a process. The clock may jump and
/// differs between instances, so durations are not measured with it and no bound is checked against
/// another instance's time.
pub fn unix_time() -> Duration {
    // A clock before 1970 is set wrongly, so any value would be wrong; zero is used.
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Returns [`unix_time`] in milliseconds.
pub fn unix_time_ms() -> UnixMillis {
    unix_time().as_millis() as UnixMillis
}
