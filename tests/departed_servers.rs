//! Daemons that start again after a backend server has stated that it leaves.

mod common;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use common::{
    PlatformDaemon, TestDirectory, TestProcess, WAIT_BOUND, call, own_address,
    start_platform_daemon, wait_for,
};
use hyper::Method;
use sk_adapter_standin::{
    AnswerMode, BackendServer, CallerRequest, HOST, StoreMode, StoreServer, make_config,
    make_heartbeat, make_route, send_heartbeat, send_leave, send_leave_of, send_request,
};

/// Start of the server's process.
const BORN: u64 = 1_000;
/// Number of the heartbeat that arrives late.
const LATE_SEQUENCE: u64 = 5;
/// Time for which requests are sent after a late message, longer than a daemon takes to route by a
/// change at another one.
const PROBE_TIME: Duration = Duration::from_millis(700);

/// Daemon `d0` beside a server, and daemon `d1` with callers only.
struct LeaveFleet {
    directory: TestDirectory,
    store: StoreServer,
    server: BackendServer,
    controls: [SocketAddr; 2],
    daemons: [Option<TestProcess>; 2],
    attempts: u32,
}

impl LeaveFleet {
    /// Starts a fleet that serves requests.
    async fn start(name: &str) -> Self {
        let mut fleet = Self {
            directory: TestDirectory::new(name),
            store: StoreServer::start().await.expect("a store"),
            server: BackendServer::start("i-1").await.expect("a server"),
            controls: [own_address(), own_address()],
            daemons: [None, None],
            attempts: 0,
        };
        let route = make_route("r", "/board/", "safe", "board");
        fleet.store.put("config", "main", make_config(3, &[route]));
        fleet.start_daemon(0);
        fleet.start_daemon(1);
        assert_eq!(fleet.report("ready", BORN, 9).await, 200);
        fleet.wait_served(1).await;
        fleet
    }

    fn start_daemon(&mut self, daemon: usize) {
        let plan = PlatformDaemon {
            name: &format!("d{daemon}"),
            service: ["board", "docs"][daemon],
            server: (daemon == 0).then(|| self.server.address()),
            control: self.controls[daemon],
            store: self.store.address(),
            guard: "leave_ms = 50\ndrain_ms = 500\nretry_least_ms = 10\nretry_spread_ms = 10",
            first_start: false,
        };
        let process = start_platform_daemon(&self.directory, &plan);
        self.daemons[daemon] = Some(process);
    }

    /// Kills a daemon and starts it again.
    fn kill_daemon(&mut self, daemon: usize) {
        self.daemons[daemon] = None;
        self.start_daemon(daemon);
    }

    fn address(&self, daemon: usize, listener: &str) -> SocketAddr {
        let process = self.daemons[daemon].as_ref().expect("the daemon runs");
        process.address(listener).parse().expect("an address")
    }

    /// Sends a status report of the server and returns the status of the answer.
    async fn report(&self, state: &str, born: u64, sequence: u64) -> u16 {
        let heartbeat = make_heartbeat("board", self.server.address(), born, sequence, state);
        send_heartbeat(self.address(0, "ops"), "i-1", &heartbeat).await.expect("an answer")
    }

    async fn leave(&self) -> u16 {
        send_leave(self.address(0, "ops"), "i-1").await.expect("an answer")
    }

    /// Sends the leave of the process that started at `born`.
    async fn leave_of(&self, born: u64) -> u16 {
        send_leave_of(self.address(0, "ops"), "i-1", born).await.expect("an answer")
    }

    /// Sends one request through a daemon and returns the status of the answer.
    async fn call(&mut self, daemon: usize) -> u16 {
        self.attempts += 1;
        let attempt = format!("attempt-{}", self.attempts);
        let call = CallerRequest {
            method: Method::GET,
            host: HOST,
            path: "/board/1",
            attempt: &attempt,
            deadline: Duration::from_secs(2),
            authorization: None,
        };
        send_request(self.address(daemon, "proxy"), &call).await.expect("an answer").status
    }

    /// Waits until a daemon serves requests.
    async fn wait_served(&mut self, daemon: usize) {
        let begin = Instant::now();
        while self.call(daemon).await != 200 {
            assert!(begin.elapsed() < WAIT_BOUND, "daemon {daemon} serves no request");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Sends requests through both daemons for a while, none of which may reach the server.
    async fn assert_unreached(&mut self) {
        let before = self.server.arrivals();
        let begin = Instant::now();
        while begin.elapsed() < PROBE_TIME {
            for daemon in [0, 1] {
                assert_eq!(self.call(daemon).await, 503);
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(self.server.arrivals(), before);
    }

    /// Waits until both daemons have a configuration, without which they refuse every request.
    async fn wait_ready(&self) {
        for daemon in [0, 1] {
            let address = self.address(daemon, "ops").to_string();
            tokio::task::block_in_place(|| {
                wait_for("a configuration", || {
                    call(&address, "GET", "/v1/ready", "").is_ok_and(|answer| answer.status == 200)
                });
            });
        }
    }

    /// Delivers a status report that the server sent before it left.
    async fn deliver_late_report(&mut self) {
        self.wait_ready().await;
        assert_eq!(self.report("ready", BORN, LATE_SEQUENCE).await, 200);
        self.assert_unreached().await;
    }
}

/// A daemon that starts again must not take a late report for that of a running server.
#[tokio::test(flavor = "multi_thread")]
async fn killed_after_leave() {
    let mut fleet = LeaveFleet::start("killed_after_leave").await;
    assert_eq!(fleet.leave().await, 200);
    fleet.kill_daemon(0);
    fleet.deliver_late_report().await;
}

/// The same where the server reports that it drains.
#[tokio::test(flavor = "multi_thread")]
async fn killed_after_drain() {
    let mut fleet = LeaveFleet::start("killed_after_drain").await;
    assert_eq!(fleet.report("draining", BORN, 10).await, 200);
    fleet.kill_daemon(0);
    fleet.deliver_late_report().await;
}

/// The same at a planned stop of the daemon.
#[tokio::test(flavor = "multi_thread")]
async fn stopped_after_leave() {
    let mut fleet = LeaveFleet::start("stopped_after_leave").await;
    assert_eq!(fleet.leave().await, 200);
    let daemon = fleet.daemons[0].take().expect("the daemon runs");
    tokio::task::block_in_place(|| daemon.terminate());
    fleet.start_daemon(0);
    fleet.deliver_late_report().await;
}

/// A second kill must not lose what the first process of the daemon has acknowledged.
#[tokio::test(flavor = "multi_thread")]
async fn killed_twice() {
    let mut fleet = LeaveFleet::start("killed_twice").await;
    assert_eq!(fleet.leave().await, 200);
    fleet.kill_daemon(0);
    fleet.kill_daemon(0);
    fleet.deliver_late_report().await;
}

/// No running daemon remembers the departure.
#[tokio::test(flavor = "multi_thread")]
async fn all_killed() {
    let mut fleet = LeaveFleet::start("all_killed").await;
    assert_eq!(fleet.leave().await, 200);
    fleet.daemons = [None, None];
    fleet.start_daemon(0);
    fleet.start_daemon(1);
    fleet.deliver_late_report().await;
}

/// A daemon that has started again acknowledges the leave of a server that it has not heard of, and
/// is killed once more.
#[tokio::test(flavor = "multi_thread")]
async fn leave_after_restart() {
    let mut fleet = LeaveFleet::start("leave_after_restart").await;
    fleet.kill_daemon(0);
    assert_eq!(fleet.leave().await, 200);
    fleet.deliver_late_report().await;
    fleet.kill_daemon(0);
    fleet.deliver_late_report().await;
}

/// A daemon that starts while the store is away cannot know who has left, and asks the server.
#[tokio::test(flavor = "multi_thread")]
async fn started_without_store() {
    let mut fleet = LeaveFleet::start("started_without_store").await;
    assert_eq!(fleet.leave().await, 200);
    fleet.server.set_mode(AnswerMode::Rejects);
    fleet.store.set_mode(StoreMode::Unavailable);
    fleet.kill_daemon(0);
    assert_eq!(fleet.report("ready", BORN, LATE_SEQUENCE).await, 503);
    fleet.assert_unreached().await;
    // The server's health answer no longer tells that it leaves, but the store does.
    fleet.store.set_mode(StoreMode::Available);
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet.server.set_mode(AnswerMode::Valid);
    fleet.deliver_late_report().await;
}

/// A running server must not be out of service because its daemon starts while the store is away.
#[tokio::test(flavor = "multi_thread")]
async fn running_without_store() {
    let mut fleet = LeaveFleet::start("running_without_store").await;
    fleet.store.set_mode(StoreMode::Silent);
    fleet.kill_daemon(0);
    fleet.wait_served(1).await;
    assert_eq!(fleet.report("ready", BORN, 10).await, 200);
    fleet.wait_served(1).await;
}

/// A departure that is not stored would be forgotten, so it must not be acknowledged. It is in
/// effect all the same.
#[tokio::test(flavor = "multi_thread")]
async fn leave_without_store() {
    let mut fleet = LeaveFleet::start("leave_without_store").await;
    fleet.store.set_mode(StoreMode::Unavailable);
    assert_eq!(fleet.leave().await, 503);
    fleet.assert_unreached().await;
    fleet.store.set_mode(StoreMode::Available);
    assert_eq!(fleet.leave().await, 200);
    fleet.kill_daemon(0);
    fleet.deliver_late_report().await;
}

/// The store has written the departure and its answer is lost.
#[tokio::test(flavor = "multi_thread")]
async fn answer_lost() {
    let mut fleet = LeaveFleet::start("answer_lost").await;
    fleet.store.set_mode(StoreMode::LosesAnswers);
    assert_ne!(fleet.leave().await, 200);
    fleet.store.set_mode(StoreMode::Available);
    assert_eq!(fleet.leave().await, 200);
    fleet.kill_daemon(0);
    fleet.deliver_late_report().await;
}

/// A server that starts again under its id must get requests at once, and late messages of the
/// process before it must not remove it.
#[tokio::test(flavor = "multi_thread")]
async fn same_id_again() {
    let mut fleet = LeaveFleet::start("same_id_again").await;
    assert_eq!(fleet.leave().await, 200);
    fleet.kill_daemon(0);
    assert_eq!(fleet.report("ready", BORN + 500, 1).await, 200);
    for daemon in [0, 1] {
        fleet.wait_served(daemon).await;
    }
    assert_eq!(fleet.leave_of(BORN).await, 200);
    assert_eq!(fleet.report("draining", BORN, 11).await, 200);
    for daemon in [0, 1] {
        assert_eq!(fleet.call(daemon).await, 200);
    }
    // The successor is known after another restart, before its next report.
    tokio::time::sleep(Duration::from_millis(200)).await;
    fleet.kill_daemon(0);
    for daemon in [0, 1] {
        fleet.wait_served(daemon).await;
    }
    assert_eq!(fleet.report("ready", BORN, LATE_SEQUENCE).await, 200);
    assert_eq!(fleet.leave_of(BORN).await, 200);
    assert_eq!(fleet.call(0).await, 200);
    assert_eq!(fleet.leave_of(BORN + 500).await, 200);
    fleet.assert_unreached().await;
}

/// Departures must cost the platform few writes: one for each server that leaves, however often it
/// says so.
#[tokio::test(flavor = "multi_thread")]
async fn few_writes() {
    let mut fleet = LeaveFleet::start("few_writes").await;
    for sequence in 10..15 {
        assert_eq!(fleet.report("draining", BORN, sequence).await, 200);
    }
    assert_eq!(fleet.leave().await, 200);
    assert_eq!(fleet.store.names("sapphirekeel-departures"), ["d0"]);
    assert_eq!(fleet.store.write_count("sapphirekeel-departures"), 1);
    fleet.kill_daemon(0);
    fleet.deliver_late_report().await;
    assert_eq!(fleet.store.write_count("sapphirekeel-departures"), 1);
}
