//! HTTP calls to the platform, with bounded time and answer size.
//!
//! A failed call reports whether the platform may have received it, so that a write whose answer
//! was lost is not taken for one that had no effect.

use std::{sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};

use crate::{MAX_VALUE_BYTES, StoreError};

/// Largest answer that is read, in bytes. A listing of the fleet's reports stays far below it.
const MAX_ANSWER_BYTES: usize = 64 * MAX_VALUE_BYTES;
/// Timeout for opening a connection; after it the platform counts as unavailable.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long idle connections are kept. It is below the usual idle timeout of servers.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Wait before the next call where a refusal has no `Retry-After`.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest `Retry-After` that is followed; a wrong one would stop a daemon's calls for hours.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Makes HTTP calls to the platform over pooled connections.
pub struct HttpCaller {
    base_url: String,
    client: ArcSwap<HttpClient>,
}

/// A complete answer of the platform.
#[derive(Clone, Debug)]
pub struct CallAnswer {
    /// HTTP status of the answer.
    pub status: StatusCode,
    /// How long a refused caller is to wait before its next call.
    pub retry_after: Duration,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Body of the answer.
    pub body: Bytes,
}

impl HttpCaller {
    /// Creates a caller for the platform at `address` (`host:port`).
    pub fn new(address: &str) -> Self {
        Self { base_url: format!("http://{address}"), client: ArcSwap::from_pointee(make_client()) }
    }

    /// Makes one call with a JSON body and reads its answer within `timeout`.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Unavailable`] where no byte can have reached the platform,
    /// [`StoreError::Unknown`] where the answer was lost, and [`StoreError::Protocol`] for a path
    /// that is not a valid URI.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<CallAnswer, StoreError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base_url))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|err| StoreError::Protocol { reason: err.to_string() })?;
        let client = self.client.load_full();
        match tokio::time::timeout(timeout, send_request(&client, request)).await {
            Ok(answer) => answer,
            Err(_) => {
                self.replace_client(&client);
                Err(StoreError::Unknown { reason: "no answer within the timeout".to_owned() })
            }
        }
    }

    /// Drops all pooled connections after a call without an answer.
    ///
    /// Open connections may have failed without a reset while new ones work. If they were kept, one
    /// call after another would time out, because the pool hands out the next failed connection.
    fn replace_client(&self, used: &Arc<HttpClient>) {
        self.client.compare_and_swap(used, Arc::new(make_client()));
    }
}

fn make_client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_timer(TokioTimer::new())
        .build(connector)
}

async fn send_request(
    client: &HttpClient,
    request: Request<Full<Bytes>>,
) -> Result<CallAnswer, StoreError> {
    let response = client.request(request).await.map_err(|err| {
        // Only a failed connect proves that no byte reached the platform.
        let reason = format!("{err:?}");
        match err.is_connect() {
            true => StoreError::Unavailable { reason },
            false => StoreError::Unknown { reason },
        }
    })?;
    read_answer(response).await
}

async fn read_answer(response: Response<Incoming>) -> Result<CallAnswer, StoreError> {
    let status = response.status();
    let retry_after = read_retry_after(response.headers());
    let (parts, body) = response.into_parts();
    let body = Limited::new(body, MAX_ANSWER_BYTES)
        .collect()
        .await
        .map_err(|err| StoreError::Unknown { reason: err.to_string() })?
        .to_bytes();
    Ok(CallAnswer { status, retry_after, headers: parts.headers, body })
}

/// Returns the wait from the header `Retry-After`, in seconds with an optional fraction.
fn read_retry_after(headers: &HeaderMap) -> Duration {
    let seconds = headers.get(header::RETRY_AFTER).and_then(|value| value.to_str().ok());
    let seconds = seconds.and_then(|seconds| seconds.trim().parse().ok());
    let wait = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    wait.unwrap_or(DEFAULT_RETRY_AFTER).min(MAX_RETRY_AFTER)
}
