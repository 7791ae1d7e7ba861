//! Work that a daemon does in the background.

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::{Duration, Instant},
};

use sk_logs::OutageLog;
use sk_member::{LocalMark, MemberBoard, MemberMarks, MemberRecord, MemberView};
use sk_model::ServiceName;
use sk_proxy::{LocalServers, RouteTable, SharedTable, TablePlace, process_now};
use sk_report::ReportBook;
use sk_spread::HeldConfig;
use sk_store::SharedStore;

/// Time between looks for backend servers that no longer announce themselves.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(200);

/// Rebuilds the table whenever the configuration or the members change.
pub(crate) async fn build_tables(
    table: SharedTable,
    held: Arc<HeldConfig>,
    members: Arc<MemberBoard>,
    place: TablePlace,
) {
    let mut versions = held.subscribe();
    let mut views = members.subscribe();
    loop {
        versions.mark_unchanged();
        let view = views.borrow_and_update().clone();
        let records = usable_records(&view, &members.marks());
        let before = table.load_full();
        let next =
            RouteTable::build(&before, &held.current(), records.into_iter(), &place, process_now());
        table.store(Arc::new(next));
        let is_open = tokio::select! {
            changed = versions.changed() => changed.is_ok(),
            changed = views.changed() => changed.is_ok(),
        };
        if !is_open {
            return;
        }
    }
}

/// Gives the records whose servers may get work: those that are reachable, and the others for
/// services that no reachable one runs.
///
/// A daemon that is cut off, or whose control thread was starved, believes others unreachable that
/// requests may still reach. Trying them costs a failed connect, which says "not run"; leaving
/// them out would refuse every request to their services.
fn usable_records<'a>(view: &'a MemberView, marks: &MemberMarks) -> Vec<&'a MemberRecord> {
    let is_reachable = |record: &&MemberRecord| {
        marks.get(&record.proxy).is_none_or(|mark| *mark != LocalMark::Unreachable)
    };
    let (mut usable, lost): (Vec<&MemberRecord>, Vec<&MemberRecord>) =
        view.values().map(|record| &**record).partition(is_reachable);
    let endpoints = usable.iter().flat_map(|record| &record.endpoints);
    let served: BTreeSet<&ServiceName> = endpoints.map(|endpoint| &endpoint.service).collect();
    let is_needed = |record: &&MemberRecord| {
        record.endpoints.iter().any(|endpoint| !served.contains(&endpoint.service))
    };
    let needed: Vec<&MemberRecord> = lost.into_iter().filter(is_needed).collect();
    usable.extend(needed);
    usable
}

/// Tells the other daemons what backend servers stand beside this one.
pub(crate) fn publish_endpoints(servers: &LocalServers, members: &MemberBoard) {
    let endpoints = servers.endpoints();
    members.update(|table| table.set_endpoints(endpoints), |changed| *changed);
}

/// Removes backend servers that no longer announce themselves.
pub(crate) async fn expire_servers(
    servers: Arc<LocalServers>,
    members: Arc<MemberBoard>,
    ttl: Duration,
) {
    loop {
        tokio::time::sleep(EXPIRE_INTERVAL).await;
        servers.expire(Instant::now(), ttl);
        publish_endpoints(&servers, &members);
    }
}

/// Keeps acknowledgements in the platform.
pub(crate) async fn flush_reports(book: Arc<ReportBook>, store: SharedStore, pause: Duration) {
    let outage = OutageLog::new("report", "the platform's store");
    loop {
        tokio::time::sleep(pause).await;
        match book.flush(&store).await {
            Ok(()) => outage.back(),
            Err(err) => outage.lost(&err),
        }
    }
}
