//! Requests that crash their server, sent again and again.

mod common;

use std::time::Duration;

use common::{FleetPlan, TestAnswer, TestClient, TestFleet, get, http1, send, wait_for};
use sk_proxy::{RefusalKind, RequestOutcome};

const DEADLY: &str = "/deadly?fault=crash";

/// Brings each crashed server back as a new process, as a supervisor does.
async fn restart_dead(fleet: &mut TestFleet, daemons: usize, deaths: &mut u32) {
    for daemon in 1..=daemons {
        if fleet.daemons[daemon].servers.endpoints().is_empty() {
            *deaths += 1;
            fleet.start_server(daemon, &format!("server-{daemon}-{deaths}")).await;
        }
    }
    fleet.rebuild();
}

/// Carries the news of crashes to all daemons.
fn share(fleet: &TestFleet) {
    for from in &fleet.daemons {
        let entries = from.board.take_changed();
        fleet.daemons.iter().for_each(|to| to.board.merge(&entries));
    }
}

async fn send_deadly(client: &TestClient, fleet: &TestFleet) -> TestAnswer {
    send(client, fleet.entry(), "POST", DEADLY, &[], "body").await
}

/// A request crashes every server that runs it, and its caller sends it again each time. After the
/// second death it is refused at every daemon, with an answer that says why and invites no resend.
/// Sent to the servers directly, it fells all of them.
#[tokio::test(flavor = "multi_thread")]
async fn resent_crash() {
    let daemons = 4;
    let mut fleet = TestFleet::start(FleetPlan::new(daemons)).await;
    let client = http1();
    let (mut deaths, mut refused) = (0, 0);
    for _ in 0..8 {
        let answer = send_deadly(&client, &fleet).await;
        match answer.reason() {
            Some(RefusalKind::Quarantined) => {
                refused += 1;
                assert_eq!(answer.status.as_u16(), 422);
                assert_eq!(answer.outcome(), Some(RequestOutcome::NotRun));
            }
            _ => {
                assert_eq!(answer.outcome(), Some(RequestOutcome::Unknown), "{answer:?}");
                let empty = || fleet.daemons[1..].iter().any(|d| d.servers.endpoints().is_empty());
                wait_for("the death to be noticed", empty).await;
            }
        }
        share(&fleet);
        restart_dead(&mut fleet, daemons, &mut deaths).await;
    }
    assert_eq!((deaths, refused), (2, 6));
    let answer = get(&client, fleet.entry(), "/innocent").await;
    assert_eq!(answer.outcome(), Some(RequestOutcome::Ran));

    let mut naive_deaths = 0;
    for backend in &fleet.backends[fleet.backends.len() - 2..] {
        let target = format!("http://{}{DEADLY}", backend.address()).parse().expect("target");
        naive_deaths += u32::from(client.get(target).await.is_err());
    }
    assert_eq!(naive_deaths, 2, "the naive way must show the harm");
}

/// Confirmations of others run on a server when a deadly request fells it. Their callers are told
/// that the end is unknown, nobody runs them twice, and they are not held back: each may be sent
/// again and then runs.
#[tokio::test(flavor = "multi_thread")]
async fn innocent_neighbours() {
    let mut fleet = TestFleet::start(FleetPlan::new(1)).await;
    let client = http1();
    let neighbours: Vec<_> = (0..4)
        .map(|number| {
            let (client, entry) = (client.clone(), fleet.entry());
            let path = format!("/confirm/{number}?work_ms=700&tag=n{number}");
            tokio::spawn(async move { send(&client, entry, "POST", &path, &[], "").await })
        })
        .collect();
    wait_for("neighbours to run", || fleet.backends[0].counts().running == 4).await;
    let answer = send_deadly(&client, &fleet).await;
    assert_eq!(answer.outcome(), Some(RequestOutcome::Unknown));
    for (number, neighbour) in neighbours.into_iter().enumerate() {
        let answer = neighbour.await.expect("call ends");
        assert_eq!(answer.outcome(), Some(RequestOutcome::Unknown), "{answer:?}");
        assert_eq!(fleet.runs(&format!("n{number}")), 1);
    }
    wait_for("the death to be noticed", || fleet.daemons[1].servers.endpoints().is_empty()).await;
    assert_eq!(fleet.daemons[1].board.len(), 5, "all that ran are suspects at first");
    share(&fleet);
    restart_dead(&mut fleet, 1, &mut 0).await;
    for number in 0..4 {
        let path = format!("/confirm/{number}?work_ms=700&tag=n{number}");
        let answer = send(&client, fleet.entry(), "POST", &path, &[], "").await;
        assert_eq!(answer.outcome(), Some(RequestOutcome::Ran), "{answer:?}");
    }
}

/// A caller sends a deadly request with a deadline so short that it has left before the server dies,
/// and sends it again. The request is in flight no longer when the death is noticed, which is when
/// the next request finds nobody listening. It is remembered for a moment and held back after the
/// second death all the same.
#[tokio::test(flavor = "multi_thread")]
async fn departed_caller() {
    let mut fleet = TestFleet::start(FleetPlan::new(1)).await;
    let client = http1();
    let hasty = [("x-sapphirekeel-deadline-ms", "300")];
    let path = "/deadly?fault=crash&work_ms=500";
    for death in 1..=2 {
        let answer = send(&client, fleet.entry(), "POST", path, &hasty, "body").await;
        assert_eq!(answer.reason(), Some(RefusalKind::DeadlinePassed), "{answer:?}");
        let dead = fleet.backends.last().expect("a server").address();
        wait_for("the death", || std::net::TcpStream::connect(dead).is_err()).await;
        get(&client, fleet.entry(), "/innocent").await;
        let empty = || fleet.daemons[1].servers.endpoints().is_empty();
        wait_for("the death to be noticed", empty).await;
        restart_dead(&mut fleet, 1, &mut (death * 10)).await;
    }
    let answer = send(&client, fleet.entry(), "POST", path, &[], "body").await;
    assert_eq!(answer.reason(), Some(RefusalKind::Quarantined), "{answer:?}");
}

/// A server drops one connection, as when a handler fails, and goes on with the others. It did not
/// die, so that no request is held back.
#[tokio::test(flavor = "multi_thread")]
async fn lone_break() {
    let fleet = TestFleet::start(FleetPlan::new(1)).await;
    let client = http1();
    let (other, entry) = (client.clone(), fleet.entry());
    let neighbour = tokio::spawn(async move { get(&other, entry, "/neighbour?work_ms=500").await });
    wait_for("the neighbour to run", || fleet.backends[0].counts().running == 1).await;
    for _ in 0..3 {
        let answer = send(&client, entry, "POST", "/fails?fault=drop", &[], "").await;
        assert_eq!(answer.outcome(), Some(RequestOutcome::Unknown));
        // Longer than a death takes to be noticed.
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(fleet.daemons[1].board.is_empty());
    assert_eq!(neighbour.await.expect("call ends").outcome(), Some(RequestOutcome::Ran));
}
