//! A client of an in-memory platform whose calls fail on demand, for tests.
//!
//! Each client has faults of its own, so a test can fail the calls of one writer while others use
//! the same platform normally.

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

/// What happens to one call of a [`FaultStore`]; planned in order by [`FaultStore::plan_faults`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFault {
    /// The call succeeds.
    None,
    /// The call is refused without effect.
    Refuse,
    /// This call and all later ones are refused without effect, until the next plan.
    Outage,
    /// The caller is suspended before the call until [`FaultStore::resume`] is called.
    Pause,
    /// The write takes effect and its answer is lost.
    LoseAnswer,
    /// The write never takes effect; to its caller this looks like a lost answer.
    LoseRequest,
    /// The answer is lost at once; the write takes effect at [`FaultStore::deliver_delayed`].
    DelayUntilDelivered,
    /// The answer is lost at once; the write takes effect after this many milliseconds.
    DelayByMs(u64),
}

/// One client of a shared in-memory platform, which counts calls and injects faults.
#[derive(Default)]
pub struct FaultStore {
    /// The shared platform.
    pub inner: Arc<FakeStore>,
    reads: AtomicUsize,
    writes: AtomicUsize,
    /// Time that each read and write takes.
    latency: Duration,
    /// Whether calls yield to other tasks and faults apply to writes only.
    is_interleaved: bool,
    /// Faults of the next calls, in order.
    faults: Mutex<VecDeque<CallFault>>,
    /// Key, expected revision and value of the writes that wait for
    /// [`FaultStore::deliver_delayed`].
    delayed: Mutex<Vec<(String, Option<Revision>, String)>>,
    is_paused: AtomicBool,
    resumed: Notify,
}

impl FaultStore {
    /// Creates a client of a platform.
    pub fn new(inner: &Arc<FakeStore>) -> Arc<Self> {
        Self::with_latency(inner, Duration::ZERO)
    }

    /// Creates a client on which each read and write takes `latency`.
    pub fn with_latency(inner: &Arc<FakeStore>, latency: Duration) -> Arc<Self> {
        Arc::new(Self { inner: Arc::clone(inner), latency, ..Self::default() })
    }

    /// Creates a client of a new platform on which calls yield, so that concurrent callers
    /// interleave. Faults apply to writes only.
    pub fn new_interleaved() -> Arc<Self> {
        Arc::new(Self { is_interleaved: true, ..Self::default() })
    }

    /// Sets the faults of the next calls and replaces earlier plans.
    pub fn plan_faults(&self, faults: &[CallFault]) {
        *self.lock_faults() = faults.iter().copied().collect();
    }

    /// Puts faults before those already planned; the last of them happens first.
    pub fn plan_faults_before(&self, faults: &[CallFault]) {
        let mut planned = self.lock_faults();
        faults.iter().for_each(|fault| planned.push_front(*fault));
    }

    /// Resumes all suspended calls; a ledger may have several reads in flight.
    pub fn resume(&self) {
        if self.is_paused.swap(false, SeqCst) {
            self.resumed.notify_waiters();
        }
    }

    /// Delivers all delayed writes to the platform, under the conditions they were sent with.
    pub async fn deliver_delayed(&self) {
        let delayed =
            std::mem::take(&mut *self.delayed.lock().unwrap_or_else(PoisonError::into_inner));
        for (key, expected, value) in delayed {
            // The condition may no longer hold; the test checks the outcome in the platform.
            let _ = self.forward_write(&key, expected, value).await;
        }
    }

    /// Writes regardless of the revision, which [`ObjectStore`] does not offer.
    ///
    /// # Errors
    ///
    /// Returns the planned fault or the platform's error.
    pub async fn put_unconditionally(
        &self,
        key: &str,
        value: String,
    ) -> Result<Revision, StoreError> {
        self.next_fault().await?;
        let found = self.inner.get(key).await?;
        self.forward_write(key, found.map(|object| object.revision), value).await
    }

    /// Waits until a task that uses this store ends or is suspended. Returns whether it ended.
    pub async fn wait_ended_or_paused<T>(&self, task: &JoinHandle<T>) -> bool {
        while !task.is_finished() && !self.is_paused.load(SeqCst) {
            tokio::task::yield_now().await;
        }
        task.is_finished()
    }

    /// Returns the numbers of reads and writes since the last call of this method.
    pub fn take_counts(&self) -> (usize, usize) {
        (self.reads.swap(0, SeqCst), self.writes.swap(0, SeqCst))
    }

    fn lock_faults(&self) -> MutexGuard<'_, VecDeque<CallFault>> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Yields to other tasks where calls interleave.
    async fn interleave(&self) {
        if self.is_interleaved {
            tokio::task::yield_now().await;
        }
    }

    /// Takes the fault of the next call; an outage lasts until the next plan.
    fn pop_fault(&self) -> CallFault {
        let mut faults = self.lock_faults();
        match faults.front() {
            Some(CallFault::Outage) => CallFault::Outage,
            _ => faults.pop_front().unwrap_or(CallFault::None),
        }
    }

    /// Waits out the latency and any pauses, and returns the fault of the next call.
    async fn next_fault(&self) -> Result<CallFault, StoreError> {
        if !self.latency.is_zero() {
            tokio::time::sleep(self.latency).await;
        }
        loop {
            match self.pop_fault() {
                CallFault::Pause => {
                    self.is_paused.store(true, SeqCst);
                    self.resumed.notified().await;
                }
                CallFault::Refuse | CallFault::Outage => {
                    return Err(StoreError::Unavailable { reason: "outage".to_owned() });
                }
                fault => return Ok(fault),
            }
        }
    }

    async fn forward_write(
        &self,
        key: &str,
        expected: Option<Revision>,
        value: String,
    ) -> Result<Revision, StoreError> {
        write_to(&self.inner, key, expected, value).await
    }

    async fn write(
        &self,
        key: &str,
        expected: Option<Revision>,
        value: String,
    ) -> Result<Revision, StoreError> {
        self.writes.fetch_add(1, SeqCst);
        self.interleave().await;
        let written = self.write_with_fault(key, expected, value).await;
        self.interleave().await;
        written
    }

    /// Makes a write under the fault planned for it.
    async fn write_with_fault(
        &self,
        key: &str,
        expected: Option<Revision>,
        value: String,
    ) -> Result<Revision, StoreError> {
        let lost_answer = Err(StoreError::Unknown { reason: "answer lost".to_owned() });
        match self.next_fault().await? {
            CallFault::LoseRequest => lost_answer,
            CallFault::LoseAnswer => {
                self.forward_write(key, expected, value).await.and(lost_answer)
            }
            CallFault::DelayByMs(millis) => {
                let (platform, key) = (self.inner.clone(), key.to_owned());
                tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_millis(millis)).await;
                    write_to(&platform, &key, expected, value).await
                });
                lost_answer
            }
            CallFault::DelayUntilDelivered => {
                let mut delayed = self.delayed.lock().unwrap_or_else(PoisonError::into_inner);
                delayed.push((key.to_owned(), expected, value));
                lost_answer
            }
            _ => self.forward_write(key, expected, value).await,
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

/// Replaces the object at revision `expected`, or creates it where that is `None`.
async fn write_to(
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
