//! A way to an in-memory platform that fails on demand, for tests.

use std::{
    collections::VecDeque,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst},
    },
    time::Duration,
};

use async_trait::async_trait;
use tokio::{sync::Notify, task::JoinHandle};

use crate::{FakeStore, ObjectStore, Revision, StoreError, StoredObject};

/// What happens to one call of a [`FaultStore`], in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFault {
    /// The call goes through.
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
    /// The answer is lost at once; the write arrives so many milliseconds later.
    LateBy(u64),
}

/// One operator's way to a shared platform, which counts and spoils calls.
#[derive(Default)]
pub struct FaultStore {
    /// The platform.
    pub inner: Arc<FakeStore>,
    reads: AtomicUsize,
    writes: AtomicUsize,
    /// Time each call takes.
    latency: Duration,
    /// Whether calls yield, and only writes meet faults.
    is_interleaved: bool,
    faults: Mutex<VecDeque<CallFault>>,
    delayed: Mutex<Vec<(String, Option<Revision>, String)>>,
    is_paused: AtomicBool,
    gate: Notify,
}

impl FaultStore {
    /// Makes a way to a platform.
    pub fn new(inner: &Arc<FakeStore>) -> Arc<Self> {
        Self::slow(inner, Duration::ZERO)
    }

    /// Makes a way on which each call takes a time.
    pub fn slow(inner: &Arc<FakeStore>, latency: Duration) -> Arc<Self> {
        Arc::new(Self { inner: Arc::clone(inner), latency, ..Self::default() })
    }

    /// Makes a way to a platform of its own on which calls yield, so that callers interleave. Faults
    /// meet writes only.
    pub fn interleaved() -> Arc<Self> {
        Arc::new(Self { is_interleaved: true, ..Self::default() })
    }

    /// Sets the faults of the next calls.
    pub fn plan(&self, faults: &[CallFault]) {
        *self.lock() = faults.iter().copied().collect();
    }

    /// Puts faults before those planned, the last one first.
    pub fn plan_more(&self, faults: &[CallFault]) {
        let mut planned = self.lock();
        faults.iter().for_each(|fault| planned.push_front(*fault));
    }

    /// Resumes all suspended calls; a ledger may have several reads under way.
    pub fn resume(&self) {
        if self.is_paused.swap(false, SeqCst) {
            self.gate.notify_waiters();
        }
    }

    /// Lets all delayed writes reach the platform, under the conditions they were sent with.
    pub async fn arrive(&self) {
        let delayed =
            std::mem::take(&mut *self.delayed.lock().unwrap_or_else(PoisonError::into_inner));
        for (key, expected, value) in delayed {
            // Whether its condition still holds is what a test wants to see.
            let _ = self.send(&key, expected, value).await;
        }
    }

    /// Writes whatever the revision is, which the platform's border does not offer.
    ///
    /// # Errors
    ///
    /// Returns what the platform answers, or the planned fault.
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

    fn lock(&self) -> MutexGuard<'_, VecDeque<CallFault>> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn interleave(&self) {
        if self.is_interleaved {
            tokio::task::yield_now().await;
        }
    }

    fn pop_fault(&self) -> CallFault {
        let mut faults = self.lock();
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
        send_to(&self.inner, key, expected, value).await
    }

    async fn write(
        &self,
        key: &str,
        expected: Option<Revision>,
        value: String,
    ) -> Result<Revision, StoreError> {
        self.writes.fetch_add(1, SeqCst);
        self.interleave().await;
        let written = self.write_at_once(key, expected, value).await;
        self.interleave().await;
        written
    }

    async fn write_at_once(
        &self,
        key: &str,
        expected: Option<Revision>,
        value: String,
    ) -> Result<Revision, StoreError> {
        let lost = Err(StoreError::Unknown { reason: "answer lost".to_owned() });
        match self.next_fault().await? {
            CallFault::LoseRequest => lost,
            CallFault::LoseAnswer => self.send(key, expected, value).await.and(lost),
            CallFault::LateBy(millis) => {
                let (fake, key) = (self.inner.clone(), key.to_owned());
                tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_millis(millis)).await;
                    send_to(&fake, &key, expected, value).await
                });
                lost
            }
            CallFault::Delay => {
                let mut delayed = self.delayed.lock().unwrap_or_else(PoisonError::into_inner);
                delayed.push((key.to_owned(), expected, value));
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
        self.interleave().await;
        if !self.is_interleaved {
            self.next_fault().await?;
        }
        let found = self.inner.get(key).await;
        self.interleave().await;
        found
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

async fn send_to(
    store: &FakeStore,
    key: &str,
    expected: Option<Revision>,
    value: String,
) -> Result<Revision, StoreError> {
    match expected {
        Some(expected) => store.replace(key, expected, value).await,
        None => store.create(key, value).await,
    }
}
