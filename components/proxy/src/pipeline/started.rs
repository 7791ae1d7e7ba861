//! A request that runs ahead of its turn.

use http::Response;
use tokio::{
    sync::{OwnedSemaphorePermit, watch},
    task::JoinHandle,
};

use crate::body::ProxyBody;

/// A running request, which ends when this is dropped.
pub(super) struct StartedRequest {
    task: JoinHandle<Response<ProxyBody>>,
    turn: watch::Sender<bool>,
    _permit: OwnedSemaphorePermit,
}

impl StartedRequest {
    pub(super) fn new(
        task: JoinHandle<Response<ProxyBody>>,
        turn: watch::Sender<bool>,
        permit: OwnedSemaphorePermit,
    ) -> Self {
        Self { task, turn, _permit: permit }
    }

    /// Gives the request its turn and awaits its answer.
    ///
    /// # Panics
    ///
    /// Panics if the request did.
    pub(super) async fn join(mut self) -> Response<ProxyBody> {
        self.turn.send_replace(true);
        match (&mut self.task).await {
            Ok(response) => response,
            // Only the drop of this value cancels the task.
            Err(err) => std::panic::resume_unwind(err.into_panic()),
        }
    }
}

impl Drop for StartedRequest {
    fn drop(&mut self) {
        self.task.abort();
    }
}
