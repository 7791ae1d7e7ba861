//! Requests in a pipeline that are not safe, or whose end only the HTTP library finds.

mod common;
mod raw_caller;

use std::time::Duration;

use common::{FleetPlan, TestFleet, wait_for};
use raw_caller::{RawCaller, get_head, head};

/// Time in which a request that may start would have started.
const START_TIME: Duration = Duration::from_millis(300);

/// Sends requests with a barrier in the middle, and checks that neither the barrier nor what follows
/// starts before its time, and that each runs once.
async fn check_barrier((barrier, is_safe): (String, bool)) {
    let fleet = TestFleet::start(FleetPlan::new(2)).await;
    let mut caller = RawCaller::connect(fleet.entry()).await;
    let first = get_head("work_ms=900&tag=a") + &get_head("tag=b");
    caller.send(first + &barrier + &get_head("tag=d") + &get_head("tag=e")).await;
    wait_for("safe requests", || fleet.runs("a") == 1 && fleet.runs("b") == 1).await;
    tokio::time::sleep(START_TIME).await;
    assert_eq!(fleet.runs("c"), 0, "behind unanswered requests: {barrier}");
    for tag in ["a", "b"] {
        assert_eq!(caller.read().await.expect("an answer").tag(), tag);
    }
    wait_for("the barrier", || fleet.runs("c") == 1).await;
    tokio::time::sleep(START_TIME).await;
    // A safe request with a body waits for its turn, and holds nothing up once its body has arrived.
    assert_eq!(fleet.runs("d"), u64::from(is_safe), "behind: {barrier}");
    for tag in ["c", "d", "e"] {
        let answer = caller.read().await;
        assert_eq!(answer.map(|answer| answer.tag()).as_deref(), Some(tag), "{barrier}");
        assert_eq!(fleet.runs(tag), 1);
    }
}

/// Guards against a request that is not safe running although the caller may have to send it again,
/// and against bodies that are taken for heads.
#[tokio::test(flavor = "multi_thread")]
async fn barriers() {
    let body = "GET /query?tag=d HTTP/1.1\r\nHost: x\r\n\r\n";
    let sized = format!("Content-Length: {}\r\n", body.len());
    let chunks = format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
    let post = |lines: &str| head("POST", "work_ms=900&tag=c", lines);
    let barriers = [
        (post(""), false),
        (post("Content-Length: 0\r\n"), false),
        (post(&sized) + body, false),
        (post("Transfer-Encoding: chunked\r\n") + &chunks, false),
        (head("GET", "work_ms=900&tag=c", &sized) + body, true),
    ];
    futures::future::join_all(barriers.map(check_barrier)).await;
}

/// Guards against a request waiting that its route allows to run twice, and against one starting
/// whose caller requires that it runs once.
#[tokio::test(flavor = "multi_thread")]
async fn route_decides() {
    let fleet = TestFleet::start(FleetPlan::new(2)).await;
    let mut caller = RawCaller::connect(fleet.entry()).await;
    let again = head("POST", "tag=b", "").replace("/query", "/again");
    let once = head("POST", "tag=c", "Idempotency-Key: k\r\n").replace("/query", "/again");
    caller.send(get_head("work_ms=900&tag=a") + &again + &once).await;
    wait_for("a repeatable request", || fleet.runs("b") == 1).await;
    tokio::time::sleep(START_TIME).await;
    assert_eq!(fleet.runs("c"), 0);
    for tag in ["a", "b"] {
        assert_eq!(caller.read().await.expect("an answer").tag(), tag);
    }
}
