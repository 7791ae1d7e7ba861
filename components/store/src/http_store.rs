//! The HTTP client of the platform's object API.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::{Method, StatusCode};
use serde::de::DeserializeOwned;

use crate::{
    CallAnswer, HttpCaller, MAX_VALUE_BYTES, ObjectStore, Revision, StoreError, StoredObject,
    wire::{ConflictAnswer, ListAnswer, WriteAnswer, WriteBody},
};

/// Added to the timeout of a watch before its answer counts as lost, as the platform answers only
/// when that timeout ends.
const WATCH_GRACE: Duration = Duration::from_secs(2);

/// The platform's object API over HTTP.
pub struct HttpStore {
    caller: HttpCaller,
    timeout: Duration,
}

impl HttpStore {
    /// Creates a client for the platform at `address` (`host:port`); `timeout` bounds each call
    /// other than a watch.
    pub fn new(address: &str, timeout: Duration) -> Self {
        Self { caller: HttpCaller::new(address), timeout }
    }

    /// Makes a writing call and returns the body of its answer, or the error that its status stands
    /// for.
    async fn call_write(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, StoreError> {
        let answer = self.caller.call(method, path, body, self.timeout).await?;
        answer.require_success()
    }

    /// Creates an object, or replaces it where `expected` names its revision.
    async fn write_object(
        &self,
        key: &str,
        expected: Option<Revision>,
        value: String,
    ) -> Result<Revision, StoreError> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(StoreError::TooLarge { size: value.len() });
        }
        let body = encode(&WriteBody { key: key.to_owned(), expected, value })?;
        let body = self.call_write(Method::PUT, "/v1/object", body).await;
        let body = body.map_err(|err| add_conflict_key(err, key))?;
        // The write took effect even where its new revision cannot be decoded.
        let answer: Result<WriteAnswer, StoreError> = decode(&body);
        answer
            .map(|answer| answer.revision)
            .map_err(|err| StoreError::Unknown { reason: err.to_string() })
    }
}

trait AnswerBody {
    /// Returns the body of a successful answer, or the error that the status stands for.
    fn require_success(self) -> Result<Bytes, StoreError>;
}

impl AnswerBody for CallAnswer {
    fn require_success(self) -> Result<Bytes, StoreError> {
        match self.status {
            status if status.is_success() => Ok(self.body),
            StatusCode::CONFLICT => {
                let found = decode::<ConflictAnswer>(&self.body)?.found;
                Err(StoreError::Conflict { key: String::new(), found })
            }
            StatusCode::TOO_MANY_REQUESTS => {
                Err(StoreError::Throttled { retry_after: self.retry_after })
            }
            StatusCode::PAYLOAD_TOO_LARGE => Err(StoreError::TooLarge { size: MAX_VALUE_BYTES }),
            StatusCode::SERVICE_UNAVAILABLE => {
                Err(StoreError::Unavailable { reason: "platform answered 503".to_owned() })
            }
            // The platform may have failed after the write took effect.
            status if status.is_server_error() => {
                Err(StoreError::Unknown { reason: format!("platform answered {status}") })
            }
            status => Err(StoreError::Protocol { reason: format!("platform answered {status}") }),
        }
    }
}

/// Adds the key to a conflict, whose answer does not contain it.
fn add_conflict_key(err: StoreError, key: &str) -> StoreError {
    match err {
        StoreError::Conflict { found, .. } => StoreError::Conflict { key: key.to_owned(), found },
        other => other,
    }
}

fn encode<T: serde::Serialize>(body: &T) -> Result<Bytes, StoreError> {
    let json = serde_json::to_vec(body);
    json.map(Bytes::from).map_err(|err| StoreError::Protocol { reason: err.to_string() })
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|err| StoreError::Protocol { reason: err.to_string() })
}

#[async_trait]
impl ObjectStore for HttpStore {
    async fn get(&self, key: &str) -> Result<Option<StoredObject>, StoreError> {
        let path = format!("/v1/object?key={key}");
        let answer = self.caller.call(Method::GET, &path, Bytes::new(), self.timeout).await?;
        if answer.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        decode(&answer.require_success()?).map(Some)
    }

    async fn create(&self, key: &str, value: String) -> Result<Revision, StoreError> {
        self.write_object(key, None, value).await
    }

    async fn replace(
        &self,
        key: &str,
        expected: Revision,
        value: String,
    ) -> Result<Revision, StoreError> {
        self.write_object(key, Some(expected), value).await
    }

    async fn delete(&self, key: &str, expected: Revision) -> Result<(), StoreError> {
        let path = format!("/v1/object?key={key}&expected={expected}");
        let answer = self.call_write(Method::DELETE, &path, Bytes::new()).await;
        answer.map(|_| ()).map_err(|err| add_conflict_key(err, key))
    }

    async fn list(&self, prefix: &str) -> Result<Vec<StoredObject>, StoreError> {
        let path = format!("/v1/objects?prefix={prefix}");
        let answer = self.caller.call(Method::GET, &path, Bytes::new(), self.timeout).await?;
        Ok(decode::<ListAnswer>(&answer.require_success()?)?.objects)
    }

    async fn watch(
        &self,
        key: &str,
        after: Revision,
        timeout: Duration,
    ) -> Result<Option<StoredObject>, StoreError> {
        let path = format!("/v1/watch?key={key}&after={after}&timeout_ms={}", timeout.as_millis());
        let answer = self
            .caller
            .call(Method::GET, &path, Bytes::new(), timeout.saturating_add(WATCH_GRACE))
            .await?;
        if answer.status == StatusCode::NO_CONTENT {
            return Ok(None);
        }
        decode(&answer.require_success()?).map(Some)
    }
}
