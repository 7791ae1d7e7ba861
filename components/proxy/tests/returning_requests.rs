//! Requests that come again after a refusal.

mod common;

use std::time::Duration;

use common::{FleetPlan, TestFleet, get, http1, wait_for};
use sk_decide::admitting::{GuardSettings, QueueOrder};
use sk_proxy::{RefusalKind, ServerLimits};

const GOAL: Duration = Duration::from_millis(300);

/// Starts a fleet whose only slot is occupied for one and a half seconds, by work that usually takes
/// longer than the goal.
async fn start_full() -> TestFleet {
    let guard = GuardSettings { order: QueueOrder::Urgent, ..GuardSettings::default() };
    let limits = ServerLimits { guard, ..ServerLimits::default() };
    let plan = FleetPlan { slots: 1, goal: Some(GOAL), limits, ..FleetPlan::new(1) };
    let fleet = TestFleet::start(plan).await;
    assert_eq!(get(&http1(), fleet.entry(), "/?work_ms=400").await.status, 200);
    let filling = fleet.daemons[1].entry;
    tokio::spawn(async move { get(&http1(), filling, "/?work_ms=1500").await });
    wait_for("the server to be full", || fleet.backends[0].counts().running == 1).await;
    fleet
}

/// Guards against an overload in which callers that were refused take the slots in which others would
/// be answered in time: a daemon that forgets its refusals takes each attempt for a new request.
#[tokio::test(flavor = "multi_thread")]
async fn first_attempt_counts() {
    let fleet = start_full().await;
    let (entry, client) = (fleet.entry(), http1());
    let refused = get(&client, entry, "/?tag=again").await;
    assert_eq!((refused.status.as_u16(), refused.reason()), (503, Some(RefusalKind::GoalMissed)));
    tokio::time::sleep(GOAL).await;
    // Its goal has passed, so that no refusal can help it to meet it elsewhere: it waits for the slot.
    let returning = tokio::spawn(async move { get(&client, entry, "/?tag=again").await });
    let new = get(&http1(), entry, "/?tag=new").await;
    assert_eq!(new.reason(), Some(RefusalKind::GoalMissed), "{new:?}");
    assert_eq!(returning.await.expect("it ends").status, 200);
    assert_eq!((fleet.runs("again"), fleet.runs("new")), (1, 0));
}

/// Guards against a request that is taken for a returning one although the earlier one was answered.
#[tokio::test(flavor = "multi_thread")]
async fn answered_is_forgotten() {
    let fleet = start_full().await;
    let (entry, client) = (fleet.entry(), http1());
    let refused = get(&client, entry, "/?tag=again").await;
    assert_eq!(refused.reason(), Some(RefusalKind::GoalMissed));
    tokio::time::sleep(GOAL).await;
    assert_eq!(get(&client, entry, "/?tag=again").await.status, 200);
    let filling = fleet.daemons[1].entry;
    tokio::spawn(async move { get(&http1(), filling, "/?work_ms=1500").await });
    wait_for("the server to be full", || fleet.backends[0].counts().running == 1).await;
    let answer = get(&client, entry, "/?tag=again").await;
    assert_eq!(answer.reason(), Some(RefusalKind::GoalMissed), "{answer:?}");
}
