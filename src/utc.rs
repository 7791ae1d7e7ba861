//! Times in the forms that operators read and write, always in UTC: two data centres would read
//! local times differently.

use std::{
    str::FromStr,
    time::{Duration, UNIX_EPOCH},
};

use sk_model::UnixMillis;
use thiserror::Error;

/// Last millisecond of the year 9999, the greatest that RFC 3339 can express.
const MAX_RFC3339_MILLIS: UnixMillis = 253_402_300_799_999;

/// A time on the command line that cannot be parsed.
#[derive(Debug, Error)]
#[error("{0:?} is neither milliseconds since 1970-01-01 UTC nor a time like 2026-12-03T08:15:00Z")]
pub struct TimeError(String);

/// A time on the command line: milliseconds since the Unix epoch, or RFC 3339 in UTC.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UtcTime(pub UnixMillis);

impl FromStr for UtcTime {
    type Err = TimeError;

    /// # Errors
    ///
    /// Returns a [`TimeError`] for a text of neither form.
    fn from_str(text: &str) -> Result<Self, TimeError> {
        if let Ok(millis) = text.parse() {
            return Ok(Self(millis));
        }
        let time = humantime::parse_rfc3339_weak(text).map_err(|_| TimeError(text.to_owned()))?;
        let since_epoch =
            time.duration_since(UNIX_EPOCH).map_err(|_| TimeError(text.to_owned()))?;
        Ok(Self(since_epoch.as_millis() as UnixMillis))
    }
}

/// Formats a time as RFC 3339 in UTC with milliseconds. 0 means "never" and becomes a dash.
pub fn format_utc(millis: UnixMillis) -> String {
    match millis {
        0 => "-".to_owned(),
        // A clock that was set wrongly can be beyond the last year of RFC 3339.
        millis if millis > MAX_RFC3339_MILLIS => millis.to_string(),
        millis => {
            let time = UNIX_EPOCH + Duration::from_millis(millis);
            humantime::format_rfc3339_millis(time).to_string()
        }
    }
}
