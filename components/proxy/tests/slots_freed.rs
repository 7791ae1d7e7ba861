//! Slots, queue and connections of a server, also when callers leave.

mod common;

use std::time::Duration;

use common::{FleetPlan, TestFleet, get, http1, http2, send, wait_for};
use futures::future::join_all;
use sk_decide::{admitting::GuardSettings, pacing::PacerSettings};
use sk_proxy::{RefusalKind, RequestOutcome, ServerLimits};

const SLOTS: u32 = 4;

fn small_plan() -> FleetPlan {
    let guard = GuardSettings { cold_reserve: 0.0, short_queue: 6, ..GuardSettings::default() };
    let pacer = PacerSettings { limit: SLOTS, ..PacerSettings::default() };
    FleetPlan {
        slots: SLOTS,
        work: Duration::from_millis(50),
        limits: ServerLimits { guard, pacer, ..ServerLimits::default() },
        ..FleetPlan::new(1)
    }
}

/// Guards against a burst overloading the server. It never works on more requests than its slots
/// nor has more connections than its limit; a few requests wait, and the others are refused at
/// once as not run. Without a guard the same burst reaches the server completely.
#[tokio::test(flavor = "multi_thread")]
async fn burst_refused() {
    let fleet = TestFleet::start(small_plan()).await;
    let client = http1();
    let call = |number: usize| {
        let (client, entry) = (client.clone(), fleet.entry());
        async move { send(&client, entry, "POST", &format!("/?tag=t{number}"), &[], "").await }
    };
    let answers = join_all((0..60).map(call)).await;
    let ran = answers.iter().filter(|answer| answer.outcome() == Some(RequestOutcome::Ran));
    let ran = ran.count() as u64;
    assert!(ran >= u64::from(SLOTS), "{ran} ran");
    for (number, answer) in answers.iter().enumerate() {
        let runs = fleet.runs(&format!("t{number}"));
        match answer.outcome() {
            Some(RequestOutcome::Ran) => assert_eq!(runs, 1),
            Some(RequestOutcome::NotRun) => assert_eq!(runs, 0, "{answer:?}"),
            outcome => panic!("{outcome:?}"),
        }
    }
    let counts = fleet.backends[0].counts();
    assert_eq!(counts.served, ran);
    assert!(counts.peak_running <= SLOTS && counts.peak_connections <= SLOTS, "{counts:?}");

    let send_directly = |_| {
        let (client, server) = (client.clone(), fleet.backends[0].address());
        async move { get(&client, server, "/naive").await }
    };
    join_all((0..60).map(send_directly)).await;
    assert!(
        fleet.backends[0].counts().peak_running > SLOTS,
        "without a guard the burst must exceed the slots"
    );
}

/// Guards against slots staying taken after callers left. They are free at once and not only after
/// the work, because otherwise a few impatient callers would block all others.
#[tokio::test(flavor = "multi_thread")]
async fn caller_left() {
    let fleet = TestFleet::start(small_plan()).await;
    for client in [http1(), http2()] {
        let begun = fleet.backends[0].counts().begun;
        let calls: Vec<_> = (0..SLOTS)
            .map(|_| {
                let (client, entry) = (client.clone(), fleet.entry());
                tokio::spawn(async move { get(&client, entry, "/long?work_ms=9000").await })
            })
            .collect();
        let all = begun + u64::from(SLOTS);
        wait_for("all slots to be taken", || fleet.backends[0].counts().begun == all).await;
        calls.iter().for_each(|call| call.abort());
        drop(client);
        wait_for("the server to be idle", || fleet.backends[0].counts().running == 0).await;
        let states = || fleet.daemons[1].servers.guard_states().into_values();
        wait_for("slots to be free", || states().all(|state| state.running == [0, 0])).await;
    }
    let counters = fleet.daemons[0].counters.snapshot();
    assert_eq!(counters.in_flight, 0);
}

/// Guards against many callers that leave at one moment, right after sending, breaking a
/// connection that they share. Each departure is a reset on it, and a listener that treats many
/// resets as an attack closes the connection, by which another caller's request on it would be
/// lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_callers_left() {
    let fleet = TestFleet::start(small_plan()).await;
    let (client, entry) = (http2(), fleet.entry());
    let slow = client.clone();
    let bystander =
        tokio::spawn(async move { send(&slow, entry, "POST", "/?work_ms=1500", &[], "").await });
    wait_for("the bystander to run", || fleet.backends[0].counts().running == 1).await;
    for wave in 0..8 {
        let calls = (0..100).map(|_| {
            let client = client.clone();
            tokio::spawn(async move { get(&client, entry, "/?work_ms=500").await })
        });
        let calls: Vec<_> = calls.collect();
        tokio::time::sleep(Duration::from_micros(300 * wave)).await;
        calls.iter().for_each(|call| call.abort());
    }
    let answer = bystander.await.expect("call ends");
    assert_eq!(answer.outcome(), Some(RequestOutcome::Ran), "{answer:?}");
}

/// Guards against one caller's many documents, each of which occupies a slot for long, blocking
/// the short queries of others.
#[tokio::test(flavor = "multi_thread")]
async fn long_work() {
    let fleet = TestFleet::start(small_plan()).await;
    let client = http1();
    let documents: Vec<_> = (0..10)
        .map(|_| {
            let (client, entry) = (client.clone(), fleet.entry());
            tokio::spawn(async move { get(&client, entry, "/documents?work_ms=3000").await })
        })
        .collect();
    wait_for("documents to run", || fleet.backends[0].counts().running > 0).await;
    let begin = std::time::Instant::now();
    let answer = get(&client, fleet.entry(), "/short?work_ms=1").await;
    assert_eq!(answer.outcome(), Some(RequestOutcome::Ran), "{answer:?}");
    assert!(begin.elapsed() < Duration::from_millis(1500), "{:?}", begin.elapsed());
    documents.iter().for_each(|call| call.abort());
}

/// Guards against a queued request being started on a server that has begun to drain. It is
/// refused as not run, and running requests are finished.
#[tokio::test(flavor = "multi_thread")]
async fn drained_queue() {
    let fleet = TestFleet::start(small_plan()).await;
    let client = http1();
    // Four run and two wait: one caller may use at most a third of the queue.
    let calls: Vec<_> = (0..6)
        .map(|number| {
            let (client, entry) = (client.clone(), fleet.entry());
            let path = format!("/?work_ms=300&tag=t{number}");
            tokio::spawn(async move { send(&client, entry, "POST", &path, &[], "").await })
        })
        .collect();
    let guard = || fleet.daemons[1].servers.guard_states().into_values().next().expect("a guard");
    wait_for("a queue", || guard().running[0] == SLOTS && guard().queued[0] == 2).await;
    let address = fleet.backends[0].address();
    fleet.announce(1, "server-1", address, sk_member::EndpointStatus::Draining);
    let mut refused = 0;
    for (number, call) in calls.into_iter().enumerate() {
        let answer = call.await.expect("call ends");
        let runs = fleet.runs(&format!("t{number}"));
        match answer.outcome() {
            Some(RequestOutcome::Ran) => assert_eq!((runs, answer.status.as_u16()), (1, 200)),
            _ => {
                refused += 1;
                assert_eq!(answer.reason(), Some(RefusalKind::Draining));
                assert_eq!(runs, 0);
            }
        }
    }
    assert!(refused > 0);
    // An announcement that was sent before the drain began brings no work back.
    fleet.announce(1, "server-1", address, sk_member::EndpointStatus::Ready);
    fleet.rebuild();
    let answer = get(&client, fleet.entry(), "/").await;
    assert_eq!(answer.outcome(), Some(RequestOutcome::NotRun));
}
