//! Filtering of outdated heartbeats from the backend servers of an instance.
//!
//! Heartbeats may arrive late or out of order. Accepting an outdated one would send callers to a
//! server that has left.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use sk_model::{ServiceName, UnixMillis};

use crate::{EndpointStatus, ServerId, ServerVersion};

/// Largest number of processes remembered; the one heard longest ago is removed first. An instance
/// runs one server at a time, so dozens of restarts fit, and a late heartbeat of any of these
/// processes is recognised.
const MAX_PROCESSES: usize = 64;
/// Silence of a process after which another one may take over its address although it reports an
/// earlier start: two missed heartbeats. Clocks may step back, which must not keep a server out of
/// service.
const ADDRESS_TAKEOVER_DELAY: Duration = Duration::from_secs(3);

/// State of a backend server as reported by the server itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerHeartbeat {
    /// Name of the server; a later process may use it again.
    pub name: String,
    /// Start of the process on its own clock; zero if it is not reported.
    pub started_at: UnixMillis,
    /// Number of the heartbeat within one process.
    pub sequence: u64,
    /// Service that the server runs.
    pub service: ServiceName,
    /// Address on which the server listens.
    pub address: SocketAddr,
    /// Number of requests that the server handles at once.
    pub slots: u32,
    /// Whether the server accepts new work.
    pub status: EndpointStatus,
    /// Remaining time in which the server is slow after its start.
    pub warm_up: Duration,
    /// Version of the server's software, empty if it reports none.
    pub version: ServerVersion,
}

impl ServerHeartbeat {
    /// Returns the identifier of the process. The name alone may be used again by a later process.
    pub fn server_id(&self) -> ServerId {
        make_server_id(&self.name, self.started_at)
    }
}

/// Returns the identifier of the process that a server's name and start denote.
fn make_server_id(name: &str, started_at: UnixMillis) -> ServerId {
    format!("{name}:{started_at}")
}

/// Whether a heartbeat is current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatStatus {
    /// The heartbeat is current and describes the server.
    Current,
    /// A later heartbeat arrived before, or the process has left.
    Stale,
}

/// Last known state of a server process.
#[derive(Clone, Debug)]
struct ProcessState {
    started_at: UnixMillis,
    /// Number of its last heartbeat, `None` before the first.
    sequence: Option<u64>,
    has_left: bool,
    address: Option<SocketAddr>,
    heard_at: Duration,
}

/// Separates current heartbeats of backend servers from stale ones, by the last known state of
/// each process.
///
/// A heartbeat may arrive seconds late: after its process reported that it leaves, or after
/// another process took over its address. Accepting it would send callers to a server that has
/// left, and would break a drain that was already acknowledged.
#[derive(Clone, Debug, Default)]
pub struct HeartbeatFilter {
    processes: BTreeMap<String, ProcessState>,
}

impl HeartbeatFilter {
    /// Classifies a heartbeat that arrives at `now`, and remembers it if it is current.
    pub fn classify(&mut self, heartbeat: &ServerHeartbeat, now: Duration) -> HeartbeatStatus {
        let known = self.processes.get(&heartbeat.name);
        let is_draining = heartbeat.status == EndpointStatus::Draining;
        let is_stale = match known {
            Some(known) if heartbeat.started_at < known.started_at => true,
            Some(known) if heartbeat.started_at == known.started_at => {
                // A draining heartbeat is accepted even if it arrives late, since a process that
                // drains is not expected to accept work again.
                known.has_left || (Some(heartbeat.sequence) <= known.sequence && !is_draining)
            }
            _ => self.is_replaced(heartbeat, now),
        };
        if is_stale {
            return HeartbeatStatus::Stale;
        }
        let state = ProcessState {
            started_at: heartbeat.started_at,
            sequence: known
                .filter(|known| known.started_at == heartbeat.started_at)
                .and_then(|known| known.sequence)
                .max(Some(heartbeat.sequence)),
            has_left: false,
            address: Some(heartbeat.address),
            heard_at: now,
        };
        self.insert(&heartbeat.name, state);
        HeartbeatStatus::Current
    }

    /// Classifies the state of a server that identified itself when it was asked, and remembers it
    /// if it is current. It is stale if the server has sent a heartbeat, which is more complete, or
    /// has left, as the answer may have been on its way meanwhile. Every heartbeat of the server is
    /// newer.
    pub fn classify_identity(
        &mut self,
        identity: &ServerHeartbeat,
        now: Duration,
    ) -> HeartbeatStatus {
        if self.processes.contains_key(&identity.name) || self.is_replaced(identity, now) {
            return HeartbeatStatus::Stale;
        }
        let state = ProcessState {
            started_at: identity.started_at,
            sequence: None,
            has_left: false,
            address: Some(identity.address),
            heard_at: now,
        };
        self.insert(&identity.name, state);
        HeartbeatStatus::Current
    }

    /// Records that a server leaves, and returns the identifier of its process if it is known.
    /// `unix_time_ms` is the time on the clock of this instance: if no heartbeat of the server
    /// arrived before, every process with an earlier start counts as left.
    pub fn record_leave(
        &mut self,
        name: &str,
        unix_time_ms: UnixMillis,
        now: Duration,
    ) -> Option<ServerId> {
        let known = self.processes.get_mut(name);
        let server_id = known.as_ref().map(|known| make_server_id(name, known.started_at));
        match known {
            Some(known) if known.sequence.is_some() => known.has_left = true,
            // A restarted daemon may receive the leave report first and an older heartbeat after
            // it, also of a server that has identified itself, which does not tell its start.
            _ => {
                let state = ProcessState {
                    started_at: unix_time_ms,
                    sequence: None,
                    has_left: true,
                    address: None,
                    heard_at: now,
                };
                self.insert(name, state);
            }
        }
        server_id
    }

    /// Remembers the state of a process.
    fn insert(&mut self, name: &str, state: ProcessState) {
        self.processes.insert(name.to_owned(), state);
        self.remove_oldest();
    }

    /// Returns whether a running process that started later already uses the address of this
    /// heartbeat.
    fn is_replaced(&self, heartbeat: &ServerHeartbeat, now: Duration) -> bool {
        self.processes.iter().any(|(name, state)| {
            *name != heartbeat.name
                && state.address == Some(heartbeat.address)
                && state.started_at > heartbeat.started_at
                && !state.has_left
                && now.saturating_sub(state.heard_at) < ADDRESS_TAKEOVER_DELAY
        })
    }

    /// Removes the processes heard longest ago until the bound is met.
    fn remove_oldest(&mut self) {
        while self.processes.len() > MAX_PROCESSES {
            let oldest = self.processes.iter().min_by_key(|(_, state)| state.heard_at);
            let Some(name) = oldest.map(|(name, _)| name.clone()) else { return };
            self.processes.remove(&name);
        }
    }
}
