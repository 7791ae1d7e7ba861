//! Starting and stopping one daemon.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use sk_ledger::{Ledger, LedgerSettings};
use sk_member::{MemberBoard, MemberRecord, MemberStatus};
use sk_ops::{OpsHandle, start_ops};
use sk_proxy::{
    ForwardContext, GuardContext, LocalServers, ServeHandle, SharedTable, serve_forward,
    serve_guard,
};
use sk_report::ReportBook;
use sk_settings::{DaemonSettings, SpreadMode};
use sk_spread::{
    ControlMeter, HeldConfig, PassMode, SpreadHandle, SpreadOptions, SpreadParts, start_spread,
};
use sk_store::{HttpStore, SharedStore};
use tokio::{net::TcpListener, task::JoinHandle};

use crate::{
    contacts::StoreContacts,
    error::DaemonError,
    port::DaemonPort,
    reach::{ReachClock, watch_reach},
    source::{BookSink, LedgerSource},
    tasks,
};

/// Time given to the news that this daemon leaves, before it stops accepting.
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
    reach: Arc<ReachClock>,
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
    let forward = serve_forward(listeners.proxy, Arc::new(forward_context(&parts)));
    let guard = serve_guard(listeners.guard, Arc::new(guard_context(&parts)));
    let drain = Duration::from_millis(settings.guard.drain_ms);
    let ttl = Duration::from_millis(settings.guard.announce_ttl_ms);
    let tasks = vec![
        tokio::spawn(tasks::build_tables(
            parts.table.clone(),
            parts.held.clone(),
            parts.members.clone(),
        )),
        tokio::spawn(tasks::expire_servers(parts.servers.clone(), parts.members.clone(), ttl)),
        tokio::spawn(watch_reach(parts.reach.clone(), parts.members.clone())),
        tokio::spawn(tasks::flush_reports(parts.book.clone(), parts.store.clone())),
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

    /// Stops gracefully: tells the others, accepts no more, finishes requests in flight within
    /// the set bound, and tells whether all of them ended.
    pub async fn stop(mut self) -> bool {
        log::info!("daemon: leaving.");
        self.members.update(|table| table.set_status(MemberStatus::Leaving), |changed| *changed);
        tokio::time::sleep(LEAVE_NOTICE).await;
        let (forward, guard) =
            tokio::join!(self.forward.stop(self.drain), self.guard.stop(self.drain));
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
        store,
        held: Arc::default(),
        members: Arc::new(MemberBoard::new(own_record(settings, addresses))),
        servers: Arc::default(),
        table: SharedTable::default(),
        book: Arc::new(ReportBook::new(&key_prefix)),
        meter: Arc::default(),
        reach: Arc::default(),
    }
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
        proxy_address: addresses.proxy,
    }
}

fn run_spread(
    settings: &DaemonSettings,
    parts: &DaemonParts,
    listener: std::net::TcpListener,
) -> Result<SpreadHandle, DaemonError> {
    let options = SpreadOptions {
        secret: settings.peers.secret.clone(),
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
        meter: parts.meter.clone(),
    };
    start_spread(options, listener, spread_parts).map_err(DaemonError::Spread)
}

fn forward_context(parts: &DaemonParts) -> ForwardContext {
    let client = Client::builder(TokioExecutor::new()).build_http();
    ForwardContext { table: parts.table.clone(), client }
}

fn guard_context(parts: &DaemonParts) -> GuardContext {
    let client = Client::builder(TokioExecutor::new()).build_http();
    GuardContext { servers: parts.servers.clone(), client }
}
