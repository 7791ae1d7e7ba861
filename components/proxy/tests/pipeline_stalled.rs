//! Callers that pipeline requests and read no answers.

mod common;
mod raw_caller;

use std::time::Duration;

use common::{FleetPlan, TestFleet, get, http1, wait_for};
use raw_caller::{RawCaller, get_head};

/// Requests of each caller, more than are read ahead.
const REQUESTS: usize = 150;
const SIZE: usize = 300_000;

/// Returns the number of runs once it no longer grows.
async fn stalled_runs(fleet: &TestFleet) -> u64 {
    let mut before = 0;
    loop {
        tokio::time::sleep(Duration::from_secs(1)).await;
        match fleet.runs("big") {
            runs if runs == before => return runs,
            runs => before = runs,
        }
    }
}

/// Guards against a caller that reads nothing running more than its share, or holding up others,
/// and against its answers being lost when it reads them after all.
#[tokio::test(flavor = "multi_thread")]
async fn reads_late() {
    let deadline = Duration::from_secs(30);
    let plan = FleetPlan { slots: 40, deadline, ..FleetPlan::new(2) };
    let fleet = TestFleet::start(plan).await;
    let mut callers = Vec::new();
    for _ in 0..3 {
        let mut caller = RawCaller::connect(fleet.entry()).await;
        let query = format!("size={SIZE}&has_length=true&tag=big");
        caller.send(get_head(&query).repeat(REQUESTS)).await;
        callers.push(caller);
    }
    wait_for("requests", || fleet.runs("big") > 3 * 16).await;
    let runs = stalled_runs(&fleet).await;
    // Answers that the kernel's buffers take end their turns.
    assert!(runs < 3 * (REQUESTS as u64) / 2, "{runs} of {}", 3 * REQUESTS);
    for _ in 0..20 {
        assert_eq!(get(&http1(), fleet.entry(), "/query").await.status.as_u16(), 200);
    }
    let read = callers.iter_mut().map(|caller| async move {
        for number in 0..REQUESTS {
            let answer = caller.read().await.expect("an answer");
            assert_eq!((answer.status, answer.body.len()), (200, SIZE), "answer {number}");
        }
    });
    futures::future::join_all(read).await;
    wait_for("no requests", || fleet.daemons[0].counters.snapshot().in_flight == 0).await;
}

/// Guards against requests that are held for a caller that reads nothing and then leaves.
#[tokio::test(flavor = "multi_thread")]
async fn leaves_unread() {
    let fleet = TestFleet::start(FleetPlan::new(2)).await;
    let mut caller = RawCaller::connect(fleet.entry()).await;
    let query = format!("size={SIZE}&has_length=true&tag=big");
    caller.send(get_head(&query).repeat(REQUESTS)).await;
    wait_for("requests", || fleet.runs("big") > 16).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    drop(caller);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(fleet.daemons[0].counters.snapshot().in_flight, 0);
}
