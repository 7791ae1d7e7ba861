//! Log lines and metrics about failed requests, at the daemon that the caller used.

mod common;

use std::{
    io::Write,
    net::{Ipv4Addr, SocketAddr},
    sync::atomic::{AtomicU8, Ordering},
    time::{Duration, Instant},
};

use common::{
    DaemonPlan, MANAGER_TOKEN, TEAM_TOKEN, TestDirectory, TestProcess, call, platform_address,
    run_cli, start_backend, start_daemon, start_platform, wait_for,
};
use serde_json::Value;

/// Below the ephemeral ports of the system.
const METRICS_PORT: u16 = 9_464;
const DECLARATIONS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/declarations/first");

/// Waits for the line about the answer to a request, by its path.
fn line_of(daemon: &TestProcess, path: &str) -> Value {
    line_where(daemon, |line| line["msg"] == "proxy: answered." && line["path"] == path)
}

/// Waits for a log line that meets a condition, and returns the last one.
fn line_where(daemon: &TestProcess, is_match: impl Fn(&Value) -> bool) -> Value {
    let mut found = None;
    wait_for("a line", || {
        let printed = daemon.printed();
        let mut lines = printed.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        found = lines.rfind(|line| is_match(line));
        found.is_some()
    });
    found.expect("a line")
}

fn text<'a>(line: &'a Value, field: &str) -> &'a str {
    line[field].as_str().unwrap_or_default()
}

/// Reads the value of a metric with its labels.
fn read_metric(daemon: &TestProcess, address: &str, name: &str) -> f64 {
    let answer = call(address, "GET", "/metrics", "").expect("metrics");
    assert_eq!(answer.status, 200, "{}", daemon.ready_line);
    let line = answer.body.lines().find(|line| line.starts_with(name));
    let value = line.and_then(|line| line.rsplit_once(' ')).map(|(_, value)| value);
    value.and_then(|value| value.parse().ok()).unwrap_or_default()
}

/// Returns a loopback address that only one test uses, so that no process that listens at a port of
/// 127.0.0.1 can take the port before the daemon.
fn unique_metrics_address() -> String {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let host = Ipv4Addr::new(127, NEXT.fetch_add(1, Ordering::Relaxed), high, low);
    SocketAddr::from((host, METRICS_PORT)).to_string()
}

/// A platform and one daemon, with the first declarations in force.
struct LoggedFleet {
    _directory: TestDirectory,
    platform: TestProcess,
    address: String,
    metrics: String,
    first: TestProcess,
}

impl LoggedFleet {
    fn start(name: &str) -> Self {
        let directory = TestDirectory::new(name);
        let platform = start_platform();
        let address = platform_address(&platform);
        let metrics = unique_metrics_address();
        let extra = format!("[metrics]\nlisten = \"{metrics}\"\n");
        let plan = DaemonPlan {
            name: "d1",
            data_centre: "lj1",
            platform: &address,
            seeds: &[],
            extra: &extra,
        };
        let first = start_daemon(&directory.0, &plan);
        let ops = first.address("ops");
        let hash = sk_ops::hash_token(TEAM_TOKEN);
        let team = ["team", "ledvica", "--token-sha256", &hash];
        assert!(run_cli(&ops, MANAGER_TOKEN, &team).status.success());
        let apply = ["apply", DECLARATIONS, "--revision", "r1", "--author", "ana", "--wait"];
        assert!(run_cli(&ops, TEAM_TOKEN, &apply).status.success());
        Self { _directory: directory, platform, address, metrics, first }
    }

    /// Starts a second daemon that joins the first.
    fn start_second(&self) -> TestProcess {
        let seeds = [self.first.address("control")];
        let plan = DaemonPlan {
            name: "d2",
            data_centre: "lj1",
            platform: &self.address,
            seeds: &seeds,
            extra: "",
        };
        start_daemon(&self._directory.0, &plan)
    }

    /// Starts a server of the queue board beside a daemon and waits until the first daemon uses it.
    fn start_board(&self, daemon: &TestProcess, server: &str, slots: &str) -> TestProcess {
        let ops = daemon.address("ops");
        let service = ["--daemon", &ops, "--service", "/ledvica/queue-board"];
        let own = ["--server", server, "--slots", slots];
        let args: Vec<&str> = service.into_iter().chain(own).collect();
        let backend = TestProcess::start(env!("CARGO_BIN_EXE_sk-backend"), &args);
        wait_for("the server to be used", || {
            call(&self.proxy(), "GET", "/board/up", "").is_ok_and(|answer| answer.status == 200)
        });
        backend
    }

    fn proxy(&self) -> String {
        self.first.address("proxy")
    }
}

/// An engineer who looks into a caller's complaint has only the daemon's output and metrics. For
/// each request they must show the reason of its end, the version in force and the attempts.
#[test]
fn refusals_logged() {
    let fleet = LoggedFleet::start("told_by_path");
    let (daemon, proxy, metrics) = (&fleet.first, fleet.proxy(), &fleet.metrics);

    assert_eq!(call(&proxy, "GET", "/nowhere", "").expect("an answer").status, 404);
    let line = line_of(daemon, "/nowhere");
    assert_eq!((&line["reason"], &line["level"]), (&"no-route".into(), &"WARN".into()));
    assert_eq!(line["version"], 1);

    assert_eq!(call(&proxy, "GET", "/board/none", "").expect("an answer").status, 503);
    let line = line_of(daemon, "/board/none");
    assert_eq!((&line["reason"], &line["outcome"]), (&"no-endpoint".into(), &"not-run".into()));
    assert_eq!(line["service"], "/ledvica/queue-board");

    let backend = start_backend(&daemon.address("ops"), "/ledvica/queue-board", "one");
    wait_for("the server to be used", || {
        call(&proxy, "GET", "/board/one", "").is_ok_and(|answer| answer.status == 200)
    });
    // Lines are written some time after their answers, and attempts before the server was known
    // have lines as well.
    let line = line_where(daemon, |line| line["path"] == "/board/one" && line["status"] == 200);
    assert!(line["tries"].as_str().is_some_and(|tries| tries.starts_with("d1/one ")), "{line}");
    for message in
        ["added server one of /ledvica/queue-board", "spread: version 1 from", "daemon: d1 runs"]
    {
        assert!(daemon.printed().contains(message), "{message}");
    }

    for _ in 0..20 {
        assert_eq!(call(&proxy, "GET", "/board/many", "").expect("an answer").status, 200);
    }
    let ran = read_metric(daemon, metrics, "sapphirekeel_requests_total{outcome=\"ran\"}");
    assert!(ran >= 21.0, "{ran}");
    let count = "sapphirekeel_request_seconds_count{outcome=\"ran\",service=\"/ledvica/queue-board\",stage=\"whole\"}";
    assert_eq!(read_metric(daemon, metrics, count), ran);
    let refused = "sapphirekeel_refusals_total{reason=\"no-route\"}";
    assert_eq!(read_metric(daemon, metrics, refused), 1.0);
    assert_eq!(read_metric(daemon, metrics, "sapphirekeel_config_version"), 1.0);
    drop(backend);
    assert!(fleet.first.terminate().0.success());
}

/// Requests fail after they were sent: the server drops the connection or cuts off the answer, the
/// caller disconnects, the daemon beside the server is paused. Each line must name the daemon and
/// server that had the request, and why it was not retried.
#[test]
fn failures_logged() {
    let fleet = LoggedFleet::start("told_by_end");
    let (daemon, proxy) = (&fleet.first, fleet.proxy());
    let second = fleet.start_second();
    let _backend = fleet.start_board(&second, "two", "12");

    let lost = call(&proxy, "POST", "/board/lost?fault=drop", "").expect("an answer");
    assert_eq!(lost.status, 502);
    let line = line_of(daemon, "/board/lost");
    assert!(text(&line, "tries").starts_with("d2/two 502 answer-lost"), "{line}");
    assert!(text(&line, "gave_up").contains("not repeatable"), "{line}");

    // The answer is cut off within its body, so the call may succeed or fail.
    let _ = call(&proxy, "GET", "/board/cut?fault=cut&size=200000", "");
    line_where(daemon, |line| text(line, "msg").contains("an answer was cut after its head"));

    let mut caller = std::net::TcpStream::connect(&proxy).expect("a connection");
    let head = "GET /board/left?work_ms=20000 HTTP/1.1\r\nHost: test\r\n\r\n";
    caller.write_all(head.as_bytes()).expect("the head is sent");
    // Long enough for the request to reach the server.
    std::thread::sleep(Duration::from_millis(300));
    drop(caller);
    let is_left =
        |line: &Value| line["msg"] == "proxy: caller left." && line["path"] == "/board/left";
    let line = line_where(daemon, is_left);
    assert!(text(&line, "tries").starts_with("d2/two no answer"), "{line}");

    second.pause();
    let bound = "x-sapphirekeel-deadline-ms: 300\r\n";
    let late = call(&proxy, "POST", "/board/late", bound).expect("an answer");
    assert_eq!(late.status, 504);
    let line = line_of(daemon, "/board/late");
    assert_eq!(line["reason"], "deadline-passed");
    assert!(text(&line, "tries").starts_with("d2/two no answer"), "{line}");
    second.signal("-CONT");
    drop(fleet.platform);
}

/// A server is overloaded, and some callers are refused. The line of each must show the figures
/// that led to the refusal: the usual work, the wait, and the caller's time left.
#[test]
fn overload_logged() {
    let fleet = LoggedFleet::start("told_by_figures");
    let proxy = fleet.proxy();
    let _backend = fleet.start_board(&fleet.first, "one", "1");
    // The guard learns the usual duration of such requests.
    for _ in 0..4 {
        call(&proxy, "GET", "/board/learn?work_ms=300", "").expect("an answer");
    }
    let callers: Vec<_> = (0..12)
        .map(|_| {
            let proxy = proxy.clone();
            let bound = "x-sapphirekeel-deadline-ms: 700\r\n";
            std::thread::spawn(move || call(&proxy, "GET", "/board/full?work_ms=300", bound))
        })
        .collect();
    let answers = callers.into_iter().map(|caller| caller.join().expect("no caller panics"));
    let refused = answers.filter(|answer| matches!(answer, Ok(answer) if answer.status == 503));
    assert!(refused.count() > 0, "one slot cannot run 12 requests of 300 ms within 700 ms");
    let is_refused =
        |line: &Value| line["path"] == "/board/full" && line["reason"] == "deadline-too-near";
    let line = line_where(&fleet.first, is_refused);
    for figure in ["work ", "wait ", "left ", "running 1/1"] {
        assert!(text(&line, "tries").contains(figure), "{figure}: {line}");
    }
}

/// Alerts depend on the histograms of the metrics. Under a load of known durations, no request may
/// be counted as faster than its work, and the sum may not exceed the time that the caller
/// measured.
#[test]
fn times_measured() {
    const REQUESTS: f64 = 20.0;
    let fleet = LoggedFleet::start("times_measured");
    let (daemon, proxy, metrics) = (&fleet.first, fleet.proxy(), &fleet.metrics);
    let _backend = fleet.start_board(daemon, "one", "12");
    let labels = "outcome=\"ran\",service=\"/ledvica/queue-board\",stage=\"whole\"";
    let value = |name: &str, bound: &str| {
        read_metric(
            daemon,
            metrics,
            &format!("sapphirekeel_request_seconds_{name}{{{labels}{bound}}}"),
        )
    };
    let at_most = |bound: &str| value("bucket", &format!(",le=\"{bound}\""));
    let figures = || [at_most("0.05"), at_most("+Inf"), value("sum", ""), value("count", "")];
    let before = figures();
    let begin = Instant::now();
    for _ in 0..REQUESTS as usize {
        let answer = call(&proxy, "GET", "/board/timed?work_ms=60", "").expect("an answer");
        assert_eq!(answer.status, 200);
    }
    let took = begin.elapsed().as_secs_f64();
    let after = figures();
    let gained: Vec<f64> =
        after.iter().zip(&before).map(|(after, before)| after - before).collect();
    assert_eq!(gained[0], 0.0, "60 ms of work cannot end within 50 ms");
    assert_eq!((gained[1], gained[3]), (REQUESTS, REQUESTS));
    assert!(gained[2] >= 0.06 * REQUESTS && gained[2] <= took, "{} of {took}", gained[2]);
}
