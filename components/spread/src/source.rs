//! What the spread needs of the rest of the daemon.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use async_trait::async_trait;
use sk_member::HistoryMark;
use sk_model::{ConfigSnapshot, DataCentre, ProxyAck};
use thiserror::Error;
use tokio::time::Instant;

/// Control addresses by data centre, as kept in the platform.
pub type ContactMap = BTreeMap<DataCentre, Vec<SocketAddr>>;

/// The configuration source or the contact book gave nothing.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("configuration source: {reason}")]
pub struct SourceError {
    /// What the source said.
    pub reason: String,
}

/// What a wait at the source gave.
#[derive(Clone, Debug)]
pub struct SourceNews {
    /// A configuration newer than the one held; none where there was none.
    pub newer: Option<ConfigSnapshot>,
    /// When the source was seen, on this instance's steady clock. It may be given as earlier than it
    /// truly was, never as later: peers conclude from it that they hold the newest version.
    pub seen_at: Instant,
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

    /// Waits up to `timeout` for a configuration newer than `held`. Where none comes, the source was
    /// seen about when the wait ended.
    ///
    /// # Errors
    ///
    /// Returns a [`SourceError`] when the source is away.
    async fn wait_newer(
        &self,
        held: &ConfigSnapshot,
        timeout: Duration,
    ) -> Result<SourceNews, SourceError>;

    /// Gives the place in the source's history up to which everything is known here; zero where the
    /// source keeps none.
    fn history(&self) -> HistoryMark {
        0
    }

    /// Takes over from where a peer's knowledge of the source's history ends. What is held here is
    /// the newest version up to there, so that nothing before it has to be read.
    fn follow_from(&self, _history: HistoryMark) {}
}

/// Where daemons leave addresses for those that start with no other way to find the fleet.
#[async_trait]
pub trait ContactBook: Send + Sync {
    /// Reads the addresses of all data centres.
    ///
    /// # Errors
    ///
    /// Returns a [`SourceError`] when the platform is away.
    async fn read(&self) -> Result<ContactMap, SourceError>;

    /// Replaces the addresses of one data centre. Must fail where another daemon has written
    /// since `seen` was read: the loser then reads that one's addresses and meets it.
    ///
    /// # Errors
    ///
    /// Returns a [`SourceError`] when the platform is away or another daemon wrote in between.
    async fn write(
        &self,
        data_centre: &str,
        seen: Option<&[SocketAddr]>,
        addresses: &[SocketAddr],
    ) -> Result<(), SourceError>;
}

/// News of the request path that every daemon should know.
///
/// Merging is idempotent and commutative, and what a merge changed counts as changed here, so that
/// each daemon passes each piece of news on once.
pub trait NoticeBoard: Send + Sync {
    /// Gives a number that grows with each change.
    fn revision(&self) -> u64;

    /// Takes what changed since the last call, encoded; none where nothing did.
    fn take_changed(&self) -> Option<Vec<u8>>;

    /// Gives everything, encoded, for a daemon that may know none of it; none if there is nothing.
    fn everything(&self) -> Option<Vec<u8>>;

    /// Merges what a peer sent and tells whether it could be read.
    fn merge(&self, body: &[u8]) -> bool;
}

/// Takes proxies' acknowledgements at a relay.
pub trait AckSink: Send + Sync {
    /// Notes acknowledgements; noting one twice changes nothing.
    fn note(&self, acks: Vec<ProxyAck>);
}
