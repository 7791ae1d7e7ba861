//! Backend servers beside this daemon, as they announce themselves.

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
    admitting::{GuardSettings, GuardState, RefusalReason},
    pacing::PacerSettings,
};
use sk_member::{EndpointRecord, EndpointStatus, ServerId};
use sk_model::ServiceName;

use crate::{
    clock::process_now, gate::AdmissionGate, hints::ServerHints, outcome::RefusalKind,
    pool::ServerPool, transfers::TransferLine,
};

/// Weight of a request in the part of failures, as a divisor: some twelve requests, a quarter of a
/// second of a busy server.
const FAILING_WEIGHT: u32 = 12;

/// A backend server beside this daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalServer {
    /// How the server calls itself; a later process may use the name again.
    pub name: String,
    /// What the other daemons learn of it.
    pub endpoint: EndpointRecord,
    /// Where it listens.
    pub address: SocketAddr,
    /// Last announcement.
    pub announced: Instant,
    /// How much longer it is slow after its start; absent where only the limits tell.
    pub warm_up: Option<Duration>,
}

/// Bounds for the backend servers beside a daemon.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerLimits {
    /// Admission; the slots are those that each server announces.
    pub guard: GuardSettings,
    /// Connections.
    pub pacer: PacerSettings,
}

/// What the guard holds for one process of a server.
///
/// A new process gets a new one, so that it inherits neither queue nor connections, and an old
/// one's requests end against the old one.
pub(crate) struct GuardedServer {
    pub(crate) id: ServerId,
    /// How the server calls itself.
    pub(crate) name: String,
    pub(crate) gate: Arc<AdmissionGate>,
    pub(crate) pool: Arc<ServerPool>,
    /// Its large answers on their way out.
    pub(crate) transfers: Arc<TransferLine>,
    /// Uploads to it on their way over the link.
    pub(crate) uploads: Arc<TransferLine>,
    /// Requests whose body is on its way here, before they are offered to the gate.
    pub(crate) coming: AtomicU32,
    /// Host for requests that bring none.
    pub(crate) host: HeaderValue,
    /// Whether the server said that it drains, which is final for its process.
    pub(crate) is_leaving: AtomicBool,
    /// Whether the server drains or has gone, so that its end is no crash.
    pub(crate) is_retired: AtomicBool,
    /// Failures among the last requests, in thousandths.
    pub(crate) failing: AtomicU32,
    /// Whether someone is already finding out whether the server died.
    pub(crate) is_examined: AtomicBool,
}

#[derive(Clone)]
struct ServerEntry {
    server: LocalServer,
    guarded: Arc<GuardedServer>,
}

type ServerMap = BTreeMap<ServiceName, ServerEntry>;

/// All backend servers beside this daemon, by service.
#[derive(Default)]
pub struct LocalServers {
    limits: ServerLimits,
    current: ArcSwap<ServerMap>,
    lock: Mutex<()>,
}

impl LocalServers {
    /// Makes an empty list.
    pub fn new(limits: ServerLimits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Finds the server of a service.
    pub fn find(&self, service: &str) -> Option<LocalServer> {
        self.current.load().get(service).map(|entry| entry.server.clone())
    }

    /// Takes an announcement.
    ///
    /// A server that said it drains stays draining until another process takes its place: an
    /// announcement that was under way when it began to drain must not bring work back.
    pub fn announce(&self, mut server: LocalServer) {
        self.change(|servers| {
            let service = server.endpoint.service.clone();
            let held = servers.remove(&service);
            let is_same = |held: &ServerEntry| held.server.is_process(&server);
            let guarded = match held {
                Some(held) if is_same(&held) => {
                    if is_draining(&held.server) {
                        server.endpoint.status = EndpointStatus::Draining;
                    }
                    held.guarded
                }
                held => {
                    held.iter().for_each(|held| retire(&held.guarded));
                    log::info!(
                        slots = server.endpoint.slots,
                        address:% = server.address;
                        "guard: server {} of {} is here.", server.endpoint.server, service
                    );
                    self.guard_new(&server)
                }
            };
            if is_draining(&server) && !guarded.is_leaving.load(Ordering::Acquire) {
                log::info!("guard: server {} takes no new work.", server.endpoint.server);
            }
            if is_draining(&server) {
                guarded.is_leaving.store(true, Ordering::Release);
                retire(&guarded);
            }
            servers.insert(service, ServerEntry { server, guarded });
        });
    }

    /// Removes what else was entered at an address that a process of one service now has: an
    /// address that is used again belongs to its newest owner alone.
    pub fn displace(&self, address: SocketAddr, id: &ServerId) {
        let is_other =
            |entry: &ServerEntry| entry.server.address == address && entry.guarded.id != *id;
        if self.current.load().values().any(is_other) {
            self.retain(|entry| !is_other(entry));
        }
    }

    /// Lets a server finish what it has and take no more, for the rest of its process's life, and
    /// tells whether it is here.
    pub fn retire(&self, id: &str) -> bool {
        let held = self.current.load().values().find(|entry| entry.guarded.id == id).cloned();
        let Some(mut entry) = held else { return false };
        entry.server.endpoint.status = EndpointStatus::Draining;
        self.announce(entry.server);
        true
    }

    /// Removes servers that have not announced themselves for `ttl`, and closes connections that
    /// have been idle for long.
    pub fn expire(&self, now: Instant, ttl: Duration) {
        let held = self.current.load_full();
        held.values().for_each(|entry| entry.guarded.pool.close_idle(now));
        let is_old =
            |entry: &ServerEntry| now.saturating_duration_since(entry.server.announced) >= ttl;
        if held.values().any(is_old) {
            self.retain(|entry| !is_old(entry));
        }
    }

    /// Tells whether no request comes, waits or runs here, and no answer is on its way.
    pub fn is_idle(&self) -> bool {
        let current = self.current.load();
        current.values().all(|entry| {
            let (coming, state) = (&entry.guarded.coming, entry.guarded.gate.state());
            coming.load(Ordering::Acquire) == 0 && state.is_idle()
        })
    }

    /// Refuses the requests that wait for a server here, and all new ones, as not run.
    pub fn refuse_waiting(&self) {
        self.current.load().values().for_each(|entry| entry.guarded.gate.drain());
    }

    /// Lists the servers as the other daemons learn of them.
    pub fn endpoints(&self) -> Vec<EndpointRecord> {
        self.current.load().values().map(|entry| entry.server.endpoint.clone()).collect()
    }

    /// Gives the counts of each server's guard, by service.
    pub fn guard_states(&self) -> BTreeMap<ServiceName, GuardState> {
        let current = self.current.load();
        let state = |(service, entry): (&ServiceName, &ServerEntry)| {
            (service.clone(), entry.guarded.gate.state())
        };
        current.iter().map(state).collect()
    }

    /// Gives the guard of a service's server.
    pub(crate) fn guarded(&self, service: &str) -> Option<Arc<GuardedServer>> {
        self.current.load().get(service).map(|entry| entry.guarded.clone())
    }

    /// Gives the name of a service that runs beside this daemon, the first one if there are more.
    pub(crate) fn first_service(&self) -> Option<ServiceName> {
        self.current.load().keys().next().cloned()
    }

    /// Removes a server that has died. If it announces itself again, it was not dead.
    pub(crate) fn remove(&self, id: &ServerId) {
        self.retain(|entry| entry.guarded.id != *id);
    }

    fn retain(&self, is_kept: impl Fn(&ServerEntry) -> bool) {
        self.change(|servers| {
            servers.retain(|_, entry| {
                let is_kept = is_kept(entry);
                if !is_kept {
                    let silent_ms = entry.server.announced.elapsed().as_millis() as u64;
                    log::info!(silent_ms; "guard: server {} is out.", entry.guarded.id);
                    retire(&entry.guarded);
                }
                is_kept
            });
        });
    }

    fn guard_new(&self, server: &LocalServer) -> Arc<GuardedServer> {
        let mut settings = GuardSettings { slots: server.endpoint.slots, ..self.limits.guard };
        let mut started_at = process_now();
        if let Some(warm_up) = server.warm_up {
            settings.warm_up = warm_up;
            // A guard takes a start at zero for that of a warm server.
            started_at = if warm_up.is_zero() { Duration::ZERO } else { started_at };
        }
        let gate = Arc::new(AdmissionGate::new(settings, started_at));
        Arc::new(GuardedServer {
            id: server.endpoint.server.clone(),
            name: server.name.clone(),
            transfers: Arc::new(TransferLine::of_answers(gate.clone())),
            uploads: Arc::default(),
            coming: AtomicU32::new(0),
            gate,
            pool: Arc::new(ServerPool::new(server.address, self.limits.pacer)),
            host: HeaderValue::from_str(&server.address.to_string())
                .expect("an address makes a header"),
            is_leaving: AtomicBool::new(false),
            is_retired: AtomicBool::new(false),
            failing: AtomicU32::new(0),
            is_examined: AtomicBool::new(false),
        })
    }

    fn change(&self, change: impl FnOnce(&mut ServerMap)) {
        let _guard = self.lock.lock().unwrap_or_else(PoisonError::into_inner);
        let mut servers = ServerMap::clone(&self.current.load());
        change(&mut servers);
        self.current.store(Arc::new(servers));
    }
}

impl LocalServer {
    fn is_process(&self, other: &Self) -> bool {
        self.endpoint.server == other.endpoint.server && self.address == other.address
    }
}

impl GuardedServer {
    /// Claims the examination of whether the server died.
    pub(crate) fn begin_examination(&self) -> bool {
        !self.is_examined.swap(true, Ordering::AcqRel)
    }

    /// Notes how a request that was sent ended.
    pub(crate) fn note_end(&self, is_failure: bool) {
        let sample = if is_failure { 1000 } else { 0 };
        let mean = |held: u32| Some((held * (FAILING_WEIGHT - 1) + sample) / FAILING_WEIGHT);
        // The closure always gives a value, so the update cannot fail.
        let _ = self.failing.fetch_update(Ordering::Relaxed, Ordering::Relaxed, mean);
    }

    /// Gives how loaded the server is.
    pub(crate) fn hints(&self) -> ServerHints {
        let (load, wait) = self.gate.load_and_wait();
        ServerHints { load, wait, failing: self.failing.load(Ordering::Relaxed) }
    }

    /// Gives the reason for a refusal by the gate. A gate also drains when its server is gone, which
    /// need not be final: a server that was paused announces itself again as the same process.
    pub(crate) fn refusal_kind(&self, reason: RefusalReason) -> RefusalKind {
        match reason {
            RefusalReason::Draining if !self.is_leaving.load(Ordering::Acquire) => {
                RefusalKind::ServerGone
            }
            reason => reason.into(),
        }
    }

    /// Tells whether the server's end was to be expected.
    pub(crate) fn is_retired(&self) -> bool {
        self.is_retired.load(Ordering::Acquire)
    }

    /// Ends the examination, so that a later break is examined anew.
    pub(crate) fn end_examination(&self) {
        self.is_examined.store(false, Ordering::Release);
    }
}

/// Lets a server finish what it has and take no more.
fn retire(guarded: &GuardedServer) {
    guarded.is_retired.store(true, Ordering::Release);
    guarded.gate.drain();
    guarded.pool.close();
}

fn is_draining(server: &LocalServer) -> bool {
    server.endpoint.status == EndpointStatus::Draining
}
