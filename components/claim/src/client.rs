//! The claims of one daemon, committed in batches.

use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
};

use sk_model::unix_time_ms;
use sk_store::SharedStore;
use tokio::sync::{mpsc, oneshot};

use crate::{
    commit::{PartitionWriter, partition_of},
    error::ClaimError,
    head::{AttemptId, ClaimKey},
    partition::{ClaimOperation, ClaimVerdict},
    settings::ClaimSettings,
};

type ClaimResult = Result<ClaimVerdict, ClaimError>;

/// An operation with the channel for its result.
struct QueuedOperation {
    operation: ClaimOperation,
    reply: oneshot::Sender<ClaimResult>,
}

type OperationSender = mpsc::Sender<QueuedOperation>;

/// Claims requests for the guards of one daemon.
///
/// Operations of one partition that arrive during a commit go into the next one together. A daemon
/// thus writes at most one commit at a time to each partition, however many requests it guards.
pub struct ClaimClient {
    store: SharedStore,
    settings: ClaimSettings,
    writers: Mutex<HashMap<u32, OperationSender>>,
}

impl ClaimClient {
    /// Creates an instance that uses the platform. Requires a tokio runtime from the first claim
    /// on.
    pub fn new(store: SharedStore, settings: ClaimSettings) -> Self {
        Self { store, settings, writers: Mutex::default() }
    }

    /// Claims a request for one attempt.
    ///
    /// # Errors
    ///
    /// Returns a [`ClaimError`] if the platform is unavailable or too slow. The attempt is then
    /// not granted, must not run, and needs no [`ClaimClient::release`].
    pub async fn claim(&self, key: &ClaimKey, attempt: AttemptId) -> ClaimResult {
        let result = self.submit(ClaimOperation::Claim { key: key.clone(), attempt }).await;
        if result.is_err() {
            // The claim may have taken effect nevertheless. If it stayed, every resend would be
            // answered with "unknown" although nothing ran.
            self.submit_in_background(ClaimOperation::Release { key: key.clone(), attempt });
        }
        result
    }

    /// Records that the granted attempt ran, and its status. Returns at once; if the record is
    /// lost, a resend is answered with "unknown" instead of the status.
    pub fn record_status(&self, key: &ClaimKey, attempt: AttemptId, status: u16) {
        self.submit_in_background(ClaimOperation::Ran { key: key.clone(), attempt, status });
    }

    /// Releases a grant because the attempt did not run and never will. The release continues if
    /// the caller of this function stops waiting.
    pub async fn release(&self, key: &ClaimKey, attempt: AttemptId) {
        if self.submit(ClaimOperation::Release { key: key.clone(), attempt }).await.is_err() {
            log::info!(
                "claim: a claim is not released; a resend may be answered with \"unknown\"."
            );
        }
    }

    /// Queues an operation for the writer of its partition and waits for the result.
    async fn submit(&self, operation: ClaimOperation) -> ClaimResult {
        let unavailable = |reason: &str| ClaimError::Unavailable { reason: reason.to_owned() };
        let (reply, reply_receiver) = oneshot::channel();
        let sent =
            self.writer(operation_key(&operation)).try_send(QueuedOperation { operation, reply });
        sent.map_err(|_| unavailable("too many claims are waiting"))?;
        reply_receiver.await.map_err(|_| unavailable("the writer of the partition has ended"))?
    }

    /// Queues an operation without waiting for its result.
    fn submit_in_background(&self, operation: ClaimOperation) {
        let (reply, _) = oneshot::channel();
        if self
            .writer(operation_key(&operation))
            .try_send(QueuedOperation { operation, reply })
            .is_err()
        {
            log::info!(
                "claim: an outcome or release is not recorded: too many claims are waiting."
            );
        }
    }

    /// Returns the queue of the partition of a key, and starts its writer if there is none yet.
    fn writer(&self, key: &str) -> OperationSender {
        let partition = partition_of(key, self.settings.partitions);
        let mut writers = self.writers.lock().unwrap_or_else(PoisonError::into_inner);
        let sender = writers.entry(partition).or_insert_with(|| self.start_writer(partition));
        sender.clone()
    }

    fn start_writer(&self, partition: u32) -> OperationSender {
        let (sender, operations) = mpsc::channel(self.settings.max_queued);
        let (store, settings) = (self.store.clone(), self.settings.clone());
        tokio::spawn(run_writer(store, settings, partition, operations));
        sender
    }
}

/// Commits the queued operations of one partition in batches until the queue is closed.
async fn run_writer(
    store: SharedStore,
    settings: ClaimSettings,
    partition: u32,
    mut queue: mpsc::Receiver<QueuedOperation>,
) {
    let mut writer = PartitionWriter::default();
    let mut batch = Vec::new();
    while queue.recv_many(&mut batch, settings.max_batch).await > 0 {
        let operations: Vec<ClaimOperation> =
            batch.iter().map(|queued| queued.operation.clone()).collect();
        let result = writer.commit(&store, &settings, partition, &operations, unix_time_ms()).await;
        if let Err(err) = &result {
            log::warn!("claim: partition {partition}: {err}.");
        }
        for (index, queued) in batch.drain(..).enumerate() {
            let verdict = result.as_ref().map(|verdicts| verdicts[index].clone());
            // The request may have been dropped meanwhile. Its claim then remains without an
            // outcome, and whoever dropped the request releases it.
            let _ = queued.reply.send(verdict.map_err(Clone::clone));
        }
    }
}

fn operation_key(operation: &ClaimOperation) -> &ClaimKey {
    match operation {
        ClaimOperation::Claim { key, .. }
        | ClaimOperation::Ran { key, .. }
        | ClaimOperation::Release { key, .. } => key,
    }
}
