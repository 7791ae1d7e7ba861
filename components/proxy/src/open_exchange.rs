//! The open exchange behind an answer of the local backend server: it holds the slot and the
//! connection until the answer's body ends, so that neither is reused while bytes of this answer
//! remain.

use std::sync::Arc;

use http::HeaderValue;
use sk_decide::quarantine::Fingerprint;

use crate::{
    body::{BodyError, error_chain},
    context::GuardContext,
    gate::AdmitPermit,
    headers::header_text,
    local::GuardedServer,
    pool::ServerSender,
    quarantine::check_for_crash,
    running_requests::RunningRequest,
    tracked_body::{BodyEndHandler, BodyProgress},
};

/// The delivery of an answer to its reader.
pub(crate) struct AnswerDelivery {
    pub(crate) context: Arc<GuardContext>,
    pub(crate) server: Arc<GuardedServer>,
    /// The caller's id of the attempt.
    pub(crate) attempt: Option<HeaderValue>,
    /// Whether another server waits for the answer, for a request that it runs.
    pub(crate) is_nested: bool,
}

/// An exchange whose answer is still being read. If its caller leaves, it is dropped, and the
/// connection is closed unread.
pub(crate) struct OpenExchange {
    pub(crate) delivery: AnswerDelivery,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) sender: ServerSender,
    pub(crate) permit: AdmitPermit,
    /// The request, for which the server may make calls until its answer has ended.
    pub(crate) running: Option<RunningRequest>,
}

impl OpenExchange {
    /// Ends an exchange whose answer was read completely: its connection may be used again. What is
    /// left is to deliver the answer, if it was read ahead.
    pub(crate) fn complete(self) -> AnswerDelivery {
        let Self { delivery, fingerprint, sender, permit, running } = self;
        delivery.context.quarantine.record_success(fingerprint);
        delivery.server.pool.release(sender);
        permit.finish();
        if let Some(running) = running {
            running.end();
        }
        delivery
    }

    /// Ends an exchange whose connection broke within the answer.
    fn fail(self) {
        self.permit.record_broken();
        let AnswerDelivery { context, server, .. } = self.delivery;
        check_for_crash(context.quarantine.clone(), context.servers.clone(), server);
    }
}

impl BodyEndHandler for OpenExchange {
    fn on_complete(self) {
        self.complete();
    }

    fn on_failure(self, err: &BodyError, progress: BodyProgress) {
        self.delivery.log_failure(err, progress);
        match err {
            // Nothing is wrong with the connection. Dropped unread, it is closed, and the server
            // can tell that nobody waits.
            BodyError::DeadlinePassed => {}
            _ => self.fail(),
        }
    }

    fn on_abandon(self, progress: BodyProgress) {
        self.delivery.log_abandon(progress);
    }
}

/// The end of an answer that was read ahead, whose exchange has ended.
impl BodyEndHandler for AnswerDelivery {
    fn on_complete(self) {}

    fn on_failure(self, err: &BodyError, progress: BodyProgress) {
        self.log_failure(err, progress);
    }

    fn on_abandon(self, progress: BodyProgress) {
        self.log_abandon(progress);
    }
}

impl AnswerDelivery {
    fn log_failure(&self, err: &BodyError, progress: BodyProgress) {
        let (attempt, draining) = self.log_fields();
        let BodyProgress { passed, size, age } = progress;
        log::warn!(
            attempt, passed, size:?, age_ms = age.as_millis() as u64, draining;
            "guard: the answer of server {} broke off: {}.", self.server.id, error_chain(err)
        );
    }

    fn log_abandon(&self, progress: BodyProgress) {
        let (attempt, draining) = self.log_fields();
        let BodyProgress { passed, size, age } = progress;
        log::info!(
            attempt, passed, size:?, age_ms = age.as_millis() as u64, draining;
            "guard: connection of the reader ended within an answer of server {}.", self.server.id
        );
    }

    /// Returns the id of the attempt and whether the daemon is draining, for a log line.
    fn log_fields(&self) -> (&str, bool) {
        (header_text(self.attempt.as_ref()), self.context.drain_clock.is_draining())
    }
}
