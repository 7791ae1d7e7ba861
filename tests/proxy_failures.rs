//! Processes on the path of a request that are killed or paused, or that lose answers.

mod common;

use std::time::{Duration, Instant};

use common::requests::{RequestFleet, new_client, send_request, wait_until};

/// A server is killed during requests. A query without an answer is sent to another server, and its
/// caller notices only the delay. A confirmation may have run and is answered "unknown". An answer
/// that is cut off must end in an error, so that its caller doesn't take a part for the whole.
#[tokio::test(flavor = "multi_thread")]
async fn server_killed() {
    let mut fleet = RequestFleet::start("server_killed", 2);
    let entry = fleet.entry(0);
    let calls: Vec<_> = (0..6)
        .map(|number| {
            let entry = entry.clone();
            let path = format!("/query?work_ms=1500&tag=q{number}");
            tokio::spawn(async move { send_request(&new_client(), &entry, "GET", &path).await })
        })
        .collect();
    let confirm = {
        let entry = entry.clone();
        let path = "/confirm?work_ms=1500&tag=confirm";
        tokio::spawn(async move { send_request(&new_client(), &entry, "POST", path).await })
    };
    wait_until("work on both servers", || {
        (fleet.counts(1).running, fleet.counts(2).running) != (0, 0)
            && fleet.counts(1).running + fleet.counts(2).running == 7
    })
    .await;
    // Kills the server that runs the confirmation.
    let killed = if fleet.counts(1).runs.contains_key("confirm") { 1 } else { 2 };
    fleet.backend(killed).signal("-KILL");
    fleet.backends[killed] = None;
    for call in calls {
        let answer = call.await.expect("call ends").expect("a head");
        assert_eq!(answer.status, 200, "{answer:?}");
        assert!(answer.body.is_ok());
    }
    let answer = confirm.await.expect("call ends").expect("a head");
    assert_eq!((answer.status.as_u16(), answer.outcome()), (502, "unknown"));
    assert_eq!(fleet.count_runs("confirm"), 0, "also ran on the other server");

    let remaining = 3 - killed;
    let cut = send_request(&new_client(), &entry, "GET", "/list?fault=cut&size=200000").await;
    assert!(cut.expect("a head").body.is_err(), "a cut answer looked complete");
    fleet.backends[remaining].take().expect("server").signal("-KILL");
}

/// The daemon beside a server is killed during confirmations. It can no longer report whether they
/// ran: their callers are answered "unknown", and no other daemon runs them again. Later requests
/// go to the other server.
#[tokio::test(flavor = "multi_thread")]
async fn guard_killed() {
    let mut fleet = RequestFleet::start("guard_killed", 2);
    let entry = fleet.entry(0);
    let calls: Vec<_> = (0..8)
        .map(|number| {
            let entry = entry.clone();
            let path = format!("/confirm?work_ms=800&tag=c{number}");
            tokio::spawn(async move { send_request(&new_client(), &entry, "POST", &path).await })
        })
        .collect();
    wait_until("work on both servers", || {
        fleet.counts(1).running > 0 && fleet.counts(1).running + fleet.counts(2).running == 8
    })
    .await;
    fleet.daemon(1).signal("-KILL");
    fleet.daemons[1] = None;
    let mut unknown = 0;
    for (number, call) in calls.into_iter().enumerate() {
        let answer = call.await.expect("call ends").expect("a head");
        match answer.outcome() {
            "ran" => assert_eq!(answer.status, 200),
            outcome => {
                unknown += 1;
                assert_eq!((answer.status.as_u16(), outcome), (502, "unknown"), "{answer:?}");
            }
        }
        assert_eq!(fleet.count_runs(&format!("c{number}")), 1);
    }
    assert!(unknown > 0);
    for number in 0..10 {
        let path = format!("/confirm?tag=later{number}");
        let answer = send_request(&new_client(), &entry, "POST", &path).await.expect("a head");
        assert_eq!(answer.status, 200, "{answer:?}");
    }
}

/// The daemon beside the server is paused for longer than a request's deadline, as on an overloaded
/// host, and then resumes. The caller is answered "unknown" at the deadline, and the request runs
/// at most once, also after the daemon has resumed.
#[tokio::test(flavor = "multi_thread")]
async fn guard_paused() {
    let fleet = RequestFleet::start("guard_paused", 1);
    let entry = fleet.entry(0);
    fleet.daemon(1).pause();
    let begin = Instant::now();
    let calls: Vec<_> = (0..5)
        .map(|number| {
            let entry = entry.clone();
            let path = format!("/short/confirm?tag=p{number}");
            tokio::spawn(async move { send_request(&new_client(), &entry, "POST", &path).await })
        })
        .collect();
    for call in calls {
        let answer = call.await.expect("call ends").expect("a head");
        assert_eq!((answer.status.as_u16(), answer.outcome()), (504, "unknown"), "{answer:?}");
    }
    let took = begin.elapsed();
    assert!((900..2500).contains(&took.as_millis()), "deadline of 1 s, answers after {took:?}");
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.daemon(1).signal("-CONT");
    fleet.wait_served("server1");
    for number in 0..5 {
        let runs = fleet.count_runs(&format!("p{number}"));
        assert!(runs <= 1, "ran {runs} times");
    }
}

/// A request crashes each server that runs it, and its caller keeps resending it. After the second
/// crash it is refused, with the reason and without an invitation to resend; the server started
/// last keeps running.
#[tokio::test(flavor = "multi_thread")]
async fn crash_resent() {
    let mut fleet = RequestFleet::start("crash_resent", 1);
    let entry = fleet.entry(0);
    let (mut crashes, mut refusals) = (0, 0);
    for round in 0..6 {
        let answer = send_request(&new_client(), &entry, "POST", "/deadly?fault=crash").await;
        let answer = answer.expect("a head");
        if answer.header("x-sapphirekeel-reason") == "quarantined" {
            refusals += 1;
            assert_eq!((answer.status.as_u16(), answer.outcome()), (422, "not-run"));
            continue;
        }
        assert_eq!(answer.outcome(), "unknown", "{answer:?}");
        crashes += 1;
        let (status, _) = fleet.backends[1].take().expect("server").join();
        assert_eq!(status.code(), Some(101));
        let server = format!("next{round}");
        fleet.start_server(1, &server);
        tokio::task::block_in_place(|| fleet.wait_served(&server));
    }
    assert_eq!((crashes, refusals), (2, 4));
}
