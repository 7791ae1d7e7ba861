//! Starting and stopping one daemon.

use std::{
    net::SocketAddr,
    sync::{Arc, OnceLock},
    time::Duration,
};

use sk_claim::{ClaimBook, ClaimSettings};
use sk_decide::{admitting, pacing::PacerSettings};
use sk_ledger::{Ledger, LedgerSettings};
use sk_member::{MemberBoard, MemberRecord, MemberStatus};
use sk_ops::{OpsHandle, start_ops};
use sk_proxy::{
    ForwardContext, GuardContext, GuardToken, LocalServers, PeerClient, ProxyCounters,
    QuarantineBoard, ServeHandle, ServerLimits, SharedTable, TablePlace, serve_forward,
    serve_guard,
};
use sk_report::ReportBook;
use sk_settings::{DaemonSettings, SpreadMode};
use sk_spread::{
    ControlMeter, HeldConfig, PassMode, SpreadHandle, SpreadOptions, SpreadParts, StateReader,
    start_spread,
};
use sk_store::{HttpStore, SharedStore};
use tokio::{net::TcpListener, task::JoinHandle};

use crate::{
    claims::BookGate,
    contacts::StoreContacts,
    error::DaemonError,
    metrics::send_metrics,
    notices::QuarantineNotices,
    port::DaemonPort,
    reach::{ReachClock, watch_reach},
    source::{BookSink, LedgerSource},
    tasks,
};

/// Time given to the news that this daemon leaves, before it refuses new requests: for the news to
/// reach the others, and for callers to be told with an answer that the next goes elsewhere.
const LEAVE_NOTICE: Duration = Duration::from_millis(300);

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

/// A running daemon.
pub struct DaemonHandle {
    addresses: DaemonAddresses,
    drain: Duration,
    members: Arc<MemberBoard>,
    forward: ServeHandle,
    guard: ServeHandle,
    ops: OpsHandle,
    spread: SpreadHandle,
    tasks: Vec<JoinHandle<()>>,
}

/// Listeners bound before anything runs, so that a clash stops the daemon at once.
struct BoundListeners {
    proxy: TcpListener,
    guard: TcpListener,
    control: std::net::TcpListener,
}

/// Parts that are shared within one daemon.
struct DaemonParts {
    store: SharedStore,
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
    let ops = start_ops(settings.listen.ops, Arc::new(make_port(settings, &parts, addresses)))?;
    let addresses = DaemonAddresses { ops: ops.address(), ..addresses };
    let spread = run_spread(settings, &parts, listeners.control)?;
    // Set once in a daemon's life; the dump shows nothing of the control thread before.
    let _ = parts.spread.set(spread.reader());
    let guard_context = Arc::new(guard_context(settings, &parts));
    let forward_context = forward_context(settings, &parts, guard_context.clone());
    let forward = serve_forward(listeners.proxy, Arc::new(forward_context));
    let guard = serve_guard(listeners.guard, guard_context);
    let drain = Duration::from_millis(settings.guard.drain_ms);
    let ttl = Duration::from_millis(settings.guard.announce_ttl_ms);
    let tasks = vec![
        tokio::spawn(tasks::build_tables(
            parts.table.clone(),
            parts.held.clone(),
            parts.members.clone(),
            table_place(settings),
        )),
        tokio::spawn(tasks::expire_servers(parts.servers.clone(), parts.members.clone(), ttl)),
        tokio::spawn(watch_reach(parts.reach.clone(), parts.members.clone())),
        tokio::spawn(tasks::flush_reports(parts.book.clone(), parts.store.clone())),
        tokio::spawn(send_metrics(
            settings.metrics.address,
            Arc::new(make_port(settings, &parts, addresses)),
            parts.counters.clone(),
        )),
    ];
    log::info!("daemon: {} runs at {}.", settings.instance.name, addresses.proxy);
    Ok(DaemonHandle {
        addresses,
        drain,
        members: parts.members,
        forward,
        guard,
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

    /// Stops gracefully: tells the others, accepts no more, finishes requests in flight within
    /// the set bound, and tells whether all of them ended.
    ///
    /// The guard ends first: the local server's work in flight may still call other services,
    /// which goes by this daemon's own listener for callers.
    pub async fn stop(mut self) -> bool {
        log::info!("daemon: leaving.");
        self.members.update(|table| table.set_status(MemberStatus::Leaving), |changed| *changed);
        self.forward.leave();
        self.guard.leave();
        tokio::time::sleep(LEAVE_NOTICE).await;
        let end = tokio::time::Instant::now() + self.drain;
        self.forward.refuse_new();
        let guard = self.guard.stop(self.drain).await;
        let left = end.saturating_duration_since(tokio::time::Instant::now());
        let forward = self.forward.stop(left).await;
        self.ops.stop().await;
        self.tasks.iter().for_each(JoinHandle::abort);
        // The control thread is joined, which must not block a worker of this runtime.
        let stop = tokio::task::spawn_blocking(move || self.spread.stop());
        if stop.await.is_err() {
            log::error!("daemon: the control thread did not stop.");
        }
        forward && guard
    }
}

async fn bind_listeners(settings: &DaemonSettings) -> Result<BoundListeners, DaemonError> {
    let listen = &settings.listen;
    let control = std::net::TcpListener::bind(listen.control).map_err(|source| {
        DaemonError::Bind { key: "listen.control", address: listen.control, source }
    })?;
    Ok(BoundListeners {
        proxy: bind("listen.proxy", listen.proxy).await?,
        guard: bind("listen.guard", listen.guard).await?,
        control,
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
    let timeout = Duration::from_millis(settings.platform.timeout_ms);
    let address = settings.platform.address.to_string();
    let store: SharedStore = Arc::new(HttpStore::new(&address, timeout));
    let key_prefix = settings.platform.key_prefix.clone();
    let ledger_settings =
        LedgerSettings { key_prefix: key_prefix.clone(), ..LedgerSettings::default() };
    DaemonParts {
        ledger: Arc::new(Ledger::new(store.clone(), ledger_settings)),
        claims: Arc::new(ClaimBook::new(store.clone(), claim_settings(&key_prefix))),
        store,
        held: Arc::default(),
        members: Arc::new(MemberBoard::new(own_record(settings, addresses))),
        servers: Arc::new(LocalServers::new(server_limits(settings))),
        table: SharedTable::default(),
        book: Arc::new(ReportBook::new(&key_prefix)),
        meter: Arc::default(),
        quarantine: Arc::default(),
        counters: Arc::default(),
        reach: Arc::default(),
        spread: Arc::default(),
    }
}

fn claim_settings(key_prefix: &str) -> ClaimSettings {
    ClaimSettings { key_prefix: key_prefix.to_owned(), ..ClaimSettings::default() }
}

fn own_record(settings: &DaemonSettings, addresses: DaemonAddresses) -> MemberRecord {
    MemberRecord {
        proxy: settings.instance.name.clone(),
        incarnation: tasks::unix_now(),
        sequence: 1,
        status: MemberStatus::Alive,
        data_centre: settings.instance.data_centre.clone(),
        region: settings.instance.region.clone(),
        control: addresses.control,
        guard: addresses.guard,
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
    }
}

/// Gives what daemons prove to each other. It holds the key prefix too: of two fleets that were
/// given one secret by mistake, a daemon that took over an address of the other one's would else be
/// let in there, with another history under the same versions.
fn fleet_secret(settings: &DaemonSettings) -> String {
    format!("{} {}", settings.platform.key_prefix, settings.peers.secret)
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
        heartbeat: Duration::from_millis(settings.member.heartbeat_ms),
        suspect_after: Duration::from_millis(settings.member.suspect_ms),
    };
    let contacts = StoreContacts::new(parts.store.clone(), &settings.platform.key_prefix);
    let spread_parts = SpreadParts {
        held: parts.held.clone(),
        members: parts.members.clone(),
        source: Arc::new(LedgerSource { ledger: parts.ledger.clone() }),
        contacts: Some(Arc::new(contacts)),
        acks: Arc::new(BookSink { book: parts.book.clone() }),
        notices: Some(Arc::new(QuarantineNotices { board: parts.quarantine.clone() })),
        meter: parts.meter.clone(),
    };
    start_spread(options, listener, spread_parts).map_err(DaemonError::Spread)
}

fn table_place(settings: &DaemonSettings) -> TablePlace {
    let instance = &settings.instance;
    TablePlace {
        proxy: instance.name.clone(),
        data_centre: instance.data_centre.clone(),
        region: instance.region.clone(),
    }
}

fn server_limits(settings: &DaemonSettings) -> ServerLimits {
    // The settings' bound of 1024 fits.
    let queue = settings.guard.queue as u32;
    ServerLimits {
        guard: admitting::GuardSettings {
            short_queue: queue,
            long_queue: queue / 2,
            ..admitting::GuardSettings::default()
        },
        pacer: PacerSettings { limit: settings.guard.connections, ..PacerSettings::default() },
    }
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
    }
}

fn guard_context(settings: &DaemonSettings, parts: &DaemonParts) -> GuardContext {
    GuardContext {
        servers: parts.servers.clone(),
        token: GuardToken::new(&fleet_secret(settings)),
        quarantine: parts.quarantine.clone(),
        claims: Some(Arc::new(BookGate { book: parts.claims.clone() })),
        counters: parts.counters.clone(),
    }
}
