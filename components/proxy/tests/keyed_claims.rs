//! Requests with an `Idempotency-Key`, granted to one attempt at most.

mod common;

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use async_trait::async_trait;
use common::{FleetPlan, TestAnswer, TestFleet, http1, send, wait_for};
use futures::future::join_all;
use sk_member::EndpointStatus;
use sk_proxy::{
    AttemptId, ClaimGate, ClaimKey, ClaimOutcome, ClaimVerdict, RefusalKind, RequestOutcome,
};
use tokio::net::TcpSocket;

/// Keeps claims in memory, for all daemons of a test.
#[derive(Default)]
struct MemoryClaims {
    claims: Mutex<HashMap<ClaimKey, (AttemptId, ClaimOutcome)>>,
    is_unavailable: std::sync::atomic::AtomicBool,
    settled: AtomicU32,
}

#[async_trait]
impl ClaimGate for MemoryClaims {
    async fn claim(&self, key: &ClaimKey, attempt: AttemptId, _: Instant) -> ClaimVerdict {
        tokio::time::sleep(Duration::from_millis(2)).await;
        if self.is_unavailable.load(Ordering::SeqCst) {
            return ClaimVerdict::Unavailable;
        }
        let mut claims = self.claims.lock().expect("lock");
        match claims.get(key) {
            Some((_, ClaimOutcome::Ran { status })) => ClaimVerdict::AlreadyRan { status: *status },
            Some(_) => ClaimVerdict::AlreadyClaimed,
            None => {
                claims.insert(key.clone(), (attempt, ClaimOutcome::Unknown));
                ClaimVerdict::Granted
            }
        }
    }

    async fn record_outcome(&self, key: &ClaimKey, attempt: AttemptId, outcome: ClaimOutcome) {
        let mut claims = self.claims.lock().expect("lock");
        let is_own = claims.get(key).is_some_and(|(owner, _)| *owner == attempt);
        match outcome {
            _ if !is_own => {}
            ClaimOutcome::NotRun => drop(claims.remove(key)),
            outcome => drop(claims.insert(key.clone(), (attempt, outcome))),
        }
        self.settled.fetch_add(1, Ordering::SeqCst);
    }
}

async fn start_claimed(servers: usize) -> (TestFleet, Arc<MemoryClaims>) {
    let claims = Arc::<MemoryClaims>::default();
    let plan = FleetPlan { claims: Some(claims.clone()), ..FleetPlan::new(servers) };
    (TestFleet::start(plan).await, claims)
}

async fn send_keyed(fleet: &TestFleet, entry: usize, path: &str, key: &str) -> TestAnswer {
    let headers = [("idempotency-key", key)];
    send(&http1(), fleet.daemons[entry].entry, "POST", path, &headers, "body").await
}

/// Guards against a reservation running twice that its caller sends again, ten times at once and
/// through different daemons, because no answer came in time. It runs once, and the copies are
/// told that it ran or may have run. Without a key each copy runs.
#[tokio::test(flavor = "multi_thread")]
async fn resent_copies() {
    let (fleet, claims) = start_claimed(3).await;
    let copy = |copy: usize| send_keyed(&fleet, copy % 4, "/reserve?tag=once", "key-1");
    let answers = join_all((0..10).map(copy)).await;
    let ran = answers.iter().filter(|answer| answer.status == 200).count();
    assert_eq!((ran, fleet.runs("once")), (1, 1));
    for answer in answers.iter().filter(|answer| answer.status != 200) {
        assert_eq!(answer.status.as_u16(), 409, "{answer:?}");
        assert_ne!(answer.outcome(), Some(RequestOutcome::NotRun));
    }
    wait_for("the claim to be settled", || claims.settled.load(Ordering::SeqCst) > 0).await;
    let answer = send_keyed(&fleet, 2, "/reserve?tag=once", "key-1").await;
    assert_eq!(answer.reason(), Some(RefusalKind::AlreadyRan));
    assert_eq!(answer.outcome(), Some(RequestOutcome::Ran));
    assert_eq!(answer.headers["x-sapphirekeel-earlier-status"], "200");
    assert_eq!(fleet.runs("once"), 1);

    let client = http1();
    let send_unkeyed = |_| send(&client, fleet.entry(), "POST", "/reserve?tag=naive", &[], "body");
    join_all((0..10).map(send_unkeyed)).await;
    assert_eq!(fleet.runs("naive"), 10, "without a key each copy must run");
}

/// Guards against a resend running again whose first copy ran and lost its answer. The resend is
/// told that the outcome is unknown, and does not run, at whatever daemon it arrives.
#[tokio::test(flavor = "multi_thread")]
async fn lost_reservation() {
    let (fleet, claims) = start_claimed(3).await;
    let answer = send_keyed(&fleet, 0, "/reserve?tag=lost&fault=drop", "key-2").await;
    assert_eq!(answer.outcome(), Some(RequestOutcome::Unknown));
    wait_for("the claim to be settled", || claims.settled.load(Ordering::SeqCst) > 0).await;
    for entry in 0..4 {
        let answer = send_keyed(&fleet, entry, "/reserve?tag=lost", "key-2").await;
        assert_eq!(answer.reason(), Some(RefusalKind::AlreadyClaimed));
        assert_eq!(answer.outcome(), Some(RequestOutcome::Unknown));
    }
    assert_eq!(fleet.runs("lost"), 1);
}

/// Guards against a claim blocking the retry of a request whose server could not be reached after
/// the claim. The claim is released, the retry at another daemon is granted, and the caller
/// notices nothing.
#[tokio::test(flavor = "multi_thread")]
async fn claim_freed_for_retry() {
    let (fleet, _) = start_claimed(2).await;
    // The address of the unreachable server is held, or another process could listen there.
    let held = TcpSocket::new_v4().expect("a socket");
    held.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
    let unreachable = held.local_addr().expect("an address");
    fleet.announce(1, "server-1", unreachable, EndpointStatus::Ready);
    for number in 0..10 {
        let path = format!("/reserve?tag=b{number}");
        let answer = send_keyed(&fleet, 0, &path, &format!("back-{number}")).await;
        assert_eq!(answer.status.as_u16(), 200, "{answer:?}");
        assert_eq!(fleet.runs(&format!("b{number}")), 1);
    }
}

/// Guards against a reservation running while the platform is unavailable or no claims are
/// configured. It is refused as not run, because nobody can tell whether a copy ran elsewhere.
/// Queries continue.
#[tokio::test(flavor = "multi_thread")]
async fn claims_unavailable() {
    let (fleet, claims) = start_claimed(2).await;
    claims.is_unavailable.store(true, Ordering::SeqCst);
    let unconfigured = TestFleet::start(FleetPlan::new(1)).await;
    for fleet in [&fleet, &unconfigured] {
        let answer = send_keyed(fleet, 0, "/reserve?tag=away", "key-3").await;
        assert_eq!(answer.status.as_u16(), 503);
        assert_eq!(answer.reason(), Some(RefusalKind::ClaimsUnavailable));
        assert_eq!(answer.outcome(), Some(RequestOutcome::NotRun));
        assert_eq!(fleet.runs("away"), 0);
        let answer = common::get(&http1(), fleet.entry(), "/query").await;
        assert_eq!(answer.status.as_u16(), 200);
    }
    claims.is_unavailable.store(false, Ordering::SeqCst);
    let answer = send_keyed(&fleet, 0, "/reserve?tag=away", "key-3").await;
    assert_eq!(answer.status.as_u16(), 200, "granted again: {answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_keys() {
    let (fleet, _) = start_claimed(1).await;
    for key in ["caf\u{e9}", &"x".repeat(300)] {
        let answer = send_keyed(&fleet, 0, "/reserve", key).await;
        assert_eq!(answer.status.as_u16(), 400);
        assert_eq!(answer.outcome(), Some(RequestOutcome::NotRun));
    }
}
