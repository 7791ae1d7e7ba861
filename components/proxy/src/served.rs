//! What an answer of the local backend server holds on its way out: the slot and the connection.

use std::sync::Arc;

use sk_decide::quarantine::Fingerprint;

use crate::{
    body::BodyError, context::GuardContext, gate::AdmitPermit, local::GuardedServer,
    pool::ServerSender, quarantine::examine, watched::BodyHold,
};

/// What an exchange with the server holds until the end of its answer, or until its caller leaves:
/// then the connection is dropped unread and so closed.
pub(crate) struct ServerExchange {
    pub(crate) context: Arc<GuardContext>,
    pub(crate) server: Arc<GuardedServer>,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) sender: ServerSender,
    pub(crate) permit: AdmitPermit,
}

impl ServerExchange {
    /// Ends an exchange whose answer was read whole: its connection may be used again.
    fn complete(self) {
        self.context.quarantine.note_success(self.fingerprint);
        self.server.pool.release(self.sender);
        self.permit.finish();
    }

    /// Ends an exchange whose connection broke within the answer.
    fn broke(self) {
        self.permit.note_broken();
        let (quarantine, servers) = (&self.context.quarantine, &self.context.servers);
        examine(quarantine.clone(), servers.clone(), self.server.clone());
    }
}

impl BodyHold for ServerExchange {
    fn end_whole(self) {
        self.complete();
    }

    fn end_cut(self, err: &BodyError) {
        match err {
            // Nothing is wrong with the connection. Dropped unread it is closed, and the server can
            // tell that nobody waits.
            BodyError::DeadlinePassed => {}
            _ => self.broke(),
        }
    }
}
