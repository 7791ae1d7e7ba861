//! Requests and a platform that fails on demand, shared by the ledger's tests.
#![allow(dead_code)] // Each test file uses its own part.

use std::{
    collections::VecDeque,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst},
    },
    time::Duration,
};

use async_trait::async_trait;
use sk_ledger::{Ledger, LedgerSettings};
use sk_model::{ChangeRequest, SettingBody, Version, parse_declaration};
use sk_store::{FakeStore, ObjectStore, Revision, StoreError, StoredObject};
use tokio::{sync::Notify, task::JoinHandle};

/// What happens to one call of a [`FaultStore`], in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFault {
    None,
    /// The call is refused without effect.
    Down,
    /// This call and all that follow are refused without effect, until the next plan.
    Outage,
    /// The caller is suspended before the call until [`FaultStore::resume`].
    Pause,
    /// The write takes effect, its answer is lost.
    LoseAnswer,
    /// The write never takes effect, which looks like a lost answer.
    LoseRequest,
    /// The answer is lost at once; the write arrives at [`FaultStore::arrive`].
    Delay,
}

/// One operator's way to a shared platform, which counts and spoils calls.
#[derive(Default)]
pub struct FaultStore {
    pub inner: Arc<FakeStore>,
    reads: AtomicUsize,
    writes: AtomicUsize,
    /// Time each call takes.
    latency: Duration,
    faults: Mutex<VecDeque<CallFault>>,
    delayed: Mutex<Vec<(String, Option<Revision>, String)>>,
    is_paused: AtomicBool,
    gate: Notify,
}

impl FaultStore {
    pub fn new(inner: &Arc<FakeStore>) -> Arc<Self> {
        Self::slow(inner, Duration::ZERO)
    }

    pub fn slow(inner: &Arc<FakeStore>, latency: Duration) -> Arc<Self> {
        Arc::new(Self { inner: Arc::clone(inner), latency, ..Self::default() })
    }

    pub fn plan(&self, faults: &[CallFault]) {
        *self.faults.lock().unwrap() = faults.iter().copied().collect();
    }

    /// Resumes all suspended calls; a ledger may have several reads under way.
    pub fn resume(&self) {
        if self.is_paused.swap(false, SeqCst) {
            self.gate.notify_waiters();
        }
    }

    /// Lets all delayed writes reach the platform, under the conditions they were sent with.
    pub async fn arrive(&self) {
        let delayed = std::mem::take(&mut *self.delayed.lock().unwrap());
        for (key, expected, value) in delayed {
            let _ = self.send(&key, expected, value).await;
        }
    }

    /// Writes whatever the revision is, which the platform's border does not offer.
    pub async fn put_blindly(&self, key: &str, value: String) -> Result<Revision, StoreError> {
        self.next_fault().await?;
        let found = self.inner.get(key).await?;
        self.send(key, found.map(|object| object.revision), value).await
    }

    /// Waits until a task of this store's ends, and tells so, or until it is suspended.
    pub async fn settle<T>(&self, task: &JoinHandle<T>) -> bool {
        while !task.is_finished() && !self.is_paused.load(SeqCst) {
            tokio::task::yield_now().await;
        }
        task.is_finished()
    }

    /// Gives the reads and writes since the last call.
    pub fn take_counts(&self) -> (usize, usize) {
        (self.reads.swap(0, SeqCst), self.writes.swap(0, SeqCst))
    }

    fn pop_fault(&self) -> CallFault {
        let mut faults = self.faults.lock().unwrap();
        match faults.front() {
            Some(CallFault::Outage) => CallFault::Outage,
            _ => faults.pop_front().unwrap_or(CallFault::None),
        }
    }

    async fn next_fault(&self) -> Result<CallFault, StoreError> {
        if !self.latency.is_zero() {
            tokio::time::sleep(self.latency).await;
        }
        loop {
            match self.pop_fault() {
                CallFault::Pause => {
                    self.is_paused.store(true, SeqCst);
                    self.gate.notified().await;
                }
                CallFault::Down | CallFault::Outage => {
                    return Err(StoreError::Unavailable { reason: "outage".to_owned() });
                }
                fault => return Ok(fault),
            }
        }
    }

    async fn send(
        &self,
        key: &str,
        expected: Option<Revision>,
        value: String,
    ) -> Result<Revision, StoreError> {
        match expected {
            Some(expected) => self.inner.replace(key, expected, value).await,
            None => self.inner.create(key, value).await,
        }
    }

    async fn write(
        &self,
        key: &str,
        expected: Option<Revision>,
        value: String,
    ) -> Result<Revision, StoreError> {
        self.writes.fetch_add(1, SeqCst);
        let lost = Err(StoreError::Unknown { reason: "answer lost".to_owned() });
        match self.next_fault().await? {
            CallFault::LoseRequest => lost,
            CallFault::LoseAnswer => self.send(key, expected, value).await.and(lost),
            CallFault::Delay => {
                self.delayed.lock().unwrap().push((key.to_owned(), expected, value));
                lost
            }
            _ => self.send(key, expected, value).await,
        }
    }
}

#[async_trait]
impl ObjectStore for FaultStore {
    async fn get(&self, key: &str) -> Result<Option<StoredObject>, StoreError> {
        self.reads.fetch_add(1, SeqCst);
        self.next_fault().await?;
        self.inner.get(key).await
    }

    async fn create(&self, key: &str, value: String) -> Result<Revision, StoreError> {
        self.write(key, None, value).await
    }

    async fn replace(
        &self,
        key: &str,
        expected: Revision,
        value: String,
    ) -> Result<Revision, StoreError> {
        self.write(key, Some(expected), value).await
    }

    async fn delete(&self, key: &str, expected: Revision) -> Result<(), StoreError> {
        self.inner.delete(key, expected).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<StoredObject>, StoreError> {
        self.inner.list(prefix).await
    }

    async fn watch(
        &self,
        key: &str,
        after: Revision,
        timeout: Duration,
    ) -> Result<Option<StoredObject>, StoreError> {
        self.reads.fetch_add(1, SeqCst);
        self.inner.watch(key, after, timeout).await
    }
}

/// Makes a ledger with a short tail, so that history is used, and without pauses.
pub fn quick_ledger(store: &Arc<FaultStore>) -> Arc<Ledger> {
    let settings = LedgerSettings {
        tail_records: 8,
        submit_tries: 12,
        backoff_base: Duration::ZERO,
        ..LedgerSettings::default()
    };
    Arc::new(Ledger::new(Arc::clone(store) as Arc<dyn ObjectStore>, settings))
}

pub fn setting(text: &str) -> SettingBody {
    parse_declaration(text).expect("a good declaration")
}

pub fn route(prefix: &str, service: &str) -> SettingBody {
    setting(&format!("kind = \"route\"\nprefix = \"{prefix}\"\nservice = \"{service}\""))
}

pub fn service() -> SettingBody {
    setting("kind = \"service\"")
}

pub fn value(text: impl ToString) -> SettingBody {
    setting(&format!("kind = \"value\"\ntext = \"{}\"", text.to_string()))
}

/// Makes a request; the team is that of the first path.
pub fn request(
    change_id: &str,
    author: &str,
    base: Version,
    writes: &[(&str, Option<SettingBody>)],
) -> ChangeRequest {
    ChangeRequest {
        change_id: change_id.to_owned(),
        team: sk_model::team_of(writes[0].0).to_owned(),
        author: author.to_owned(),
        revision: "main".to_owned(),
        base,
        writes: writes.iter().map(|(path, body)| ((*path).to_owned(), body.clone())).collect(),
    }
}
