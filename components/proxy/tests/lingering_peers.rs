//! Callers that keep their side of a connection open when it ends.

mod common;

use std::time::Duration;

use common::{FleetPlan, MAX_BODY_BYTES, TestFleet};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::Instant,
};

const DRAIN: Duration = Duration::from_secs(10);
/// Callers that keep a connection open.
const CALLERS: usize = 50;
/// Time in which a stop ends although callers keep their connections open.
const STOP_BOUND: Duration = Duration::from_secs(4);
/// Time in which a connection ends although its caller sends on.
const SENDING_BOUND: Duration = Duration::from_secs(14);
const CHUNK_INTERVAL: Duration = Duration::from_millis(100);

/// Sends a request and reads a part of its answer.
async fn ask(fleet: &TestFleet) -> TcpStream {
    let mut stream = TcpStream::connect(fleet.entry()).await.expect("a connection");
    stream.write_all(b"GET / HTTP/1.1\r\nHost: test\r\n\r\n").await.expect("a request");
    stream.read_exact(&mut [0; 64]).await.expect("an answer");
    stream
}

/// Guards against a stop that callers delay until its end by keeping their connections open.
#[tokio::test(flavor = "multi_thread")]
async fn idle_callers() {
    let mut fleet = TestFleet::start(FleetPlan::new(1)).await;
    let forward = fleet.daemons[0].forward_handle.take().expect("an entry");
    let mut callers = Vec::new();
    for _ in 0..CALLERS {
        callers.push(ask(&fleet).await);
    }
    let begin = Instant::now();
    assert!(forward.stop(DRAIN).await, "requests in flight were cut");
    println!("the entry stopped after {:?}", begin.elapsed());
    assert!(begin.elapsed() < STOP_BOUND, "{:?}", begin.elapsed());
    drop(callers);
}

/// Guards against a refused upload whose caller does not learn of the refusal because it still
/// sends when the connection ends.
#[tokio::test(flavor = "multi_thread")]
async fn refused_upload() {
    let fleet = TestFleet::start(FleetPlan::new(1)).await;
    let stream = TcpStream::connect(fleet.entry()).await.expect("a connection");
    let (mut input, mut output) = stream.into_split();
    let head =
        format!("POST / HTTP/1.1\r\nHost: test\r\nContent-Length: {}\r\n\r\n", MAX_BODY_BYTES + 1);
    output.write_all(head.as_bytes()).await.expect("a head");
    for _ in 0..20 {
        output.write_all(&[b'u'; 10_000]).await.expect("a part of the body");
        tokio::time::sleep(CHUNK_INTERVAL).await;
    }
    let mut answer = Vec::new();
    let end = input.read_to_end(&mut answer).await;
    let answer = String::from_utf8_lossy(&answer).into_owned();
    assert!(answer.contains(" 413 "), "{end:?}: {answer}");
}

/// Guards against a caller that occupies a connection for ever by sending on after a refusal.
#[tokio::test(flavor = "multi_thread")]
async fn endless_upload() {
    let fleet = TestFleet::start(FleetPlan::new(1)).await;
    let mut stream = TcpStream::connect(fleet.entry()).await.expect("a connection");
    let head = "POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 9000000000\r\n\r\n";
    stream.write_all(head.as_bytes()).await.expect("a head");
    let begin = Instant::now();
    while stream.write_all(&[b'u'; 10_000]).await.is_ok() {
        assert!(begin.elapsed() < SENDING_BOUND, "the connection is still open");
        tokio::time::sleep(CHUNK_INTERVAL).await;
    }
    println!("the connection ended after {:?}", begin.elapsed());
}
