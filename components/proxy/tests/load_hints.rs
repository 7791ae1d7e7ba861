//! Load hints of a guard, at entry daemons that sent it few requests themselves.

mod common;

use std::time::Duration;

use common::{FleetPlan, TestFleet, get, http1, wait_for};
use sk_proxy::time_since_start;

fn share(fleet: &TestFleet) -> f64 {
    let table = fleet.daemons[0].table.load();
    let service = table.services().next().expect("a service");
    let states = service.endpoint_states(time_since_start());
    states[&fleet.daemons[1].name].effective_slots
}

/// Guards against an entry daemon placing its requests at a server that another daemon's callers
/// keep busy. If it counted only its own requests, it would consider the server idle and send its
/// callers into the queue there.
#[tokio::test(flavor = "multi_thread")]
async fn busy_elsewhere() {
    let fleet = TestFleet::start(FleetPlan::new(1)).await;
    let (own, other) = (fleet.entry(), fleet.daemons[1].entry);
    assert_eq!(get(&http1(), own, "/").await.status, 200);
    let idle = share(&fleet);
    let client = http1();
    let calls: Vec<_> = (0..4)
        .map(|_| {
            let client = client.clone();
            tokio::spawn(async move { get(&client, other, "/?work_ms=1500&tag=long").await })
        })
        .collect();
    wait_for("the server to be busy", || fleet.runs("long") == 4).await;
    let answer = get(&http1(), own, "/").await;
    assert_eq!(answer.status, 200);
    assert!(!answer.headers.contains_key("x-sapphirekeel-load"), "{answer:?}");
    assert!(share(&fleet) < idle, "{} before, {} with a busy server", idle, share(&fleet));
    for call in calls {
        assert_eq!(call.await.expect("call ends").status, 200);
    }
    // A hint is outdated after a while, so it must expire.
    let begin = time_since_start();
    wait_for("the hint to expire", || {
        time_since_start() > begin + Duration::from_secs(1) && share(&fleet) >= idle
    })
    .await;
}
