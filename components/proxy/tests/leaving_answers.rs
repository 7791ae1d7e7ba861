//! Servers that say in their answers that they leave.

mod common;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use common::{FleetPlan, TestFleet, get, http1};
use http::StatusCode;
use sk_member::EndpointStatus;
use sk_proxy::ServerLimits;

const LEAVING: [(&str, &str); 1] = [("x-sapphirekeel-server-leaving", "1")];

/// Returns a plan in which no two processes of servers have the same id.
fn unique_plan(servers: usize) -> FleetPlan {
    let limits = ServerLimits { has_unique_ids: true, ..ServerLimits::default() };
    FleetPlan { limits, ..FleetPlan::new(servers) }
}

/// Sends requests to an entry until one of them has been answered by a server.
async fn reach(entry: SocketAddr, server: &str) {
    let client = http1();
    for _ in 0..1000 {
        if get(&client, entry, "/query").await.json()["server"] == server {
            return;
        }
    }
    panic!("{server} gets no request");
}

/// Guards against requests to a server that has said in an answer that it leaves, from the daemon
/// that passed the answer on and from all others, before any heartbeat of the server tells.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_server() {
    let fleet = TestFleet::start(FleetPlan::new(2)).await;
    fleet.backends[0].set_answer_headers(&LEAVING);
    reach(fleet.entry(), "server-1").await;
    let begun = fleet.backends[0].counts().begun;
    for daemon in &fleet.daemons {
        for _ in 0..20 {
            let answer = get(&http1(), daemon.entry, "/query").await;
            assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        }
    }
    assert_eq!(fleet.backends[0].counts().begun, begun);
    assert_eq!(fleet.daemons[1].servers.endpoints()[0].status, EndpointStatus::Draining);
}

/// Guards against requests that wait for a slot of a server when it says that it leaves: they are
/// placed elsewhere, and those that run are answered.
#[tokio::test(flavor = "multi_thread")]
async fn queued_requests() {
    let plan = FleetPlan { slots: 1, ..FleetPlan::new(2) };
    let fleet = TestFleet::start(plan).await;
    let calls = (0..8).map(|number| {
        let entry = fleet.entry();
        let path = format!("/query?work_ms=150&tag=t{number}");
        tokio::spawn(async move { get(&http1(), entry, &path).await })
    });
    let calls: Vec<_> = calls.collect();
    tokio::time::sleep(Duration::from_millis(75)).await;
    fleet.backends[0].set_answer_headers(&LEAVING);
    for call in calls {
        let answer = call.await.expect("a caller ends");
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    }
    assert_eq!(fleet.backends[0].counts().begun, 1, "only what ran when it began to leave");
}

/// Guards against a late announcement that brings work back to a server that has said that it
/// leaves, after its announcements have lapsed.
#[tokio::test(flavor = "multi_thread")]
async fn lapsed_server() {
    let fleet = TestFleet::start(unique_plan(2)).await;
    fleet.backends[0].set_answer_headers(&LEAVING);
    reach(fleet.entry(), "server-1").await;
    let servers = &fleet.daemons[1].servers;
    servers.remove_expired(Instant::now(), Duration::ZERO);
    fleet.announce(1, "server-1", fleet.backends[0].address(), EndpointStatus::Ready);
    assert_eq!(servers.endpoints()[0].status, EndpointStatus::Draining);
    fleet.rebuild();
    let begun = fleet.backends[0].counts().begun;
    for _ in 0..40 {
        get(&http1(), fleet.entry(), "/query").await;
    }
    assert_eq!(fleet.backends[0].counts().begun, begun);
}

/// Guards against requests to a leaving server through a daemon that has started again and heard
/// only a late announcement: the entry that passed the answer on still knows.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_daemon() {
    let plan = FleetPlan { servers: vec![false, true, true, false], ..unique_plan(2) };
    let fleet = TestFleet::start(plan).await;
    fleet.backends[0].set_answer_headers(&LEAVING);
    reach(fleet.entry(), "server-1").await;
    // The fourth daemon takes the place of the first server's one, with none of its knowledge.
    fleet.daemons[1].servers.remove_expired(Instant::now(), Duration::ZERO);
    fleet.announce(3, "server-1", fleet.backends[0].address(), EndpointStatus::Ready);
    fleet.rebuild();
    let begun = fleet.backends[0].counts().begun;
    for _ in 0..40 {
        let answer = get(&http1(), fleet.entry(), "/query").await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    }
    assert_eq!(fleet.backends[0].counts().begun, begun);
}

/// Guards against a server that is never used again, since an earlier process had its id and left:
/// native servers may use an id again.
#[tokio::test(flavor = "multi_thread")]
async fn reused_id() {
    let mut fleet = TestFleet::start(FleetPlan::new(1)).await;
    fleet.backends[0].set_answer_headers(&LEAVING);
    reach(fleet.entry(), "server-1").await;
    fleet.backends[0].kill().await;
    let new = fleet.start_server(1, "server-1").await;
    fleet.rebuild();
    let answer = get(&http1(), fleet.entry(), "/query").await;
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    assert_eq!(fleet.backends[new].counts().begun, 1);
}
