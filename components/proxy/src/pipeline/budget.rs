//! Bounds of what all connections of a listener hold for pipelined requests.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Requests that run ahead of their turn, on all connections.
const MAX_STARTED: usize = 256;
/// Bytes that are kept for pipelined requests on all connections: heads and answers. A twentieth
/// of the smallest instance's memory.
const MAX_BYTES: usize = 8 * 1024 * 1024;

/// What the connections of a listener may hold together.
#[derive(Debug)]
pub(crate) struct PipelineBudget {
    started: Arc<Semaphore>,
    bytes: Arc<Semaphore>,
}

impl Default for PipelineBudget {
    fn default() -> Self {
        let (started, bytes) = (Semaphore::new(MAX_STARTED), Semaphore::new(MAX_BYTES));
        Self { started: Arc::new(started), bytes: Arc::new(bytes) }
    }
}

impl PipelineBudget {
    /// Takes the place of a request, if there is one.
    pub(super) fn take_start(&self) -> Option<OwnedSemaphorePermit> {
        self.started.clone().try_acquire_owned().ok()
    }

    /// Waits until no request runs ahead of its turn.
    pub(crate) async fn wait_idle(&self) {
        // The permits are returned with the turns of the requests, so this never waits for long.
        let all = u32::try_from(MAX_STARTED).unwrap_or(u32::MAX);
        let _ = self.started.acquire_many(all).await;
    }

    /// Takes room for bytes, if there is enough.
    pub(super) fn take_bytes(&self, count: usize) -> Option<OwnedSemaphorePermit> {
        let count = u32::try_from(count).ok()?;
        self.bytes.clone().try_acquire_many_owned(count).ok()
    }
}
