//! Logs the loss and the return of a dependency as two lines rather than hundreds.

use std::{
    fmt::Display,
    sync::{Mutex, PoisonError},
    time::Instant,
};

/// An outage that has not ended.
struct OpenOutage {
    since: Instant,
    failures: u64,
}

/// Logs once that a dependency is lost and once that it is available again.
///
/// A store that is unavailable for minutes fails hundreds of calls. A line for each would hide the
/// two facts that an engineer needs: when the outage started and how long it lasted.
pub struct OutageLog {
    part: &'static str,
    dependency: &'static str,
    outage: Mutex<Option<OpenOutage>>,
}

impl OutageLog {
    /// Creates the log of one dependency; `part` is the prefix of the lines.
    pub const fn new(part: &'static str, dependency: &'static str) -> Self {
        Self { part, dependency, outage: Mutex::new(None) }
    }

    /// Records a failed call; the first one of an outage is logged with its reason.
    pub fn record_failure(&self, reason: &dyn Display) {
        let mut outage = self.outage.lock().unwrap_or_else(PoisonError::into_inner);
        match &mut *outage {
            Some(current) => current.failures += 1,
            None => {
                *outage = Some(OpenOutage { since: Instant::now(), failures: 1 });
                log::warn!("{}: {} is unavailable: {reason}.", self.part, self.dependency);
            }
        }
    }

    /// Ends the outage without a line. For a dependency that is no longer called, so that it is not
    /// known whether it is available again.
    pub fn end_without_line(&self) {
        self.outage.lock().unwrap_or_else(PoisonError::into_inner).take();
    }

    /// Records a successful call; the first one after an outage is logged with its duration.
    pub fn record_success(&self) {
        let outage = self.outage.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(OpenOutage { since, failures }) = outage {
            let away_ms = u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX);
            log::warn!(away_ms, failures; "{}: {} is available again.", self.part, self.dependency);
        }
    }
}
