//! Calls that a backend server makes for requests that it runs, in deployments whose callers have
//! keys: they are served without a key until the time budget of their parent ends, and nobody else
//! gets the same.

mod common;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use common::{
    PlatformDaemon, TestDirectory, TestProcess, WAIT_BOUND, own_address, start_platform_daemon,
};
use hyper::Method;
use serde_json::json;
use sk_adapter_standin::{
    AnswerMode, BackendServer, CallerRequest, HOST, StoreServer, make_config, make_heartbeat,
    make_route, send_heartbeat, send_leave, send_request,
};
use tokio::task::JoinHandle;

const KEY: &str = "Bearer key-1";
/// Time budget of a request.
const BUDGET: Duration = Duration::from_secs(6);
/// Longest time that a request may take by its route.
const LONGEST_PARENT: Duration = Duration::from_secs(8);
/// Time for which a server works on a request.
const WORK: Duration = Duration::from_secs(4);

/// Daemon `d0` beside the server that makes calls, `d1` beside the one that it calls, and `d2` with
/// callers only.
struct CallFleet {
    directory: TestDirectory,
    store: StoreServer,
    servers: [BackendServer; 2],
    controls: [SocketAddr; 3],
    daemons: Vec<Option<TestProcess>>,
}

impl CallFleet {
    /// Starts a fleet that serves requests.
    async fn start(name: &str) -> Self {
        Self::start_in(name, AnswerMode::Valid).await
    }

    /// Starts a fleet in which the server that makes calls answers in a mode, on all connections.
    async fn start_in(name: &str, mode: AnswerMode) -> Self {
        let mut fleet = Self {
            directory: TestDirectory::new(name),
            store: StoreServer::start().await.expect("a store"),
            servers: [
                BackendServer::start("i-1").await.expect("a server"),
                BackendServer::start("i-2").await.expect("a server"),
            ],
            controls: [own_address(), own_address(), own_address()],
            daemons: vec![None, None, None],
        };
        let mut board = make_route("b", "/board/", "unsafe", "board");
        board["timeout"] = json!(LONGEST_PARENT.as_millis() as u64);
        let mut config = make_config(3, &[board, make_route("d", "/docs/", "safe", "docs")]);
        config["tenants"] = json!([{ "name": "blue", "api_keys": ["key-1"] }]);
        fleet.store.put("config", "main", config);
        fleet.servers[0].set_mode(mode);
        (0..3).for_each(|daemon| fleet.start_daemon(daemon, true));
        for (daemon, service) in [(0, "board"), (1, "docs")] {
            let address = fleet.servers[daemon].address();
            let beat = make_heartbeat(service, address, 1_000, 1, "ready");
            let (ops, id) = (fleet.address(daemon, "ops"), format!("i-{}", daemon + 1));
            assert_eq!(send_heartbeat(ops, &id, &beat).await.expect("an answer"), 200);
        }
        for (daemon, path) in [(2, "/board/up"), (0, "/docs/up"), (0, "/board/up")] {
            fleet.wait_served(daemon, path).await;
        }
        fleet.servers[0].set_work_time(WORK);
        fleet
    }

    fn start_daemon(&mut self, daemon: usize, first_start: bool) {
        let plan = PlatformDaemon {
            name: &format!("d{daemon}"),
            service: ["board", "docs", "front"][daemon],
            server: self.servers.get(daemon).map(BackendServer::address),
            control: self.controls[daemon],
            store: self.store.address(),
            guard: "leave_ms = 50\ndrain_ms = 1500",
            first_start,
        };
        let process = start_platform_daemon(&self.directory, &plan);
        self.daemons[daemon] = Some(process);
    }

    /// Kills the daemon beside the server that makes calls, and starts it again.
    fn kill(&mut self) {
        self.daemons[0] = None;
        self.start_daemon(0, false);
    }

    fn address(&self, daemon: usize, listener: &str) -> SocketAddr {
        let process = self.daemons[daemon].as_ref().expect("the daemon runs");
        process.address(listener).parse().expect("an address")
    }

    async fn wait_served(&self, daemon: usize, path: &str) {
        let begin = Instant::now();
        loop {
            let request = request(self.address(daemon, "proxy"), path, "up", BUDGET);
            match request.await {
                Ok(200) => return,
                last => assert!(begin.elapsed() < WAIT_BOUND, "{path} is answered {last:?}"),
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Begins a request that enters at a daemon, and waits until the server runs it.
    async fn begin(&self, daemon: usize, attempt: &'static str) -> JoinHandle<u16> {
        self.begin_within(daemon, attempt, BUDGET).await
    }

    /// Begins a request with a time budget.
    async fn begin_within(
        &self,
        daemon: usize,
        attempt: &'static str,
        budget: Duration,
    ) -> JoinHandle<u16> {
        let entry = self.address(daemon, "proxy");
        let request = tokio::spawn(async move {
            request(entry, "/board/pay", attempt, budget).await.unwrap_or_default()
        });
        let begin = Instant::now();
        while self.servers[0].run_count(attempt) == 0 {
            assert!(begin.elapsed() < WAIT_BOUND, "the request does not begin");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        request
    }

    /// Makes a call through the daemon beside the server, with further headers, and returns the
    /// status of the answer.
    fn call_with(&self, attempt: &str, headers: &str) -> u16 {
        self.answer_with(attempt, headers).0
    }

    /// Makes a call with further headers, and returns the status and the daemon's reason.
    fn answer_with(&self, attempt: &str, headers: &str) -> (u16, String) {
        let entry = self.address(0, "proxy").to_string();
        let path = format!("http://{HOST}/docs/1");
        let headers = format!("X-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 2000\r\n{headers}");
        let call = || common::call(&entry, "GET", &path, &headers);
        let answer = tokio::task::block_in_place(call).expect("an answer");
        (answer.status, answer.headers.get("x-sapphirekeel-reason").cloned().unwrap_or_default())
    }

    /// Makes a call like a server, which has no key.
    fn call(&self, attempt: &str) -> u16 {
        self.call_with(attempt, "")
    }

    /// Makes a call of which the daemon, which has just started, cannot know whether it is one: it is
    /// refused at once as not run, and for good when no parent can run any more.
    async fn expect_unconfirmed(&self, attempt: &str) {
        let (arrivals, begin) = (self.servers[1].arrivals(), Instant::now());
        assert_eq!(self.call(attempt), 503);
        assert!(begin.elapsed() < Duration::from_secs(1), "{:?}", begin.elapsed());
        tokio::time::sleep(LONGEST_PARENT + Duration::from_millis(300)).await;
        assert_eq!(self.call(attempt), 401);
        assert_eq!(self.servers[1].arrivals(), arrivals, "a server got it");
    }

    /// Makes a call until the daemon, which has just started, has a configuration and servers.
    async fn call_at_start(&self, attempt: &str) -> u16 {
        let begin = Instant::now();
        loop {
            let status = self.call(attempt);
            if status != 503 || begin.elapsed() > Duration::from_secs(4) {
                return status;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Sends a request with the key of the workspace and returns the status of the answer.
async fn request(
    entry: SocketAddr,
    path: &str,
    attempt: &str,
    deadline: Duration,
) -> anyhow::Result<u16> {
    let method = if path.starts_with("/board/") { Method::POST } else { Method::GET };
    let authorization = Some(KEY);
    let call = CallerRequest { method, host: HOST, path, attempt, deadline, authorization };
    Ok(send_request(entry, &call).await?.status)
}

/// Guards against calls that are refused once the requester of their parent has left.
#[tokio::test(flavor = "multi_thread")]
async fn requester_left() {
    let fleet = CallFleet::start("requester_left").await;
    for (daemon, attempt) in [(2, "a1"), (0, "a2")] {
        fleet.begin(daemon, attempt).await.abort();
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert_eq!(fleet.call(&format!("{attempt}.c1")), 200);
    }
}

/// Guards against calls that are refused once the guard has given up their parent, since the daemon at
/// which that entered is gone.
#[tokio::test(flavor = "multi_thread")]
async fn entry_gone() {
    let mut fleet = CallFleet::start("entry_gone").await;
    let parent = fleet.begin(2, "a1").await;
    fleet.daemons[2] = None;
    assert_ne!(parent.await.expect("it ends"), 200);
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(fleet.call("a1.c1"), 200);
    assert_eq!(fleet.call("b7.c1"), 401);
}

/// Guards against calls that are refused once the head of their parent's answer has been sent.
#[tokio::test(flavor = "multi_thread")]
async fn answer_streams() {
    let fleet = CallFleet::start_in("answer_streams", AnswerMode::Halves).await;
    fleet.servers[0].set_work_time(Duration::from_secs(1));
    let entry = fleet.address(2, "proxy");
    let parent = tokio::spawn(async move { request(entry, "/board/pay", "a1", BUDGET).await });
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert_eq!(fleet.call("a1.c1"), 200);
    assert_eq!(parent.await.expect("it ends").expect("an answer"), 200);
    assert_eq!(fleet.call("a1.c2"), 401);
}

/// Guards against calls that are refused once the daemon beside their server has been killed.
#[tokio::test(flavor = "multi_thread")]
async fn daemon_killed() {
    let mut fleet = CallFleet::start("daemon_killed").await;
    let parent = fleet.begin(2, "a1").await;
    fleet.kill();
    assert_eq!(fleet.call_at_start("a1.c1").await, 200);
    fleet.expect_unconfirmed("b7.c1").await;
    parent.abort();
}

/// Guards against calls that are refused for good once all daemons have been killed, so that none
/// knows their parents.
#[tokio::test(flavor = "multi_thread")]
async fn all_killed() {
    let mut fleet = CallFleet::start("all_killed").await;
    let parents = [fleet.begin(2, "a1").await, fleet.begin(0, "a2").await];
    fleet.daemons.iter_mut().for_each(|daemon| *daemon = None);
    (0..3).for_each(|daemon| fleet.start_daemon(daemon, false));
    fleet.wait_served(0, "/docs/up").await;
    for attempt in ["a1.c1", "a2.c1"] {
        assert_eq!(fleet.answer_with(attempt, ""), (503, "call-unconfirmed".to_owned()));
    }
    assert_eq!(fleet.call_with("b7", ""), 401, "not an id of a call");
    // Whether a key was added lately is known once the store has confirmed the configuration.
    let (begin, wrong_key) = (Instant::now(), "Authorization: Bearer key-9\r\n");
    let mut answer = fleet.answer_with("a1.c1", wrong_key);
    while answer == (503, "key-unconfirmed".to_owned()) {
        assert!(begin.elapsed() < LONGEST_PARENT / 2, "the configuration is not confirmed");
        tokio::time::sleep(Duration::from_millis(20)).await;
        answer = fleet.answer_with("a1.c1", wrong_key);
    }
    assert_eq!(answer, (401, "unauthenticated".to_owned()), "a wrong key");
    fleet.expect_unconfirmed("a1.c2").await;
    parents.iter().for_each(JoinHandle::abort);
}

/// The same for a request that entered at the daemon that was killed, which no other one has sent.
#[tokio::test(flavor = "multi_thread")]
async fn entry_killed() {
    let mut fleet = CallFleet::start("entry_killed").await;
    let first = fleet.begin(0, "a1").await;
    assert_eq!(fleet.call("a1.c1"), 200);
    let second = fleet.begin(0, "a2").await;
    tokio::time::sleep(Duration::from_millis(600)).await;
    fleet.kill();
    assert_eq!(fleet.call_at_start("a2.c1").await, 200);
    assert_eq!(fleet.call("a1.c2"), 200);
    first.abort();
    second.abort();
}

/// Guards against calls that are refused once the daemon beside their server has stopped and started.
#[tokio::test(flavor = "multi_thread")]
async fn daemon_stopped() {
    let mut fleet = CallFleet::start("daemon_stopped").await;
    let parents = [fleet.begin(2, "a1").await, fleet.begin(0, "a2").await];
    assert_eq!(fleet.call("a1.c1"), 200);
    let daemon = fleet.daemons[0].take().expect("the daemon runs");
    tokio::task::block_in_place(|| daemon.terminate());
    fleet.start_daemon(0, false);
    assert_eq!(fleet.call_at_start("a1.c2").await, 200);
    assert_eq!(fleet.call("a2.c1"), 200);
    parents.iter().for_each(JoinHandle::abort);
}

/// Guards against calls that are refused in the last part of a stop, in which new requests are.
#[tokio::test(flavor = "multi_thread")]
async fn within_stop() {
    let fleet = CallFleet::start("within_stop").await;
    let parent = fleet.begin(2, "a1").await;
    fleet.daemons[0].as_ref().expect("the daemon runs").signal("-TERM");
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert_eq!(fleet.call("a1.c1"), 200);
    assert_eq!(fleet.call("b7.c1"), 503, "a new request");
    parent.abort();
}

/// Guards against calls that are refused because the id of their parent has a dot itself: the parent
/// is a call, or its requester chose such an id.
#[tokio::test(flavor = "multi_thread")]
async fn dotted_parent() {
    let fleet = CallFleet::start("dotted_parent").await;
    let parent = fleet.begin(2, "a1.x").await;
    assert_eq!(fleet.call("a1.x.c1"), 200);
    assert_eq!(fleet.call("a1.c1"), 401, "a1 does not run");
    parent.abort();
}

/// Guards against calls that are refused once their server has said that it leaves.
#[tokio::test(flavor = "multi_thread")]
async fn server_left() {
    let fleet = CallFleet::start("server_left").await;
    let parent = fleet.begin(2, "a1").await;
    let left = send_leave(fleet.address(0, "ops"), "i-1").await;
    assert_eq!(left.expect("an answer"), 200);
    assert_eq!(fleet.call("a1.c1"), 200);
    parent.abort();
}

/// Guards against callers that pass for a server by a header, or by an id of their choice, and are
/// served without a key.
#[tokio::test(flavor = "multi_thread")]
async fn callers_refused() {
    let fleet = CallFleet::start("callers_refused").await;
    let arrivals = fleet.servers[1].arrivals();
    let wrong_key = "Authorization: Bearer key-9\r\n";
    for headers in ["", "X-Sapphirekeel-Hops: 1\r\n", "X-Sapphirekeel-Parent: 9999999999999.00\r\n"]
    {
        for attempt in ["b7", "b7.c1"] {
            assert_eq!(fleet.call_with(attempt, headers), 401, "{attempt} with {headers}");
            let with_key = format!("{headers}{wrong_key}");
            assert_eq!(fleet.call_with(attempt, &with_key), 401, "{attempt} with {with_key}");
        }
    }
    let parent = fleet.begin(2, "a1").await;
    assert_eq!(fleet.call_with("a1.c1", wrong_key), 401, "servers have no key");
    parent.abort();
    fleet.begin_within(2, "a2", Duration::from_millis(800)).await.abort();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(fleet.call("a2.c1"), 401, "after the time budget");
    fleet.servers[0].set_work_time(Duration::ZERO);
    let ended = request(fleet.address(2, "proxy"), "/board/pay", "a3", BUDGET).await;
    assert_eq!(ended.expect("an answer"), 200);
    assert_eq!(fleet.call("a3.c1"), 401, "after the answer");
    assert_eq!(fleet.servers[1].arrivals(), arrivals, "a server got one of them");
}
