//! What a failed request leaves in the logs and metrics of the daemon that its caller used.

mod common;

use common::{
    DaemonPlan, MANAGER_TOKEN, TEAM_TOKEN, TestDirectory, TestProcess, call, operate,
    platform_address, start_backend, start_daemon, start_platform, wait_for,
};
use serde_json::Value;

const DECLARATIONS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/declarations/first");

/// Finds the line about a request by its path.
fn line_of(daemon: &TestProcess, path: &str) -> Value {
    let mut found = None;
    wait_for("the request's line", || {
        let printed = daemon.printed();
        let mut lines = printed.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        found = lines.rfind(|line| line["msg"] == "proxy: answered." && line["path"] == path);
        found.is_some()
    });
    found.expect("a line")
}

/// Gives the value of a metric with some labels.
fn metric(daemon: &TestProcess, address: &str, name: &str) -> f64 {
    let answer = call(address, "GET", "/metrics", "").expect("metrics");
    assert_eq!(answer.status, 200, "{}", daemon.ready);
    let line = answer.body.lines().find(|line| line.starts_with(name));
    let value = line.and_then(|line| line.rsplit_once(' ')).map(|(_, value)| value);
    value.and_then(|value| value.parse().ok()).unwrap_or_default()
}

/// A caller complains, and the engineer on call has the daemon's output and its metrics alone. Each
/// end of a request must be told with the reason, the version in force and what was tried.
#[test]
fn told_by_path() {
    let directory = TestDirectory::new("told_by_path");
    let platform = start_platform();
    let address = platform_address(&platform);
    // A port that was free a moment ago; another test's bind in between would show as a failed start.
    let free = std::net::TcpListener::bind("127.0.0.1:0").expect("a port").local_addr();
    let metrics = free.expect("an address").to_string();
    let extra = format!("[metrics]\nlisten = \"{metrics}\"\n");
    let plan = DaemonPlan {
        name: "d1",
        data_centre: "lj1",
        platform: &address,
        seeds: &[],
        extra: &extra,
    };
    let daemon = start_daemon(&directory.0, &plan);
    let (ops, proxy) = (daemon.address("ops"), daemon.address("proxy"));
    let hash = sk_ops::hash_token(TEAM_TOKEN);
    let team = ["team", "ledvica", "--token-sha256", &hash];
    assert!(operate(&ops, MANAGER_TOKEN, &team).status.success());
    let apply = ["apply", DECLARATIONS, "--revision", "r1", "--author", "ana", "--wait"];
    assert!(operate(&ops, TEAM_TOKEN, &apply).status.success());

    assert_eq!(call(&proxy, "GET", "/nowhere", "").expect("an answer").status, 404);
    let line = line_of(&daemon, "/nowhere");
    assert_eq!((&line["reason"], &line["level"]), (&"no-route".into(), &"WARN".into()));
    assert_eq!(line["version"], 1);

    assert_eq!(call(&proxy, "GET", "/board/none", "").expect("an answer").status, 503);
    let line = line_of(&daemon, "/board/none");
    assert_eq!((&line["reason"], &line["outcome"]), (&"no-endpoint".into(), &"not-run".into()));
    assert_eq!(line["service"], "/ledvica/queue-board");

    let backend = start_backend(&ops, "/ledvica/queue-board", "one");
    wait_for("the server to be used", || {
        call(&proxy, "GET", "/board/one", "").is_ok_and(|answer| answer.status == 200)
    });
    let line = line_of(&daemon, "/board/one");
    assert!(line["tries"].as_str().is_some_and(|tries| tries.starts_with("d1/one ")), "{line}");
    for told in
        ["server one of /ledvica/queue-board is here", "spread: version 1 from", "daemon: d1 runs"]
    {
        assert!(daemon.printed().contains(told), "{told}");
    }

    for _ in 0..20 {
        assert_eq!(call(&proxy, "GET", "/board/many", "").expect("an answer").status, 200);
    }
    let ran = metric(&daemon, &metrics, "sapphirekeel_requests_total{outcome=\"ran\"}");
    assert!(ran >= 21.0, "{ran}");
    let count = "sapphirekeel_request_seconds_count{outcome=\"ran\",service=\"/ledvica/queue-board\",stage=\"whole\"}";
    assert_eq!(metric(&daemon, &metrics, count), ran);
    let refused = "sapphirekeel_refusals_total{reason=\"no-route\"}";
    assert_eq!(metric(&daemon, &metrics, refused), 1.0);
    assert_eq!(metric(&daemon, &metrics, "sapphirekeel_config_version"), 1.0);
    drop(backend);
    assert!(daemon.terminate().0.success());
}
