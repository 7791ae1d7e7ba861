//! Calls to a daemon's operators' interface.

use std::{path::Path, time::Duration};

use anyhow::{Context, bail};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, body::Bytes, header};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use sk_ops::OpsError;

/// Longer than a submit's own bound, so that the daemon's answer comes before ours.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);
const MAX_ANSWER_BYTES: usize = 64_000_000;

/// Where to call and as whom.
pub struct OpsClient {
    daemon: String,
    token: String,
    client: Client<HttpConnector, Full<Bytes>>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct ClientConfig {
    daemon: Option<String>,
    token: Option<String>,
}

/// A call that gave no result.
#[derive(Debug)]
pub enum CallError {
    /// The daemon refused, or said that the outcome is unknown.
    Refused(OpsError),
    /// No answer came; a change that was submitted may be accepted.
    NoAnswer(anyhow::Error),
}

impl OpsClient {
    /// Makes a client for a daemon.
    pub fn new(daemon: String, token: String) -> Self {
        Self { daemon, token, client: Client::builder(TokioExecutor::new()).build_http() }
    }

    /// Makes a client from flags, the environment or a file, asked in that order.
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
            bail!("no daemon; name one by --daemon, SAPPHIREKEEL_DAEMON or --config");
        };
        let token = token.or_else(|| env("SAPPHIREKEEL_TOKEN")).or(config.token);
        Ok(Self::new(daemon, token.unwrap_or_default()))
    }

    /// Gives a client for the same daemon with another token.
    pub fn with_token(&self, token: String) -> Self {
        Self::new(self.daemon.clone(), token)
    }

    /// Reads.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CallError> {
        let body = self.call(Method::GET, path, Bytes::new()).await?;
        serde_json::from_slice(&body).map_err(|err| CallError::NoAnswer(err.into()))
    }

    /// Submits.
    pub async fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, CallError> {
        let body = self.call(Method::POST, path, encode(body)?).await?;
        serde_json::from_slice(&body).map_err(|err| CallError::NoAnswer(err.into()))
    }

    /// Writes.
    pub async fn put<B: Serialize>(&self, path: &str, body: &B) -> Result<(), CallError> {
        self.call(Method::PUT, path, encode(body)?).await.map(drop)
    }

    async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Bytes, CallError> {
        let exchange = async {
            let request = Request::builder()
                .method(method)
                .uri(format!("http://{}{path}", self.daemon))
                .header(header::AUTHORIZATION, format!("Bearer {}", self.token))
                .header(header::CONTENT_TYPE, "application/json")
                .body(Full::new(body))?;
            let response = self.client.request(request).await.context("daemon is away")?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
            let body = body.map_err(|err| anyhow::anyhow!(err))?.to_bytes();
            anyhow::Ok((status, body))
        };
        let (status, body) = match tokio::time::timeout(CALL_TIMEOUT, exchange).await {
            Ok(answer) => answer.map_err(CallError::NoAnswer)?,
            Err(_) => return Err(CallError::NoAnswer(anyhow::anyhow!("no answer in time"))),
        };
        if status.is_success() {
            return Ok(body);
        }
        match serde_json::from_slice(&body) {
            Ok(refusal) => Err(CallError::Refused(refusal)),
            Err(_) => Err(CallError::NoAnswer(anyhow::anyhow!("daemon answered {status}"))),
        }
    }
}

fn encode<B: Serialize>(body: &B) -> Result<Bytes, CallError> {
    let json = serde_json::to_vec(body);
    json.map(Bytes::from).map_err(|err| CallError::NoAnswer(err.into()))
}
