//! Requests that crash their server and are sent again.

mod common;

use std::time::Duration;

use common::{FleetPlan, TestAnswer, TestClient, TestFleet, get, http1, send, wait_for};
use sk_proxy::{RefusalKind, RequestOutcome};

const CRASHING_PATH: &str = "/deadly?fault=crash";

/// Restarts each crashed server as a new process, as a supervisor does.
async fn restart_crashed(fleet: &mut TestFleet, daemons: usize, crashes: &mut u32) {
    for daemon in 1..=daemons {
        if fleet.daemons[daemon].servers.endpoints().is_empty() {
            *crashes += 1;
            fleet.start_server(daemon, &format!("server-{daemon}-{crashes}")).await;
        }
    }
    fleet.rebuild();
}

/// Sends the records of crashes to all daemons.
fn share_records(fleet: &TestFleet) {
    for from in &fleet.daemons {
        let records = from.quarantine.take_changed();
        fleet.daemons.iter().for_each(|to| to.quarantine.merge(&records));
    }
}

async fn send_crashing(client: &TestClient, fleet: &TestFleet) -> TestAnswer {
    send(client, fleet.entry(), "POST", CRASHING_PATH, &[], "body").await
}

/// Guards against a request that crashes every server that runs it, sent again by its caller each
/// time. After the second crash it is refused at every daemon, with an answer that states the
/// reason and invites no resend. Sent to the servers directly, it crashes all of them.
#[tokio::test(flavor = "multi_thread")]
async fn resent_crash() {
    let daemons = 4;
    let mut fleet = TestFleet::start(FleetPlan::new(daemons)).await;
    let client = http1();
    let (mut crashes, mut refused) = (0, 0);
    for _ in 0..8 {
        let answer = send_crashing(&client, &fleet).await;
        match answer.reason() {
            Some(RefusalKind::Quarantined) => {
                refused += 1;
                assert_eq!(answer.status.as_u16(), 422);
                assert_eq!(answer.outcome(), Some(RequestOutcome::NotRun));
            }
            _ => {
                assert_eq!(answer.outcome(), Some(RequestOutcome::Unknown), "{answer:?}");
                let empty = || fleet.daemons[1..].iter().any(|d| d.servers.endpoints().is_empty());
                wait_for("the crash to be noticed", empty).await;
            }
        }
        share_records(&fleet);
        restart_crashed(&mut fleet, daemons, &mut crashes).await;
    }
    assert_eq!((crashes, refused), (2, 6));
    let answer = get(&client, fleet.entry(), "/innocent").await;
    assert_eq!(answer.outcome(), Some(RequestOutcome::Ran));

    let mut direct_crashes = 0;
    for backend in &fleet.backends[fleet.backends.len() - 2..] {
        let target =
            format!("http://{}{CRASHING_PATH}", backend.address()).parse().expect("target");
        direct_crashes += u32::from(client.get(target).await.is_err());
    }
    assert_eq!(direct_crashes, 2, "sent directly, the request must crash every server");
}

/// Guards against other requests being quarantined that ran on a server when a request crashed it.
/// Their callers are told that the outcome is unknown and nobody runs them twice, but each may be
/// sent again and then runs.
#[tokio::test(flavor = "multi_thread")]
async fn other_requests_released() {
    let mut fleet = TestFleet::start(FleetPlan::new(1)).await;
    let client = http1();
    let others: Vec<_> = (0..4)
        .map(|number| {
            let (client, entry) = (client.clone(), fleet.entry());
            let path = format!("/confirm/{number}?work_ms=700&tag=n{number}");
            tokio::spawn(async move { send(&client, entry, "POST", &path, &[], "").await })
        })
        .collect();
    wait_for("other requests to run", || fleet.backends[0].counts().running == 4).await;
    let answer = send_crashing(&client, &fleet).await;
    assert_eq!(answer.outcome(), Some(RequestOutcome::Unknown));
    for (number, other) in others.into_iter().enumerate() {
        let answer = other.await.expect("call ends");
        assert_eq!(answer.outcome(), Some(RequestOutcome::Unknown), "{answer:?}");
        assert_eq!(fleet.runs(&format!("n{number}")), 1);
    }
    wait_for("the crash to be noticed", || fleet.daemons[1].servers.endpoints().is_empty()).await;
    assert_eq!(fleet.daemons[1].quarantine.len(), 5, "all that ran are suspects at first");
    share_records(&fleet);
    restart_crashed(&mut fleet, 1, &mut 0).await;
    for number in 0..4 {
        let path = format!("/confirm/{number}?work_ms=700&tag=n{number}");
        let answer = send(&client, fleet.entry(), "POST", &path, &[], "").await;
        assert_eq!(answer.outcome(), Some(RequestOutcome::Ran), "{answer:?}");
    }
}

/// Guards against a crashing request escaping the quarantine because its deadline is so short that
/// its caller leaves before the server dies. The request is no longer in flight when the crash is
/// noticed, which happens when the next request finds no listener. It is remembered for a moment
/// and quarantined after the second crash all the same.
#[tokio::test(flavor = "multi_thread")]
async fn departed_caller() {
    let mut fleet = TestFleet::start(FleetPlan::new(1)).await;
    let client = http1();
    let short_deadline = [("x-sapphirekeel-deadline-ms", "300")];
    let path = "/deadly?fault=crash&work_ms=500";
    for round in 1..=2 {
        let answer = send(&client, fleet.entry(), "POST", path, &short_deadline, "body").await;
        assert_eq!(answer.reason(), Some(RefusalKind::DeadlinePassed), "{answer:?}");
        let dead = fleet.backends.last().expect("a server").address();
        wait_for("the crash", || std::net::TcpStream::connect(dead).is_err()).await;
        get(&client, fleet.entry(), "/innocent").await;
        let empty = || fleet.daemons[1].servers.endpoints().is_empty();
        wait_for("the crash to be noticed", empty).await;
        restart_crashed(&mut fleet, 1, &mut (round * 10)).await;
    }
    let answer = send(&client, fleet.entry(), "POST", path, &[], "body").await;
    assert_eq!(answer.reason(), Some(RefusalKind::Quarantined), "{answer:?}");
}

/// Guards against a request being quarantined although its server did not die. The server drops
/// one connection, as when a handler fails, and continues on the others.
#[tokio::test(flavor = "multi_thread")]
async fn single_broken_connection() {
    let fleet = TestFleet::start(FleetPlan::new(1)).await;
    let client = http1();
    let (other, entry) = (client.clone(), fleet.entry());
    let running = tokio::spawn(async move { get(&other, entry, "/neighbour?work_ms=500").await });
    wait_for("another request to run", || fleet.backends[0].counts().running == 1).await;
    for _ in 0..3 {
        let answer = send(&client, entry, "POST", "/fails?fault=drop", &[], "").await;
        assert_eq!(answer.outcome(), Some(RequestOutcome::Unknown));
        // Longer than a crash takes to be noticed.
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(fleet.daemons[1].quarantine.is_empty());
    assert_eq!(running.await.expect("call ends").outcome(), Some(RequestOutcome::Ran));
}
