//! A platform whose calls interleave and whose writes may land late.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use async_trait::async_trait;
use sk_store::{FakeStore, ObjectStore, Revision, StoreError, StoredObject};

/// What happens to one write.
#[derive(Clone, Copy, Debug)]
pub enum WriteFate {
    /// It takes effect and is answered.
    Answered,
    /// It takes effect and its answer is lost.
    AnswerLost,
    /// It never takes effect, which its caller cannot tell from a lost answer.
    Lost,
    /// Its caller hears nothing, and it takes effect this many milliseconds later.
    Late(u64),
}

/// A platform that yields around every call, so that callers interleave.
#[derive(Clone, Default)]
pub struct UnrulyStore {
    pub fake: Arc<FakeStore>,
    fates: Arc<Mutex<Vec<WriteFate>>>,
}

impl UnrulyStore {
    pub fn plan(&self, fates: Vec<WriteFate>) {
        self.fates.lock().expect("unpoisoned").extend(fates);
    }

    async fn write(
        &self,
        key: &str,
        expected: Option<Revision>,
        value: String,
    ) -> Result<Revision, StoreError> {
        tokio::task::yield_now().await;
        let fate = self.fates.lock().expect("unpoisoned").pop().unwrap_or(WriteFate::Answered);
        let lost = Err(StoreError::Unknown { reason: "planned".to_owned() });
        let (fake, key) = (self.fake.clone(), key.to_owned());
        let land = async move {
            match expected {
                Some(expected) => fake.replace(&key, expected, value).await,
                None => fake.create(&key, value).await,
            }
        };
        let result = match fate {
            WriteFate::Answered => land.await,
            WriteFate::AnswerLost => land.await.and(lost),
            WriteFate::Lost => lost,
            WriteFate::Late(milliseconds) => {
                tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_millis(milliseconds)).await;
                    land.await
                });
                lost
            }
        };
        tokio::task::yield_now().await;
        result
    }
}

#[async_trait]
impl ObjectStore for UnrulyStore {
    async fn get(&self, key: &str) -> Result<Option<StoredObject>, StoreError> {
        tokio::task::yield_now().await;
        let result = self.fake.get(key).await;
        tokio::task::yield_now().await;
        result
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
        self.fake.delete(key, expected).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<StoredObject>, StoreError> {
        self.fake.list(prefix).await
    }

    async fn watch(
        &self,
        key: &str,
        after: Revision,
        timeout: Duration,
    ) -> Result<Option<StoredObject>, StoreError> {
        self.fake.watch(key, after, timeout).await
    }
}
