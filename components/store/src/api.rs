//! The trait through which all parts of the daemon use the platform's object API.
//!
//! Writes are conditional on a revision, so that two daemons cannot overwrite each other's changes
//! unnoticed. Tests use the in-memory implementations instead of the platform.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use serde::{Deserialize, Serialize};

use crate::StoreError;

/// Key of an object, such as `sapphirekeel/head`.
pub type ObjectKey = String;
/// Revision of an object. It grows with every write to the platform and is not reused, unless the
/// platform comes back from an older copy; see [`ObjectStore::restore_count`].
pub type Revision = u64;
/// A store shared by the parts of one process.
pub type SharedStore = Arc<dyn ObjectStore>;

/// Largest value that the platform stores, in bytes; a limit of the platform.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// An object as the platform stores it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredObject {
    /// Key of the object.
    pub key: ObjectKey,
    /// Revision of the last write.
    pub revision: Revision,
    /// Value of the object, as text.
    pub value: String,
}

/// The platform's object API.
///
/// # Errors
///
/// Each method returns a [`StoreError`]. For writes, [`StoreError::Unknown`] means that the write
/// may or may not have taken effect; every other error means that it did not.
#[async_trait]
pub trait ObjectStore: Send + Sync {
    /// Reads one object, or `None` where the key is free.
    async fn get(&self, key: &str) -> Result<Option<StoredObject>, StoreError>;

    /// Creates an object, or fails with [`StoreError::Conflict`] where the key is taken.
    async fn create(&self, key: &str, value: String) -> Result<Revision, StoreError>;

    /// Replaces an object whose revision is still `expected`, or fails with
    /// [`StoreError::Conflict`]. Returns the new revision.
    async fn replace(
        &self,
        key: &str,
        expected: Revision,
        value: String,
    ) -> Result<Revision, StoreError>;

    /// Deletes an object whose revision is still `expected`, or fails with
    /// [`StoreError::Conflict`].
    async fn delete(&self, key: &str, expected: Revision) -> Result<(), StoreError>;

    /// Lists the objects whose keys begin with `prefix`, in key order.
    async fn list(&self, prefix: &str) -> Result<Vec<StoredObject>, StoreError>;

    /// Waits until the object's revision is greater than `after` and reads it, or returns `None`
    /// when `timeout` elapses first. Notifications may be late, and the object returned may be
    /// newer than the write that follows `after`.
    async fn watch(
        &self,
        key: &str,
        after: Revision,
        timeout: Duration,
    ) -> Result<Option<StoredObject>, StoreError>;

    /// Returns a number that rises when the store is found to have come back from an older copy.
    /// What was written in the last seconds before may be gone, and revisions are given out again.
    fn restore_count(&self) -> u64 {
        0
    }
}
