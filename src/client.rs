//! Calls to a daemon's operators' interface. An error shows whether a change can have taken effect,
//! so that a command never reports a change as refused that may be in force.

use std::{path::Path, time::Duration};

use anyhow::{Context, bail};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, StatusCode, body::Bytes, header, http};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use sk_ops::OpsError;
use thiserror::Error;

/// Bounds one call. Longer than the daemon's own bound on a submit, so that the daemon's answer
/// arrives before this timeout.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);
/// Bounds the body of an answer that is read into memory.
const MAX_ANSWER_BYTES: usize = 64_000_000;

/// A client of one daemon's operators' interface, with the token that it sends.
pub struct OpsClient {
    daemon: String,
    token: String,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// The file named by `--config`.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct ClientConfig {
    daemon: Option<String>,
    token: Option<String>,
}

/// Why a call has no result.
#[derive(Debug, Error)]
pub enum CallError {
    /// The daemon refused the call, or answered that its outcome is unknown.
    #[error(transparent)]
    Refused(OpsError),
    /// The call reached no daemon, or was a read without an answer: nothing was changed.
    #[error("{0}")]
    NotDone(ExchangeError),
    /// No answer arrived; a submitted change may have been accepted.
    #[error("{0}")]
    NoAnswer(ExchangeError),
}

/// Why an exchange of a request and its answer failed.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// The request cannot be built.
    #[error("cannot build the request: {0}")]
    Request(#[from] http::Error),
    /// No process accepted the connection.
    #[error("cannot connect to daemon {0}")]
    Connect(String),
    /// The connection ended before the answer.
    #[error("connection ended without an answer: {0}")]
    Disconnected(#[from] hyper_util::client::legacy::Error),
    /// The answer's body ended early or is too long.
    #[error("cannot read the whole answer: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// No answer arrived within [`CALL_TIMEOUT`].
    #[error("no answer within {} s", CALL_TIMEOUT.as_secs())]
    Timeout,
    /// The answer's body has none of the forms that a daemon sends.
    #[error("daemon answered {0} with a body that cannot be read")]
    Unreadable(StatusCode),
    /// The body cannot be encoded.
    #[error("cannot encode: {0}")]
    Encode(#[from] serde_json::Error),
}

impl OpsClient {
    /// Creates a client of the daemon at an address `IP:PORT`.
    pub fn new(daemon: String, token: String) -> Self {
        Self { daemon, token, client: Client::builder(TokioExecutor::new()).build_http() }
    }

    /// Creates a client from flags, the environment or a file, in this order of precedence.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, or if none of the three names a daemon.
    pub fn from_args(
        daemon: Option<String>,
        token: Option<String>,
        config: Option<&Path>,
    ) -> anyhow::Result<Self> {
        let config: ClientConfig = match config {
            Some(file) => {
                let text = std::fs::read_to_string(file)
                    .with_context(|| format!("cannot read {}", file.display()))?;
                toml::from_str(&text).with_context(|| format!("in {}", file.display()))?
            }
            None => ClientConfig::default(),
        };
        let env = |name| std::env::var(name).ok();
        let daemon = daemon.or_else(|| env("SAPPHIREKEEL_DAEMON")).or(config.daemon);
        let Some(daemon) = daemon else {
            bail!("no daemon given; set --daemon, SAPPHIREKEEL_DAEMON or --config");
        };
        let token = token.or_else(|| env("SAPPHIREKEEL_TOKEN")).or(config.token);
        Ok(Self::new(daemon, token.unwrap_or_default()))
    }

    /// Returns a client of the same daemon with another token.
    pub fn with_token(&self, token: String) -> Self {
        Self::new(self.daemon.clone(), token)
    }

    /// Reads a path. A failed read has changed nothing, so it never ends in
    /// [`CallError::NoAnswer`].
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CallError> {
        let answer = self.call(Method::GET, path, Bytes::new()).await;
        match answer.and_then(|(status, body)| decode(status, &body)) {
            Err(CallError::NoAnswer(err)) => Err(CallError::NotDone(err)),
            result => result,
        }
    }

    /// Sends a body to a path and returns the decoded answer.
    pub async fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, CallError> {
        let (status, body) = self.call(Method::POST, path, encode(body)?).await?;
        decode(status, &body)
    }

    /// Writes a body to a path.
    pub async fn put<B: Serialize>(&self, path: &str, body: &B) -> Result<(), CallError> {
        self.call(Method::PUT, path, encode(body)?).await.map(drop)
    }

    /// Makes a call within [`CALL_TIMEOUT`] and returns the status and body of a success.
    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let request = self.make_request(method, path, body).map_err(CallError::NotDone)?;
        let exchange = tokio::time::timeout(CALL_TIMEOUT, self.exchange(request)).await;
        let (status, body) = match exchange {
            Ok(Ok(answer)) => answer,
            Ok(Err(err @ ExchangeError::Connect(_))) => return Err(CallError::NotDone(err)),
            Ok(Err(err)) => return Err(CallError::NoAnswer(err)),
            Err(_) => return Err(CallError::NoAnswer(ExchangeError::Timeout)),
        };
        match serde_json::from_slice(&body) {
            _ if status.is_success() => Ok((status, body)),
            Ok(refusal) => Err(CallError::Refused(refusal)),
            Err(_) => Err(CallError::NoAnswer(ExchangeError::Unreadable(status))),
        }
    }

    fn make_request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, ExchangeError> {
        Ok(Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.daemon))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))?)
    }

    /// Sends a request and reads the whole answer.
    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), ExchangeError> {
        let response = match self.client.request(request).await {
            Ok(response) => response,
            // Has its own variant, because nothing can have been done.
            Err(err) if err.is_connect() => {
                return Err(ExchangeError::Connect(self.daemon.clone()));
            }
            Err(err) => return Err(ExchangeError::Disconnected(err)),
        };
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
        let body = body.map_err(ExchangeError::Body)?;
        Ok((status, body.to_bytes()))
    }
}

fn encode<B: Serialize>(body: &B) -> Result<Bytes, CallError> {
    let json = serde_json::to_vec(body);
    json.map(Bytes::from).map_err(|err| CallError::NotDone(err.into()))
}

fn decode<T: DeserializeOwned>(status: StatusCode, body: &[u8]) -> Result<T, CallError> {
    let unreadable = |_| CallError::NoAnswer(ExchangeError::Unreadable(status));
    serde_json::from_slice(body).map_err(unreadable)
}
