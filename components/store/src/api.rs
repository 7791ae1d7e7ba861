//! The trait through which every part meets the platform.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use serde::{Deserialize, Serialize};

use crate::StoreError;

/// Key of an object, such as `sapphirekeel/head`.
pub type ObjectKey = String;
/// Revision of an object. Grows with every write to the platform and is never used twice.
pub type Revision = u64;
/// A store shared by the parts of one process.
pub type SharedStore = Arc<dyn ObjectStore>;

/// Largest value the platform holds, in bytes, as the brief gives it.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// An object as the platform holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredObject {
    /// Key of the object.
    pub key: ObjectKey,
    /// Revision of the last write.
    pub revision: Revision,
    /// Value as text.
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
    /// Reads one object, or none where the key is free.
    async fn get(&self, key: &str) -> Result<Option<StoredObject>, StoreError>;

    /// Creates an object; refuses with [`StoreError::Conflict`] where the key is taken.
    async fn create(&self, key: &str, value: String) -> Result<Revision, StoreError>;

    /// Replaces an object whose revision is still `expected`, else [`StoreError::Conflict`].
    async fn replace(
        &self,
        key: &str,
        expected: Revision,
        value: String,
    ) -> Result<Revision, StoreError>;

    /// Deletes an object whose revision is still `expected`, else [`StoreError::Conflict`].
    async fn delete(&self, key: &str, expected: Revision) -> Result<(), StoreError>;

    /// Lists the objects whose keys begin with `prefix`, in key order.
    async fn list(&self, prefix: &str) -> Result<Vec<StoredObject>, StoreError>;

    /// Waits until the object's revision is greater than `after` and reads it, or gives none when
    /// `timeout` passes first. Events may come late; a revision seen may be newer than the next.
    async fn watch(
        &self,
        key: &str,
        after: Revision,
        timeout: Duration,
    ) -> Result<Option<StoredObject>, StoreError>;
}
