//! The log line of a request that is abandoned at its guard because its caller left.

use std::time::Duration;

use http::HeaderValue;
use tokio::time::Instant;

use crate::{exchange::SendStage, headers::header_text};

/// Logs how far a request had come when its entry daemon dropped it, unless it ended before.
///
/// Together with the line of the entry daemon it shows how long the news of a caller's departure
/// takes over a link, and whether a request without a caller was sent to a server.
pub(crate) struct AbandonLog {
    attempt: Option<HeaderValue>,
    arrived: Instant,
    /// How much longer the request was in transit than the fastest one.
    transit_delay: Duration,
    pub(crate) stage: SendStage,
    is_disarmed: bool,
}

impl AbandonLog {
    pub(crate) fn new(
        attempt: Option<HeaderValue>,
        arrived: Instant,
        transit_delay: Duration,
    ) -> Self {
        Self { attempt, arrived, transit_delay, stage: SendStage::Waiting, is_disarmed: false }
    }

    /// Prevents the line, because the request has ended here, and returns the caller's id of the
    /// attempt.
    pub(crate) fn disarm(mut self) -> Option<HeaderValue> {
        self.is_disarmed = true;
        self.attempt.take()
    }
}

impl Drop for AbandonLog {
    fn drop(&mut self) {
        if !self.is_disarmed {
            let attempt = header_text(self.attempt.as_ref());
            let stage = match self.stage {
                SendStage::Waiting => "waiting",
                SendStage::Sent | SendStage::Resent => "sent",
            };
            log::info!(
                attempt,
                stage,
                late_ms = self.transit_delay.as_millis() as u64,
                held_ms = self.arrived.elapsed().as_millis() as u64;
                "guard: caller left."
            );
        }
    }
}
