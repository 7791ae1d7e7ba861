//! A stop of a daemon whose settings the platform makes, with a grace other than six seconds.

mod common;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use common::{
    TestDirectory, TestProcess, WAIT_BOUND,
    deployment::{deployment_fields, start_deployed_daemon},
};
use hyper::Method;
use serde_json::json;
use sk_adapter_standin::{
    AnswerMode, BackendServer, CallerAnswer, CallerRequest, HOST, StoreServer, make_config,
    make_heartbeat, make_route, send_heartbeat, send_request,
};
use tokio::task::JoinHandle;

/// Seconds from SIGTERM until the platform ends a process.
const GRACE_S: f64 = 8.0;
/// Work of a server that ends after the stop of a grace of six seconds, and before the last sixth
/// of [`GRACE_S`].
const LONG_WORK: Duration = Duration::from_millis(6_200);

/// Daemon `d0` beside a server of `docs`, and `d1` beside one of `board`, which is stopped.
struct GraceFleet {
    servers: [BackendServer; 2],
    daemons: [TestProcess; 2],
    _store: StoreServer,
    _directory: TestDirectory,
}

impl GraceFleet {
    async fn start(name: &str, grace_s: f64) -> Self {
        let directory = TestDirectory::new(name);
        let store = StoreServer::start().await.expect("a store");
        let mut board = make_route("b", "/board/", "unsafe", "board");
        board["timeout"] = json!(9_000);
        let routes = [board, make_route("d", "/docs/", "safe", "docs")];
        store.put("config", "main", make_config(3, &routes));
        let servers = [
            BackendServer::start("i-0").await.expect("a server"),
            BackendServer::start("i-1").await.expect("a server"),
        ];
        let daemons = [("d0", "docs", &servers[0]), ("d1", "board", &servers[1])];
        let daemons = daemons.map(|(name, service, server)| {
            let bounds = json!({ "grace": grace_s, "drain": 2000, "budget_slack": 58 });
            let (server, store) = (Some(server.address()), store.address());
            let fields = deployment_fields(name, service, server, store, bounds);
            start_deployed_daemon(&directory, &fields)
        });
        let fleet = Self { servers, daemons, _store: store, _directory: directory };
        for (index, service) in ["docs", "board"].into_iter().enumerate() {
            let address = fleet.servers[index].address();
            let beat = make_heartbeat(service, address, 1_000, 1, "ready");
            let ops = fleet.address(index, "ops");
            let status = send_heartbeat(ops, &format!("i-{index}"), &beat).await;
            assert_eq!(status.expect("an answer"), 200);
        }
        for (daemon, path) in [(0, "/board/up"), (1, "/board/up"), (1, "/docs/up")] {
            let begin = Instant::now();
            while fleet.request(daemon, path, "up").await.expect("no panic").status != 200 {
                assert!(begin.elapsed() < WAIT_BOUND, "{path} is not served");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        fleet
    }

    fn address(&self, daemon: usize, listener: &str) -> SocketAddr {
        self.daemons[daemon].address(listener).parse().expect("an address")
    }

    /// Sends a request that enters at a daemon. A connection that fails counts as status 0.
    fn request(
        &self,
        daemon: usize,
        path: &'static str,
        attempt: &'static str,
    ) -> JoinHandle<CallerAnswer> {
        let entry = self.address(daemon, "proxy");
        let method = if path.starts_with("/board/") { Method::POST } else { Method::GET };
        tokio::spawn(async move {
            let deadline = Duration::from_secs(9);
            let call =
                CallerRequest { method, host: HOST, path, attempt, deadline, authorization: None };
            let failed =
                CallerAnswer { status: 0, is_signed: false, retry_after: None, body: None };
            send_request(entry, &call).await.unwrap_or(failed)
        })
    }

    async fn wait_running(&self, attempt: &str) {
        let begin = Instant::now();
        while self.servers[1].run_count(attempt) == 0 {
            assert!(begin.elapsed() < WAIT_BOUND, "{attempt} does not run");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

/// Guards against a stop that ends requests long before the platform's grace is over: those that
/// entered at the daemon that stops, and those that entered at another.
#[tokio::test(flavor = "multi_thread")]
async fn work_finishes() {
    let fleet = GraceFleet::start("work_finishes", GRACE_S).await;
    fleet.servers[1].set_work_time(LONG_WORK);
    let requests = [fleet.request(1, "/board/1", "own"), fleet.request(0, "/board/1", "other")];
    fleet.wait_running("own").await;
    fleet.wait_running("other").await;
    fleet.daemons[1].signal("-TERM");
    for request in requests {
        let answer = request.await.expect("no panic");
        assert!(answer.status == 200 && answer.body.is_some(), "{answer:?}");
    }
}

/// Guards against a stop that cuts answers which servers are still sending, long before the
/// platform's grace is over.
#[tokio::test(flavor = "multi_thread")]
async fn answer_finishes() {
    let fleet = GraceFleet::start("answer_finishes", GRACE_S).await;
    fleet.servers[1].set_work_time(LONG_WORK);
    fleet.servers[1].set_mode(AnswerMode::Halves);
    let requests = [fleet.request(1, "/board/1", "own"), fleet.request(0, "/board/1", "other")];
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.daemons[1].signal("-TERM");
    for request in requests {
        let answer = request.await.expect("no panic");
        assert!(answer.status == 200 && answer.body.is_some(), "{}", answer.status);
    }
}

/// Guards against an entry that closes while a request that entered there runs at its own server,
/// which then cannot make calls.
#[tokio::test(flavor = "multi_thread")]
async fn server_calls_on() {
    let fleet = GraceFleet::start("server_calls_on", GRACE_S).await;
    fleet.servers[1].set_work_time(Duration::from_secs(5));
    let parent = fleet.request(1, "/board/1", "a1");
    fleet.wait_running("a1").await;
    fleet.daemons[1].signal("-TERM");
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert_eq!(fleet.request(1, "/docs/1", "a1.c1").await.expect("no panic").status, 200);
    assert_eq!(parent.await.expect("no panic").status, 200);
}

/// Guards against requests that are passed on although their bodies arrive late in the grace, and
/// whose connections are then cut.
#[tokio::test(flavor = "multi_thread")]
async fn late_body() {
    let fleet = GraceFleet::start("late_body", 4.0).await;
    let mut caller = TcpStream::connect(fleet.address(1, "proxy")).expect("the entry listens");
    let head = format!(
        "POST /board/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: late\r\nX-Deadline-Ms: 9000\r\n\
         Content-Length: 8\r\n\r\nhalf"
    );
    caller.write_all(head.as_bytes()).expect("sent");
    fleet.servers[1].set_work_time(LONG_WORK);
    fleet.daemons[1].signal("-TERM");
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    caller.write_all(b"rest").expect("sent");
    let mut answer = String::new();
    let read = tokio::task::block_in_place(|| caller.read_to_string(&mut answer));
    assert!(answer.starts_with("HTTP/1.1 503 "), "{read:?} {answer}");
    assert_eq!(fleet.servers[1].run_count("late"), 0);
}
