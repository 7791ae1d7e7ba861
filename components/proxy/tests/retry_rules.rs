//! Which requests are retried, which are not, and what the answer states about it.

mod common;

use std::{net::SocketAddr, time::Duration};

use common::{FleetPlan, TestFleet, get, http1, send, wait_for};
use http::StatusCode;
use sk_proxy::{RefusalKind, RequestOutcome};

/// Guards against a caller noticing that a server's process is gone while its daemon does not know
/// yet. Nothing was sent to that server, so even a confirmation may safely be placed at the other
/// one.
#[tokio::test(flavor = "multi_thread")]
async fn server_unreachable() {
    let mut fleet = TestFleet::start(FleetPlan::new(2)).await;
    fleet.backends[0].kill().await;
    let client = http1();
    for number in 0..20 {
        let path = format!("/confirm?tag=t{number}");
        let answer = send(&client, fleet.entry(), "POST", &path, &[], "body").await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        assert_eq!(fleet.runs(&format!("t{number}")), 1);
    }
}

/// Guards against a confirmation being sent again that ran and lost its answer in transit. Nobody
/// can tell whether it ran: the caller is told so and no daemon sends it again. A client that
/// blindly sends it three times runs it three times.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answer() {
    let fleet = TestFleet::start(FleetPlan::new(3)).await;
    let client = http1();
    let path = "/confirm?fault=drop&tag=once";
    let answer = send(&client, fleet.entry(), "POST", path, &[], "body").await;
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert_eq!(answer.outcome(), Some(RequestOutcome::Unknown));
    assert_eq!(fleet.runs("once"), 1);

    for _ in 0..3 {
        let path = "/confirm?fault=drop&tag=naive";
        send(&client, fleet.entry(), "POST", path, &[], "body").await;
    }
    assert_eq!(fleet.runs("naive"), 3, "a client that resends blindly runs it each time");
}

/// The same loss of a query, which may run twice: it is placed again, at most twice, and in the
/// end the answer is "unknown", because one of the attempts may have run.
#[tokio::test(flavor = "multi_thread")]
async fn lost_query() {
    let fleet = TestFleet::start(FleetPlan::new(4)).await;
    let answer = get(&http1(), fleet.entry(), "/query?fault=drop&tag=query").await;
    assert_eq!(answer.outcome(), Some(RequestOutcome::Unknown));
    assert_eq!(fleet.runs("query"), 3);
    let path = "/again?fault=drop&tag=again";
    send(&http1(), fleet.entry(), "POST", path, &[], "body").await;
    assert_eq!(fleet.runs("again"), 3, "the route allows it to run twice");
}

/// Guards against retries multiplying the load on failing servers. Every server loses its answers
/// for a while, and all queries are retried; without a budget each daemon would triple the load.
#[tokio::test(flavor = "multi_thread")]
async fn retry_budget() {
    let fleet = TestFleet::start(FleetPlan::new(4)).await;
    let client = http1();
    let queries = 100;
    for _ in 0..queries {
        get(&client, fleet.entry(), "/query?fault=drop&tag=storm").await;
    }
    // At most 20 in the budget at first, a tenth of the queries, and one per second.
    let extra = fleet.runs("storm").saturating_sub(queries);
    assert!(extra <= 20 + queries / 10 + 30, "{extra} retries for {queries} queries");
    assert!(extra < 2 * queries, "without a budget each query is retried twice");
}

/// Guards against a retry of a body too large to keep, of which a part was sent. It cannot be sent
/// again, so the caller learns of the loss.
#[tokio::test(flavor = "multi_thread")]
async fn large_upload() {
    let fleet = TestFleet::start(FleetPlan::new(3)).await;
    let path = "/again?fault=drop&tag=large";
    let answer = send(&http1(), fleet.entry(), "POST", path, &[], vec![0; 200_000]).await;
    assert_eq!(answer.outcome(), Some(RequestOutcome::Unknown));
    assert_eq!(fleet.runs("large"), 1);
}

/// Guards against callers waiting, and returning all at once, when no daemon with a server is
/// known. The caller learns at once that nothing ran and when to retry, and callers are given
/// different times.
#[tokio::test(flavor = "multi_thread")]
async fn no_endpoint() {
    let fleet = TestFleet::start(FleetPlan::new(0)).await;
    let mut waits = std::collections::BTreeSet::new();
    for _ in 0..20 {
        let answer = send(&http1(), fleet.entry(), "POST", "/", &[], "body").await;
        assert_eq!(answer.reason(), Some(RefusalKind::NoEndpoint));
        assert_eq!(answer.outcome(), Some(RequestOutcome::NotRun));
        assert!(answer.headers.contains_key("retry-after"));
        waits.insert(answer.headers["x-sapphirekeel-retry-after-ms"].clone());
    }
    assert!(waits.len() > 10, "callers would return at the same times: {waits:?}");
}

/// Guards against a new process at an old address receiving requests that were placed by the state
/// of the old process while the entry daemon does not know of the change. Such a request is
/// refused as not run and goes elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn replaced_server() {
    let mut fleet = TestFleet::start(FleetPlan::new(2)).await;
    let new = fleet.start_server(1, "server-new").await;
    let client = http1();
    for _ in 0..20 {
        let answer = send(&client, fleet.entry(), "POST", "/", &[], "body").await;
        assert_eq!(answer.json()["server"], "server-2");
    }
    assert_eq!(fleet.backends[new].counts().begun, 0);
    fleet.rebuild();
    wait_for("the new server to get work", || {
        fleet.backends[new].counts().begun > 0 || {
            let (entry, client) = (fleet.entry(), client.clone());
            tokio::spawn(async move { get(&client, entry, "/").await });
            false
        }
    })
    .await;
}

/// Guards against a paused server staying idle until its next restart. Its announcements lapse,
/// and it resumes as the same process; requests that arrived meanwhile did not run and must not
/// mark it as leaving for good.
#[tokio::test(flavor = "multi_thread")]
async fn paused_server() {
    let fleet = TestFleet::start(FleetPlan::new(1)).await;
    let client = http1();
    fleet.daemons[1].servers.remove_expired(std::time::Instant::now(), Duration::ZERO);
    let answer = send(&client, fleet.entry(), "POST", "/", &[], "body").await;
    assert_eq!(answer.reason(), Some(RefusalKind::ServerGone));
    assert_eq!(answer.outcome(), Some(RequestOutcome::NotRun));
    let address = fleet.backends[0].address();
    fleet.announce(1, "server-1", address, sk_member::EndpointStatus::Ready);
    let answer = send(&client, fleet.entry(), "POST", "/", &[], "body").await;
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
}

/// Guards against a late answer reaching the wrong caller. The caller is told "unknown" at its
/// deadline, the late answer is dropped, and the next caller on the same connections gets its own.
#[tokio::test(flavor = "multi_thread")]
async fn late_answer() {
    let fleet = TestFleet::start(FleetPlan::new(1)).await;
    let client = http1();
    let deadline = [("x-sapphirekeel-deadline-ms", "100")];
    let path = "/late?work_ms=400&tag=late";
    let begin = std::time::Instant::now();
    let answer = send(&client, fleet.entry(), "POST", path, &deadline, "body").await;
    assert!(begin.elapsed() < Duration::from_millis(390), "{:?}", begin.elapsed());
    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(answer.outcome(), Some(RequestOutcome::Unknown));
    let answer = get(&client, fleet.entry(), "/next?tag=next").await;
    assert_eq!(answer.json()["tag"], "next");
    assert_eq!(fleet.runs("late"), 1);
}

/// Guards against a call that loops between two routes. Without a bound on hops it would continue
/// until its deadline, with thousands more behind it.
#[tokio::test(flavor = "multi_thread")]
async fn hop_bound() {
    let mut plan = FleetPlan::new(0);
    plan.servers = vec![true];
    // All calls of the loop occupy slots of one server, more than a cold one allows.
    plan.limits.guard.cold_reserve = 0.0;
    let fleet = TestFleet::start(plan).await;
    let answer = get(&http1(), fleet.entry(), "/loop?nest=6").await;
    assert_eq!(answer.status, StatusCode::OK, "seven calls deep: {answer:?}");
    assert_eq!(answer.json()["hops"], "7");
    let answer = get(&http1(), fleet.entry(), "/loop?nest=100").await;
    assert_eq!(answer.status, StatusCode::LOOP_DETECTED);
    assert_eq!(fleet.backends[0].counts().begun, 7 + 9);
}

#[tokio::test(flavor = "multi_thread")]
async fn unreachable_guard() {
    let fleet = TestFleet::start(FleetPlan::new(1)).await;
    let dead = std::net::TcpListener::bind("127.0.0.1:0").expect("port").local_addr();
    let dead: SocketAddr = dead.expect("address");
    let mut fleet = fleet;
    fleet.daemons[1].guard = dead;
    fleet.rebuild();
    let answer = send(&http1(), fleet.entry(), "POST", "/", &[], "body").await;
    assert_eq!(answer.reason(), Some(RefusalKind::Unreachable));
    assert_eq!(answer.outcome(), Some(RequestOutcome::NotRun));
}
