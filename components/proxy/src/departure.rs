//! The line that a guard writes of a request whose caller left.

use std::time::Duration;

use http::HeaderValue;
use tokio::time::Instant;

use crate::{exchange::PassStage, headers::header_text};

/// Writes where a request stood when its daemon of entry dropped it, unless it ended before.
///
/// Beside the line of the daemon of entry it shows how long word of a departure takes over a link,
/// and whether a server was sent a request for nobody.
pub(crate) struct DepartureNote {
    attempt: Option<HeaderValue>,
    arrived: Instant,
    /// How much longer than the fastest one the request was on its way.
    late: Duration,
    pub(crate) stage: PassStage,
    is_ended: bool,
}

impl DepartureNote {
    pub(crate) fn new(attempt: Option<HeaderValue>, arrived: Instant, late: Duration) -> Self {
        Self { attempt, arrived, late, stage: PassStage::Waiting, is_ended: false }
    }

    /// Takes note that the request has ended here, and gives its id.
    pub(crate) fn end(mut self) -> Option<HeaderValue> {
        self.is_ended = true;
        self.attempt.take()
    }
}

impl Drop for DepartureNote {
    fn drop(&mut self) {
        if !self.is_ended {
            let attempt = header_text(self.attempt.as_ref());
            let stage = match self.stage {
                PassStage::Waiting => "waiting",
                PassStage::Sent | PassStage::Resent => "sent",
            };
            log::info!(
                attempt,
                stage,
                late_ms = self.late.as_millis() as u64,
                held_ms = self.arrived.elapsed().as_millis() as u64;
                "guard: caller left."
            );
        }
    }
}
