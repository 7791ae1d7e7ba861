//! Filtering of outdated heartbeats from the backend servers of an instance.
//!
//! Heartbeats may arrive late or out of order. Accepting an outdated one would send callers to a
//! server that has left.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
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

/// Latest known process under a server's name, and whether it has stated that it leaves. From this,
/// a daemon that starts again recognises outdated heartbeats that arrive late.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerBoot {
    /// Name of the server.
    pub name: String,
    /// Start of the process on its own clock; zero if it is not reported.
    pub started_at: UnixMillis,
    /// Whether the process has stated that it drains or leaves, which is final.
    pub has_left: bool,
}

impl ServerBoot {
    /// Returns whether this state follows from `known`, another state under the same name.
    pub fn is_covered_by(&self, known: &Self) -> bool {
        (known.started_at, known.has_left) >= (self.started_at, self.has_left)
    }
}

/// Last known state of a server process.
#[derive(Clone, Debug)]
struct ProcessState {
    started_at: UnixMillis,
    /// Number of its last heartbeat, `None` before the first.
    sequence: Option<u64>,
    has_left: bool,
    /// Whether it has reported that it drains.
    is_draining: bool,
    /// `None` if this daemon has not heard from it.
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
            if is_draining && known.is_none() {
                self.insert_unheard(&heartbeat.name, heartbeat.started_at, true, now);
            }
            return HeartbeatStatus::Stale;
        }
        let known = known.filter(|known| known.started_at == heartbeat.started_at);
        let state = ProcessState {
            started_at: heartbeat.started_at,
            sequence: known.and_then(|known| known.sequence).max(Some(heartbeat.sequence)),
            has_left: false,
            is_draining: is_draining || known.is_some_and(|known| known.is_draining),
            address: Some(heartbeat.address),
            heard_at: now,
        };
        self.insert(&heartbeat.name, state);
        HeartbeatStatus::Current
    }

    /// Classifies the state of a server that identified itself when it was asked, and remembers it
    /// if it is current. It is stale if the server has sent a heartbeat, which is more complete, or
    /// has left, as the answer may have been on its way meanwhile. Every heartbeat of the server is
    /// newer. The start of its process, which an identity does not tell, is set if it is known.
    pub fn classify_identity(
        &mut self,
        identity: &mut ServerHeartbeat,
        now: Duration,
    ) -> HeartbeatStatus {
        match self.processes.get(&identity.name) {
            Some(known) if known.has_left || known.address.is_some() => {
                return HeartbeatStatus::Stale;
            }
            Some(known) => identity.started_at = known.started_at,
            None => {}
        }
        if self.is_replaced(identity, now) {
            return HeartbeatStatus::Stale;
        }
        let state = ProcessState {
            started_at: identity.started_at,
            sequence: None,
            has_left: false,
            is_draining: false,
            address: Some(identity.address),
            heard_at: now,
        };
        self.insert(&identity.name, state);
        HeartbeatStatus::Current
    }

    /// Records that a server leaves, and returns the identifier of its process if it is known.
    ///
    /// `started_at` is the start of the process that leaves, if it is reported; the leave of an
    /// earlier process than the known one has no effect. `unix_time_ms` is the time on the clock of
    /// this instance: if neither a start is reported nor a heartbeat of the server arrived before,
    /// every process with an earlier start counts as left.
    pub fn record_leave(
        &mut self,
        name: &str,
        started_at: Option<UnixMillis>,
        unix_time_ms: UnixMillis,
        now: Duration,
    ) -> Option<ServerId> {
        let known = self.processes.get_mut(name);
        let server_id = known.as_ref().map(|known| make_server_id(name, known.started_at));
        match (known, started_at) {
            (Some(known), Some(started_at)) if started_at < known.started_at => return None,
            (Some(known), None) if known.sequence.is_some() => known.has_left = true,
            (Some(known), Some(started_at)) if started_at == known.started_at => {
                known.has_left = true;
            }
            // A restarted daemon may receive the leave report first and an older heartbeat after
            // it, also of a server that has identified itself, which does not tell its start.
            (known, started_at) => {
                let latest = known.map_or(unix_time_ms, |known| known.started_at.max(unix_time_ms));
                self.insert_unheard(name, started_at.unwrap_or(latest), true, now);
            }
        }
        server_id
    }

    /// Returns the latest known process under a server's name.
    pub fn boot(&self, name: &str) -> Option<ServerBoot> {
        self.processes.get(name).map(|known| ServerBoot {
            name: name.to_owned(),
            started_at: known.started_at,
            has_left: known.has_left || known.is_draining,
        })
    }

    /// Returns whether the same process has sent a heartbeat, identified itself or left.
    pub fn is_known(&self, heartbeat: &ServerHeartbeat) -> bool {
        self.processes.get(&heartbeat.name).is_some_and(|known| match known.sequence {
            // An identity does not tell the start of its process.
            None if known.address.is_some() => known.address == Some(heartbeat.address),
            sequence => {
                known.started_at == heartbeat.started_at && (sequence.is_some() || known.has_left)
            }
        })
    }

    /// Adds what an earlier process of this daemon knew, and returns the identifiers of the
    /// processes that this one has heard from and that have left.
    pub fn restore(&mut self, boots: &[ServerBoot], now: Duration) -> Vec<ServerId> {
        let mut left = Vec::new();
        for boot in boots {
            let known = self.processes.get_mut(&boot.name);
            match known {
                Some(known) if known.started_at > boot.started_at => {}
                Some(known) if known.started_at == boot.started_at => {
                    if boot.has_left && !known.has_left {
                        known.has_left = true;
                        left.push(make_server_id(&boot.name, known.started_at));
                    }
                }
                known => {
                    // A heartbeat of an earlier process was outdated. An identity may be that of
                    // the known process, unless this has left.
                    left.extend(
                        known
                            .filter(|known| boot.has_left || known.sequence.is_some())
                            .map(|known| make_server_id(&boot.name, known.started_at)),
                    );
                    self.insert_unheard(&boot.name, boot.started_at, boot.has_left, now);
                }
            }
        }
        left
    }

    /// Remembers a process that this daemon has not heard from.
    fn insert_unheard(
        &mut self,
        name: &str,
        started_at: UnixMillis,
        has_left: bool,
        now: Duration,
    ) {
        let state = ProcessState {
            started_at,
            sequence: None,
            has_left,
            is_draining: false,
            address: None,
            heard_at: now,
        };
        self.insert(name, state);
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
