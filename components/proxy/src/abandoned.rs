//! The line that a guard writes of a request whose caller left.

use std::time::Duration;

use http::HeaderValue;
use tokio::time::Instant;

use crate::{exchange::SendStage, headers::header_text};

/// Writes where a request stood when its daemon of entry dropped it, unless it ended before.
///
/// Beside the line of the daemon of entry it shows how long word of a departure takes over a link,
/// and whether a server was sent a request for nobody.
pub(crate) struct AbandonLog {
    attempt: Option<HeaderValue>,
    arrived: Instant,
    /// How much longer than the fastest one the request was on its way.
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

    /// Records that the request has ended here, and gives its id.
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
