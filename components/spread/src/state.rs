//! What the spread shows of itself in a state dump.

use std::{
    array,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use capnp::MessageSize;
use derive_more::Display;
use serde::Serialize;
use sk_model::{ProxyId, Version};
use tokio::time::Instant;

use crate::relay_view::RelayView;

/// Bytes in a word of the wire format.
const WORD_BYTES: u64 = 8;

/// Kinds of calls between daemons.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum CallKind {
    /// Heartbeats over links.
    #[display("beat")]
    Beat,
    /// Records and words of observers passed on.
    #[display("rumor")]
    Rumor,
    /// Comparisons of records.
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
    /// News of the request path.
    #[display("notice")]
    Notice,
    /// Acknowledgements.
    #[display("ack")]
    Ack,
}

const KINDS: [CallKind; 8] = [
    CallKind::Beat,
    CallKind::Rumor,
    CallKind::Reconcile,
    CallKind::Push,
    CallKind::Announce,
    CallKind::Fetch,
    CallKind::Notice,
    CallKind::Ack,
];

/// Traffic of one kind of call since the start of the process: payloads as encoded, without the
/// framing of calls and TCP. [`ControlMeter`](crate::ControlMeter) counts all bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct KindBytes {
    /// Kind of call.
    pub kind: String,
    /// Messages sent.
    pub calls: u64,
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
}

/// The spread as of one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct SpreadState {
    /// Whether the daemon holds what it must before it serves.
    pub is_ready: bool,
    /// Whether it watches the configuration source for its data centre.
    pub is_relay: bool,
    /// The relays of its data centre, first choice first.
    pub relays: Vec<ProxyId>,
    /// Daemons it shares a link with.
    pub links: Vec<ProxyId>,
    /// Connections open as of the last look, a few seconds ago at most.
    pub connections: u64,
    /// What the configuration source said last; none while it answers.
    pub source_fault: Option<String>,
    /// Milliseconds since the source was known to have nothing newer than what is held here, by
    /// this daemon's own look or by what peers told; none where that is not known.
    pub source_age_ms: Option<u64>,
    /// Looks at the configuration source other than watches.
    pub source_reads: u64,
    /// Fetches served.
    pub fetches_served: u64,
    /// Fetches refused because too many were served at once.
    pub fetches_refused: u64,
    /// Newest version under which a peer holds another content; zero where none does.
    pub diverged: Version,
    /// Traffic by kind of call.
    pub kinds: Vec<KindBytes>,
}

#[derive(Default)]
struct KindCounter {
    calls: AtomicU64,
    sent: AtomicU64,
    received: AtomicU64,
}

/// Parts of the state that are not counters.
#[derive(Default)]
struct StateParts {
    relays: RelayView,
    links: Vec<ProxyId>,
    source_fault: Option<String>,
    source_seen: Option<Instant>,
}

fn age_millis(seen_at: Instant) -> u64 {
    u64::try_from(seen_at.elapsed().as_millis()).unwrap_or(u64::MAX)
}

/// Counters of the control thread, readable from others.
#[derive(Default)]
pub(crate) struct SpreadStats {
    parts: Mutex<StateParts>,
    kinds: [KindCounter; KINDS.len()],
    connections: AtomicU64,
    source_reads: AtomicU64,
    fetches_served: AtomicU64,
    fetches_refused: AtomicU64,
    diverged: AtomicU64,
}

impl SpreadStats {
    pub(crate) fn sent(&self, kind: CallKind, size: MessageSize) {
        let counter = &self.kinds[kind as usize];
        counter.calls.fetch_add(1, Ordering::Relaxed);
        counter.sent.fetch_add(size.word_count * WORD_BYTES, Ordering::Relaxed);
    }

    pub(crate) fn received(&self, kind: CallKind, size: MessageSize) {
        let counter = &self.kinds[kind as usize];
        counter.received.fetch_add(size.word_count * WORD_BYTES, Ordering::Relaxed);
    }

    pub(crate) fn set_sessions(&self, count: usize) {
        self.connections.store(count as u64, Ordering::Relaxed);
    }

    pub(crate) fn count_read(&self) {
        self.source_reads.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_served(&self) {
        self.fetches_served.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_refused(&self) {
        self.fetches_refused.fetch_add(1, Ordering::Relaxed);
    }

    /// Notes a version with two contents and tells whether it is news.
    pub(crate) fn note_diverged(&self, version: Version) -> bool {
        self.diverged.fetch_max(version, Ordering::Relaxed) < version
    }

    pub(crate) fn note_source(&self, fault: Option<String>) {
        self.with_parts(|parts| parts.source_fault = fault);
    }

    /// Notes since when the source is known to have nothing newer than what is held here.
    pub(crate) fn note_source_seen(&self, seen_at: Instant) {
        self.with_parts(|parts| parts.source_seen = parts.source_seen.max(Some(seen_at)));
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

    /// Gives the state as of now.
    pub(crate) fn state(&self, is_ready: bool) -> SpreadState {
        let kinds: [KindBytes; KINDS.len()] = array::from_fn(|index| KindBytes {
            kind: KINDS[index].to_string(),
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
            source_age_ms: parts.source_seen.map(age_millis),
            connections: self.connections.load(Ordering::Relaxed),
            source_reads: self.source_reads.load(Ordering::Relaxed),
            fetches_served: self.fetches_served.load(Ordering::Relaxed),
            fetches_refused: self.fetches_refused.load(Ordering::Relaxed),
            diverged: self.diverged.load(Ordering::Relaxed),
            kinds: kinds.into(),
        })
    }
}
