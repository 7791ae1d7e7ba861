//! Claims from many requests at once, committed in groups.

use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
};

use sk_model::unix_now;
use sk_store::SharedStore;
use tokio::sync::{mpsc, oneshot};

use crate::{
    commit::{PartitionWriter, partition_of},
    error::ClaimError,
    head::{AttemptId, ClaimKey},
    partition::{ClaimVerdict, ClaimWish},
    settings::ClaimSettings,
};

type ClaimResult = Result<ClaimVerdict, ClaimError>;

struct QueuedWish {
    wish: ClaimWish,
    answer: oneshot::Sender<ClaimResult>,
}

type WishSender = mpsc::Sender<QueuedWish>;

/// Claims of one daemon.
///
/// Wishes of one partition that arrive while a commit is under way go into the next one together,
/// so that a daemon writes at most one commit at a time to each partition, however many requests
/// it guards.
pub struct ClaimBook {
    store: SharedStore,
    settings: ClaimSettings,
    writers: Mutex<HashMap<u32, WishSender>>,
}

impl ClaimBook {
    /// Makes a book over the platform. Needs a tokio runtime from the first claim on.
    pub fn new(store: SharedStore, settings: ClaimSettings) -> Self {
        Self { store, settings, writers: Mutex::default() }
    }

    /// Claims a request for one attempt.
    ///
    /// # Errors
    ///
    /// Returns a [`ClaimError`] when the platform is away or too slow. The attempt is then not
    /// granted, must not run, and needs no [`ClaimBook::give_back`].
    pub async fn claim(&self, key: &ClaimKey, attempt: AttemptId) -> ClaimResult {
        let result = self.submit(ClaimWish::Claim { key: key.clone(), attempt }).await;
        if result.is_err() {
            // The claim may have landed all the same. Left there, it would answer every resend
            // with "unknown" although nothing ran.
            self.submit_later(ClaimWish::GiveBack { key: key.clone(), attempt });
        }
        result
    }

    /// Records that the granted attempt ran and how it was answered. It returns at once; if the
    /// record is lost, a resend is told "unknown" instead of the status.
    pub fn ran(&self, key: &ClaimKey, attempt: AttemptId, status: u16) {
        self.submit_later(ClaimWish::Ran { key: key.clone(), attempt, status });
    }

    /// Gives a grant back because the attempt did not run and never will. It goes on when the
    /// caller stops waiting for it.
    pub async fn give_back(&self, key: &ClaimKey, attempt: AttemptId) {
        if self.submit(ClaimWish::GiveBack { key: key.clone(), attempt }).await.is_err() {
            log::info!("claim: a claim is not given back.");
        }
    }

    async fn submit(&self, wish: ClaimWish) -> ClaimResult {
        let unavailable = |reason: &str| ClaimError::Unavailable { reason: reason.to_owned() };
        let (answer, answered) = oneshot::channel();
        let sent = self.writer(wish_key(&wish)).try_send(QueuedWish { wish, answer });
        sent.map_err(|_| unavailable("too many claims wait"))?;
        answered.await.map_err(|_| unavailable("the writer ended"))?
    }

    fn submit_later(&self, wish: ClaimWish) {
        let (answer, _) = oneshot::channel();
        if self.writer(wish_key(&wish)).try_send(QueuedWish { wish, answer }).is_err() {
            log::info!("claim: an outcome is not recorded, too many claims wait.");
        }
    }

    fn writer(&self, key: &str) -> WishSender {
        let number = partition_of(key, self.settings.partitions);
        let mut writers = self.writers.lock().unwrap_or_else(PoisonError::into_inner);
        let sender = writers.entry(number).or_insert_with(|| self.start_writer(number));
        sender.clone()
    }

    fn start_writer(&self, number: u32) -> WishSender {
        let (sender, wishes) = mpsc::channel(self.settings.queue);
        let (store, settings) = (self.store.clone(), self.settings.clone());
        tokio::spawn(write_forever(store, settings, number, wishes));
        sender
    }
}

async fn write_forever(
    store: SharedStore,
    settings: ClaimSettings,
    number: u32,
    mut queue: mpsc::Receiver<QueuedWish>,
) {
    let mut writer = PartitionWriter::default();
    let mut batch = Vec::new();
    while queue.recv_many(&mut batch, settings.batch).await > 0 {
        let wishes: Vec<ClaimWish> = batch.iter().map(|queued| queued.wish.clone()).collect();
        let result = writer.commit(&store, &settings, number, &wishes, unix_now()).await;
        if let Err(err) = &result {
            log::warn!("claim: partition {number}: {err}.");
        }
        for (index, queued) in batch.drain(..).enumerate() {
            let verdict = result.as_ref().map(|verdicts| verdicts[index].clone());
            // The request may have gone meanwhile. Its claim then stands without an outcome, and
            // whoever dropped the request gives it back.
            let _ = queued.answer.send(verdict.map_err(Clone::clone));
        }
    }
}

fn wish_key(wish: &ClaimWish) -> &ClaimKey {
    match wish {
        ClaimWish::Claim { key, .. }
        | ClaimWish::Ran { key, .. }
        | ClaimWish::GiveBack { key, .. } => key,
    }
}
