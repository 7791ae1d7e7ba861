//! Which heartbeats of the backend server beside a daemon are news.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use sk_model::{ServiceName, UnixMillis};

use crate::{EndpointStatus, ServerId};

/// Processes remembered, the one heard longest ago dropped first. An instance runs one server at a
/// time; dozens of restarts fit, and each late heartbeat of one of them is known as such.
const MAX_PROCESSES: usize = 64;
/// Silence after which another process may take a server's place although it says that it started
/// earlier: two missed heartbeats. Clocks step, and a server must not stay out for that.
const PLACE_LAPSE: Duration = Duration::from_secs(3);

/// What a backend server says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerHeartbeat {
    /// How the server calls itself; a later process may take the name again.
    pub name: String,
    /// Start of its process on its own clock; zero where it does not tell.
    pub born: UnixMillis,
    /// Counts its heartbeats within one process.
    pub sequence: u64,
    /// Service that it runs.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub status: EndpointStatus,
    /// How much longer it is slow after its start.
    pub warm_up: Duration,
}

impl ServerHeartbeat {
    /// Names the process: the name alone may be used again by a later one.
    pub fn process(&self) -> ServerId {
        format!("{}:{}", self.name, self.born)
    }
}

/// What a heartbeat means for the entry of the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatVerdict {
    /// It holds.
    News,
    /// It was overtaken by a later one, or its process is gone.
    Stale,
}

#[derive(Clone, Debug)]
struct ProcessState {
    born: UnixMillis,
    sequence: u64,
    has_left: bool,
    address: Option<SocketAddr>,
    heard: Duration,
}

/// The processes of backend servers that were heard, by name.
///
/// A heartbeat may arrive seconds late: after its process said that it leaves, or after another
/// process took its address. Believing it would send callers to a server that is gone, and a
/// drain that was acknowledged would be broken.
#[derive(Clone, Debug, Default)]
pub struct HeartbeatBook {
    processes: BTreeMap<String, ProcessState>,
}

impl HeartbeatBook {
    /// Judges a heartbeat that arrives at `now` and remembers it.
    pub fn judge(&mut self, beat: &ServerHeartbeat, now: Duration) -> HeartbeatVerdict {
        let held = self.processes.get(&beat.name);
        let is_draining = beat.status == EndpointStatus::Draining;
        let is_stale = match held {
            Some(held) if beat.born < held.born => true,
            Some(held) if beat.born == held.born => {
                // A drain holds for the rest of a process's life, also one told late.
                held.has_left || (beat.sequence <= held.sequence && !is_draining)
            }
            _ => self.is_displaced(beat, now),
        };
        if is_stale {
            return HeartbeatVerdict::Stale;
        }
        let state = ProcessState {
            born: beat.born,
            sequence: held
                .filter(|held| held.born == beat.born)
                .map_or(beat.sequence, |held| held.sequence.max(beat.sequence)),
            has_left: false,
            address: Some(beat.address),
            heard: now,
        };
        self.processes.insert(beat.name.clone(), state);
        self.forget_old();
        HeartbeatVerdict::News
    }

    /// Notes that a server said good-bye, and gives its process where that is known. `unix_now` is
    /// this instance's time of day: of a server not heard before, whatever started earlier left.
    pub fn leave(&mut self, name: &str, unix_now: UnixMillis, now: Duration) -> Option<ServerId> {
        match self.processes.get_mut(name) {
            Some(held) => {
                held.has_left = true;
                Some(format!("{name}:{}", held.born))
            }
            None => {
                // A daemon that restarted may hear the good-bye first and an older heartbeat after.
                let state = ProcessState {
                    born: unix_now,
                    sequence: 0,
                    has_left: true,
                    address: None,
                    heard: now,
                };
                self.processes.insert(name.to_owned(), state);
                self.forget_old();
                None
            }
        }
    }

    /// Tells whether a process not heard before is an older one than that which has its address.
    fn is_displaced(&self, beat: &ServerHeartbeat, now: Duration) -> bool {
        self.processes.iter().any(|(name, held)| {
            *name != beat.name
                && held.address == Some(beat.address)
                && held.born > beat.born
                && !held.has_left
                && now.saturating_sub(held.heard) < PLACE_LAPSE
        })
    }

    fn forget_old(&mut self) {
        while self.processes.len() > MAX_PROCESSES {
            let oldest = self.processes.iter().min_by_key(|(_, held)| held.heard);
            let Some(name) = oldest.map(|(name, _)| name.clone()) else { return };
            self.processes.remove(&name);
        }
    }
}
