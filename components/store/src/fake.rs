//! An in-memory platform for tests and for the platform stand-in.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use async_trait::async_trait;
use tokio::sync::watch;

use crate::{MAX_VALUE_BYTES, ObjectKey, ObjectStore, Revision, StoreError, StoredObject};

/// What happens to one write; planned in order by [`FakeStore::plan_write_fault`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteFault {
    /// The write succeeds.
    None,
    /// The write takes effect and its answer is lost.
    LoseAnswer,
    /// The write is lost before it takes effect; its caller cannot distinguish this from a lost
    /// answer.
    LoseRequest,
}

#[derive(Default)]
struct FakeState {
    objects: BTreeMap<ObjectKey, StoredObject>,
    revision: Revision,
    is_down: bool,
    write_faults: VecDeque<WriteFault>,
}

/// An in-memory platform that can simulate an outage and lost answers.
pub struct FakeStore {
    state: Mutex<FakeState>,
    changes: watch::Sender<Revision>,
}

impl Default for FakeStore {
    fn default() -> Self {
        Self { state: Mutex::default(), changes: watch::Sender::new(0) }
    }
}

impl FakeStore {
    /// Creates an empty platform.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts or ends an outage, during which every call fails without effect.
    pub fn set_outage(&self, is_down: bool) {
        self.lock_state().is_down = is_down;
    }

    /// Plans the fault of one more write; writes beyond those planned succeed.
    pub fn plan_write_fault(&self, fault: WriteFault) {
        self.lock_state().write_faults.push_back(fault);
    }

    /// Removes the planned faults that are not yet used.
    pub fn clear_faults(&self) {
        self.lock_state().write_faults.clear();
    }

    fn lock_state(&self) -> MutexGuard<'_, FakeState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the state, or fails during an outage.
    fn lock_available(&self) -> Result<MutexGuard<'_, FakeState>, StoreError> {
        let state = self.lock_state();
        if state.is_down {
            return Err(StoreError::Unavailable { reason: "outage".to_owned() });
        }
        Ok(state)
    }

    /// Writes or deletes (`value` is `None`) an object under the planned fault of the write.
    fn write(
        &self,
        key: &str,
        expected: Option<Revision>,
        value: Option<String>,
    ) -> Result<Revision, StoreError> {
        let mut state = self.lock_available()?;
        let lost_error = || StoreError::Unknown { reason: "answer lost".to_owned() };
        let fault = state.write_faults.pop_front().unwrap_or(WriteFault::None);
        if fault == WriteFault::LoseRequest {
            return Err(lost_error());
        }
        if let Some(size) = value.as_ref().map(String::len).filter(|size| *size > MAX_VALUE_BYTES) {
            return Err(StoreError::TooLarge { size });
        }
        let found = state.objects.get(key).map(|object| object.revision);
        if found != expected {
            return Err(StoreError::Conflict { key: key.to_owned(), found });
        }
        state.revision += 1;
        let revision = state.revision;
        match value {
            Some(value) => {
                let object = StoredObject { key: key.to_owned(), revision, value };
                state.objects.insert(key.to_owned(), object);
            }
            None => {
                state.objects.remove(key);
            }
        }
        drop(state);
        self.changes.send_replace(revision);
        if fault == WriteFault::LoseAnswer { Err(lost_error()) } else { Ok(revision) }
    }
}

#[async_trait]
impl ObjectStore for FakeStore {
    async fn get(&self, key: &str) -> Result<Option<StoredObject>, StoreError> {
        Ok(self.lock_available()?.objects.get(key).cloned())
    }

    async fn create(&self, key: &str, value: String) -> Result<Revision, StoreError> {
        self.write(key, None, Some(value))
    }

    async fn replace(
        &self,
        key: &str,
        expected: Revision,
        value: String,
    ) -> Result<Revision, StoreError> {
        self.write(key, Some(expected), Some(value))
    }

    async fn delete(&self, key: &str, expected: Revision) -> Result<(), StoreError> {
        self.write(key, Some(expected), None).map(|_| ())
    }

    async fn list(&self, prefix: &str) -> Result<Vec<StoredObject>, StoreError> {
        let state = self.lock_available()?;
        let has_prefix = |(key, _): &(&ObjectKey, _)| key.starts_with(prefix);
        let candidates = state.objects.range(prefix.to_owned()..);
        Ok(candidates.take_while(has_prefix).map(|(_, object)| object.clone()).collect())
    }

    async fn watch(
        &self,
        key: &str,
        after: Revision,
        timeout: Duration,
    ) -> Result<Option<StoredObject>, StoreError> {
        let mut changes = self.changes.subscribe();
        let deadline = tokio::time::Instant::now() + timeout;
        loop {
            let object = self.get(key).await?.filter(|object| object.revision > after);
            if object.is_some() {
                return Ok(object);
            }
            if tokio::time::timeout_at(deadline, changes.changed()).await.is_err() {
                return Ok(None);
            }
        }
    }
}
