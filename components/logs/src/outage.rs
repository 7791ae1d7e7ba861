//! Losing and regaining something the daemon depends on, as two lines and not hundreds.

use std::{
    fmt::Display,
    sync::{Mutex, PoisonError},
    time::Instant,
};

struct OpenOutage {
    since: Instant,
    failures: u64,
}

/// Tells once that a dependency is lost and once that it is back.
///
/// A store that is away for minutes fails hundreds of calls. A line for each hides the two that an
/// engineer looks for: since when, and for how long.
pub struct OutageLog {
    part: &'static str,
    what: &'static str,
    open: Mutex<Option<OpenOutage>>,
}

impl OutageLog {
    /// Makes one for what a part depends on.
    pub const fn new(part: &'static str, what: &'static str) -> Self {
        Self { part, what, open: Mutex::new(None) }
    }

    /// Notes a failure with its reason.
    pub fn lost(&self, reason: &dyn Display) {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        match &mut *open {
            Some(outage) => outage.failures += 1,
            None => {
                *open = Some(OpenOutage { since: Instant::now(), failures: 1 });
                log::warn!("{}: {} is lost: {reason}.", self.part, self.what);
            }
        }
    }

    /// Forgets a loss without a line: whether the dependency is back is not known, as it is no longer
    /// asked.
    pub fn dismiss(&self) {
        self.open.lock().unwrap_or_else(PoisonError::into_inner).take();
    }

    /// Notes a success.
    pub fn back(&self) {
        let open = self.open.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(OpenOutage { since, failures }) = open {
            let away_ms = u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX);
            log::warn!(away_ms, failures; "{}: {} is back.", self.part, self.what);
        }
    }
}
