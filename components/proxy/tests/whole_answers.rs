//! Requests and answers arrive complete, or end in an error that their reader sees.

mod common;

use std::time::Duration;

use common::{FleetPlan, MAX_BODY_BYTES, TestFleet, get, http1, http2, send, wait_for};
use http::StatusCode;
use sk_proxy::{RefusalKind, RequestOutcome};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

#[tokio::test(flavor = "multi_thread")]
async fn both_protocols() {
    let fleet = TestFleet::start(FleetPlan::new(2)).await;
    for client in [http1(), http2()] {
        for size in [0, 100, 64 * 1024, 64 * 1024 + 1, 700_000] {
            let answer = send(&client, fleet.entry(), "POST", "/echo", &[], vec![b'b'; size]).await;
            assert_eq!(answer.status, StatusCode::OK, "{size}: {answer:?}");
            assert_eq!(answer.outcome(), Some(RequestOutcome::Ran));
            assert_eq!(answer.json()["body"].as_str().map(str::len), Some(size));
        }
        let answer = get(&client, fleet.entry(), "/large?size=3000000").await;
        assert_eq!(answer.body.expect("a whole body").len(), 3_000_000);
        let head = send(&client, fleet.entry(), "HEAD", "/head", &[], "").await;
        assert_eq!(head.status, StatusCode::OK);
    }
    wait_for("all slots to be free", || {
        fleet
            .daemons
            .iter()
            .flat_map(|daemon| daemon.servers.guard_states().into_values())
            .all(|state| state.running == [0, 0] && state.queued == [0, 0])
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn own_server() {
    let mut plan = FleetPlan::new(0);
    plan.servers = vec![true];
    let fleet = TestFleet::start(plan).await;
    let answer = send(&http1(), fleet.entry(), "POST", "/here", &[], "body").await;
    assert_eq!(answer.json()["body"], "body");
}

/// Guards against a truncated answer passing as a complete one, when a server dies or its
/// connection breaks in the middle: a caller who sees no error takes half a list for the whole.
/// Both hops pass the failure on as an error. A reader that takes everything before the end of the
/// connection, like the raw one here, gets half the answer and no error.
#[tokio::test(flavor = "multi_thread")]
async fn cut_answer() {
    let fleet = TestFleet::start(FleetPlan::new(1)).await;
    for client in [http1(), http2()] {
        for _ in 0..5 {
            let answer = get(&client, fleet.entry(), "/cut?fault=cut&size=100000").await;
            assert_eq!(answer.status, StatusCode::OK);
            assert!(answer.body.is_err(), "a cut answer looked complete: {answer:?}");
        }
    }
    let mut raw = TcpStream::connect(fleet.entry()).await.expect("connection");
    let head = "GET /cut?fault=cut&size=100000 HTTP/1.1\r\nHost: test\r\n\r\n";
    raw.write_all(head.as_bytes()).await.expect("request");
    let mut read = Vec::new();
    let read = raw.read_to_end(&mut read).await;
    assert!(read.expect("no error is seen") > 50_000, "the raw reader got no half answer");
    let cut: u64 = fleet.daemons.iter().map(|daemon| daemon.counters.snapshot().cut_answers).sum();
    assert!(cut >= 10, "{cut} cut answers counted");
}

/// Guards against a truncated upload running as a complete one, when a caller's connection breaks
/// in the middle: a server that sees no error would store half a document.
#[tokio::test(flavor = "multi_thread")]
async fn cut_upload() {
    let fleet = TestFleet::start(FleetPlan::new(1)).await;
    let mut stream = TcpStream::connect(fleet.entry()).await.expect("connection");
    let head = "POST /cut HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n";
    stream.write_all(head.as_bytes()).await.expect("head");
    // More than is kept for a retry, so that the request is already being sent when it is cut.
    for _ in 0..20 {
        let chunk = format!("1388\r\n{}\r\n", "x".repeat(0x1388));
        stream.write_all(chunk.as_bytes()).await.expect("chunk");
    }
    wait_for("the server to have a part", || fleet.backends[0].counts().begun == 1).await;
    drop(stream);
    wait_for("the server to give up", || fleet.backends[0].counts().running == 0).await;
    assert_eq!(fleet.backends[0].served_count(), 0, "a cut upload ran");
}

/// Creates an HTTP/2 frame of stream 1, or of the connection for settings.
fn frame(kind: u8, flags: u8, payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len()).expect("small frame").to_be_bytes();
    let stream = u8::from(kind != 4);
    [&length[1..], &[kind, flags, 0, 0, 0, stream], payload].concat()
}

/// Type of the frame by which a peer allows more bytes.
const WINDOW_UPDATE: u8 = 8;

/// Reads a frame and returns its type.
async fn read_frame(stream: &mut TcpStream) -> u8 {
    let mut header = [0; 9];
    stream.read_exact(&mut header).await.expect("a frame");
    let length = u32::from_be_bytes([0, header[0], header[1], header[2]]);
    let mut payload = vec![0; usize::try_from(length).expect("a small frame")];
    stream.read_exact(&mut payload).await.expect("its payload");
    header[3]
}

/// The same failure over HTTP/2, by a client that resets its stream with the code for "no error".
/// The library reads that as the end of the body. The request must not run as a complete one.
#[tokio::test(flavor = "multi_thread")]
async fn reset_upload() {
    let fleet = TestFleet::start(FleetPlan::new(1)).await;
    let mut stream = TcpStream::connect(fleet.entry()).await.expect("connection");
    // POST, http, path `/`, authority `test`, by the static table.
    let head = [&[0x83, 0x86, 0x84, 0x41, 4][..], b"test"].concat();
    let preface = [b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec(), frame(4, 0, &[])].concat();
    stream.write_all(&preface).await.expect("preface");
    // The entry daemon's windows fit the upload once its settings have arrived and the
    // connection's window has grown. Sent earlier, a hundred thousand bytes exceed the 65,535 that
    // HTTP/2 begins with, and the entry daemon rightly closes the connection with a flow control
    // error.
    while read_frame(&mut stream).await != WINDOW_UPDATE {}
    let mut sent = [frame(4, 1, &[]), frame(1, 4, &head)].concat();
    (0..10).for_each(|_| sent.extend(frame(0, 0, &[b'x'; 10_000])));
    stream.write_all(&sent).await.expect("part of an upload");
    wait_for("the server to have a part", || fleet.backends[0].counts().begun == 1).await;
    stream.write_all(&frame(3, 0, &[0; 4])).await.expect("reset");
    wait_for("the server to give up", || fleet.backends[0].counts().running == 0).await;
    assert_eq!(fleet.backends[0].served_count(), 0, "a cut upload ran");
}

#[tokio::test(flavor = "multi_thread")]
async fn oversized() {
    let fleet = TestFleet::start(FleetPlan::new(1)).await;
    let client = http1();
    let long = "x".repeat(40_000);
    let answer = send(&client, fleet.entry(), "GET", "/", &[("x-long", &long)], "").await;
    assert_eq!(answer.status, StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
    let body = vec![0; usize::try_from(MAX_BODY_BYTES).expect("small") + 1];
    let answer = send(&client, fleet.entry(), "POST", "/", &[], body).await;
    assert_eq!(answer.status, StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(answer.outcome(), Some(RequestOutcome::NotRun));
    assert_eq!(fleet.served(), 0);
}

/// An HTTP/1.0 answer without a length ends with its connection, so that a truncated one would
/// look complete.
#[tokio::test(flavor = "multi_thread")]
async fn old_protocol() {
    let fleet = TestFleet::start(FleetPlan::new(1)).await;
    let mut stream = TcpStream::connect(fleet.entry()).await.expect("connection");
    stream.write_all(b"GET / HTTP/1.0\r\nHost: test\r\n\r\n").await.expect("request");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("an answer");
    assert!(answer.contains(" 505 ") && answer.contains("not-run"), "{answer}");
}

#[tokio::test(flavor = "multi_thread")]
async fn hop_headers() {
    let fleet = TestFleet::start(FleetPlan::new(1)).await;
    let headers = [
        ("connection", "x-private, keep-alive"),
        ("x-private", "1"),
        ("te", "trailers"),
        ("upgrade", "websocket"),
        ("x-sapphirekeel-call", "{}"),
        ("x-sapphirekeel-hops", "3"),
    ];
    let answer = send(&http1(), fleet.entry(), "GET", "/", &headers, "").await;
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    // A caller's word for the hops does not count.
    assert_eq!(answer.json()["hops"], "1");
    let answer = answer.json();
    let arrived = answer["headers"].as_array().expect("names of headers");
    for name in ["x-private", "te", "upgrade", "x-sapphirekeel-call", "x-sapphirekeel-token"] {
        assert!(!arrived.iter().any(|arrived| arrived == name), "{name} arrived: {arrived:?}");
    }
    // A server's call has the hops of its parent and one more.
    let proof = fleet.daemons[0].proofs.make(Duration::from_secs(1));
    let headers =
        [("x-sapphirekeel-hops", "3"), ("x-sapphirekeel-parent", proof.to_str().expect("digits"))];
    let answer = send(&http1(), fleet.entry(), "GET", "/", &headers, "").await;
    assert_eq!(answer.json()["hops"], "4");
}

/// Guards against a sender outside the fleet that sends to a guard directly, past routes and fair
/// shares. The guard refuses it before it asks the server.
#[tokio::test(flavor = "multi_thread")]
async fn unauthorized_sender() {
    let fleet = TestFleet::start(FleetPlan::new(1)).await;
    let target = format!("http://{}/", fleet.daemons[1].guard).parse().expect("target");
    assert!(http1().get(target).await.is_err(), "a guard speaks HTTP/2 only");
    let answer = get(&http2(), fleet.daemons[1].guard, "/").await;
    assert_eq!(answer.reason(), Some(RefusalKind::Unauthorized));
    assert_eq!(fleet.backends[0].counts().begun, 0);
}
