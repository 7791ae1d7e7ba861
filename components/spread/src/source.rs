//! Interfaces that the rest of the daemon implements for the control thread: the configuration
//! source, the stores of contacts and names, notices and the sink of acknowledgements.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use async_trait::async_trait;
use sk_member::HistoryPosition;
use sk_model::{ConfigSnapshot, DataCentre, ProxyAck, ProxyId};
use thiserror::Error;
use tokio::time::Instant;

/// Control addresses by data centre, as stored in the platform.
pub type ContactMap = BTreeMap<DataCentre, Vec<SocketAddr>>;

/// Names of daemons by data centre, as stored in the platform.
pub type RosterMap = BTreeMap<DataCentre, Vec<ProxyId>>;

/// Failure of the configuration source or of a store of contacts or names.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("configuration source: {reason}")]
pub struct SourceError {
    /// Error message of the source.
    pub reason: String,
}

/// Result of waiting for a new version at the source.
#[derive(Clone, Debug)]
pub struct WatchResult {
    /// A configuration newer than the held one; `None` if there is none.
    pub newer: Option<ConfigSnapshot>,
    /// When the source was read, on this instance's monotonic clock. It may be earlier than the
    /// true time, never later: peers conclude from it that they hold the newest version.
    pub read_at: Instant,
}

/// Source of accepted configurations.
#[async_trait]
pub trait ConfigSource: Send + Sync {
    /// Loads the newest configuration, reusing subtrees of `held`.
    ///
    /// # Errors
    ///
    /// Returns a [`SourceError`] if the source is unreachable.
    async fn load(&self, held: &ConfigSnapshot) -> Result<ConfigSnapshot, SourceError>;

    /// Waits up to `timeout` for a configuration newer than `held`. If there is none, the result's
    /// `read_at` is about the end of the wait.
    ///
    /// # Errors
    ///
    /// Returns a [`SourceError`] if the source is unreachable.
    async fn wait_newer(
        &self,
        held: &ConfigSnapshot,
        timeout: Duration,
    ) -> Result<WatchResult, SourceError>;

    /// Returns the position in the source's history up to which this daemon knows everything; zero
    /// if the source keeps no history.
    fn history_position(&self) -> HistoryPosition {
        0
    }

    /// Continues at the position in the source's history that a peer knows. The version held here
    /// is the newest one up to there, so nothing before it has to be read.
    fn resume_history(&self, _history: HistoryPosition) {}
}

/// Stores addresses of daemons for those that start without another way to find the fleet.
#[async_trait]
pub trait ContactStore: Send + Sync {
    /// Reads the addresses of all data centres.
    ///
    /// # Errors
    ///
    /// Returns a [`SourceError`] if the platform is unreachable.
    async fn read(&self) -> Result<ContactMap, SourceError>;

    /// Replaces the addresses of one data centre. Must fail if another daemon has written since
    /// `previous` was read: the loser then reads that daemon's addresses and joins it.
    ///
    /// # Errors
    ///
    /// Returns a [`SourceError`] if the platform is unreachable or another daemon wrote in
    /// between.
    async fn write(
        &self,
        data_centre: &str,
        previous: Option<&[SocketAddr]>,
        addresses: &[SocketAddr],
    ) -> Result<(), SourceError>;
}

/// Stores the names of the fleet's daemons.
#[async_trait]
pub trait RosterStore: Send + Sync {
    /// Reads the names of all data centres.
    ///
    /// # Errors
    ///
    /// Returns a [`SourceError`] if the platform is unreachable.
    async fn read(&self) -> Result<RosterMap, SourceError>;

    /// Replaces the names of one data centre. Must fail if another daemon has written since
    /// `previous` was read.
    ///
    /// # Errors
    ///
    /// Returns a [`SourceError`] if the platform is unreachable or another daemon wrote in
    /// between.
    async fn write(
        &self,
        data_centre: &str,
        previous: Option<&[ProxyId]>,
        names: &[ProxyId],
    ) -> Result<(), SourceError>;
}

/// One topic of notices that every daemon should know, such as requests that crash servers.
///
/// The topics share one kind of call and are told apart by the form of their messages: each topic
/// refuses the messages of the others as malformed.
///
/// Merging is idempotent and commutative. What a merge changes counts as changed here, so that
/// each daemon sends each notice on once.
pub trait NoticeExchange: Send + Sync {
    /// Returns a number that grows with each change.
    fn revision(&self) -> u64;

    /// Takes the notices that changed since the last call, encoded; `None` if nothing changed.
    fn encode_changed(&self) -> Option<Vec<u8>>;

    /// Returns all notices, encoded, for a daemon that may know none of them; `None` if there are
    /// none.
    fn encode_all(&self) -> Option<Vec<u8>>;

    /// Merges notices from a peer and returns whether they could be decoded and belong to the topic.
    fn merge(&self, body: &[u8]) -> bool;
}

/// Receives proxies' acknowledgements at a relay.
pub trait AckSink: Send + Sync {
    /// Records acknowledgements; recording one twice changes nothing.
    fn record(&self, acks: Vec<ProxyAck>);
}
