//! Starts and stops one daemon.
//!
//! A stop is announced before anything is refused, and requests in flight finish within a bound, so
//! that callers lose no request.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwapOption;
use futures::{FutureExt, future::join_all};
use sk_allowance::{AllowanceBook, OwnerCall};
use sk_claim::ClaimClient;
use sk_decide::stopping::StopSchedule;
use sk_ledger::{Ledger, LedgerSettings};
use sk_member::{HeartbeatFilter, MemberRecord, MemberStatus, SharedMembers};
use sk_ops::{OpsHandle, SharedPort, start_ops};
use sk_proxy::{
    CallProofs, ConfigAge, DrainTimes, FailedCalls, ForwardContext, GuardContext, GuardToken,
    ListenerActivity, ListenerHandle, LocalServerList, LocalServiceName, OpenRequests, PeerClient,
    ProxyCounters, RefusedRequests, RunningRequests, SharedQuarantine, SharedTable, serve_forward,
    serve_guard,
};
use sk_report::AckBuffer;
use sk_rollout::SharedRollouts;
use sk_settings::{DaemonSettings, SpreadMode};
use sk_spread::{
    AllowancePort, ConfigHolder, ControlMeter, ForwardMode, NoticeExchange, SpreadHandle,
    SpreadOptions, SpreadParts, StateReader, start_spread,
};
use sk_store::SharedStore;
use tokio::{net::TcpListener, sync::mpsc, task::JoinHandle, time::Instant};

use crate::{
    allowances::{BookGate, update_allowances},
    claims::ClaimClientGate,
    contacts::CentreLists,
    departures::{DepartureStore, restore_departures},
    error::DaemonError,
    identify::identify_server,
    metrics::send_metrics,
    notices::QuarantineNotices,
    options::{
        announce_ttl, claim_settings, fleet_secret, local_service, max_body_bytes, max_key_age,
        quarantine_settings, rollout_settings, server_limits, snapshot_check, stop_schedule,
        table_owner,
    },
    platform::PlatformAdapter,
    port::DaemonPort,
    reachability::{UnreachableTimes, watch_reachability},
    rollouts::{RolloutNotices, RolloutParts, start_rollouts},
    scrape::{ScrapeParts, serve_metrics},
    source::ReportAckSink,
    tasks,
    unfinished::{DepositSender, PeerRecall},
};

/// Addresses that a daemon listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DaemonAddresses {
    /// Listener for callers' requests.
    pub proxy: SocketAddr,
    /// Listener for requests from other daemons to the local backend server.
    pub guard: SocketAddr,
    /// Listener for control traffic.
    pub control: SocketAddr,
    /// Listener for operators and the local backend server's announcements.
    pub ops: SocketAddr,
}

/// Longest wait for calls to the operators' interface to end at a stop. A caller that keeps its
/// connection open must not delay the exit.
const OPS_STOP_TIMEOUT: Duration = Duration::from_millis(100);

/// Time between the announcement that the local backend server is no longer reachable through this
/// daemon and the stop of its guard. It suffices for the announcement to reach all daemons, and for
/// requests of a few hundred milliseconds that are already on their way to end.
const GUARD_LEAVE_NOTICE: Duration = Duration::from_millis(900);
/// Time before the end of the drain at which callers' connections are closed. Their requests are
/// answered by then, but the local backend server may use such connections for calls of its own
/// until its work ends.
const CLOSE_MARGIN: Duration = Duration::from_millis(200);
/// Time without an open request, and without a byte to or from a peer, after which peers that keep
/// a connection open count as gone. Much longer than a message takes over a full link, and longer
/// than the interval of the pings of daemons that wait for answers.
const SILENT_PEER_TIME: Duration = Duration::from_millis(2_500);
/// Interval between checks whether peers are silent.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A running daemon.
pub struct DaemonHandle {
    addresses: DaemonAddresses,
    schedule: StopSchedule,
    is_leaving: Arc<AtomicBool>,
    local_service: LocalServiceName,
    platform: Arc<PlatformAdapter>,
    members: Arc<SharedMembers>,
    forward: ListenerHandle,
    guard: ListenerHandle,
    guard_context: Arc<GuardContext>,
    deposits: Arc<DepositSender>,
    ops: Vec<OpsHandle>,
    spread: SpreadHandle,
    tasks: Vec<JoinHandle<()>>,
}

/// Listeners that are bound before anything runs, so that an address in use stops the start.
struct BoundListeners {
    proxy: TcpListener,
    guard: TcpListener,
    control: std::net::TcpListener,
    metrics: Option<TcpListener>,
}

/// Parts that the components of one daemon share.
struct DaemonParts {
    platform: Arc<PlatformAdapter>,
    store: SharedStore,
    heartbeats: Arc<Mutex<HeartbeatFilter>>,
    departures: Arc<DepartureStore>,
    is_leaving: Arc<AtomicBool>,
    local_service: LocalServiceName,
    ledger: Arc<Ledger>,
    config: Arc<ConfigHolder>,
    members: Arc<SharedMembers>,
    servers: Arc<LocalServerList>,
    table: SharedTable,
    ack_buffer: Arc<AckBuffer>,
    meter: Arc<ControlMeter>,
    claims: Arc<ClaimClient>,
    allowances: Arc<AllowanceBook>,
    quarantine: Arc<SharedQuarantine>,
    counters: Arc<ProxyCounters>,
    rollouts: Arc<SharedRollouts>,
    unreachable: Arc<UnreachableTimes>,
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
    let (allowances, owner_calls) = AllowanceBook::new(&settings.instance.name);
    let parts = make_parts(settings, addresses, allowances);
    let own_port = Arc::new(make_port(settings, &parts, addresses));
    let port: SharedPort = own_port.clone();
    let mut ops = vec![start_ops(settings.listen.ops, port.clone())?];
    let addresses = DaemonAddresses { ops: ops[0].address(), ..addresses };
    if let Some(ready) = settings.listen.ready {
        ops.push(start_ops(ready, port.clone())?);
    }
    let spread = run_spread(settings, &parts, listeners.control, owner_calls)?;
    // This is the only write; before it, the state dump has default values for the control thread.
    let _ = parts.spread.set(spread.reader());
    let guard_context = Arc::new(guard_context(settings, &parts));
    let peers = PeerClient::new(guard_context.token.clone());
    let deposits = Arc::new(DepositSender::new(
        parts.members.clone(),
        peers.clone(),
        guard_context.running.clone(),
    ));
    let forward_context = forward_context(settings, &parts, guard_context.clone(), peers);
    let forward = serve_forward(listeners.proxy, Arc::new(forward_context));
    let guard = serve_guard(listeners.guard, guard_context.clone());
    let flush = Duration::from_millis(settings.report.flush_ms);
    let ttl = announce_ttl(settings);
    let scrape = ScrapeParts { port: port.clone(), counters: parts.counters.clone() };
    let scrape =
        listeners.metrics.map(|listener| tokio::spawn(serve_metrics(listener, Arc::new(scrape))));
    let mut tasks = vec![
        tokio::spawn(tasks::build_tables(
            parts.table.clone(),
            parts.config.clone(),
            parts.members.clone(),
            parts.servers.clone(),
            table_owner(settings),
            parts.rollouts.clone(),
        )),
        tokio::spawn(tasks::expire_servers(
            parts.servers.clone(),
            parts.members.clone(),
            parts.counters.clone(),
            ttl,
        )),
        tokio::spawn(update_allowances(
            parts.allowances.clone(),
            parts.config.clone(),
            parts.members.clone(),
        )),
        tokio::spawn(watch_reachability(parts.unreachable.clone(), parts.members.clone())),
        tokio::spawn(tasks::flush_reports(parts.ack_buffer.clone(), parts.store.clone(), flush)),
        tokio::spawn(send_metrics(settings.metrics.address, port, parts.counters.clone())),
    ];
    tasks.extend(scrape);
    tasks.push(tokio::spawn(restore_departures(own_port.clone())));
    let sender = deposits.clone();
    tasks.push(tokio::spawn(async move { sender.run().await }));
    tasks.extend(run_rollouts(settings, &parts, &guard_context));
    if let Some((service, address)) =
        local_service(&parts.platform, settings).zip(settings.instance.server)
    {
        tasks.push(tokio::spawn(identify_server(own_port, service, address)));
    }
    log::info!("daemon: {} runs at {}.", settings.instance.name, addresses.proxy);
    if !settings.experiment.off.is_empty() {
        log::warn!("daemon: an experiment disables {:?}.", settings.experiment.off);
    }
    Ok(DaemonHandle {
        addresses,
        schedule: stop_schedule(settings),
        is_leaving: parts.is_leaving,
        local_service: parts.local_service,
        platform: parts.platform,
        members: parts.members,
        forward,
        guard,
        guard_context,
        deposits,
        ops,
        spread,
        tasks,
    })
}

impl DaemonHandle {
    /// Returns the addresses that the daemon listens on.
    pub fn addresses(&self) -> DaemonAddresses {
        self.addresses
    }

    /// Waits until the control thread, without which the daemon cannot run, has ended by itself.
    pub async fn wait_for_failure(&self) {
        let mut ended = self.spread.ended();
        while ended.changed().await.is_ok() {}
        log::error!("daemon: the control thread ended unexpectedly.");
    }

    /// Applies settings that were changed while the daemon runs. Only `instance.service` takes
    /// effect; all others need a restart.
    pub fn apply_settings(&self, settings: &DaemonSettings) {
        let service = local_service(&self.platform, settings);
        log::info!("daemon: settings read again, service {service:?}.");
        self.local_service.store(service.map(Arc::new));
    }

    /// Stops gracefully: informs other daemons, refuses new requests and finishes those in flight
    /// within the set bound. Returns whether all of them ended.
    ///
    /// The guard stops first: work in flight at the local backend server may still call other
    /// services, which goes through this daemon's own listener for callers.
    pub async fn stop(mut self) -> bool {
        log::info!("daemon: stopping.");
        self.is_leaving.store(true, Ordering::Release);
        let (begin, schedule) = (Instant::now(), self.schedule);
        let end = begin + schedule.end;
        self.guard_context.drain_clock.begin_drain(DrainTimes {
            refuse_at: begin + schedule.leave,
            answer_by: begin + schedule.answer_by,
        });
        self.forward.announce_shutdown();
        // The local backend server keeps running, and other daemons use it until callers have left.
        // If it were withdrawn at once while a third of a fleet stops, callers would notice the
        // loss of the servers.
        let notice = schedule.leave.min(GUARD_LEAVE_NOTICE);
        tokio::time::sleep(schedule.leave - notice).await;
        self.members.update(|table| table.set_status(MemberStatus::Leaving), |changed| *changed);
        self.guard.announce_shutdown();
        tokio::time::sleep(notice).await;
        self.forward.refuse_new();
        let servers = self.guard_context.servers.clone();
        self.tasks.push(tokio::spawn(async move {
            tokio::time::sleep_until(begin + schedule.refuse_queued).await;
            servers.refuse_queued();
        }));
        let open_requests = self.guard_context.open_requests.clone();
        let guard_stop = stop_guard(self.guard, open_requests.clone(), end).boxed().shared();
        let forward_at = end.checked_sub(CLOSE_MARGIN).unwrap_or(end);
        let work_end = async {
            guard_stop.clone().await;
            wait_until_served(&open_requests).await;
        };
        let _ = tokio::time::timeout_at(forward_at, work_end).await;
        let forward_stop = self.forward.stop(end.saturating_duration_since(Instant::now()));
        // Answers of the guard may still be on their way while the callers' connections close.
        let (is_forward_clean, is_guard_clean) = tokio::join!(forward_stop, guard_stop);
        let in_flight = self.guard_context.counters.snapshot().in_flight;
        log::info!(is_clean = is_forward_clean, in_flight; "daemon: the entry stopped.");
        // Its server may go on with what this daemon has sent to it.
        self.deposits.send().await;
        // A caller that keeps its connection open must not keep the process running.
        let ops = join_all(self.ops.into_iter().map(OpsHandle::stop));
        if tokio::time::timeout(OPS_STOP_TIMEOUT, ops).await.is_err() {
            log::info!("ops: connections were still open at the stop.");
        }
        self.tasks.iter().for_each(JoinHandle::abort);
        // Joining the control thread would block a worker of this runtime.
        let stop = tokio::task::spawn_blocking(move || self.spread.stop());
        if stop.await.is_err() {
            log::error!("daemon: the control thread did not stop.");
        }
        is_forward_clean && is_guard_clean
    }
}

/// Stops a guard by `end`, and returns whether all its requests ended.
async fn stop_guard(guard: ListenerHandle, open_requests: Arc<OpenRequests>, end: Instant) -> bool {
    let activity = guard.activity();
    // A peer that disappeared without notice never closes its connection.
    let (is_clean, has_open_peers) = tokio::select! {
        is_clean = guard.stop(end.saturating_duration_since(Instant::now())) => {
            (is_clean, !is_clean)
        }
        () = wait_until_silent(&open_requests, &activity) => (true, true),
    };
    let open_requests = open_requests.count();
    log::info!(is_clean, has_open_peers, open_requests; "daemon: the guard stopped.");
    is_clean
}

/// Waits until no request of a guard is open. Those that entered at this daemon have no connection
/// of another one, and their server may still make calls on new connections to the entry.
async fn wait_until_served(open_requests: &OpenRequests) {
    while open_requests.count() > 0 {
        tokio::time::sleep(SILENCE_CHECK_INTERVAL).await;
    }
}

/// Waits until no request of a guard has been open, and no byte has passed on its connections, for
/// [`SILENT_PEER_TIME`].
async fn wait_until_silent(open_requests: &OpenRequests, activity: &ListenerActivity) {
    let mut open_at = Instant::now();
    while open_at.elapsed().min(activity.quiet_time()) < SILENT_PEER_TIME {
        tokio::time::sleep(SILENCE_CHECK_INTERVAL).await;
        if open_requests.count() > 0 {
            open_at = Instant::now();
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

fn make_parts(
    settings: &DaemonSettings,
    addresses: DaemonAddresses,
    allowances: AllowanceBook,
) -> DaemonParts {
    let platform = Arc::new(PlatformAdapter::new(&settings.platform));
    let store = platform.store.clone();
    let key_prefix = settings.platform.key_prefix.clone();
    let departures = DepartureStore::new(store.clone(), &key_prefix, &settings.instance.name);
    let ledger_settings =
        LedgerSettings { key_prefix: key_prefix.clone(), ..LedgerSettings::default() };
    DaemonParts {
        ledger: Arc::new(Ledger::new(store.clone(), ledger_settings)),
        claims: Arc::new(ClaimClient::new(store.clone(), claim_settings(&key_prefix))),
        allowances: Arc::new(allowances),
        store,
        local_service: Arc::new(ArcSwapOption::from(
            local_service(&platform, settings).map(Arc::new),
        )),
        heartbeats: Arc::default(),
        departures: Arc::new(departures),
        is_leaving: Arc::default(),
        platform,
        config: Arc::new(ConfigHolder::with_check(snapshot_check(settings))),
        members: Arc::new(SharedMembers::new(own_record(settings, addresses))),
        servers: Arc::new(LocalServerList::new(server_limits(settings))),
        table: SharedTable::default(),
        ack_buffer: Arc::new(AckBuffer::new(&key_prefix)),
        meter: Arc::default(),
        quarantine: Arc::new(SharedQuarantine::new(quarantine_settings(settings))),
        counters: Arc::default(),
        rollouts: Arc::new(match settings.rollout {
            Some(_) => SharedRollouts::new(),
            None => SharedRollouts::default(),
        }),
        unreachable: Arc::default(),
        spread: Arc::default(),
    }
}

/// Returns the record by which other daemons know this one, with the addresses at which they reach
/// it.
fn own_record(settings: &DaemonSettings, addresses: DaemonAddresses) -> MemberRecord {
    MemberRecord {
        proxy: settings.instance.name.clone(),
        incarnation: sk_model::unix_time_ms(),
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
        config: parts.config.clone(),
        members: parts.members.clone(),
        servers: parts.servers.clone(),
        meter: parts.meter.clone(),
        unreachable: parts.unreachable.clone(),
        quarantine: parts.quarantine.clone(),
        rollouts: parts.rollouts.clone(),
        counters: parts.counters.clone(),
        table: parts.table.clone(),
        allowances: parts.allowances.clone(),
        ack_buffer: parts.ack_buffer.clone(),
        spread: parts.spread.clone(),
        proxy_address: addresses.proxy,
        platform: parts.platform.clone(),
        heartbeats: parts.heartbeats.clone(),
        departures: parts.departures.clone(),
        is_leaving: parts.is_leaving.clone(),
    }
}

/// Starts the control thread.
fn run_spread(
    settings: &DaemonSettings,
    parts: &DaemonParts,
    listener: std::net::TcpListener,
    owner_calls: mpsc::Receiver<OwnerCall>,
) -> Result<SpreadHandle, DaemonError> {
    let options = SpreadOptions {
        secret: fleet_secret(settings),
        seeds: settings.peers.seeds.clone(),
        mode: match settings.spread.mode {
            SpreadMode::Push => ForwardMode::Push,
            SpreadMode::Announce => ForwardMode::Announce,
        },
        fan_out: settings.spread.fan_out,
        repair_interval: Duration::from_millis(settings.spread.repair_interval_ms),
        relays: settings.spread.relays,
        max_fetches: settings.spread.max_fetches,
        start_window: Duration::from_millis(settings.spread.start_window_ms),
        heartbeat: Duration::from_millis(settings.member.heartbeat_ms),
        suspect_after: Duration::from_millis(settings.member.suspect_ms),
    };
    let key_prefix = &settings.platform.key_prefix;
    let contacts: CentreLists<SocketAddr> =
        CentreLists::new(parts.store.clone(), key_prefix, "contacts");
    let roster: CentreLists<sk_model::ProxyId> =
        CentreLists::new(parts.store.clone(), key_prefix, "fleet");
    let spread_parts = SpreadParts {
        config: parts.config.clone(),
        members: parts.members.clone(),
        source: parts.platform.source(&parts.ledger),
        contacts: Some(Arc::new(contacts)),
        roster: Some(Arc::new(roster)),
        acks: Arc::new(ReportAckSink { ack_buffer: parts.ack_buffer.clone() }),
        notices: notice_topics(parts),
        allowances: Some(AllowancePort { desk: parts.allowances.clone(), calls: owner_calls }),
        meter: parts.meter.clone(),
    };
    start_spread(options, listener, spread_parts).map_err(DaemonError::Spread)
}

/// Returns the topics of notices. A daemon without roll-outs does not exchange any about them.
fn notice_topics(parts: &DaemonParts) -> Vec<Arc<dyn NoticeExchange>> {
    let quarantine = QuarantineNotices { quarantine: parts.quarantine.clone() };
    let mut topics: Vec<Arc<dyn NoticeExchange>> = vec![Arc::new(quarantine)];
    if parts.rollouts.is_enabled() {
        topics.push(Arc::new(RolloutNotices { rollouts: parts.rollouts.clone() }));
    }
    topics
}

/// Starts the tasks of roll-outs, none where the settings have no such section.
fn run_rollouts(
    settings: &DaemonSettings,
    parts: &DaemonParts,
    guard_context: &GuardContext,
) -> Vec<JoinHandle<()>> {
    let Some(rollout) = rollout_settings(settings) else { return Vec::new() };
    start_rollouts(RolloutParts {
        rollouts: parts.rollouts.clone(),
        settings: rollout,
        source: parts.platform.orders.clone(),
        store: parts.store.clone(),
        key_prefix: settings.platform.key_prefix.clone(),
        members: parts.members.clone(),
        servers: parts.servers.clone(),
        open_requests: guard_context.open_requests.clone(),
        spread: parts.spread.clone(),
    })
}

fn forward_context(
    settings: &DaemonSettings,
    parts: &DaemonParts,
    guard_context: Arc<GuardContext>,
    peers: PeerClient,
) -> ForwardContext {
    let recall =
        PeerRecall::new(parts.members.clone(), peers.clone(), guard_context.running.clone());
    ForwardContext {
        table: parts.table.clone(),
        peers,
        recall: Some(Arc::new(recall)),
        guard_context,
        counters: parts.counters.clone(),
        max_body_bytes: max_body_bytes(settings),
        refused: RefusedRequests::default(),
        headers: parts.platform.headers.clone(),
        local_service: parts.local_service.clone(),
        config_age: config_age(parts),
        max_key_age: max_key_age(settings),
        allowances: Some(Arc::new(BookGate { book: parts.allowances.clone() })),
    }
}

/// Returns a reader of the time since this daemon was known to hold the newest configuration.
fn config_age(parts: &DaemonParts) -> ConfigAge {
    let spread = parts.spread.clone();
    Arc::new(move || spread.get()?.source_age())
}

fn guard_context(settings: &DaemonSettings, parts: &DaemonParts) -> GuardContext {
    GuardContext {
        servers: parts.servers.clone(),
        token: GuardToken::new(&fleet_secret(settings)),
        quarantine: parts.quarantine.clone(),
        claims: Some(Arc::new(ClaimClientGate { claim_client: parts.claims.clone() })),
        counters: parts.counters.clone(),
        headers: parts.platform.headers.clone(),
        failed_calls: FailedCalls::default(),
        running: match settings.instance.first_start {
            true => RunningRequests::default(),
            false => RunningRequests::after_restart(),
        },
        proofs: CallProofs::new(&fleet_secret(settings), &settings.instance.name),
        transit_clocks: Default::default(),
        open_requests: Arc::default(),
        rollouts: parts.rollouts.clone(),
        drain_clock: Arc::default(),
    }
}
