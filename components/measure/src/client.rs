//! Calls to daemons' operators' interfaces.

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

const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// A client with one token.
#[derive(Clone)]
pub struct JsonClient {
    token: String,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl JsonClient {
    /// Makes a client.
    pub fn new(token: &str) -> Self {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Self { token: token.to_owned(), client }
    }

    /// Reads.
    ///
    /// # Errors
    ///
    /// Returns an error for anything but success.
    pub async fn get<T: DeserializeOwned>(&self, address: &str, path: &str) -> anyhow::Result<T> {
        let body = self.call(Method::GET, address, path, Bytes::new()).await?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// Writes and gives the answer's body.
    ///
    /// # Errors
    ///
    /// Returns an error for anything but success.
    pub async fn send<B: Serialize>(
        &self,
        method: Method,
        address: &str,
        path: &str,
        body: &B,
    ) -> anyhow::Result<Bytes> {
        self.call(method, address, path, serde_json::to_vec(body)?.into()).await
    }

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
