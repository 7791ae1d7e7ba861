//! What operators can ask of this daemon.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    sync::{Arc, OnceLock},
    time::Instant,
};

use async_trait::async_trait;
use sk_ledger::{Ledger, SubmitError};
use sk_member::{EndpointRecord, EndpointStatus, MemberBoard, MemberRecord, MemberTable};
use sk_model::{ChangeRecord, ChangeRequest, ConfigSnapshot, ProxyId, TeamName, Version};
use sk_ops::{
    HeldView, MAX_SERVICES, OperatorPort, OpsError, ServerAnnouncement, StateDump, TeamRecord,
    TeamView,
};
use sk_proxy::{LocalServer, LocalServers, ProxyCounters, QuarantineBoard, SharedTable};
use sk_report::{
    ChangeReport, FleetReport, KnownProxy, ReportBook, ReportError, make_change_report,
    make_report, read_acks, read_times,
};
use sk_spread::{ControlMeter, HeldConfig, StateReader};
use sk_store::SharedStore;

use crate::{
    reach::ReachClock,
    records::{read_team, store_error, write_team},
    tasks::{publish_endpoints, unix_now},
};

/// The parts that operators' calls reach.
pub(crate) struct DaemonPort {
    pub(crate) manager_sha256: String,
    pub(crate) key_prefix: String,
    pub(crate) store: SharedStore,
    pub(crate) ledger: Arc<Ledger>,
    pub(crate) held: Arc<HeldConfig>,
    pub(crate) members: Arc<MemberBoard>,
    pub(crate) servers: Arc<LocalServers>,
    pub(crate) meter: Arc<ControlMeter>,
    pub(crate) reach: Arc<ReachClock>,
    pub(crate) quarantine: Arc<QuarantineBoard>,
    pub(crate) counters: Arc<ProxyCounters>,
    pub(crate) table: SharedTable,
    pub(crate) book: Arc<ReportBook>,
    /// Set once the control thread runs.
    pub(crate) spread: Arc<OnceLock<StateReader>>,
    pub(crate) proxy_address: SocketAddr,
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
        let now = unix_now();
        let record = self.ledger.submit(&request, now).await;
        let record = record.map_err(|err| match err {
            // The other team's change is none of this team's business.
            SubmitError::IdReused { record } if record.team != request.team => {
                let reason = "`change_id` is in use; allowed: one not used before".to_owned();
                OpsError::Malformed { reason }
            }
            err => OpsError::from_submit(err, now),
        })?;
        log::info!("ops: change {} is version {}.", record.change_id, record.version);
        Ok(record)
    }

    async fn outcome(&self, change_id: &str) -> Result<Option<ChangeRecord>, OpsError> {
        let record = self.ledger.outcome(change_id).await;
        record.map_err(|err| OpsError::from_ledger(&err, unix_now()))
    }

    async fn newest(&self) -> Result<HeldView, OpsError> {
        let snapshot = self.ledger.load(&self.held.current()).await;
        let snapshot = snapshot.map_err(|err| OpsError::from_ledger(&err, unix_now()))?;
        Ok(view_snapshot(&snapshot))
    }

    async fn history(&self, from: Version, most: usize) -> Result<Vec<ChangeRecord>, OpsError> {
        let records = self.ledger.history(from, most).await;
        records.map_err(|err| OpsError::from_ledger(&err, unix_now()))
    }

    async fn report(&self) -> Result<FleetReport, OpsError> {
        let snapshot = self.ledger.load(&self.held.current()).await;
        let snapshot = snapshot.map_err(|err| OpsError::from_ledger(&err, unix_now()))?;
        let acks = read_acks(&self.store, &self.key_prefix).await;
        let acks = acks.map_err(report_error)?;
        Ok(make_report(snapshot.root.change, &self.known_proxies(), &acks))
    }

    async fn change_report(&self, version: Version) -> Result<ChangeReport, OpsError> {
        let not_found = || OpsError::NotFound { what: format!("version {version}") };
        let record = self.history(version, 1).await?.into_iter().next();
        let record = record.filter(|record| record.version == version).ok_or_else(not_found)?;
        let times = read_times(&self.store, &self.key_prefix, version).await;
        let times = times.map_err(report_error)?;
        let acks = read_acks(&self.store, &self.key_prefix).await.map_err(report_error)?;
        Ok(make_change_report(record, &times, &self.known_proxies(), &acks))
    }

    fn state(&self) -> StateDump {
        self.dump()
    }

    fn own_ips(&self) -> Vec<IpAddr> {
        vec![self.members.own().guard.ip(), self.proxy_address.ip()]
    }

    fn announce(
        &self,
        announcement: ServerAnnouncement,
        address: SocketAddr,
    ) -> Result<(), OpsError> {
        let endpoints = self.servers.endpoints();
        let is_known = endpoints.iter().any(|held| held.service == announcement.service);
        if !is_known && endpoints.len() >= MAX_SERVICES {
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
        };
        let readmit = |table: &mut MemberTable| table.readmit_server(&endpoint.server);
        self.members.update(readmit, |()| false);
        self.servers.announce(LocalServer { endpoint, address, announced: Instant::now() });
        publish_endpoints(&self.servers, &self.members);
        Ok(())
    }
}

impl DaemonPort {
    fn known_proxies(&self) -> BTreeMap<ProxyId, KnownProxy> {
        let known = |record: &MemberRecord| KnownProxy {
            data_centre: record.data_centre.clone(),
            incarnation: record.incarnation,
            unreachable_since: self.reach.lost_since(&record.proxy),
        };
        let view = self.members.view();
        view.iter().map(|(proxy, record)| (proxy.clone(), known(record))).collect()
    }
}

fn report_error(err: ReportError) -> OpsError {
    match err {
        ReportError::Store(err) => store_error(&err),
        err => OpsError::Internal { reason: err.to_string() },
    }
}

fn view_snapshot(snapshot: &ConfigSnapshot) -> HeldView {
    let view = |(team, tree_ref): (&TeamName, &sk_model::TreeRef)| {
        let tree = snapshot.trees.get(team);
        let settings = tree.map(|tree| tree.settings.clone()).unwrap_or_default();
        (team.clone(), TeamView { version: tree_ref.version, settings })
    };
    let teams: BTreeMap<_, _> = snapshot.root.trees.iter().map(view).collect();
    HeldView { version: snapshot.version(), teams }
}
