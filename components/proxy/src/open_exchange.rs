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
    tracked_body::{BodyEndHandler, BodyProgress},
};

/// The delivery of an answer that was read ahead. Its exchange has ended.
pub(crate) struct AnswerDelivery {
    context: Arc<GuardContext>,
    server: Arc<GuardedServer>,
    attempt: Option<HeaderValue>,
}

/// An exchange whose answer is still being read. If its caller leaves, it is dropped, and the
/// connection is closed unread.
pub(crate) struct OpenExchange {
    pub(crate) context: Arc<GuardContext>,
    pub(crate) server: Arc<GuardedServer>,
    pub(crate) fingerprint: Fingerprint,
    /// The caller's id of the attempt.
    pub(crate) attempt: Option<HeaderValue>,
    pub(crate) sender: ServerSender,
    pub(crate) permit: AdmitPermit,
}

impl OpenExchange {
    /// Ends an exchange whose answer was read completely: its connection may be used again.
    fn complete(self) {
        self.context.quarantine.record_success(self.fingerprint);
        self.server.pool.release(self.sender);
        self.permit.finish();
    }

    /// Ends the exchange, since its answer was read ahead, and returns what is left to do.
    pub(crate) fn begin_delivery(self) -> AnswerDelivery {
        let (context, server) = (self.context.clone(), self.server.clone());
        let delivery = AnswerDelivery { context, server, attempt: self.attempt.clone() };
        self.complete();
        delivery
    }

    /// Returns what a log line of a cut answer names.
    fn cut_answer(&self) -> CutAnswer<'_> {
        let (attempt, context) = (self.attempt.as_ref(), &self.context);
        CutAnswer { attempt, context, server: &self.server }
    }

    /// Ends an exchange whose connection broke within the answer.
    fn fail(self) {
        self.permit.record_broken();
        let (quarantine, servers) = (&self.context.quarantine, &self.context.servers);
        check_for_crash(quarantine.clone(), servers.clone(), self.server.clone());
    }
}

impl BodyEndHandler for OpenExchange {
    fn on_complete(self) {
        self.complete();
    }

    fn on_failure(self, err: &BodyError, progress: BodyProgress) {
        self.cut_answer().log_failure(err, progress);
        match err {
            // Nothing is wrong with the connection. Dropped unread, it is closed, and the server
            // can tell that nobody waits.
            BodyError::DeadlinePassed => {}
            _ => self.fail(),
        }
    }

    fn on_abandon(self, progress: BodyProgress) {
        self.cut_answer().log_abandon(progress);
    }
}

impl AnswerDelivery {
    /// Returns what a log line of a cut answer names.
    fn cut_answer(&self) -> CutAnswer<'_> {
        let (attempt, context) = (self.attempt.as_ref(), &self.context);
        CutAnswer { attempt, context, server: &self.server }
    }
}

impl BodyEndHandler for AnswerDelivery {
    fn on_complete(self) {}

    fn on_failure(self, err: &BodyError, progress: BodyProgress) {
        self.cut_answer().log_failure(err, progress);
    }

    fn on_abandon(self, progress: BodyProgress) {
        self.cut_answer().log_abandon(progress);
    }
}

/// An answer that did not reach its reader whole, for a log line.
struct CutAnswer<'a> {
    attempt: Option<&'a HeaderValue>,
    context: &'a GuardContext,
    server: &'a GuardedServer,
}

impl CutAnswer<'_> {
    fn log_failure(&self, err: &BodyError, progress: BodyProgress) {
        let (attempt, draining) = self.fields();
        let BodyProgress { passed, size, age } = progress;
        log::warn!(
            attempt, passed, size:?, age_ms = age.as_millis() as u64, draining;
            "guard: the answer of server {} broke off: {}.", self.server.id, error_chain(err)
        );
    }

    fn log_abandon(&self, progress: BodyProgress) {
        let (attempt, draining) = self.fields();
        let BodyProgress { passed, size, age } = progress;
        log::info!(
            attempt, passed, size:?, age_ms = age.as_millis() as u64, draining;
            "guard: connection of the reader ended within an answer of server {}.", self.server.id
        );
    }

    /// Returns the id of the attempt and whether the daemon is draining.
    fn fields(&self) -> (&str, bool) {
        (header_text(self.attempt), self.context.drain_clock.is_draining())
    }
}
