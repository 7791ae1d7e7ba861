//! Client for the daemons' operators' interface and for the platform's stand-in.

use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use http::{Method, Request, header};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Serialize, de::DeserializeOwned};

/// Time limit of one call, the body of the answer included.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Client that sends JSON and authenticates with one token.
#[derive(Clone)]
pub struct JsonClient {
    token: String,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl JsonClient {
    /// Creates a client with the token that it sends.
    pub fn new(token: &str) -> Self {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Self { token: token.to_owned(), client }
    }

    /// Reads a path and parses the answer's JSON.
    ///
    /// # Errors
    ///
    /// Returns an error when the call fails, times out or is answered with another status than
    /// success, or when the answer cannot be parsed.
    pub async fn get<T: DeserializeOwned>(&self, address: &str, path: &str) -> anyhow::Result<T> {
        let body = self.call(Method::GET, address, path, Bytes::new()).await?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// Sends a body as JSON and returns the body of the answer.
    ///
    /// # Errors
    ///
    /// Returns an error when the call fails, times out or is answered with another status than
    /// success.
    pub async fn send<B: Serialize>(
        &self,
        method: Method,
        address: &str,
        path: &str,
        body: &B,
    ) -> anyhow::Result<Bytes> {
        self.call(method, address, path, serde_json::to_vec(body)?.into()).await
    }

    /// Sends a request with the token and returns the body of a successful answer.
    async fn call(
        &self,
        method: Method,
        address: &str,
        path: &str,
        body: Bytes,
    ) -> anyhow::Result<Bytes> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))?;
        let exchange = async {
            let response = self.client.request(request).await?;
            let status = response.status();
            let body = response.into_body().collect().await?.to_bytes();
            let text = || String::from_utf8_lossy(&body).into_owned();
            anyhow::ensure!(status.is_success(), "{path} answered {status}: {}", text());
            Ok(body)
        };
        tokio::time::timeout(CALL_TIMEOUT, exchange).await.context("no answer in time")?
    }
}
