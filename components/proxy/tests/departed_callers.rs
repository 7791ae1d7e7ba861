//! Callers that leave before their requests have reached a server.

mod common;

use std::{net::SocketAddr, time::Duration};

use common::{FleetPlan, TestFleet, WAIT_BOUND, get, http1, wait_for};
use sk_decide::admitting::{GuardSettings, QueueOrder};
use sk_proxy::ServerLimits;
use tokio::task::JoinHandle;

/// Time after which a caller's departure must be in effect everywhere.
const LEAVE_BOUND: Duration = Duration::from_millis(500);
/// Time in which a request that was missed would have been run.
const RUN_TIME: Duration = Duration::from_secs(2);

/// Sends a request on a connection of its own, which ends with the task.
fn call(entry: SocketAddr, path: String) -> JoinHandle<()> {
    tokio::spawn(async move {
        get(&http1(), entry, &path).await;
    })
}

fn small_plan(servers: usize) -> FleetPlan {
    let guard = GuardSettings {
        order: QueueOrder::Urgent,
        cold_reserve: 0.0,
        short_queue: 100,
        ..GuardSettings::default()
    };
    let limits = ServerLimits { guard, ..ServerLimits::default() };
    FleetPlan { slots: 1, limits, ..FleetPlan::new(servers) }
}

/// Returns the requests that wait at all guards.
fn queued(fleet: &TestFleet) -> u32 {
    let states = fleet.daemons.iter().flat_map(|daemon| daemon.servers.guard_states());
    states.map(|(_, state)| state.queued.iter().sum::<u32>()).sum()
}

/// Guards against requests that wait at a guard for a slot and are run after their callers have
/// left.
#[tokio::test(flavor = "multi_thread")]
async fn queued_requests() {
    let fleet = TestFleet::start(small_plan(1)).await;
    let running = call(fleet.entry(), "/query?work_ms=1500".to_owned());
    wait_for("a request to run", || fleet.backends[0].counts().running == 1).await;
    let waiting: Vec<_> =
        (0..10).map(|number| call(fleet.entry(), format!("/query?tag=t{number}"))).collect();
    wait_for("requests to wait", || queued(&fleet) == 10).await;
    waiting.iter().for_each(JoinHandle::abort);
    tokio::time::sleep(LEAVE_BOUND).await;
    assert_eq!(queued(&fleet), 0);
    running.await.expect("a caller ends");
    tokio::time::sleep(RUN_TIME).await;
    for number in 0..10 {
        assert_eq!(fleet.runs(&format!("t{number}")), 0);
    }
}

/// Guards against a request that is sent again, after a lost answer, for a caller that has left
/// meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn retried_requests() {
    let fleet = TestFleet::start(FleetPlan::new(3)).await;
    let calls: Vec<_> = (0..10)
        .map(|number| call(fleet.entry(), format!("/query?fault=drop&work_ms=200&tag=t{number}")))
        .collect();
    let all_run = || (0..10).all(|number| fleet.runs(&format!("t{number}")) == 1);
    wait_for("all requests to run", all_run).await;
    calls.iter().for_each(JoinHandle::abort);
    tokio::time::sleep(RUN_TIME).await;
    assert!(all_run(), "none is sent again");
}

/// Guards against requests that are run half a second after their callers have left, where all
/// daemons have many times more of them than the servers can run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn overloaded_daemons() {
    let fleet = TestFleet::start(small_plan(3)).await;
    for wave in 0..4 {
        let calls: Vec<_> = (0..400)
            .map(|number| {
                let entry = fleet.daemons[number % fleet.daemons.len()].entry;
                call(entry, format!("/query?work_ms=20&tag=w{wave}-{number}"))
            })
            .collect();
        tokio::time::sleep(Duration::from_millis(150)).await;
        calls.iter().for_each(JoinHandle::abort);
        for call in calls {
            // Their connections are closed from here on.
            let _ = tokio::time::timeout(WAIT_BOUND, call).await;
        }
        tokio::time::sleep(LEAVE_BOUND).await;
        let begun: u64 = fleet.backends.iter().map(|server| server.counts().begun).sum();
        tokio::time::sleep(RUN_TIME / 2).await;
        let later: u64 = fleet.backends.iter().map(|server| server.counts().begun).sum();
        assert_eq!(later, begun, "wave {wave}");
    }
}
