//! Backend servers beside this daemon, as they announce themselves. Each process of a server has
//! its own queue, connections and state, so that a restarted server inherits nothing from its
//! predecessor.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use http::HeaderValue;
use sk_decide::{
    admitting::{GuardSettings, GuardState, RefusalReason, StatedRate},
    pacing::PacerSettings,
};
use sk_member::{EndpointRecord, EndpointStatus, ServerId};
use sk_model::ServiceName;

use crate::{
    clock::time_since_start, gate::AdmissionGate, header_translation::ServerTerms,
    hints::ServerHints, left_servers::LeftServers, outcome::RefusalKind, pool::ServerPool,
    read_ahead::ReadAheadLimit, transfers::TransferScheduler,
};

/// Requests over which the failure rate is averaged: about a quarter of a second of a busy server.
const FAILURE_MEAN_REQUESTS: u32 = 12;

/// A backend server beside this daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalServer {
    /// Name that the server reports; a later process may reuse it.
    pub name: String,
    /// Record that is announced to the other daemons.
    pub endpoint: EndpointRecord,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Time of the last announcement.
    pub last_announced_at: Instant,
    /// How much longer it warms up after its start; `None` if only the limits define it.
    pub warm_up: Option<Duration>,
    /// Whether it is known to have been running before this daemon heard of it. It may then have
    /// stated a limit of requests that this daemon does not know.
    pub was_running: bool,
}

/// Limits for the backend servers beside a daemon.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerLimits {
    /// Admission; the number of slots is the one that each server announces.
    pub guard: GuardSettings,
    /// Number of connections and the pace at which they are opened.
    pub pacer: PacerSettings,
    /// Whether no later process uses the id of a server, so that those that have left can be told
    /// from new ones.
    pub has_unique_ids: bool,
}

/// Guard state of one process of a server.
///
/// A new process gets a new one, so that it inherits neither queue nor connections, and requests
/// of an old process end in the old one's state.
pub(crate) struct GuardedServer {
    pub(crate) id: ServerId,
    /// Name that the server reports.
    pub(crate) name: String,
    pub(crate) gate: Arc<AdmissionGate>,
    pub(crate) pool: Arc<ServerPool>,
    /// Schedules its large answers on the link.
    pub(crate) answer_transfers: Arc<TransferScheduler>,
    /// Schedules uploads to it on the link.
    pub(crate) upload_transfers: Arc<TransferScheduler>,
    /// Limits its answers that are read ahead of the link.
    pub(crate) read_ahead_limit: ReadAheadLimit,
    /// Host header for requests without one.
    pub(crate) host: HeaderValue,
    /// Whether the server announced that it drains, which is final for its process.
    pub(crate) has_announced_drain: AtomicBool,
    /// Whether the server drains or has gone, so that its end is not a crash.
    pub(crate) is_retired: AtomicBool,
    /// Failure rate of the last requests, in thousandths.
    pub(crate) failure_permille: AtomicU32,
    /// Whether a crash check of the server is running.
    pub(crate) is_crash_check_running: AtomicBool,
}

#[derive(Clone)]
struct ServerEntry {
    server: LocalServer,
    guarded: Arc<GuardedServer>,
}

type ServerMap = BTreeMap<ServiceName, ServerEntry>;

/// All backend servers beside this daemon, by service.
#[derive(Default)]
pub struct LocalServerList {
    limits: ServerLimits,
    current: ArcSwap<ServerMap>,
    lock: Mutex<()>,
    /// Servers of all daemons that have stated in an answer that they leave.
    pub(crate) left: LeftServers,
}

impl LocalServerList {
    /// Creates an empty list.
    pub fn new(limits: ServerLimits) -> Self {
        let left = LeftServers::new(limits.has_unique_ids);
        Self { limits, left, ..Self::default() }
    }

    /// Returns the server of a service.
    pub fn find(&self, service: &str) -> Option<LocalServer> {
        self.current.load().get(service).map(|entry| entry.server.clone())
    }

    /// Adds or refreshes a server by its announcement.
    ///
    /// A server that announced its drain stays draining until another process replaces it: an
    /// announcement that was sent before the drain began must not bring work back.
    pub fn announce(&self, mut server: LocalServer) {
        self.change(|servers| {
            let service = server.endpoint.service.clone();
            if self.left.contains(&server.endpoint.server) {
                server.endpoint.status = EndpointStatus::Draining;
            }
            let current_entry = servers.remove(&service);
            let is_same = |entry: &ServerEntry| entry.server.is_same_process(&server);
            let guarded = match current_entry {
                Some(current_entry) if is_same(&current_entry) => {
                    if is_draining(&current_entry.server) {
                        server.endpoint.status = EndpointStatus::Draining;
                    }
                    if current_entry.server.was_running && !server.was_running {
                        current_entry.guarded.gate.expect_no_limit();
                    }
                    current_entry.guarded
                }
                current_entry => {
                    current_entry.iter().for_each(|entry| drain_guard(&entry.guarded));
                    log::info!(
                        slots = server.endpoint.slots,
                        address:% = server.address;
                        "guard: added server {} of {}.", server.endpoint.server, service
                    );
                    self.make_guarded(&server)
                }
            };
            if is_draining(&server) && !guarded.has_announced_drain.load(Ordering::Acquire) {
                log::info!(
                    "guard: server {} is draining and accepts no new requests.",
                    server.endpoint.server
                );
            }
            if is_draining(&server) {
                guarded.has_announced_drain.store(true, Ordering::Release);
                drain_guard(&guarded);
            }
            servers.insert(service, ServerEntry { server, guarded });
        });
    }

    /// Removes all other servers listed at the address of process `id`: an address that is used
    /// again belongs to its newest owner alone.
    pub fn remove_others_at(&self, address: SocketAddr, id: &ServerId) {
        let is_other =
            |entry: &ServerEntry| entry.server.address == address && entry.guarded.id != *id;
        if self.current.load().values().any(is_other) {
            self.retain(|entry| !is_other(entry));
        }
    }

    /// Lets a server finish its requests and accept no more, for the rest of its process's life,
    /// and returns whether it is listed here.
    pub fn drain_server(&self, id: &str) -> bool {
        let current_entry =
            self.current.load().values().find(|entry| entry.guarded.id == id).cloned();
        let Some(mut entry) = current_entry else { return false };
        entry.server.endpoint.status = EndpointStatus::Draining;
        self.announce(entry.server);
        true
    }

    /// Records that a server process leaves, beside this daemon or another one. No request is placed
    /// there any more, also if it is announced as ready later.
    pub fn record_left(&self, id: &str) {
        self.left.insert(id);
    }

    /// Removes servers that have not announced themselves for `ttl`, and closes connections that
    /// have been idle for long.
    pub fn remove_expired(&self, now: Instant, ttl: Duration) {
        let current = self.current.load_full();
        current.values().for_each(|entry| entry.guarded.pool.close_idle(now));
        let is_old = |entry: &ServerEntry| {
            now.saturating_duration_since(entry.server.last_announced_at) >= ttl
        };
        if current.values().any(is_old) {
            self.retain(|entry| !is_old(entry));
        }
    }

    /// Refuses the requests that wait for a server here, and all new ones, as not run.
    pub fn refuse_queued(&self) {
        self.current.load().values().for_each(|entry| entry.guarded.gate.drain());
    }

    /// Returns the servers as they are announced to the other daemons.
    pub fn endpoints(&self) -> Vec<EndpointRecord> {
        self.current.load().values().map(|entry| entry.server.endpoint.clone()).collect()
    }

    /// Returns the counts of each server's guard, by service.
    pub fn guard_states(&self) -> BTreeMap<ServiceName, GuardState> {
        let current = self.current.load();
        let state = |(service, entry): (&ServiceName, &ServerEntry)| {
            (service.clone(), entry.guarded.gate.state())
        };
        current.iter().map(state).collect()
    }

    /// Returns the guard state of a service's server.
    pub(crate) fn guarded(&self, service: &str) -> Option<Arc<GuardedServer>> {
        self.current.load().get(service).map(|entry| entry.guarded.clone())
    }

    /// Returns whether a server beside this daemon has an address.
    pub(crate) fn is_at(&self, address: std::net::IpAddr) -> bool {
        self.current.load().values().any(|entry| entry.server.address.ip() == address)
    }

    /// Returns the name of a service that runs beside this daemon, the first one if there are more.
    pub(crate) fn first_service(&self) -> Option<ServiceName> {
        self.current.load().keys().next().cloned()
    }

    /// Records what a server states about itself in the answer to a request that was sent at
    /// `sent_at`. One that leaves gets nothing more from now on, as if it had announced it.
    pub(crate) fn record_terms(
        &self,
        server: &GuardedServer,
        terms: &ServerTerms,
        sent_at: Duration,
    ) {
        let id = &server.id;
        let changed = terms.rate.filter(|rate| server.gate.record_stated_rate(*rate, sent_at));
        match changed {
            Some(StatedRate::PerSecond(limit)) => {
                log::info!(limit; "guard: server {id} limits its requests a second.");
            }
            Some(StatedRate::Unlimited) => {
                log::info!("guard: server {id} no longer limits its requests.");
            }
            None if terms.rate.is_none() => server.gate.expect_no_limit(),
            None => {}
        }
        if terms.is_leaving && !server.has_announced_drain.load(Ordering::Acquire) {
            log::info!("guard: server {id} states in an answer that it leaves.");
            self.left.insert(id);
            self.drain_server(id);
        }
    }

    /// Removes a server that has died. If it announces itself again, it had not died.
    pub(crate) fn remove(&self, id: &ServerId) {
        self.retain(|entry| entry.guarded.id != *id);
    }

    /// Removes the servers for which `is_kept` returns false.
    fn retain(&self, is_kept: impl Fn(&ServerEntry) -> bool) {
        self.change(|servers| {
            servers.retain(|_, entry| {
                let is_kept = is_kept(entry);
                if !is_kept {
                    let silent_ms = entry.server.last_announced_at.elapsed().as_millis() as u64;
                    log::info!(
                        silent_ms;
                        "guard: removed server {} from the local servers.", entry.guarded.id
                    );
                    drain_guard(&entry.guarded);
                }
                is_kept
            });
        });
    }

    /// Creates the guard state of a new server process.
    fn make_guarded(&self, server: &LocalServer) -> Arc<GuardedServer> {
        let mut settings = GuardSettings { slots: server.endpoint.slots, ..self.limits.guard };
        let mut started_at = time_since_start();
        if let Some(warm_up) = server.warm_up {
            settings.warm_up = warm_up;
            // A guard treats a start at zero as that of a warm server.
            started_at = if warm_up.is_zero() { Duration::ZERO } else { started_at };
        }
        let gate = Arc::new(AdmissionGate::new(settings, started_at));
        if server.was_running {
            gate.expect_limit();
        }
        Arc::new(GuardedServer {
            id: server.endpoint.server.clone(),
            name: server.name.clone(),
            answer_transfers: Arc::new(TransferScheduler::for_answers(gate.clone())),
            upload_transfers: Arc::default(),
            read_ahead_limit: ReadAheadLimit::default(),
            gate,
            pool: Arc::new(ServerPool::new(server.address, self.limits.pacer)),
            host: HeaderValue::from_str(&server.address.to_string())
                .expect("an address is a valid header value"),
            has_announced_drain: AtomicBool::new(false),
            is_retired: AtomicBool::new(false),
            failure_permille: AtomicU32::new(0),
            is_crash_check_running: AtomicBool::new(false),
        })
    }

    /// Applies a change to a copy of the list and swaps it in.
    fn change(&self, change: impl FnOnce(&mut ServerMap)) {
        let _guard = self.lock.lock().unwrap_or_else(PoisonError::into_inner);
        let mut servers = ServerMap::clone(&self.current.load());
        change(&mut servers);
        self.current.store(Arc::new(servers));
    }
}

impl LocalServer {
    /// Returns whether both describe the same process of a server.
    fn is_same_process(&self, other: &Self) -> bool {
        self.endpoint.server == other.endpoint.server && self.address == other.address
    }
}

impl GuardedServer {
    /// Starts a crash check and returns true, unless one is running.
    pub(crate) fn begin_crash_check(&self) -> bool {
        !self.is_crash_check_running.swap(true, Ordering::AcqRel)
    }

    /// Records whether a request that was sent failed.
    pub(crate) fn record_end(&self, is_failure: bool) {
        let sample = if is_failure { 1000 } else { 0 };
        let update =
            |mean: u32| Some((mean * (FAILURE_MEAN_REQUESTS - 1) + sample) / FAILURE_MEAN_REQUESTS);
        // The closure always returns a value, so the update cannot fail.
        let _ = self.failure_permille.fetch_update(Ordering::Relaxed, Ordering::Relaxed, update);
    }

    /// Returns the server's load, wait and failure rate; `is_nested` tells for which requests the
    /// wait is.
    pub(crate) fn hints(&self, is_nested: bool) -> ServerHints {
        let (load, wait) = self.gate.load_and_wait(is_nested);
        ServerHints {
            load,
            wait,
            failure_permille: self.failure_permille.load(Ordering::Relaxed),
            is_leaving: self.has_announced_drain.load(Ordering::Acquire),
        }
    }

    /// Returns the kind of a refusal by the gate. A gate also drains when its server is gone,
    /// which is not always final: a paused server announces itself again as the same process.
    pub(crate) fn refusal_kind(&self, reason: RefusalReason) -> RefusalKind {
        match reason {
            RefusalReason::Draining if !self.has_announced_drain.load(Ordering::Acquire) => {
                RefusalKind::ServerGone
            }
            reason => reason.into(),
        }
    }

    /// Returns whether the server's end was expected.
    pub(crate) fn is_retired(&self) -> bool {
        self.is_retired.load(Ordering::Acquire)
    }

    /// Ends a crash check, so that a later broken connection is checked anew.
    pub(crate) fn end_crash_check(&self) {
        self.is_crash_check_running.store(false, Ordering::Release);
    }
}

/// Lets a server finish its requests and accept no more.
fn drain_guard(guarded: &GuardedServer) {
    guarded.is_retired.store(true, Ordering::Release);
    guarded.gate.drain();
    guarded.pool.close();
}

fn is_draining(server: &LocalServer) -> bool {
    server.endpoint.status == EndpointStatus::Draining
}
