//! What an answer of the local backend server holds on its way out: the slot and the connection.

use std::sync::Arc;

use sk_decide::quarantine::Fingerprint;

use crate::{
    body::BodyError, context::GuardContext, gate::AdmitPermit, local::GuardedServer,
    pool::ServerSender, quarantine::check_for_crash, tracked_body::BodyEndHandler,
};

/// What an exchange with the server holds until the end of its answer, or until its caller leaves:
/// then the connection is dropped unread and so closed.
pub(crate) struct OpenExchange {
    pub(crate) context: Arc<GuardContext>,
    pub(crate) server: Arc<GuardedServer>,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) sender: ServerSender,
    pub(crate) permit: AdmitPermit,
}

impl OpenExchange {
    /// Ends an exchange whose answer was read whole: its connection may be used again.
    fn complete(self) {
        self.context.quarantine.record_success(self.fingerprint);
        self.server.pool.release(self.sender);
        self.permit.finish();
    }

    /// Ends an exchange whose connection fail within the answer.
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

    fn on_failure(self, err: &BodyError) {
        match err {
            // Nothing is wrong with the connection. Dropped unread it is closed, and the server can
            // tell that nobody waits.
            BodyError::DeadlinePassed => {}
            _ => self.fail(),
        }
    }
}
