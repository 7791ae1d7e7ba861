//! Search for a free slot among many servers.

mod common;

use std::time::Duration;

use common::{FleetPlan, TestFleet, get, http1, wait_for};
use sk_decide::placing::{PlacementOrder, PlacementSettings};
use sk_proxy::{RefusalKind, TableTuning};

const SERVERS: usize = 16;

/// Guards against a request asking every server of a large service for a free slot before it
/// queues. With all servers full it would cost the fleet 32 messages, and every other request as
/// well, when daemons have the least capacity for them.
#[tokio::test(flavor = "multi_thread")]
async fn many_full() {
    let order = PlacementOrder::Soonest;
    let placement = PlacementSettings { order, ..PlacementSettings::default() };
    let tuning = TableTuning { placement, ..TableTuning::default() };
    let fleet = TestFleet::start(FleetPlan { slots: 1, tuning, ..FleetPlan::new(SERVERS) }).await;
    let (entry, client) = (fleet.entry(), http1());
    // Other daemons place the requests that fill the servers, so that this one knows nothing. Some
    // servers get two, of which one waits.
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
        let counts = fleet.daemons.iter().map(|daemon| daemon.counters.snapshot());
        counts.map(|counters| counters.refused.get(name).copied().unwrap_or_default()).sum()
    };
    // Wait until the requests that fill the servers have finished their own search.
    let mut before = busy();
    loop {
        tokio::time::sleep(Duration::from_millis(200)).await;
        match busy() {
            same if same == before => break,
            more => before = more,
        }
    }
    assert!(is_full(), "no request has ended meanwhile");
    let answer = get(&client, entry, "/").await;
    assert_eq!(answer.status, 200, "the request queues and is answered: {answer:?}");
    let busy_refusals = busy() - before;
    assert!((1..=4).contains(&busy_refusals), "{busy_refusals} servers asked in vain");
    for filled in filling {
        // Some are refused where a queue is full.
        let answer = tokio::time::timeout(Duration::from_secs(20), filled).await;
        answer.expect("it ends").expect("no panic");
    }
}
