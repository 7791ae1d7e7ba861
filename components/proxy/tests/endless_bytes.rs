//! Servers that send bytes without an end in place of an answer, or within or behind one.

mod common;

use std::{
    fs,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering::SeqCst},
    },
    time::{Duration, Instant},
};

use common::{FleetPlan, TestAnswer, TestFleet, get, http1, wait_for};
use http::StatusCode;
use http_body_util::BodyExt;
use sk_decide::deadline::BODY_GRACE;
use sk_member::EndpointStatus;
use sk_proxy::RequestOutcome;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Mutex,
};

/// Held by each test, since all of them measure the memory of the same process.
static MEMORY: Mutex<()> = Mutex::const_new(());

/// Time that a request has.
const DEADLINE: Duration = Duration::from_millis(1_500);
/// Longest time until a caller is told of bytes that cannot become an answer.
const MAX_FAILURE_TIME: Duration = Duration::from_millis(1_000);
/// Most bytes that a server may get rid of where nobody reads them: the largest head, the daemons'
/// windows, and the socket buffers of the system.
const MAX_UNREAD_BYTES: u64 = 16 * 1024 * 1024;
/// Most memory by which the process may grow, a fifth of the smallest instance's.
const MAX_GROWTH_BYTES: u64 = 32 * 1024 * 1024;
/// Bytes of one write, a multiple of a few short lines.
const WRITE_BYTES: usize = 16 * 1024;

/// A server that answers each request with a beginning and then repeats bytes until its connection
/// is closed.
struct EndlessServer {
    address: SocketAddr,
    written: Arc<AtomicU64>,
    is_closed: Arc<AtomicBool>,
}

impl EndlessServer {
    async fn start(beginning: &'static str, repeated: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let (written, is_closed) = (Arc::<AtomicU64>::default(), Arc::<AtomicBool>::default());
        let server = Self { address, written: written.clone(), is_closed: is_closed.clone() };
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (written, is_closed) = (written.clone(), is_closed.clone());
                tokio::spawn(async move {
                    if flood(stream, beginning, repeated, &written).await > 0 {
                        is_closed.store(true, SeqCst);
                    }
                });
            }
        });
        server
    }
}

/// Reads a request, writes until the peer closes, and returns the number of bytes read.
async fn flood(
    mut stream: TcpStream,
    beginning: &str,
    repeated: &str,
    written: &AtomicU64,
) -> usize {
    let size = stream.read(&mut [0; 4096]).await.unwrap_or_default();
    if size == 0 || stream.write_all(beginning.as_bytes()).await.is_err() {
        return size;
    }
    let part = repeated.repeat(WRITE_BYTES / repeated.len());
    while stream.write_all(part.as_bytes()).await.is_ok() {
        written.fetch_add(part.len() as u64, SeqCst);
    }
    size
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> u64 {
    let pages = fs::read_to_string("/proc/self/statm").expect("statistics of this process");
    let pages: u64 = pages.split(' ').nth(1).expect("a second number").parse().expect("a number");
    pages * 4096
}

/// Starts a daemon beside an endless server, and another one with callers.
async fn start(server: &EndlessServer) -> TestFleet {
    let plan = FleetPlan { servers: vec![false, false], deadline: DEADLINE, ..FleetPlan::new(0) };
    let fleet = TestFleet::start(plan).await;
    fleet.announce(1, "endless", server.address, EndpointStatus::Ready);
    fleet.rebuild();
    fleet
}

/// What one request to an endless server led to.
struct EndlessOutcome {
    answer: TestAnswer,
    took: Duration,
    written: u64,
}

/// Sends one request to a server that repeats bytes, and waits until its connection is closed.
async fn ask(beginning: &'static str, repeated: &'static str) -> EndlessOutcome {
    let server = EndlessServer::start(beginning, repeated).await;
    let fleet = start(&server).await;
    let (before, begin) = (resident_bytes(), Instant::now());
    let answer = get(&http1(), fleet.entry(), "/endless").await;
    let took = begin.elapsed();
    wait_for("the connection to be closed", || server.is_closed.load(SeqCst)).await;
    let growth = resident_bytes().saturating_sub(before);
    assert!(growth < MAX_GROWTH_BYTES, "{growth} bytes of memory for {beginning:?}");
    EndlessOutcome { answer, took, written: server.written.load(SeqCst) }
}

/// Bytes that are no answer, or a head that does not end, must not fill the memory until the
/// deadline.
#[tokio::test(flavor = "multi_thread")]
async fn endless_heads() {
    let _memory = MEMORY.lock().await;
    let cases = [
        ("", "no answer at all "),
        ("", "\0\u{1}\u{2}\u{3}"),
        ("HTTP/1.1 200 OK", "K"),
        ("HTTP/1.1 200 OK\r\nx-long: ", "a"),
        ("HTTP/1.1 200 OK\r\n", "x-many: 1\r\n"),
    ];
    for (beginning, repeated) in cases {
        let outcome = ask(beginning, repeated).await;
        let case = (beginning, repeated, &outcome.answer);
        assert_eq!(outcome.answer.status, StatusCode::BAD_GATEWAY, "{case:?}");
        assert_eq!(outcome.answer.outcome(), Some(RequestOutcome::Unknown), "{case:?}");
        assert!(outcome.took < MAX_FAILURE_TIME, "{:?} {case:?}", outcome.took);
        assert!(outcome.written < MAX_UNREAD_BYTES, "{} {case:?}", outcome.written);
    }
}

/// Interim answers without an end never become an answer. The request ends at its deadline.
#[tokio::test(flavor = "multi_thread")]
async fn endless_interim() {
    let _memory = MEMORY.lock().await;
    let outcome = ask("", "HTTP/1.1 100 Continue\r\n\r\n").await;
    assert!(outcome.answer.status.is_server_error(), "{:?}", outcome.answer);
    assert_eq!(outcome.answer.outcome(), Some(RequestOutcome::Unknown));
    assert!(outcome.took < DEADLINE + MAX_FAILURE_TIME, "{:?}", outcome.took);
}

/// Bytes that are no body must end the answer with an error, not look like its end.
#[tokio::test(flavor = "multi_thread")]
async fn endless_framing() {
    let _memory = MEMORY.lock().await;
    let cases = [
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "no chunk "),
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4;", "extension"),
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody", "no end of a chunk"),
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n", "x-t: 1\r\n"),
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\nx-long: ", "a"),
    ];
    for (beginning, repeated) in cases {
        let outcome = ask(beginning, repeated).await;
        let case = (beginning, repeated, &outcome.answer);
        let is_failed = outcome.answer.status == StatusCode::BAD_GATEWAY;
        assert!(is_failed || outcome.answer.body.is_err(), "{case:?}");
        assert!(outcome.took < MAX_FAILURE_TIME, "{:?} {case:?}", outcome.took);
        assert!(outcome.written < MAX_UNREAD_BYTES, "{} {case:?}", outcome.written);
    }
}

/// The size of a chunk whose digits do not end is no body. The request ends after its deadline.
#[tokio::test(flavor = "multi_thread")]
async fn endless_chunk_size() {
    let _memory = MEMORY.lock().await;
    let outcome = ask("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "0").await;
    let is_failed = outcome.answer.status.is_server_error() || outcome.answer.body.is_err();
    assert!(is_failed, "{:?}", outcome.answer);
    assert!(outcome.took < DEADLINE + BODY_GRACE + MAX_FAILURE_TIME, "{:?}", outcome.took);
}

/// A body without an end is passed on as it is read and cut after the deadline.
#[tokio::test(flavor = "multi_thread")]
async fn endless_body() {
    let _memory = MEMORY.lock().await;
    let heads = [
        "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 99999999999999\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nffffffffffffff\r\n",
    ];
    for head in heads {
        let server = EndlessServer::start(head, "bytes of a body ").await;
        let fleet = start(&server).await;
        let (before, begin) = (resident_bytes(), Instant::now());
        let target = format!("http://{}/endless", fleet.entry()).parse().expect("a target");
        let mut answer = http1().get(target).await.expect("a head");
        assert_eq!(answer.status(), StatusCode::OK, "{head:?}");
        let end = loop {
            match answer.body_mut().frame().await {
                Some(Ok(_)) => {
                    let growth = resident_bytes().saturating_sub(before);
                    assert!(growth < MAX_GROWTH_BYTES, "{growth} bytes of memory for {head:?}");
                }
                end => break end,
            }
        };
        assert!(matches!(end, Some(Err(_))), "a cut body looked complete: {head:?}");
        let took = begin.elapsed();
        assert!(took < DEADLINE + BODY_GRACE + MAX_FAILURE_TIME, "{took:?} for {head:?}");
        wait_for("the connection to be closed", || server.is_closed.load(SeqCst)).await;
    }
}

/// A caller that does not read a body without an end must not make the daemons keep it.
#[tokio::test(flavor = "multi_thread")]
async fn endless_unread() {
    let _memory = MEMORY.lock().await;
    let server = EndlessServer::start("HTTP/1.1 200 OK\r\n\r\n", "bytes of a body ").await;
    let fleet = start(&server).await;
    let before = resident_bytes();
    let _unread = common::send_unread(fleet.entry(), "/endless").await;
    wait_for("the connection to be closed", || server.is_closed.load(SeqCst)).await;
    let growth = resident_bytes().saturating_sub(before);
    assert!(growth < MAX_GROWTH_BYTES, "{growth} bytes of memory");
    assert!(server.written.load(SeqCst) < MAX_UNREAD_BYTES);
}

/// Bytes behind a whole answer belong to no request. The caller gets the answer, and the connection
/// is not used again.
#[tokio::test(flavor = "multi_thread")]
async fn endless_rest() {
    let _memory = MEMORY.lock().await;
    let beginning = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody";
    for repeated in ["more bytes", "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"] {
        let outcome = ask(beginning, repeated).await;
        assert_eq!(outcome.answer.status, StatusCode::OK);
        assert_eq!(outcome.answer.body.expect("a whole body"), "body");
        assert!(outcome.written < MAX_UNREAD_BYTES, "{}", outcome.written);
    }
}
