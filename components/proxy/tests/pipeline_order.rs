//! Safe requests that are pipelined run at once and are answered in order.

mod common;
mod raw_caller;

use std::time::Instant;

use common::{FleetPlan, TestFleet, get, http2, wait_for};
use raw_caller::{RawCaller, get_head};

async fn start() -> (TestFleet, RawCaller) {
    let fleet = TestFleet::start(FleetPlan::new(2)).await;
    let caller = RawCaller::connect(fleet.entry()).await;
    (fleet, caller)
}

/// Guards against requests of one connection that run one after the other, and against answers that
/// overtake each other.
#[tokio::test(flavor = "multi_thread")]
async fn run_at_once() {
    let (fleet, mut caller) = start().await;
    caller.send(get_head("work_ms=1000&tag=a")).await;
    wait_for("the first", || fleet.runs("a") == 1).await;
    caller.send(get_head("work_ms=300&tag=b") + &get_head("work_ms=1&tag=c")).await;
    wait_for("the others", || fleet.runs("b") == 1 && fleet.runs("c") == 1).await;
    for tag in ["a", "b", "c"] {
        assert_eq!(caller.read().await.expect("an answer").tag(), tag);
        assert_eq!(fleet.runs(tag), 1);
    }
    assert_eq!(fleet.daemons[0].counters.snapshot().pipelined, 2);
}

/// Guards against heads that are lost, repeated or cut where they arrive in parts of any size.
#[tokio::test(flavor = "multi_thread")]
async fn heads_in_parts() {
    for size in [1, 7, 24, 61, 500, 100_000] {
        let (fleet, mut caller) = start().await;
        let tags: Vec<String> = (0..60).map(|number| format!("t{number}")).collect();
        let heads: String =
            tags.iter().map(|tag| get_head(&format!("tag={tag}")) + "\r\n").collect();
        for part in heads.as_bytes().chunks(size) {
            caller.send(part).await;
            tokio::task::yield_now().await;
        }
        for tag in &tags {
            assert_eq!(&caller.read().await.expect("an answer").tag(), tag, "parts of {size}");
            assert_eq!(fleet.runs(tag), 1);
        }
    }
}

/// Guards against answers that are cut because they wait behind a slow one, and against HTTP/2
/// being mistaken for a pipeline.
#[tokio::test(flavor = "multi_thread")]
async fn large_answers_wait() {
    let (fleet, mut caller) = start().await;
    let large = get_head("size=500000&has_length=true");
    let middle = get_head("size=50000&has_length=true");
    caller.send(get_head("work_ms=800&tag=a") + &large + &middle + &large).await;
    assert_eq!(caller.read().await.expect("an answer").tag(), "a");
    for size in [500_000, 50_000, 500_000] {
        assert_eq!(caller.read().await.expect("an answer").body.len(), size);
    }
    assert_eq!(get(&http2(), fleet.entry(), "/query").await.status.as_u16(), 200);
}

/// Prints the times of requests that follow another at once, over a warm connection.
#[tokio::test(flavor = "multi_thread")]
#[ignore = "prints a figure"]
async fn pipelined_time() {
    let (_fleet, mut caller) = start().await;
    for depth in [1, 2, 4, 8] {
        let mut times = Vec::new();
        for _ in 0..20 {
            let begin = Instant::now();
            caller.send(get_head("work_ms=76&tag=x").repeat(depth)).await;
            for _ in 0..depth {
                caller.read().await.expect("an answer");
            }
            times.push(begin.elapsed());
        }
        times.sort();
        println!("{depth} at once: median {:?}, longest {:?}", times[10], times[19]);
    }
    let begin = Instant::now();
    for _ in 0..500 {
        caller.send(get_head("work_ms=0&tag=x")).await;
        caller.read().await.expect("an answer");
    }
    println!("one after the other: {:?} each", begin.elapsed() / 500);
}
