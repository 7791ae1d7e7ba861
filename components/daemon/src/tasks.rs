//! Background tasks of a daemon.

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::{Duration, Instant},
};

use sk_logs::OutageLog;
use sk_member::{
    EndpointStatus, LocalReachability, MemberRecord, MemberSnapshot, ReachabilityMarks,
    SharedMembers,
};
use sk_model::ServiceName;
use sk_proxy::{
    LocalServerList, ProxyCounters, RouteTable, SharedTable, TableOwner, time_since_start,
};
use sk_report::AckBuffer;
use sk_rollout::SharedRollouts;
use sk_spread::ConfigHolder;
use sk_store::SharedStore;

/// Interval between checks for backend servers that no longer announce themselves.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(200);
/// Delay of a task's wake-up from which it is logged: half of what callers notice.
const LONG_WAKE_DELAY: Duration = Duration::from_millis(100);

/// Rebuilds the route table whenever the configuration or the members change.
pub(crate) async fn build_tables(
    table: SharedTable,
    config: Arc<ConfigHolder>,
    members: Arc<SharedMembers>,
    servers: Arc<LocalServerList>,
    owner: TableOwner,
    rollouts: Arc<SharedRollouts>,
) {
    let mut divisions = rollouts.subscribe();
    let mut versions = config.subscribe();
    let mut snapshots = members.subscribe();
    loop {
        versions.mark_unchanged();
        divisions.mark_unchanged();
        let snapshot = snapshots.borrow_and_update().clone();
        let records = usable_records(&snapshot, &members.marks());
        record_left_servers(records.iter().copied(), &servers);
        let before = table.load_full();
        rollouts.observe(snapshot.values().map(|record| &**record), tokio::time::Instant::now());
        let next = RouteTable::build_divided(
            &before,
            &config.current(),
            records.into_iter(),
            &owner,
            (&rollouts.view(), members.fleet().daemon_count()),
            time_since_start(),
        );
        table.store(Arc::new(next));
        let is_open = tokio::select! {
            changed = versions.changed() => changed.is_ok(),
            changed = snapshots.changed() => changed.is_ok(),
            changed = divisions.changed() => changed.is_ok(),
        };
        if !is_open {
            return;
        }
    }
}

/// Remembers the servers that drain, which is final for their processes: the daemon beside one may
/// start again and list it by a late heartbeat.
fn record_left_servers<'a>(
    records: impl Iterator<Item = &'a MemberRecord>,
    servers: &LocalServerList,
) {
    let endpoints = records.flat_map(|record| &record.endpoints);
    endpoints
        .filter(|endpoint| endpoint.status == EndpointStatus::Draining)
        .for_each(|endpoint| servers.record_left(&endpoint.server));
}

/// Returns the records whose servers may receive work: those of reachable daemons, and those of
/// unreachable daemons that run a service which no reachable daemon runs.
///
/// A daemon that is disconnected, or whose control thread was starved, considers others unreachable
/// that requests may still reach. Trying them costs a failed connect, after which the request is
/// known not to have run; leaving them out would refuse every request to their services.
fn usable_records<'a>(
    snapshot: &'a MemberSnapshot,
    marks: &ReachabilityMarks,
) -> Vec<&'a MemberRecord> {
    let is_reachable = |record: &&MemberRecord| {
        marks.get(&record.proxy).is_none_or(|mark| *mark != LocalReachability::Unreachable)
    };
    let (mut usable, unreachable): (Vec<&MemberRecord>, Vec<&MemberRecord>) =
        snapshot.values().map(|record| &**record).partition(is_reachable);
    let endpoints = usable.iter().flat_map(|record| &record.endpoints);
    let served: BTreeSet<&ServiceName> = endpoints.map(|endpoint| &endpoint.service).collect();
    let is_needed = |record: &&MemberRecord| {
        record.endpoints.iter().any(|endpoint| !served.contains(&endpoint.service))
    };
    let needed: Vec<&MemberRecord> = unreachable.into_iter().filter(is_needed).collect();
    usable.extend(needed);
    usable
}

/// Announces the local backend servers to the other daemons.
pub(crate) fn publish_endpoints(servers: &LocalServerList, members: &SharedMembers) {
    let endpoints = servers.endpoints();
    members.update(|table| table.set_endpoints(endpoints), |changed| *changed);
}

/// Removes backend servers that no longer announce themselves.
pub(crate) async fn expire_servers(
    servers: Arc<LocalServerList>,
    members: Arc<SharedMembers>,
    counters: Arc<ProxyCounters>,
    ttl: Duration,
) {
    loop {
        let due = Instant::now() + EXPIRE_INTERVAL;
        tokio::time::sleep(EXPIRE_INTERVAL).await;
        record_wake_delay(due.elapsed(), &counters);
        servers.remove_expired(Instant::now(), ttl);
        publish_endpoints(&servers, &members);
    }
}

/// Records by how much a task was woken too late. Requests and the departures of their callers wait
/// for the processor as long.
fn record_wake_delay(delay: Duration, counters: &ProxyCounters) {
    counters.add_wake_delay(delay);
    if delay >= LONG_WAKE_DELAY {
        log::warn!(delay_ms = delay.as_millis() as u64; "daemon: short of processor time.");
    }
}

/// Writes acknowledgements to the platform, with a pause before each write.
pub(crate) async fn flush_reports(buffer: Arc<AckBuffer>, store: SharedStore, pause: Duration) {
    let outage = OutageLog::new("report", "the platform's store");
    loop {
        tokio::time::sleep(pause).await;
        match buffer.flush(&store).await {
            Ok(()) => outage.record_success(),
            Err(err) => outage.record_failure(&err),
        }
    }
}
