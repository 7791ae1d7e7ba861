//! Which announcements of servers a running daemon accepts.

mod common;

use common::{
    DaemonPlan, TestDirectory, call, call_with_body, platform_address, start_daemon, start_platform,
};

/// Most services beside one daemon, as documented by the interface.
const MAX_SERVICES: usize = 16;

/// Announces a server and returns the status and body of the answer.
fn announce(ops: &str, service: &str, address: &str) -> (u16, String) {
    let body = format!(
        "{{\"service\":\"{service}\",\"server\":\"s1\",\"address\":\"{address}\",\"slots\":4}}"
    );
    let answer = call_with_body(ops, "PUT", "/v1/server", &body).expect("an answer");
    (answer.status, answer.body)
}

/// Counts the services that a daemon knows a local server of.
fn count_services(ops: &str) -> usize {
    let answer = call(ops, "GET", "/v1/state", "").expect("an answer");
    let state: serde_json::Value = serde_json::from_str(&answer.body).expect("JSON");
    state["servers"].as_object().expect("servers").len()
}

#[test]
fn announcement_limits() {
    // A local process announces addresses of other machines, and then many services. If accepted,
    // callers would be answered by unrelated processes, and all daemons' tables would grow.
    let directory = TestDirectory::new("border_announce");
    let platform = start_platform();
    let address = platform_address(&platform);
    let plan =
        DaemonPlan { name: "d1", data_centre: "lj1", platform: &address, seeds: &[], extra: "" };
    let daemon = start_daemon(&directory.0, &plan);
    let ops = daemon.address("ops");
    for foreign in ["192.0.2.1:80", "0.0.0.0:80"] {
        let (status, body) = announce(&ops, "/t/s", foreign);
        assert_eq!(status, 403, "{body}");
    }
    assert_eq!(count_services(&ops), 0);
    for index in 0..MAX_SERVICES {
        let (status, body) = announce(&ops, &format!("/t/s{index}"), "127.0.0.1:9");
        assert_eq!(status, 204, "{body}");
    }
    let (status, body) = announce(&ops, "/t/one-more", "127.0.0.1:9");
    assert_eq!((status, body.contains("allowed: 16")), (400, true), "{body}");
    // A known service may still be announced.
    assert_eq!(announce(&ops, "/t/s0", "127.0.0.1:9").0, 204);
    assert_eq!(count_services(&ops), MAX_SERVICES);
    assert!(daemon.terminate().0.success());
}
