//! Slots, queue and connections of a server, and callers that leave.

mod common;

use std::time::Duration;

use common::{FleetPlan, TestFleet, get, http1, http2, send, wait_for};
use futures::future::join_all;
use sk_decide::{admitting::GuardSettings, pacing::PacerSettings};
use sk_proxy::{RefusalKind, RequestOutcome, ServerLimits};

const SLOTS: u32 = 4;

fn small_plan() -> FleetPlan {
    let guard = GuardSettings { cold_hold: 0.0, short_queue: 6, ..GuardSettings::default() };
    let pacer = PacerSettings { limit: SLOTS, ..PacerSettings::default() };
    FleetPlan {
        slots: SLOTS,
        work: Duration::from_millis(50),
        limits: ServerLimits { guard, pacer },
        ..FleetPlan::new(1)
    }
}

/// Many more callers come at once than the server has slots. It never works on more than its slots
/// nor holds more connections than its limit; a few wait; the others hear at once that they were
/// not run. The same burst without a guard reaches the server whole.
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

    let naive = |_| {
        let (client, server) = (client.clone(), fleet.backends[0].address());
        async move { get(&client, server, "/naive").await }
    };
    join_all((0..60).map(naive)).await;
    assert!(fleet.backends[0].counts().peak_running > SLOTS, "the naive burst must show the harm");
}

/// Callers give up while their requests run. Their slots are free at once and not after the work,
/// or a few impatient callers would lock all others out.
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
    let view = fleet.daemons[0].counters.view();
    assert_eq!(view.in_flight, 0);
}

/// A herd of callers leaves at one moment, right after sending. All their requests share one
/// connection, on which each departure is a reset. A listener that takes many resets for an attack
/// ends the connection, and a bystander's request on it is lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_herd() {
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

/// One caller asks for many documents at once. Each holds a slot for long; short queries of others
/// still run beside them.
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

/// A request waits in the queue while its server begins to drain. It is handed back as not run
/// rather than started on a server that leaves, and what runs is finished.
#[tokio::test(flavor = "multi_thread")]
async fn drained_queue() {
    let fleet = TestFleet::start(small_plan()).await;
    let client = http1();
    // Four run and two wait: one caller has no more than a third of the queue.
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
    // An announcement that was under way when the drain began brings no work back.
    fleet.announce(1, "server-1", address, sk_member::EndpointStatus::Ready);
    fleet.rebuild();
    let answer = get(&client, fleet.entry(), "/").await;
    assert_eq!(answer.outcome(), Some(RequestOutcome::NotRun));
}
