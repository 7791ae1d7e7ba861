//! Looking for a free slot among many servers.

mod common;

use std::time::Duration;

use common::{FleetPlan, TestFleet, get, http1, wait_for};
use sk_decide::placing::{PlacementOrder, PlacementSettings};
use sk_proxy::{RefusalKind, TableTuning};

const SERVERS: usize = 16;

/// All servers of a large service are full. A request that asked each of them for a free slot before
/// it queued would cost the fleet 32 messages, and every other request as well, at the time at which
/// daemons have least room for them.
#[tokio::test(flavor = "multi_thread")]
async fn many_full() {
    let order = PlacementOrder::Soonest;
    let placement = PlacementSettings { order, ..PlacementSettings::default() };
    let tuning = TableTuning { placement, ..TableTuning::default() };
    let fleet = TestFleet::start(FleetPlan { slots: 1, tuning, ..FleetPlan::new(SERVERS) }).await;
    let (entry, client) = (fleet.entry(), http1());
    // Other daemons' entries place what fills the servers, so that this one knows nothing. Some servers
    // get two, of which one waits.
    let filling: Vec<_> = (0..3 * SERVERS)
        .map(|number| {
            let (client, entry) = (client.clone(), fleet.daemons[1 + number % SERVERS].entry);
            tokio::spawn(async move { get(&client, entry, "/?work_ms=1500").await })
        })
        .collect();
    let is_full = || fleet.backends.iter().all(|backend| backend.counts().running == 1);
    wait_for("all servers to be full", is_full).await;
    let busy = || -> u64 {
        let name = RefusalKind::Busy.as_str();
        let counts = fleet.daemons.iter().map(|daemon| daemon.counters.view());
        counts.map(|view| view.refused.get(name).copied().unwrap_or_default()).sum()
    };
    // Until those that fill the servers have looked round themselves.
    let mut before = busy();
    loop {
        tokio::time::sleep(Duration::from_millis(200)).await;
        match busy() {
            same if same == before => break,
            more => before = more,
        }
    }
    assert!(is_full(), "nothing has ended meanwhile");
    let answer = get(&client, entry, "/").await;
    assert_eq!(answer.status, 200, "it queues and is answered: {answer:?}");
    let looks = busy() - before;
    assert!((1..=4).contains(&looks), "{looks} looks");
    for filled in filling {
        // Some are refused where a queue is full.
        let answer = tokio::time::timeout(Duration::from_secs(20), filled).await;
        answer.expect("it ends").expect("no panic");
    }
}
