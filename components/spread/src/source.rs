//! What the spread needs of the rest of the daemon.

use std::time::Duration;

use async_trait::async_trait;
use sk_model::{ConfigSnapshot, ProxyAck};
use thiserror::Error;

/// The configuration source gave nothing.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("configuration source: {reason}")]
pub struct SourceError {
    /// What the source said.
    pub reason: String,
}

/// Where accepted configurations come from.
#[async_trait]
pub trait ConfigSource: Send + Sync {
    /// Loads the newest configuration, reusing subtrees of `held`.
    ///
    /// # Errors
    ///
    /// Returns a [`SourceError`] when the source is away.
    async fn load(&self, held: &ConfigSnapshot) -> Result<ConfigSnapshot, SourceError>;

    /// Waits up to `timeout` for a configuration newer than `held`.
    ///
    /// # Errors
    ///
    /// Returns a [`SourceError`] when the source is away.
    async fn wait_newer(
        &self,
        held: &ConfigSnapshot,
        timeout: Duration,
    ) -> Result<Option<ConfigSnapshot>, SourceError>;
}

/// Takes proxies' acknowledgements at a relay.
pub trait AckSink: Send + Sync {
    /// Notes acknowledgements; noting one twice changes nothing.
    fn note(&self, acks: Vec<ProxyAck>);
}
