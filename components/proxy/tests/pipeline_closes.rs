//! Pipelines that end early: their requests stop, and nothing runs that will not be answered.

mod common;
mod raw_caller;

use std::time::Duration;

use common::{FleetPlan, TestFleet, wait_for};
use raw_caller::{RawCaller, get_head, head};

/// Time after which a caller's departure must be in effect.
const LEAVE_BOUND: Duration = Duration::from_millis(500);

async fn start() -> (TestFleet, RawCaller) {
    let fleet = TestFleet::start(FleetPlan::new(2)).await;
    let caller = RawCaller::connect(fleet.entry()).await;
    (fleet, caller)
}

fn in_flight(fleet: &TestFleet) -> u64 {
    fleet.daemons[0].counters.snapshot().in_flight
}

/// Guards against requests that run on for a caller that has left, also one that sent more than is
/// read ahead.
#[tokio::test(flavor = "multi_thread")]
async fn caller_leaves() {
    for (count, running) in [(5, 5), (1_500, 17)] {
        let (fleet, mut caller) = start().await;
        caller.send(get_head("work_ms=5000&tag=a").repeat(count)).await;
        wait_for("requests in flight", || in_flight(&fleet) == running).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(in_flight(&fleet), running, "bounded");
        drop(caller);
        tokio::time::sleep(LEAVE_BOUND).await;
        assert_eq!(in_flight(&fleet), 0, "of {count}");
        let runs = fleet.runs("a");
        tokio::time::sleep(LEAVE_BOUND).await;
        assert_eq!(fleet.runs("a"), runs);
    }
}

/// Guards against requests that run behind the last one of a connection.
#[tokio::test(flavor = "multi_thread")]
async fn last_requests() {
    let bad_line = "GET /query?tag=c HTTP/1.1\r\nHost: test\r\nbad line\r\n\r\n".to_owned();
    let old = "GET /query?tag=c HTTP/1.0\r\nHost: test\r\n\r\n".to_owned();
    let large = head("GET", "tag=c", &format!("X-Large: {}\r\n", "x".repeat(100_000)));
    let cases = [
        (head("GET", "tag=c", "Connection: close\r\n"), 200),
        (bad_line, 400),
        (old, 505),
        (large, 431),
    ];
    for (last, status) in cases {
        let (fleet, mut caller) = start().await;
        let first = get_head("work_ms=300&tag=a") + &get_head("tag=b");
        caller.send(first + &last + &get_head("tag=d")).await;
        for tag in ["a", "b"] {
            assert_eq!(caller.read().await.expect("an answer").tag(), tag);
        }
        let answer = caller.read().await.expect("an answer to the last request");
        assert_eq!(answer.status, status, "{answer:?}");
        assert!(caller.read().await.is_none(), "closed");
        wait_for("no requests", || in_flight(&fleet) == 0).await;
        assert_eq!((fleet.runs("c"), fleet.runs("d")), (u64::from(status == 200), 0));
    }
}

/// Guards against requests that a server runs and whose answers are lost, because an answer before
/// them closes the connection of a daemon that is shutting down, and against requests that start after
/// the shutdown was announced.
#[tokio::test(flavor = "multi_thread")]
async fn daemon_leaves() {
    let (mut fleet, mut caller) = start().await;
    let forward = fleet.daemons[0].forward_handle.take().expect("an entry");
    caller.send(get_head("work_ms=400&tag=a") + &get_head("work_ms=1500&tag=b")).await;
    wait_for("requests", || fleet.runs("a") == 1 && fleet.runs("b") == 1).await;
    forward.announce_shutdown();
    caller.send(get_head("tag=c") + &head("POST", "tag=d", "")).await;
    for (tag, is_last) in [("a", false), ("b", true)] {
        let answer = caller.read().await.expect("an answer");
        assert_eq!(answer.tag(), tag);
        assert_eq!(answer.has_line("connection: close"), is_last, "{answer:?}");
    }
    tokio::time::sleep(LEAVE_BOUND).await;
    assert_eq!(in_flight(&fleet), 0);
    assert!(caller.read().await.is_none(), "closed");
    assert_eq!((fleet.runs("c"), fleet.runs("d")), (0, 0));
    assert!(forward.stop(Duration::from_secs(10)).await);
}

/// Guards against pipelined requests that run and lose their answers when the listener stops while
/// one before them is being answered.
#[tokio::test(flavor = "multi_thread")]
async fn stop_ahead() {
    let (mut fleet, mut caller) = start().await;
    let forward = fleet.daemons[0].forward_handle.take().expect("an entry");
    let requests = ["work_ms=500&tag=a", "work_ms=900&tag=b", "work_ms=1300&tag=c"];
    caller.send(requests.map(get_head).concat()).await;
    wait_for("requests", || ["a", "b", "c"].iter().all(|tag| fleet.runs(tag) == 1)).await;
    let stop = tokio::spawn(forward.stop(Duration::from_secs(10)));
    for (tag, is_last) in [("a", false), ("b", false), ("c", true)] {
        let answer = caller.read().await.expect("an answer");
        assert_eq!(answer.tag(), tag);
        assert_eq!(answer.has_line("connection: close"), is_last, "{answer:?}");
    }
    drop(caller);
    assert!(stop.await.expect("it stops"));
}

/// Guards against a pipelined request that has run and loses its answer when the daemon stops
/// before the turn of an answer has ended.
#[tokio::test(flavor = "multi_thread")]
async fn stop_in_turn() {
    let (mut fleet, mut caller) = start().await;
    let forward = fleet.daemons[0].forward_handle.take().expect("an entry");
    caller.send(get_head("tag=a") + &get_head("work_ms=600&tag=b")).await;
    assert_eq!(caller.read().await.expect("an answer").tag(), "a");
    wait_for("a request", || fleet.runs("b") == 1).await;
    let stop = tokio::spawn(forward.stop(Duration::from_secs(10)));
    let answer = caller.read().await.expect("an answer");
    assert_eq!(answer.tag(), "b");
    assert!(answer.has_line("connection: close"), "{answer:?}");
    drop(caller);
    assert!(stop.await.expect("it stops"));
}
