//! What is tried again, what is not, and what the answer says of it.

mod common;

use std::{net::SocketAddr, time::Duration};

use common::{FleetPlan, TestFleet, get, http1, send, wait_for};
use http::StatusCode;
use sk_proxy::{RefusalKind, RequestOutcome};

/// A server's process is gone and its daemon does not know yet. Nothing was sent to it, so that a
/// confirmation may safely be placed at the other server: no caller notices.
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

/// A server does the work of a confirmation, and its answer is lost on the way. Nobody can tell
/// whether it ran: the caller hears so and no daemon sends it again. A client that blindly tries
/// three times runs it three times.
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
    assert_eq!(fleet.runs("naive"), 3, "the naive client must show the harm");
}

/// The same loss of a query, which may run twice: it is placed again, at most twice, and in the end
/// the answer says "unknown", since one of them may have run.
#[tokio::test(flavor = "multi_thread")]
async fn lost_query() {
    let fleet = TestFleet::start(FleetPlan::new(4)).await;
    let answer = get(&http1(), fleet.entry(), "/query?fault=drop&tag=query").await;
    assert_eq!(answer.outcome(), Some(RequestOutcome::Unknown));
    assert_eq!(fleet.runs("query"), 3);
    let path = "/again?fault=drop&tag=again";
    send(&http1(), fleet.entry(), "POST", path, &[], "body").await;
    assert_eq!(fleet.runs("again"), 3, "the route says that it may run twice");
}

/// Every server loses its answers for a while, and all queries are sent again. Without a budget each
/// daemon would triple the load on servers that are in trouble already.
#[tokio::test(flavor = "multi_thread")]
async fn retry_budget() {
    let fleet = TestFleet::start(FleetPlan::new(4)).await;
    let client = http1();
    let queries = 100;
    for _ in 0..queries {
        get(&client, fleet.entry(), "/query?fault=drop&tag=storm").await;
    }
    // At most 20 held at first, a tenth of the queries, and one a second.
    let extra = fleet.runs("storm").saturating_sub(queries);
    assert!(extra <= 20 + queries / 10 + 30, "{extra} retries for {queries} queries");
    assert!(extra < 2 * queries, "the naive way makes two retries for each");
}

/// A body too large to keep was sent in part. It cannot be sent again, so the caller hears of the
/// loss.
#[tokio::test(flavor = "multi_thread")]
async fn large_upload() {
    let fleet = TestFleet::start(FleetPlan::new(3)).await;
    let path = "/again?fault=drop&tag=large";
    let answer = send(&http1(), fleet.entry(), "POST", path, &[], vec![0; 200_000]).await;
    assert_eq!(answer.outcome(), Some(RequestOutcome::Unknown));
    assert_eq!(fleet.runs("large"), 1);
}

/// No daemon with a server is known. The caller hears at once that nothing ran and when to return,
/// and callers are told different times.
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
    assert!(waits.len() > 10, "callers would return in step: {waits:?}");
}

/// A server has been replaced at the same address and the entry does not know. The new process must
/// not get what was placed by the old one's state; the request goes elsewhere as not run.
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

/// A server is paused, its announcements lapse, and it wakes as the same process. Requests that came
/// meanwhile did not run. They must not mark it as leaving for good: it would stay idle until its
/// next restart, and nobody would see why.
#[tokio::test(flavor = "multi_thread")]
async fn paused_server() {
    let fleet = TestFleet::start(FleetPlan::new(1)).await;
    let client = http1();
    fleet.daemons[1].servers.expire(std::time::Instant::now(), Duration::ZERO);
    let answer = send(&client, fleet.entry(), "POST", "/", &[], "body").await;
    assert_eq!(answer.reason(), Some(RefusalKind::ServerGone));
    assert_eq!(answer.outcome(), Some(RequestOutcome::NotRun));
    let address = fleet.backends[0].address();
    fleet.announce(1, "server-1", address, sk_member::EndpointStatus::Ready);
    let answer = send(&client, fleet.entry(), "POST", "/", &[], "body").await;
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
}

/// A server answers after its caller's deadline. The caller hears "unknown" at the deadline, the
/// late answer goes nowhere, and the next caller on the same connections gets its own.
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

/// Two routes lead to each other, and a call goes round. Without a bound it would go on until its
/// deadline, with thousands more behind it.
#[tokio::test(flavor = "multi_thread")]
async fn hop_bound() {
    let mut plan = FleetPlan::new(0);
    plan.servers = vec![true];
    // All calls of the loop hold slots of one server, more than a cold one gives.
    plan.limits.guard.cold_hold = 0.0;
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
