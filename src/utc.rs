//! Times as operators read and write them.

use std::{
    str::FromStr,
    time::{Duration, UNIX_EPOCH},
};

use sk_model::UnixMillis;
use thiserror::Error;

/// Last millisecond of the year 9999.
const LAST_MILLIS: UnixMillis = 253_402_300_799_999;

/// A time on the command line that cannot be read.
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
    /// Returns a [`TimeError`] for a text that is neither.
    fn from_str(text: &str) -> Result<Self, TimeError> {
        if let Ok(millis) = text.parse() {
            return Ok(Self(millis));
        }
        let time = humantime::parse_rfc3339_weak(text).map_err(|_| TimeError(text.to_owned()))?;
        let since = time.duration_since(UNIX_EPOCH).map_err(|_| TimeError(text.to_owned()))?;
        Ok(Self(since.as_millis() as UnixMillis))
    }
}

/// Writes a time for people, in UTC: two data centres would read local times differently. A dash
/// stands for "never".
pub fn utc_text(millis: UnixMillis) -> String {
    match millis {
        0 => "-".to_owned(),
        // Beyond the last year that the form can write; a clock says so that was set wrongly.
        millis if millis > LAST_MILLIS => millis.to_string(),
        millis => {
            let time = UNIX_EPOCH + Duration::from_millis(millis);
            humantime::format_rfc3339_millis(time).to_string()
        }
    }
}
