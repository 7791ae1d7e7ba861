//! Listeners that shut down under load.

mod common;

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, AtomicU32, Ordering},
    time::Duration,
};

use common::{FleetPlan, SERVICE, TestAnswer, TestFleet, get, http1, http2, send, wait_for};
use sk_proxy::{DrainTimes, RefusalKind, RequestOutcome};
use tokio::task::JoinHandle;

const DRAIN: Duration = Duration::from_secs(10);

/// Guards against callers noticing that a guard's daemon stops under load. Its requests are
/// finished, and later ones are refused as not run and placed elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn guard_stops() {
    let mut fleet = TestFleet::start(FleetPlan::new(3)).await;
    let guard = fleet.daemons[1].guard_handle.take().expect("a guard");
    let (is_over, sent) = (AtomicBool::new(false), AtomicU32::new(0));
    let caller = |number: u32| {
        let (client, fleet, is_over, sent) = (http1(), &fleet, &is_over, &sent);
        async move {
            while !is_over.load(Ordering::SeqCst) {
                let tag = format!("{number}-{}", sent.fetch_add(1, Ordering::SeqCst));
                let path = format!("/confirm?work_ms=10&tag={tag}");
                let answer = send(&client, fleet.entry(), "POST", &path, &[], "").await;
                assert_eq!(answer.status.as_u16(), 200, "{answer:?}");
                assert_eq!(fleet.runs(&tag), 1);
            }
        }
    };
    let stop = async {
        wait_for("load", || sent.load(Ordering::SeqCst) > 50).await;
        assert!(guard.stop(DRAIN).await, "requests in flight were cut");
        let begun = fleet.backends[0].counts().begun;
        let before = sent.load(Ordering::SeqCst);
        wait_for("more load", || sent.load(Ordering::SeqCst) > before + 100).await;
        assert_eq!(fleet.backends[0].counts().begun, begun, "new work after the stop");
        is_over.store(true, Ordering::SeqCst);
    };
    tokio::join!(futures::future::join_all((0..4).map(caller)), stop);
}

/// Guards against requests being lost when the entry daemon stops. Answers in flight arrive
/// complete over both protocols, and the next caller is asked by `Connection: close` to go
/// elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn entry_stops() {
    let mut fleet = TestFleet::start(FleetPlan::new(2)).await;
    let forward = fleet.daemons[0].forward_handle.take().expect("an entry");
    let slow: Vec<_> = [http1(), http2()]
        .into_iter()
        .map(|client| {
            let entry = fleet.entry();
            let path = "/slow?work_ms=500&size=500000";
            tokio::spawn(async move { get(&client, entry, path).await })
        })
        .collect();
    wait_for("requests in flight", || fleet.daemons[0].counters.snapshot().in_flight == 2).await;
    forward.announce_shutdown();
    let answer = get(&http1(), fleet.entry(), "/last").await;
    assert_eq!(answer.outcome(), Some(RequestOutcome::Ran), "still served");
    assert_eq!(answer.headers["connection"], "close");
    forward.refuse_new();
    let answer = get(&http1(), fleet.entry(), "/late").await;
    assert_eq!(answer.reason(), Some(RefusalKind::Draining));
    assert_eq!(answer.outcome(), Some(RequestOutcome::NotRun));
    let hops = [("x-sapphirekeel-hops", "1")];
    let answer = send(&http1(), fleet.entry(), "GET", "/forged", &hops, "").await;
    assert_eq!(answer.reason(), Some(RefusalKind::Draining), "a caller's word proves nothing");
    let proof = fleet.daemons[0].proofs.make(Duration::from_secs(1));
    let nested = [("x-sapphirekeel-parent", proof.to_str().expect("digits"))];
    let answer = send(&http1(), fleet.entry(), "GET", "/nested", &nested, "").await;
    assert_eq!(answer.outcome(), Some(RequestOutcome::Ran), "work in flight may call on");
    assert!(forward.stop(DRAIN).await);
    for call in slow {
        let answer = call.await.expect("call ends");
        assert_eq!(answer.body.expect("a whole body").len(), 500_000);
    }
}

/// Guards against a shutdown that reports success although a request in flight outlived its bound.
#[tokio::test(flavor = "multi_thread")]
async fn bound_passed() {
    let mut fleet = TestFleet::start(FleetPlan::new(1)).await;
    let forward = fleet.daemons[0].forward_handle.take().expect("an entry");
    let (client, entry) = (http1(), fleet.entry());
    let call = tokio::spawn(async move { get(&client, entry, "/slow?work_ms=5000").await });
    wait_for("a request in flight", || fleet.daemons[0].counters.snapshot().in_flight == 1).await;
    assert!(!forward.stop(Duration::from_millis(100)).await);
    call.abort();
}

/// Occupies the only slot of the only server through another daemon than the first, and lets a
/// request that entered at the first daemon wait for it.
async fn start_waiting(fleet: &TestFleet) -> (JoinHandle<TestAnswer>, JoinHandle<TestAnswer>) {
    let running = ask(fleet.daemons[1].entry, "/slow?work_ms=3000&tag=running");
    wait_for("work", || fleet.runs("running") == 1).await;
    let waiting = ask(fleet.entry(), "/waits?tag=waiting");
    let queued = || fleet.daemons[1].servers.guard_states()[SERVICE].queued[0];
    wait_for("a request that waits", || queued() == 1).await;
    (running, waiting)
}

fn ask(entry: SocketAddr, path: &'static str) -> JoinHandle<TestAnswer> {
    tokio::spawn(async move { get(&http1(), entry, path).await })
}

/// Guards against requests that still wait for a server at the end of a drain losing their
/// connections without an answer.
#[tokio::test(flavor = "multi_thread")]
async fn waiting_answered() {
    let fleet = TestFleet::start(FleetPlan { slots: 1, ..FleetPlan::new(1) }).await;
    let (running, before) = start_waiting(&fleet).await;
    let drain = Duration::from_millis(800);
    let end = tokio::time::Instant::now() + drain;
    let answer_by = end - Duration::from_millis(200);
    fleet.daemons[0].drain.begin_drain(DrainTimes { refuse_at: end, answer_by });
    let after = ask(fleet.entry(), "/waits?tag=after");
    for waiting in [after, before] {
        let answer = tokio::time::timeout_at(end, waiting).await.expect("an answer in time");
        let answer = answer.expect("call ends");
        assert!(answer.status.is_server_error(), "{answer:?}");
    }
    assert_eq!(fleet.runs("after"), 0);
    running.abort();
}

/// Guards against a stopping daemon's server starting work that it cannot finish, and against
/// callers learning only at the end that their requests did not run.
#[tokio::test(flavor = "multi_thread")]
async fn queue_refused_at_once() {
    let fleet = TestFleet::start(FleetPlan { slots: 1, ..FleetPlan::new(1) }).await;
    let (running, waiting) = start_waiting(&fleet).await;
    fleet.daemons[1].servers.refuse_queued();
    let answer = tokio::time::timeout(Duration::from_secs(1), waiting).await;
    let answer = answer.expect("an answer at once").expect("call ends");
    assert_eq!(answer.outcome(), Some(RequestOutcome::NotRun), "{answer:?}");
    assert_eq!(fleet.runs("waiting"), 0);
    running.abort();
}
