//! Implements the calls of operators and of the local backend server on this daemon.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use async_trait::async_trait;
use sk_allowance::AllowanceBook;
use sk_ledger::{Ledger, SubmitError};
use sk_member::{
    EndpointRecord, EndpointStatus, HeartbeatFilter, HeartbeatStatus, MemberRecord, MemberTable,
    ServerBoot, ServerHeartbeat, SharedMembers,
};
use sk_model::{
    ChangeRecord, ChangeRequest, ConfigSnapshot, ProxyId, TeamName, UnixMillis, Version,
    unix_time_ms,
};
use sk_ops::{
    HeartbeatBody, LeaveBody, MAX_SERVICES, OperatorPort, OpsError, ServerAnnouncement,
    ServerState, SettingsView, StateDump, TeamRecord, TeamView,
};
use sk_proxy::{
    LocalServer, LocalServerList, ProxyCounters, SharedQuarantine, SharedTable, time_since_start,
};
use sk_report::{
    AckBuffer, ChangeReport, FleetReport, KnownProxy, ReportError, make_change_report,
    make_fleet_report, read_acks, read_in_force_times,
};
use sk_rollout::SharedRollouts;
use sk_spread::{ConfigHolder, ControlMeter, StateReader};
use sk_store::SharedStore;

use crate::{
    departures::DepartureStore,
    identify::confirm_running,
    platform::PlatformAdapter,
    reachability::UnreachableTimes,
    tasks::publish_endpoints,
    team_records::{read_team, store_to_ops_error, write_team},
};

/// Highest number of a heartbeat, counted from 0 or 1, at which its server has just started; one may
/// have been lost.
const MAX_START_SEQUENCE: u64 = 2;
/// Time after which a server may repeat a heartbeat or a leave that was not acknowledged.
const HEARTBEAT_RETRY: Duration = Duration::from_millis(500);

/// The parts of the daemon that these calls use.
pub(crate) struct DaemonPort {
    pub(crate) manager_sha256: String,
    pub(crate) key_prefix: String,
    pub(crate) store: SharedStore,
    pub(crate) ledger: Arc<Ledger>,
    pub(crate) config: Arc<ConfigHolder>,
    pub(crate) members: Arc<SharedMembers>,
    pub(crate) servers: Arc<LocalServerList>,
    pub(crate) meter: Arc<ControlMeter>,
    pub(crate) unreachable: Arc<UnreachableTimes>,
    pub(crate) quarantine: Arc<SharedQuarantine>,
    pub(crate) rollouts: Arc<SharedRollouts>,
    pub(crate) counters: Arc<ProxyCounters>,
    pub(crate) table: SharedTable,
    pub(crate) allowances: Arc<AllowanceBook>,
    pub(crate) ack_buffer: Arc<AckBuffer>,
    /// Set as soon as the control thread runs.
    pub(crate) spread: Arc<OnceLock<StateReader>>,
    pub(crate) proxy_address: SocketAddr,
    pub(crate) platform: Arc<PlatformAdapter>,
    /// Decides which heartbeats of local backend servers are newer than the last ones.
    pub(crate) heartbeats: Arc<Mutex<HeartbeatFilter>>,
    /// Keeps the departures of local backend servers for later processes of this daemon.
    pub(crate) departures: Arc<DepartureStore>,
    /// Whether this daemon is stopping.
    pub(crate) is_leaving: Arc<AtomicBool>,
}

#[async_trait]
impl OperatorPort for DaemonPort {
    fn manager_sha256(&self) -> &str {
        &self.manager_sha256
    }

    async fn team(&self, team: &str) -> Result<Option<TeamRecord>, OpsError> {
        read_team(&self.store, &self.key_prefix, team).await
    }

    async fn put_team(&self, team: &TeamName, record: TeamRecord) -> Result<(), OpsError> {
        write_team(&self.store, &self.key_prefix, team, &record).await
    }

    async fn submit(&self, request: ChangeRequest) -> Result<ChangeRecord, OpsError> {
        if self.platform.is_external() {
            let reason = "the platform's operator writes this fleet's configuration".to_owned();
            return Err(OpsError::Forbidden { reason });
        }
        let now = unix_time_ms();
        let record = self.ledger.submit(&request, now).await;
        let record = record.map_err(|err| match err {
            // The other team's change must not be shown to this team.
            SubmitError::IdReused { record } if record.team != request.team => {
                let reason = "`change_id` is in use; allowed: one not used before".to_owned();
                OpsError::Malformed { reason }
            }
            err => OpsError::from_submit(err, now),
        })?;
        log::info!("ops: change {} is version {}.", record.change_id, record.version);
        Ok(record)
    }

    async fn find_change(&self, change_id: &str) -> Result<Option<ChangeRecord>, OpsError> {
        let record = self.ledger.find_change(change_id).await;
        record.map_err(|err| OpsError::from_ledger(&err, unix_time_ms()))
    }

    async fn read_newest(&self) -> Result<SettingsView, OpsError> {
        let snapshot = self.load_accepted().await?;
        Ok(view_snapshot(&snapshot))
    }

    async fn history(
        &self,
        from: Version,
        max_records: usize,
    ) -> Result<Vec<ChangeRecord>, OpsError> {
        let records = self.ledger.history(from, max_records).await;
        records.map_err(|err| OpsError::from_ledger(&err, unix_time_ms()))
    }

    async fn report(&self) -> Result<FleetReport, OpsError> {
        let snapshot = self.load_accepted().await?;
        let acks = read_acks(&self.store, &self.key_prefix).await;
        let acks = acks.map_err(report_to_ops_error)?;
        Ok(make_fleet_report(snapshot.root.change.clone(), &self.known_proxies(), &acks))
    }

    async fn change_report(&self, version: Version) -> Result<ChangeReport, OpsError> {
        let not_found = || OpsError::NotFound { what: format!("version {version}") };
        let record = self.history(version, 1).await?.into_iter().next();
        let record = record.filter(|record| record.version == version).ok_or_else(not_found)?;
        let times = read_in_force_times(&self.store, &self.key_prefix, version).await;
        let times = times.map_err(report_to_ops_error)?;
        let acks = read_acks(&self.store, &self.key_prefix).await.map_err(report_to_ops_error)?;
        Ok(make_change_report(record, &times, &self.known_proxies(), &acks))
    }

    fn state(&self) -> StateDump {
        self.dump()
    }

    fn own_ips(&self) -> Vec<IpAddr> {
        vec![self.members.own().guard.ip(), self.proxy_address.ip()]
    }

    fn announce_server(
        &self,
        announcement: ServerAnnouncement,
        address: SocketAddr,
    ) -> Result<(), OpsError> {
        let endpoints = self.servers.endpoints();
        let is_known_service =
            endpoints.iter().any(|endpoint| endpoint.service == announcement.service);
        if !is_known_service && endpoints.len() >= MAX_SERVICES {
            let reason = format!("too many services; allowed: {MAX_SERVICES} beside a daemon");
            return Err(OpsError::Malformed { reason });
        }
        let status = match announcement.is_draining {
            true => EndpointStatus::Draining,
            false => EndpointStatus::Ready,
        };
        let endpoint = EndpointRecord {
            service: announcement.service,
            server: announcement.server,
            slots: announcement.slots,
            status,
            version: announcement.version,
        };
        let readmit = |table: &mut MemberTable| table.readmit_server(&endpoint.server);
        self.members.update(readmit, |()| false);
        let (name, last_announced_at) = (endpoint.server.clone(), Instant::now());
        self.servers.announce(LocalServer {
            name,
            endpoint,
            address,
            last_announced_at,
            warm_up: None,
            was_running: false,
        });
        publish_endpoints(&self.servers, &self.members);
        Ok(())
    }

    fn ready(&self) -> Option<Version> {
        let version = self.config.status().version;
        let is_ready = self.config.is_ready() && !self.is_leaving.load(Ordering::Acquire);
        (is_ready && version > 0).then_some(version)
    }

    async fn handle_heartbeat(
        &self,
        name: &str,
        heartbeat: HeartbeatBody,
        address: SocketAddr,
    ) -> Result<(), OpsError> {
        let heartbeat = ServerHeartbeat {
            name: name.to_owned(),
            started_at: heartbeat.born.unwrap_or_default(),
            sequence: heartbeat.sequence,
            service: self.platform.service_path(&heartbeat.service),
            address,
            slots: heartbeat.slots,
            status: match heartbeat.state {
                ServerState::Ready => EndpointStatus::Ready,
                ServerState::Draining => EndpointStatus::Draining,
            },
            warm_up: Duration::from_millis(heartbeat.warm_up_left),
            version: heartbeat.version,
        };
        let is_draining = heartbeat.status == EndpointStatus::Draining;
        if !is_draining && !self.is_admissible(&heartbeat).await {
            log::warn!("ops: cannot tell whether server {name} has left; not accepted.");
            return Err(OpsError::NotAccepted { retry_at: heartbeat_retry_at() });
        }
        match self.accept_heartbeat(heartbeat) {
            Some(boot) if is_draining => self.store_departure(&boot).await?,
            Some(boot) if self.departures.has_earlier(&boot) => {
                let departures = self.departures.clone();
                tokio::spawn(async move {
                    if let Err(err) = departures.record(&boot).await {
                        log::info!("ops: cannot store the start of server {}: {err}.", boot.name);
                    }
                });
            }
            _ => {}
        }
        Ok(())
    }

    async fn deregister_server(&self, name: &str, leave: LeaveBody) -> Result<(), OpsError> {
        let (server_id, boot) = {
            let mut filter = self.lock_heartbeats();
            let now = time_since_start();
            (filter.record_leave(name, leave.born, unix_time_ms(), now), filter.boot(name))
        };
        log::info!("ops: server {name} deregistered.");
        if server_id.is_some_and(|server_id| self.servers.drain_server(&server_id)) {
            publish_endpoints(&self.servers, &self.members);
        }
        match boot {
            Some(boot) => self.store_departure(&boot).await,
            None => Ok(()),
        }
    }
}

impl DaemonPort {
    /// Returns the newest accepted configuration that is known here: from the ledger, or the newest
    /// one received where the configuration is not written by this fleet.
    async fn load_accepted(&self) -> Result<Arc<ConfigSnapshot>, OpsError> {
        if self.platform.is_external() {
            return Ok(self.config.newest());
        }
        let snapshot = self.ledger.load(&self.config.current()).await;
        snapshot.map(Arc::new).map_err(|err| OpsError::from_ledger(&err, unix_time_ms()))
    }

    fn lock_heartbeats(&self) -> MutexGuard<'_, HeartbeatFilter> {
        self.heartbeats.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a heartbeat unless it is stale, and returns the latest known process of its server.
    fn accept_heartbeat(&self, heartbeat: ServerHeartbeat) -> Option<ServerBoot> {
        // The lock is held until the heartbeat is applied, so that a leave comes before or after
        // both.
        let mut filter = self.lock_heartbeats();
        let status = filter.classify(&heartbeat, time_since_start());
        let boot = filter.boot(&heartbeat.name);
        match status {
            HeartbeatStatus::Current => {
                let was_running = heartbeat.sequence > MAX_START_SEQUENCE;
                self.apply_heartbeat(heartbeat, was_running);
            }
            HeartbeatStatus::Stale => {
                log::info!("ops: ignored a stale heartbeat of server {}.", heartbeat.name)
            }
        }
        boot
    }

    /// Returns whether a server that reports that it accepts work is known not to have left before
    /// this daemon started: by the stored departures or, while the store is away, by the server's
    /// own answer.
    async fn is_admissible(&self, heartbeat: &ServerHeartbeat) -> bool {
        self.lock_heartbeats().is_known(heartbeat)
            || self.departures.wait_until_restored().await
            || confirm_running(self, heartbeat).await
    }

    /// Stores a departure, which is acknowledged after that.
    async fn store_departure(&self, boot: &ServerBoot) -> Result<(), OpsError> {
        self.departures.record(boot).await.map_err(|err| {
            log::warn!("ops: cannot store the departure of server {}: {err}.", boot.name);
            OpsError::NotStored { retry_at: heartbeat_retry_at() }
        })
    }

    /// Adds what earlier processes of this daemon have stored about the local backend servers.
    pub(crate) fn restore_boots(&self, boots: &[ServerBoot]) {
        let left = self.lock_heartbeats().restore(boots, time_since_start());
        let drained = left.iter().filter(|id| self.servers.drain_server(id)).count();
        if drained > 0 {
            publish_endpoints(&self.servers, &self.members);
        }
    }

    /// Adds a server that identified itself, unless its own heartbeat or leave, or the heartbeat of
    /// another server, arrived meanwhile.
    pub(crate) fn add_identified(&self, mut identity: ServerHeartbeat) {
        let mut filter = self.lock_heartbeats();
        match filter.classify_identity(&mut identity, time_since_start()) {
            HeartbeatStatus::Current if self.servers.endpoints().is_empty() => {
                let name = &identity.name;
                log::info!("daemon: the local backend server identified itself as {name}.");
                self.apply_heartbeat(identity, true);
            }
            HeartbeatStatus::Current | HeartbeatStatus::Stale => log::info!(
                "daemon: ignored the identity of server {}: a heartbeat or leave came first.",
                identity.name
            ),
        }
    }

    /// Adds or updates a server with the content of its heartbeat. The heartbeat is acknowledged
    /// after this, so that an acknowledged drain is in effect at the guard, through which alone the
    /// server receives requests.
    fn apply_heartbeat(&self, heartbeat: ServerHeartbeat, was_running: bool) {
        let server = heartbeat.server_id();
        self.members.update(|table| table.readmit_server(&server), |()| false);
        self.servers.remove_others_at(heartbeat.address, &server);
        let endpoint = EndpointRecord {
            service: heartbeat.service,
            server,
            slots: heartbeat.slots,
            status: heartbeat.status,
            version: heartbeat.version,
        };
        self.servers.announce(LocalServer {
            name: heartbeat.name,
            endpoint,
            address: heartbeat.address,
            last_announced_at: Instant::now(),
            warm_up: Some(heartbeat.warm_up),
            was_running,
        });
        publish_endpoints(&self.servers, &self.members);
    }

    /// Returns all known daemons, and since when each is unreachable from here, for reports.
    fn known_proxies(&self) -> BTreeMap<ProxyId, KnownProxy> {
        let known = |record: &MemberRecord| KnownProxy {
            data_centre: record.data_centre.clone(),
            incarnation: record.incarnation,
            unreachable_since: self.unreachable.unreachable_since(&record.proxy),
        };
        let members = self.members.snapshot();
        members.iter().map(|(proxy, record)| (proxy.clone(), known(record))).collect()
    }
}

/// Returns when a server may repeat a heartbeat or a leave, in milliseconds since the Unix epoch.
fn heartbeat_retry_at() -> UnixMillis {
    unix_time_ms() + HEARTBEAT_RETRY.as_millis() as UnixMillis
}

fn report_to_ops_error(err: ReportError) -> OpsError {
    match err {
        ReportError::Store(err) => store_to_ops_error(&err),
        err => OpsError::Internal { reason: err.to_string() },
    }
}

fn view_snapshot(snapshot: &ConfigSnapshot) -> SettingsView {
    let view = |(team, tree_ref): (&TeamName, &sk_model::TreeRef)| {
        let tree = snapshot.trees.get(team);
        let settings = tree.map(|tree| tree.settings.clone()).unwrap_or_default();
        (team.clone(), TeamView { version: tree_ref.version, settings })
    };
    let teams: BTreeMap<_, _> = snapshot.root.trees.iter().map(view).collect();
    SettingsView { version: snapshot.version(), teams }
}
