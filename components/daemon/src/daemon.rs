//! Starting and stopping one daemon.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwapOption;
use futures::future::join_all;
use sk_claim::ClaimBook;
use sk_ledger::{Ledger, LedgerSettings};
use sk_member::{HeartbeatBook, MemberBoard, MemberRecord, MemberStatus};
use sk_ops::{OpsHandle, SharedPort, start_ops};
use sk_proxy::{
    FailedCalls, ForwardContext, GuardContext, GuardToken, LocalServers, OwnService, PeerClient,
    ProxyCounters, QuarantineBoard, ServeHandle, SharedTable, serve_forward, serve_guard,
};
use sk_report::ReportBook;
use sk_settings::{DaemonSettings, SpreadMode};
use sk_spread::{
    ControlMeter, HeldConfig, PassMode, SpreadHandle, SpreadOptions, SpreadParts, StateReader,
    start_spread,
};
use sk_store::SharedStore;
use tokio::{net::TcpListener, task::JoinHandle, time::Instant};

use crate::{
    border::PlatformBorder,
    claims::BookGate,
    contacts::StoreContacts,
    error::DaemonError,
    greet::greet_server,
    metrics::send_metrics,
    notices::QuarantineNotices,
    options::{
        claim_settings, fleet_secret, own_service, quarantine_settings, server_limits, table_place,
    },
    port::DaemonPort,
    reach::{ReachClock, watch_reach},
    scrape::{ScrapeParts, serve_metrics},
    source::BookSink,
    tasks,
};

/// Where a daemon listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DaemonAddresses {
    /// Callers.
    pub proxy: SocketAddr,
    /// Other daemons, for the local backend server.
    pub guard: SocketAddr,
    /// Control traffic.
    pub control: SocketAddr,
    /// Operators and the local backend server's announcements.
    pub ops: SocketAddr,
}

/// Time for calls to the operators' interface to end at a stop.
const OPS_STOP: Duration = Duration::from_millis(100);

/// Time for the news that the local backend server cannot be reached here any longer: to reach all
/// daemons, and for work of a few hundred milliseconds that is on its way to end.
const GUARD_NOTICE: Duration = Duration::from_millis(900);
/// Time at the end of the drain to close callers' connections in order. By then their requests are
/// answered, but the local server's work, which may call on through them, may last to the end.
const CLOSE_TIME: Duration = Duration::from_millis(200);
/// Time without work after which peers that still hold a connection are taken as gone. Above the time
/// that word of a living one takes over a full link: the last bytes of an answer wait here until its
/// receiver says that it takes more.
const IDLE_TIME: Duration = Duration::from_millis(1_500);
/// Time between looks whether there is work.
const IDLE_LOOK: Duration = Duration::from_millis(50);

/// How long a stop takes.
#[derive(Clone, Copy, Debug)]
struct StopTimes {
    /// For the news that this daemon leaves, before it refuses new requests: to reach the others,
    /// and for callers to be told with an answer that the next goes elsewhere.
    leave: Duration,
    /// For requests in flight, after that.
    drain: Duration,
}

/// A running daemon.
pub struct DaemonHandle {
    addresses: DaemonAddresses,
    times: StopTimes,
    is_leaving: Arc<AtomicBool>,
    own_service: OwnService,
    border: Arc<PlatformBorder>,
    members: Arc<MemberBoard>,
    forward: ServeHandle,
    guard: ServeHandle,
    guard_context: Arc<GuardContext>,
    ops: Vec<OpsHandle>,
    spread: SpreadHandle,
    tasks: Vec<JoinHandle<()>>,
}

/// Listeners bound before anything runs, so that a clash stops the daemon at once.
struct BoundListeners {
    proxy: TcpListener,
    guard: TcpListener,
    control: std::net::TcpListener,
    metrics: Option<TcpListener>,
}

/// Parts that are shared within one daemon.
struct DaemonParts {
    border: Arc<PlatformBorder>,
    store: SharedStore,
    heartbeats: Arc<Mutex<HeartbeatBook>>,
    is_leaving: Arc<AtomicBool>,
    own_service: OwnService,
    ledger: Arc<Ledger>,
    held: Arc<HeldConfig>,
    members: Arc<MemberBoard>,
    servers: Arc<LocalServers>,
    table: SharedTable,
    book: Arc<ReportBook>,
    meter: Arc<ControlMeter>,
    claims: Arc<ClaimBook>,
    quarantine: Arc<QuarantineBoard>,
    counters: Arc<ProxyCounters>,
    reach: Arc<ReachClock>,
    spread: Arc<OnceLock<StateReader>>,
}

/// Starts a daemon from checked settings.
///
/// # Errors
///
/// Returns a [`DaemonError`] when an address cannot be bound or a part cannot start.
pub async fn start_daemon(settings: &DaemonSettings) -> Result<DaemonHandle, DaemonError> {
    let listeners = bind_listeners(settings).await?;
    let addresses = DaemonAddresses {
        proxy: local_address(&listeners.proxy),
        guard: local_address(&listeners.guard),
        control: listeners.control.local_addr().unwrap_or(settings.listen.control),
        ops: settings.listen.ops,
    };
    let parts = make_parts(settings, addresses);
    let own_port = Arc::new(make_port(settings, &parts, addresses));
    let port: SharedPort = own_port.clone();
    let mut ops = vec![start_ops(settings.listen.ops, port.clone())?];
    let addresses = DaemonAddresses { ops: ops[0].address(), ..addresses };
    if let Some(ready) = settings.listen.ready {
        ops.push(start_ops(ready, port.clone())?);
    }
    let spread = run_spread(settings, &parts, listeners.control)?;
    // Set once in a daemon's life; the dump shows nothing of the control thread before.
    let _ = parts.spread.set(spread.reader());
    let guard_context = Arc::new(guard_context(settings, &parts));
    let forward_context = forward_context(settings, &parts, guard_context.clone());
    let forward = serve_forward(listeners.proxy, Arc::new(forward_context));
    let guard = serve_guard(listeners.guard, guard_context.clone());
    let times = StopTimes {
        leave: Duration::from_millis(settings.guard.leave_ms),
        drain: Duration::from_millis(settings.guard.drain_ms),
    };
    let flush = Duration::from_millis(settings.report.flush_ms);
    let ttl = Duration::from_millis(settings.guard.announce_ttl_ms);
    let scrape = ScrapeParts { port: port.clone(), counters: parts.counters.clone() };
    let scrape =
        listeners.metrics.map(|listener| tokio::spawn(serve_metrics(listener, Arc::new(scrape))));
    let mut tasks = vec![
        tokio::spawn(tasks::build_tables(
            parts.table.clone(),
            parts.held.clone(),
            parts.members.clone(),
            table_place(settings),
        )),
        tokio::spawn(tasks::expire_servers(parts.servers.clone(), parts.members.clone(), ttl)),
        tokio::spawn(watch_reach(parts.reach.clone(), parts.members.clone())),
        tokio::spawn(tasks::flush_reports(parts.book.clone(), parts.store.clone(), flush)),
        tokio::spawn(send_metrics(settings.metrics.address, port, parts.counters.clone())),
    ];
    tasks.extend(scrape);
    if let Some((service, address)) =
        own_service(&parts.border, settings).zip(settings.instance.server)
    {
        tasks.push(tokio::spawn(greet_server(own_port, service, address)));
    }
    log::info!("daemon: {} runs at {}.", settings.instance.name, addresses.proxy);
    if !settings.experiment.off.is_empty() {
        log::warn!("daemon: an experiment leaves out {:?}.", settings.experiment.off);
    }
    Ok(DaemonHandle {
        addresses,
        times,
        is_leaving: parts.is_leaving,
        own_service: parts.own_service,
        border: parts.border,
        members: parts.members,
        forward,
        guard,
        guard_context,
        ops,
        spread,
        tasks,
    })
}

impl DaemonHandle {
    /// Gives the addresses it listens at.
    pub fn addresses(&self) -> DaemonAddresses {
        self.addresses
    }

    /// Waits until a part that the daemon cannot do without has ended by itself.
    pub async fn failed(&self) {
        let mut ended = self.spread.ended();
        while ended.changed().await.is_ok() {}
        log::error!("daemon: the control thread ended.");
    }

    /// Takes settings that were changed while the daemon runs. Only the service beside it can change
    /// so; anything else takes effect at the next start.
    pub fn reload(&self, settings: &DaemonSettings) {
        let service = own_service(&self.border, settings);
        log::info!("daemon: settings read again, service {service:?}.");
        self.own_service.store(service.map(Arc::new));
    }

    /// Stops gracefully: tells the others, accepts no more, finishes requests in flight within
    /// the set bound, and tells whether all of them ended.
    ///
    /// The guard ends first: the local server's work in flight may still call other services,
    /// which goes by this daemon's own listener for callers.
    pub async fn stop(mut self) -> bool {
        log::info!("daemon: leaving.");
        self.is_leaving.store(true, Ordering::Release);
        let end = Instant::now() + self.times.leave + self.times.drain;
        self.guard_context.drain.end_at(end, self.times.drain);
        self.forward.leave();
        // The server beside this daemon runs on. Until callers are gone the others go on using it:
        // with a third of a fleet on its way out, the servers' loss is what callers would notice.
        let notice = self.times.leave.min(GUARD_NOTICE);
        tokio::time::sleep(self.times.leave - notice).await;
        self.members.update(|table| table.set_status(MemberStatus::Leaving), |changed| *changed);
        self.guard.leave();
        tokio::time::sleep(notice).await;
        self.forward.refuse_new();
        // What still waits for the server after half of the drain would not be done by its end.
        let (servers, half) = (self.guard_context.servers.clone(), self.times.drain / 2);
        self.tasks.push(tokio::spawn(async move {
            tokio::time::sleep(half).await;
            servers.refuse_waiting();
        }));
        let servers = &self.guard_context.servers;
        // A peer that is gone without a word never closes its connection.
        let guard = tokio::select! {
            is_clean = self.guard.stop(self.times.drain.saturating_sub(CLOSE_TIME)) => is_clean,
            () = await_idle(servers) => true,
        };
        let left = end.saturating_duration_since(Instant::now());
        let forward = self.forward.stop(left).await;
        // A caller that keeps its connection open must not keep the process alive.
        let ops = join_all(self.ops.into_iter().map(OpsHandle::stop));
        if tokio::time::timeout(OPS_STOP, ops).await.is_err() {
            log::info!("ops: connections were open at the end.");
        }
        self.tasks.iter().for_each(JoinHandle::abort);
        // The control thread is joined, which must not block a worker of this runtime.
        let stop = tokio::task::spawn_blocking(move || self.spread.stop());
        if stop.await.is_err() {
            log::error!("daemon: the control thread did not stop.");
        }
        forward && guard
    }
}

/// Waits until the backend servers here have had no work for some time.
async fn await_idle(servers: &LocalServers) {
    let mut idle_since = Instant::now();
    while idle_since.elapsed() < IDLE_TIME {
        tokio::time::sleep(IDLE_LOOK).await;
        if !servers.is_idle() {
            idle_since = Instant::now();
        }
    }
}

async fn bind_listeners(settings: &DaemonSettings) -> Result<BoundListeners, DaemonError> {
    let listen = &settings.listen;
    let metrics = match settings.metrics.listen {
        Some(address) => Some(bind("metrics.listen", address).await?),
        None => None,
    };
    let control = std::net::TcpListener::bind(listen.control).map_err(|source| {
        DaemonError::Bind { key: "listen.control", address: listen.control, source }
    })?;
    Ok(BoundListeners {
        proxy: bind("listen.proxy", listen.proxy).await?,
        guard: bind("listen.guard", listen.guard).await?,
        control,
        metrics,
    })
}

async fn bind(key: &'static str, address: SocketAddr) -> Result<TcpListener, DaemonError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| DaemonError::Bind { key, address, source })
}

fn local_address(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("a bound listener has an address")
}

fn make_parts(settings: &DaemonSettings, addresses: DaemonAddresses) -> DaemonParts {
    let border = Arc::new(PlatformBorder::new(&settings.platform));
    let store = border.store.clone();
    let key_prefix = settings.platform.key_prefix.clone();
    let ledger_settings =
        LedgerSettings { key_prefix: key_prefix.clone(), ..LedgerSettings::default() };
    DaemonParts {
        ledger: Arc::new(Ledger::new(store.clone(), ledger_settings)),
        claims: Arc::new(ClaimBook::new(store.clone(), claim_settings(&key_prefix))),
        store,
        own_service: Arc::new(ArcSwapOption::from(own_service(&border, settings).map(Arc::new))),
        heartbeats: Arc::default(),
        is_leaving: Arc::default(),
        border,
        held: Arc::default(),
        members: Arc::new(MemberBoard::new(own_record(settings, addresses))),
        servers: Arc::new(LocalServers::new(server_limits(settings))),
        table: SharedTable::default(),
        book: Arc::new(ReportBook::new(&key_prefix)),
        meter: Arc::default(),
        quarantine: Arc::new(QuarantineBoard::new(quarantine_settings(settings))),
        counters: Arc::default(),
        reach: Arc::default(),
        spread: Arc::default(),
    }
}

fn own_record(settings: &DaemonSettings, addresses: DaemonAddresses) -> MemberRecord {
    MemberRecord {
        proxy: settings.instance.name.clone(),
        incarnation: sk_model::unix_now(),
        sequence: 1,
        status: MemberStatus::Alive,
        data_centre: settings.instance.data_centre.clone(),
        region: settings.instance.region.clone(),
        control: settings.listen.advertised_control.unwrap_or(addresses.control),
        guard: settings.listen.advertised_guard.unwrap_or(addresses.guard),
        endpoints: Vec::new(),
    }
}

fn make_port(
    settings: &DaemonSettings,
    parts: &DaemonParts,
    addresses: DaemonAddresses,
) -> DaemonPort {
    DaemonPort {
        manager_sha256: settings.operators.manager_sha256.clone(),
        key_prefix: settings.platform.key_prefix.clone(),
        store: parts.store.clone(),
        ledger: parts.ledger.clone(),
        held: parts.held.clone(),
        members: parts.members.clone(),
        servers: parts.servers.clone(),
        meter: parts.meter.clone(),
        reach: parts.reach.clone(),
        quarantine: parts.quarantine.clone(),
        counters: parts.counters.clone(),
        table: parts.table.clone(),
        book: parts.book.clone(),
        spread: parts.spread.clone(),
        proxy_address: addresses.proxy,
        border: parts.border.clone(),
        heartbeats: parts.heartbeats.clone(),
        is_leaving: parts.is_leaving.clone(),
    }
}

fn run_spread(
    settings: &DaemonSettings,
    parts: &DaemonParts,
    listener: std::net::TcpListener,
) -> Result<SpreadHandle, DaemonError> {
    let options = SpreadOptions {
        secret: fleet_secret(settings),
        seeds: settings.peers.seeds.clone(),
        mode: match settings.spread.mode {
            SpreadMode::Push => PassMode::Push,
            SpreadMode::Announce => PassMode::Announce,
        },
        fan_out: settings.spread.fan_out,
        repair_interval: Duration::from_millis(settings.spread.repair_interval_ms),
        relays: settings.spread.relays,
        max_fetches: settings.spread.max_fetches,
        start_window: Duration::from_millis(settings.spread.start_window_ms),
        heartbeat: Duration::from_millis(settings.member.heartbeat_ms),
        suspect_after: Duration::from_millis(settings.member.suspect_ms),
    };
    let contacts = StoreContacts::new(parts.store.clone(), &settings.platform.key_prefix);
    let spread_parts = SpreadParts {
        held: parts.held.clone(),
        members: parts.members.clone(),
        source: parts.border.source(&parts.ledger),
        contacts: Some(Arc::new(contacts)),
        acks: Arc::new(BookSink { book: parts.book.clone() }),
        notices: Some(Arc::new(QuarantineNotices { board: parts.quarantine.clone() })),
        meter: parts.meter.clone(),
    };
    start_spread(options, listener, spread_parts).map_err(DaemonError::Spread)
}

fn forward_context(
    settings: &DaemonSettings,
    parts: &DaemonParts,
    guard: Arc<GuardContext>,
) -> ForwardContext {
    ForwardContext {
        table: parts.table.clone(),
        peers: PeerClient::new(guard.token.clone()),
        guard,
        counters: parts.counters.clone(),
        max_body_bytes: settings.guard.max_body_bytes,
        words: parts.border.words.clone(),
        own_service: parts.own_service.clone(),
    }
}

fn guard_context(settings: &DaemonSettings, parts: &DaemonParts) -> GuardContext {
    GuardContext {
        servers: parts.servers.clone(),
        token: GuardToken::new(&fleet_secret(settings)),
        quarantine: parts.quarantine.clone(),
        claims: Some(Arc::new(BookGate { book: parts.claims.clone() })),
        counters: parts.counters.clone(),
        words: parts.border.words.clone(),
        failed_calls: FailedCalls::default(),
        trips: Default::default(),
        drain: Arc::default(),
    }
}
