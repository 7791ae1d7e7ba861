//! Log lines of a workspace that starts and stops being limited, bounded in number.

use std::time::Duration;

/// Time without a refusal after which a workspace is no longer limited.
const CALM_TIME: Duration = Duration::from_secs(5);
/// Shortest time between two lines about the start of one workspace's limit.
const LINE_INTERVAL: Duration = Duration::from_secs(30);

/// Decides on the log lines of one workspace.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LimitLog {
    refused_at: Option<Duration>,
    written_at: Option<Duration>,
    refused: u64,
}

impl LimitLog {
    /// Records a refusal and writes a line if it is the first one.
    pub(crate) fn record_refusal(&mut self, workspace: &str, retry_after: Duration, now: Duration) {
        let is_first = self.refused_at.is_none();
        let is_due = self.written_at.is_none_or(|at| now.saturating_sub(at) >= LINE_INTERVAL);
        (self.refused_at, self.refused) = (Some(now), self.refused + 1);
        if is_first && is_due {
            self.written_at = Some(now);
            let retry_after_ms = retry_after.as_millis() as u64;
            log::info!(workspace, retry_after_ms; "allowance: a workspace is limited.");
        }
    }

    /// Writes a line if the workspace has not been refused for a while, after one about its start.
    pub(crate) fn record_time(&mut self, workspace: &str, now: Duration) {
        let Some(refused_at) = self.refused_at else { return };
        if now.saturating_sub(refused_at) < CALM_TIME {
            return;
        }
        let is_start_written = self.written_at.is_some_and(|at| at <= refused_at);
        let refused = self.refused;
        (self.refused_at, self.refused) = (None, 0);
        if is_start_written {
            log::info!(workspace, refused; "allowance: a workspace is no longer limited.");
        }
    }
}
