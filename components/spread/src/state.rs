//! State of the control thread for the state dump: links, relays, age of the source, and counters
//! by kind of call.

use std::{
    array,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use capnp::MessageSize;
use derive_more::Display;
use serde::Serialize;
use sk_model::{ProxyId, Version};
use tokio::time::Instant;

use crate::relay_view::RelayView;

/// Bytes in one word of the Cap'n Proto encoding.
const WORD_BYTES: u64 = 8;

/// Kinds of calls between daemons.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum CallKind {
    /// Heartbeats over links.
    #[display("beat")]
    Beat,
    /// Changed records and suspicions.
    #[display("rumor")]
    Rumor,
    /// Reconciliations of records.
    #[display("reconcile")]
    Reconcile,
    /// Versions pushed along a tree.
    #[display("push")]
    Push,
    /// Versions announced along a tree.
    #[display("announce")]
    Announce,
    /// Versions fetched.
    #[display("fetch")]
    Fetch,
    /// Notices about requests, such as those that crash servers.
    #[display("notice")]
    Notice,
    /// Acknowledgements.
    #[display("ack")]
    Ack,
    /// Tokens of workspaces' limits.
    #[display("allowance")]
    Allowance,
}

/// All kinds, in the order of their counters.
const CALL_KINDS: [CallKind; 9] = [
    CallKind::Beat,
    CallKind::Rumor,
    CallKind::Reconcile,
    CallKind::Push,
    CallKind::Announce,
    CallKind::Fetch,
    CallKind::Notice,
    CallKind::Ack,
    CallKind::Allowance,
];

/// Traffic of one kind of call since the start of the process: encoded payloads without the
/// framing of calls and TCP. [`ControlMeter`](crate::ControlMeter) counts all bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct KindBytes {
    /// Name of the kind of call.
    pub kind: String,
    /// Messages sent.
    pub calls: u64,
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
}

/// Snapshot of the control thread's state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct SpreadState {
    /// Whether the daemon holds the version it needs before it serves.
    pub is_ready: bool,
    /// Whether it watches the configuration source for its data centre.
    pub is_relay: bool,
    /// Relays of its data centre, ordered by preference.
    pub relays: Vec<ProxyId>,
    /// Daemons that it has a link to.
    pub links: Vec<ProxyId>,
    /// Open connections as of the last sweep, at most a few seconds ago.
    pub connections: u64,
    /// Last error of the configuration source; `None` while it answers.
    pub source_fault: Option<String>,
    /// Milliseconds since the source was known to have nothing newer than the version held here,
    /// from this daemon's own read or from peers; `None` if unknown.
    pub source_age_ms: Option<u64>,
    /// Reads of the configuration source other than watches.
    pub source_reads: u64,
    /// Fetches served.
    pub fetches_served: u64,
    /// Fetches refused because too many were being served.
    pub fetches_refused: u64,
    /// Newest version under which a peer holds different content; zero if there is none.
    pub diverged: Version,
    /// Traffic by kind of call.
    pub kinds: Vec<KindBytes>,
}

/// Counters of one kind of call.
#[derive(Default)]
struct KindCounter {
    calls: AtomicU64,
    sent: AtomicU64,
    received: AtomicU64,
}

/// State that is not a counter.
#[derive(Default)]
struct StateParts {
    relays: RelayView,
    links: Vec<ProxyId>,
    source_fault: Option<String>,
    source_read_at: Option<Instant>,
}

fn age_ms(read_at: Instant) -> u64 {
    u64::try_from(read_at.elapsed().as_millis()).unwrap_or(u64::MAX)
}

/// State of the control thread, readable from other threads.
#[derive(Default)]
pub(crate) struct SpreadStats {
    parts: Mutex<StateParts>,
    kinds: [KindCounter; CALL_KINDS.len()],
    connections: AtomicU64,
    source_reads: AtomicU64,
    fetches_served: AtomicU64,
    fetches_refused: AtomicU64,
    diverged: AtomicU64,
}

impl SpreadStats {
    /// Counts a sent message.
    pub(crate) fn sent(&self, kind: CallKind, size: MessageSize) {
        let counter = &self.kinds[kind as usize];
        counter.calls.fetch_add(1, Ordering::Relaxed);
        counter.sent.fetch_add(size.word_count * WORD_BYTES, Ordering::Relaxed);
    }

    /// Counts a received message.
    pub(crate) fn received(&self, kind: CallKind, size: MessageSize) {
        let counter = &self.kinds[kind as usize];
        counter.received.fetch_add(size.word_count * WORD_BYTES, Ordering::Relaxed);
    }

    pub(crate) fn set_connections(&self, count: usize) {
        self.connections.store(count as u64, Ordering::Relaxed);
    }

    pub(crate) fn count_source_read(&self) {
        self.source_reads.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_fetch_served(&self) {
        self.fetches_served.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_fetch_refused(&self) {
        self.fetches_refused.fetch_add(1, Ordering::Relaxed);
    }

    /// Records a version with two different contents and returns whether it is the newest one so
    /// far.
    pub(crate) fn record_diverged(&self, version: Version) -> bool {
        self.diverged.fetch_max(version, Ordering::Relaxed) < version
    }

    pub(crate) fn set_source_fault(&self, fault: Option<String>) {
        self.with_parts(|parts| parts.source_fault = fault);
    }

    /// Records when the source was known to have nothing newer than the version held here.
    pub(crate) fn record_source_read_at(&self, read_at: Instant) {
        self.with_parts(|parts| parts.source_read_at = parts.source_read_at.max(Some(read_at)));
    }

    pub(crate) fn set_links(&self, links: Vec<ProxyId>) {
        self.with_parts(|parts| parts.links = links);
    }

    pub(crate) fn set_relays(&self, relays: RelayView) {
        self.with_parts(|parts| parts.relays = relays);
    }

    fn with_parts<T>(&self, change: impl FnOnce(&mut StateParts) -> T) -> T {
        change(&mut self.parts.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns whether this daemon is a relay.
    pub(crate) fn is_relay(&self) -> bool {
        self.with_parts(|parts| parts.relays.rank.is_some())
    }

    /// Returns the time since the source was known to have nothing newer than the version held here.
    pub(crate) fn source_age(&self) -> Option<Duration> {
        self.with_parts(|parts| parts.source_read_at.map(|read_at| read_at.elapsed()))
    }

    /// Returns the current state.
    pub(crate) fn state(&self, is_ready: bool) -> SpreadState {
        let kinds: [KindBytes; CALL_KINDS.len()] = array::from_fn(|index| KindBytes {
            kind: CALL_KINDS[index].to_string(),
            calls: self.kinds[index].calls.load(Ordering::Relaxed),
            sent: self.kinds[index].sent.load(Ordering::Relaxed),
            received: self.kinds[index].received.load(Ordering::Relaxed),
        });
        self.with_parts(|parts| SpreadState {
            is_ready,
            is_relay: parts.relays.rank.is_some(),
            relays: parts.relays.relays.iter().map(|relay| relay.proxy.clone()).collect(),
            links: parts.links.clone(),
            source_fault: parts.source_fault.clone(),
            source_age_ms: parts.source_read_at.map(age_ms),
            connections: self.connections.load(Ordering::Relaxed),
            source_reads: self.source_reads.load(Ordering::Relaxed),
            fetches_served: self.fetches_served.load(Ordering::Relaxed),
            fetches_refused: self.fetches_refused.load(Ordering::Relaxed),
            diverged: self.diverged.load(Ordering::Relaxed),
            kinds: kinds.into(),
        })
    }
}
