//! What has been tried for a request.

use std::time::Duration;

use http::Response;
use sk_decide::{
    placing::{CallOutcome, PlacedCall},
    retrying::GiveUpReason,
    seeking::SlotSearch,
};
use tokio::time::Instant;

use crate::{
    body::ProxyBody,
    clock::process_now,
    hints::ReadHints,
    tries::{TryNote, TryTarget},
};

/// Shortest time for which a late answer is held against an endpoint. Less says more of the caller,
/// who gave the endpoint no chance.
const FAIR_WAIT: Duration = Duration::from_millis(100);

/// What has been tried for a request.
#[derive(Default)]
pub(crate) struct AttemptLog {
    pub(crate) search: SlotSearch,
    pub(crate) retries: u8,
    /// Attempts that no server took in, made again elsewhere outside the budget.
    pub(crate) moves: u8,
    /// Attempts that a server got, or may have got.
    pub(crate) arrivals: u8,
    /// Whether an attempt that ended may have run.
    pub(crate) may_have_run: bool,
    /// The attempt under way.
    pub(crate) running: Option<RunningAttempt>,
    /// A server's own failure, where a further attempt was made that may still do no better.
    pub(crate) kept: Option<Response<ProxyBody>>,
    /// The attempts that ended, for the log.
    tries: Vec<TryNote>,
    /// Why there was no further attempt, for the log.
    pub(crate) gave_up: Option<GiveUpReason>,
}

impl AttemptLog {
    /// Notes an answer, with the time that its head spent on the way.
    pub(crate) fn note(&mut self, response: &Response<ProxyBody>, hints: &ReadHints) {
        if let Some(running) = &mut self.running {
            let took = running.began.elapsed();
            self.tries.push(TryNote::answered(running.target.clone(), response, hints, took));
            let transit = hints.held.map(|held| took.saturating_sub(held));
            running.placed.note_head(transit, process_now());
        }
    }

    /// Notes an attempt that is given up without an answer.
    pub(crate) fn note_open(&mut self, running: &RunningAttempt) {
        self.tries.push(TryNote::open(running.target.clone(), running.began.elapsed()));
    }

    /// Takes the attempts for the log, one that still runs last.
    pub(crate) fn take_tries(&mut self) -> Vec<TryNote> {
        if let Some(running) = self.running.take() {
            self.note_open(&running);
        }
        std::mem::take(&mut self.tries)
    }
}

/// An attempt that was sent and has no answer yet.
pub(crate) struct RunningAttempt {
    pub(crate) target: TryTarget,
    pub(crate) placed: PlacedCall,
    pub(crate) began: Instant,
}

impl RunningAttempt {
    /// Ends an attempt that got no answer in time.
    pub(crate) fn end_late(self, outcome: CallOutcome) {
        let took = self.began.elapsed();
        if took >= FAIR_WAIT {
            self.placed.finish(outcome, took, process_now());
        }
    }
}
