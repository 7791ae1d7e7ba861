//! State of the attempts made for one request: what the retry decision needs to know of earlier
//! attempts, and the records of them for the log.

use std::time::Duration;

use http::Response;
use sk_decide::{
    placing::{CallOutcome, PlacedCall},
    retrying::GiveUpReason,
    slot_search::SlotSearch,
};
use tokio::time::Instant;

use crate::{
    attempt_record::{AttemptRecord, AttemptTarget},
    body::ProxyBody,
    clock::time_since_start,
    hints::ReadHints,
};

/// Shortest time after which a missing answer counts against an endpoint. A shorter one says more
/// about the caller, who gave the endpoint no chance.
const MIN_FAILURE_WAIT: Duration = Duration::from_millis(100);

/// The attempts made for one request.
#[derive(Default)]
pub(crate) struct AttemptHistory {
    pub(crate) search: SlotSearch,
    pub(crate) retries: u8,
    /// Attempts that no server accepted and that were repeated elsewhere outside the retry budget.
    pub(crate) free_moves: u8,
    /// Attempts that reached a server, or may have.
    pub(crate) server_attempts: u8,
    /// Whether an attempt that ended may have run.
    pub(crate) may_have_run: bool,
    /// The current attempt.
    pub(crate) running: Option<RunningAttempt>,
    /// A failure that a server answered itself, kept while a further attempt runs that may do no
    /// better.
    pub(crate) kept_failure: Option<Response<ProxyBody>>,
    /// The attempts that ended, for the log.
    records: Vec<AttemptRecord>,
    /// Why there was no further attempt, for the log.
    pub(crate) gave_up: Option<GiveUpReason>,
}

impl AttemptHistory {
    /// Records the answer to the current attempt, and the time that its head spent in transit.
    pub(crate) fn record_answer(&mut self, response: &Response<ProxyBody>, hints: &ReadHints) {
        if let Some(running) = &mut self.running {
            let took = running.began.elapsed();
            self.records.push(AttemptRecord::answered(
                running.target.clone(),
                response,
                hints,
                took,
            ));
            let transit = hints.guard_time.map(|guard_time| took.saturating_sub(guard_time));
            running.placed.record_head(transit, time_since_start());
        }
    }

    /// Records an attempt that is abandoned without an answer.
    pub(crate) fn record_unanswered(&mut self, running: &RunningAttempt) {
        self.records
            .push(AttemptRecord::unanswered(running.target.clone(), running.began.elapsed()));
    }

    /// Returns the number of attempts that a server ran, or may have.
    pub(crate) fn arrivals(&self) -> usize {
        let ended = self.records.iter().filter(|record| record.may_have_run()).count();
        ended + usize::from(self.running.is_some())
    }

    /// Returns the daemon and server of the last attempt that ended, for the log.
    pub(crate) fn last_target(&self) -> Option<AttemptTarget> {
        self.records.last().map(|record| record.target().clone())
    }

    /// Takes the attempts for the log, the one still running last.
    pub(crate) fn take_records(&mut self) -> Vec<AttemptRecord> {
        if let Some(running) = self.running.take() {
            self.record_unanswered(&running);
        }
        std::mem::take(&mut self.records)
    }
}

/// An attempt that was sent and has no answer yet.
pub(crate) struct RunningAttempt {
    pub(crate) target: AttemptTarget,
    pub(crate) placed: PlacedCall,
    pub(crate) began: Instant,
}

impl RunningAttempt {
    /// Ends an attempt without an answer in time; it counts against the endpoint only after
    /// [`MIN_FAILURE_WAIT`].
    pub(crate) fn finish_late(self, outcome: CallOutcome) {
        let took = self.began.elapsed();
        if took >= MIN_FAILURE_WAIT {
            self.placed.finish(outcome, took, time_since_start());
        }
    }
}
