//! Servers that drain while requests are sent to them, or lose their answers.

mod common;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use common::{FleetPlan, TestAnswer, TestFleet, get, http1, wait_for};
use sk_decide::pacing::PacerSettings;
use sk_member::EndpointStatus;
use sk_proxy::{RequestOutcome, ServerLimits};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};

/// Idle time of a connection after which a reset may be the drop of an idle connection.
const IDLE: Duration = Duration::from_millis(200);
/// Time that the stand-in of a server takes for a request.
const WORK: Duration = Duration::from_millis(600);

fn ask(entry: SocketAddr, path: &'static str) -> JoinHandle<TestAnswer> {
    tokio::spawn(async move { get(&http1(), entry, path).await })
}

/// Starts a server, leaves a connection to it idle, and sends a safe request whose answer is lost after
/// the work.
async fn lose_answer(drains: bool) {
    let fleet = TestFleet::start(FleetPlan::new(1)).await;
    assert_eq!(get(&http1(), fleet.entry(), "/first").await.status, 200);
    tokio::time::sleep(IDLE).await;
    let lost = ask(fleet.entry(), "/lost?work_ms=600&fault=drop&tag=lost");
    wait_for("work", || fleet.runs("lost") == 1).await;
    if drains {
        let address = fleet.backends[0].address();
        fleet.announce(1, "server-1", address, EndpointStatus::Draining);
    }
    let answer = lost.await.expect("call ends");
    assert_eq!(answer.outcome(), Some(RequestOutcome::Unknown), "{answer:?}");
    assert_eq!(fleet.runs("lost"), 1, "sent once more");
}

/// Guards against a copy to a server that has announced its drain since the first sending.
#[tokio::test(flavor = "multi_thread")]
async fn no_copy_after_drain() {
    lose_answer(true).await;
}

/// Guards against a lost answer that is taken for a connection which the server dropped while it was
/// idle, so that the same server gets the request again.
#[tokio::test(flavor = "multi_thread")]
async fn no_copy_after_work() {
    lose_answer(false).await;
}

/// A server that records the heads of its requests, answers the first one on each connection after
/// [`WORK`], and closes the connection when the next one arrives.
#[derive(Clone, Default)]
struct RecordingServer {
    heads: Arc<Mutex<Vec<String>>>,
}

impl RecordingServer {
    /// Starts the server beside daemon 1 of a fleet.
    async fn start(fleet: &TestFleet) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let server = Self::default();
        let accepting = server.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let server = accepting.clone();
                tokio::spawn(async move { server.serve(stream).await });
            }
        });
        fleet.announce(1, "server-1", address, EndpointStatus::Ready);
        fleet.rebuild();
        server
    }

    async fn serve(&self, mut stream: TcpStream) {
        let mut head = [0; 4096];
        let size = stream.read(&mut head).await.unwrap_or_default();
        if size == 0 {
            return;
        }
        self.record(&head[..size]);
        tokio::time::sleep(WORK).await;
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await;
        let size = stream.read(&mut head).await.unwrap_or_default();
        if size > 0 {
            self.record(&head[..size]);
        }
    }

    fn record(&self, head: &[u8]) {
        let head = String::from_utf8_lossy(head).to_lowercase();
        self.heads.lock().unwrap_or_else(PoisonError::into_inner).push(head);
    }

    /// Returns the milliseconds that each request for a path was given.
    fn remaining_ms(&self, path: &str) -> Vec<u64> {
        let heads = self.heads.lock().unwrap_or_else(PoisonError::into_inner);
        let of_path = heads.iter().filter(|head| head.starts_with(&format!("get {path} ")));
        let line = |head: &String| {
            let lines = head.lines().map(str::to_owned).collect::<Vec<_>>();
            let found = lines.iter().find_map(|line| {
                line.strip_prefix("x-sapphirekeel-deadline-ms: ").map(str::to_owned)
            });
            found.and_then(|text| text.trim().parse().ok()).expect("a time in the head")
        };
        of_path.map(line).collect()
    }
}

/// A fleet whose server takes one connection.
async fn start_narrow(deadline: Duration) -> (TestFleet, RecordingServer) {
    let pacer = PacerSettings { limit: 1, ..PacerSettings::default() };
    let limits = ServerLimits { pacer, ..ServerLimits::default() };
    let plan = FleetPlan { limits, deadline, servers: vec![false, false], ..FleetPlan::new(0) };
    let fleet = TestFleet::start(plan).await;
    let server = RecordingServer::start(&fleet).await;
    (fleet, server)
}

/// Guards against a connection that is opened, and a request that is sent, after the server's drain:
/// the request was admitted before and waited for a connection.
#[tokio::test(flavor = "multi_thread")]
async fn opens_none_after_drain() {
    let (fleet, server) = start_narrow(Duration::from_secs(5)).await;
    let first = ask(fleet.entry(), "/first");
    wait_for("the first request", || server.remaining_ms("/first").len() == 1).await;
    let waiting = ask(fleet.entry(), "/waits");
    tokio::time::sleep(WORK / 4).await;
    assert!(fleet.daemons[1].servers.drain_server("server-1"));
    let answer = tokio::time::timeout(WORK / 4, waiting).await.expect("refused at once");
    let answer = answer.expect("call ends");
    assert_eq!(answer.outcome(), Some(RequestOutcome::NotRun), "{answer:?}");
    assert_eq!(first.await.expect("call ends").status, 200, "work goes on");
    tokio::time::sleep(WORK).await;
    assert_eq!(server.remaining_ms("/waits"), [] as [u64; 0]);
}

/// Guards against requests that are sent later than they were made ready, with the time that was left
/// then: one that waited for a connection, and its copy after a reset.
#[tokio::test(flavor = "multi_thread")]
async fn time_left_now() {
    let (fleet, server) = start_narrow(Duration::from_secs(5)).await;
    let first = ask(fleet.entry(), "/first");
    wait_for("the first request", || server.remaining_ms("/first").len() == 1).await;
    let waiting = ask(fleet.entry(), "/waits");
    assert_eq!(first.await.expect("call ends").status, 200);
    let _ = waiting.await.expect("call ends");
    let waited = server.remaining_ms("/waits");
    assert!(!waited.is_empty() && waited.iter().all(|left| *left < 4_500), "{waited:?}");
}
