//! Work that a daemon does in the background.

use std::{
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use sk_member::MemberBoard;
use sk_model::UnixMillis;
use sk_proxy::{LocalServers, RouteTable, SharedTable, TablePlace, process_now};
use sk_report::ReportBook;
use sk_spread::HeldConfig;
use sk_store::SharedStore;

/// Time between writes of reports: long enough to gather a data centre's acknowledgements of one
/// change into few writes, short beside the seconds in which a manager expects them.
const FLUSH_INTERVAL: Duration = Duration::from_millis(300);
/// Time between looks for backend servers that no longer announce themselves.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(200);

/// Milliseconds since the epoch, on this instance's clock.
pub(crate) fn unix_now() -> UnixMillis {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    now.as_millis() as UnixMillis
}

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
        let records = view.values().map(|record| &**record);
        let before = table.load_full();
        let next = RouteTable::build(&before, &held.current(), records, &place, process_now());
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
pub(crate) async fn flush_reports(book: Arc<ReportBook>, store: SharedStore) {
    loop {
        tokio::time::sleep(FLUSH_INTERVAL).await;
        if let Err(err) = book.flush(&store).await {
            log::warn!("report: {err}.");
        }
    }
}
