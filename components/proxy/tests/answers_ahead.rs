//! Large answers that are read ahead of the link that carries them.

mod common;

use std::time::{Duration, Instant};

use common::{FleetPlan, TestAnswer, TestFleet, get, http1, relay, wait_for};
use sk_decide::admitting::GuardSettings;
use sk_proxy::ServerLimits;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, copy},
    net::TcpStream,
    task::JoinHandle,
};

/// Bytes a second that the link carries out of the guard.
const LINK_BYTES_PER_S: f64 = 60_000.0;
/// Bytes that the link takes at a time.
const LINK_CHUNK: usize = 2_048;
/// Size of the document, which the link carries in several seconds.
const DOCUMENT_BYTES: usize = 400_000;

/// Carries what the entry sends at once, and what the guard sends at the link's rate.
async fn carry_slowly(near: TcpStream, far: TcpStream) {
    let ((mut near_in, mut near_out), (mut far_in, mut far_out)) =
        (near.into_split(), far.into_split());
    tokio::spawn(async move { copy(&mut near_in, &mut far_out).await });
    let mut chunk = vec![0; LINK_CHUNK];
    while let Ok(size @ 1..) = far_in.read(&mut chunk).await {
        if near_out.write_all(&chunk[..size]).await.is_err() {
            return;
        }
        tokio::time::sleep(Duration::from_secs_f64(size as f64 / LINK_BYTES_PER_S)).await;
    }
}

/// Starts a server with one slot behind a link that takes seconds for a document.
async fn start() -> TestFleet {
    let guard = GuardSettings { cold_reserve: 0.0, ..GuardSettings::default() };
    let limits = ServerLimits { guard, ..ServerLimits::default() };
    let plan = FleetPlan { slots: 1, limits, ..FleetPlan::new(1) };
    let mut fleet = TestFleet::start(plan).await;
    let slow = relay(fleet.daemons[1].guard, carry_slowly).await;
    fleet.move_guard(1, slow);
    fleet
}

/// Asks for a document, and returns the call once the server has made it.
async fn begin_document(fleet: &TestFleet, tag: &str) -> JoinHandle<TestAnswer> {
    let entry = fleet.entry();
    let path = format!("/documents?tag={tag}&has_length=true&size={DOCUMENT_BYTES}");
    let document = tokio::spawn(async move { get(&http1(), entry, &path).await });
    wait_for("the document to be made", || fleet.runs(tag) == 1).await;
    document
}

/// Guards against a document that keeps the server's slot until the link has carried it: the server
/// is idle meanwhile, and short requests wait for seconds or are refused.
#[tokio::test(flavor = "multi_thread")]
async fn slot_free_during_transfer() {
    let fleet = start().await;
    let entry = fleet.entry();
    let document = begin_document(&fleet, "document").await;
    let began = Instant::now();
    let short = tokio::spawn(async move { get(&http1(), entry, "/?tag=short").await });
    wait_for("the short request to run", || fleet.runs("short") == 1).await;
    let waited = began.elapsed();
    assert!(!document.is_finished(), "the link still carries the document");
    assert!(waited < Duration::from_secs(2), "the slot was taken for {waited:?}");
    assert_eq!(short.await.expect("no panic").status, 200);
    let document = document.await.expect("no panic");
    assert_eq!(document.body.expect("a whole body").len(), DOCUMENT_BYTES);
}

/// Guards against a caller that leaves during the transfer and leaves its answer in memory, or its
/// place on the link: further documents would wait behind it.
#[tokio::test(flavor = "multi_thread")]
async fn departed_caller() {
    let fleet = start().await;
    let entry = fleet.entry();
    for tag in ["first", "second", "third"] {
        begin_document(&fleet, tag).await.abort();
    }
    let path = "/documents?tag=last&has_length=true&size=40000";
    let last = tokio::time::timeout(Duration::from_secs(5), get(&http1(), entry, path)).await;
    assert_eq!(last.expect("in time").body.expect("a whole body").len(), 40_000);
}

/// Guards against short answers of unknown length that wait for their turn behind documents: a call
/// of another service fails when its answer stays here longer than its deadline.
#[tokio::test(flavor = "multi_thread")]
async fn short_of_unknown_length() {
    let fleet = start().await;
    let entry = fleet.entry();
    for tag in ["one", "two", "three", "four"] {
        begin_document(&fleet, tag).await;
    }
    let began = Instant::now();
    let answer = get(&http1(), entry, "/?size=4000").await;
    assert_eq!(answer.body.expect("a whole body").len(), 4_000);
    let waited = began.elapsed();
    assert!(waited < Duration::from_secs(4), "the answer waited for {waited:?}");
}

/// Guards against short answers that keep their slots while they stand behind a document on their
/// way to the same daemon.
#[tokio::test(flavor = "multi_thread")]
async fn short_answers_behind() {
    let fleet = start().await;
    let entry = fleet.entry();
    let document = begin_document(&fleet, "document").await;
    let began = Instant::now();
    for tag in ["first", "second", "third", "fourth"] {
        let path = format!("/?tag={tag}&has_length=true&size=8000");
        tokio::spawn(async move { get(&http1(), entry, &path).await });
        wait_for("the short request to run", || fleet.runs(tag) == 1).await;
    }
    let waited = began.elapsed();
    assert!(!document.is_finished(), "the link still carries the document");
    assert!(waited < Duration::from_secs(2), "the slot was taken for {waited:?}");
}
