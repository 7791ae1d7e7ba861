//! A request that crashes every server that runs it, resent through different daemons.

mod common;

use common::{TestProcess, call, requests::RequestFleet, run_cli, wait_for};

/// Number of daemons with a server; callers use all of them.
const SERVERS: usize = 4;

/// Returns how many requests a daemon suspects, and how many of them it refuses.
fn count_suspects(daemon: &TestProcess) -> (u64, u64) {
    let output = run_cli(&daemon.address("ops"), "", &["state"]);
    let state: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
    let count = |name: &str| state[name].as_u64().unwrap_or(0);
    (count("suspects"), count("quarantined"))
}

// A request crashes the server that runs it. Its caller does not know that and resends it, each
// time through another daemon. Without records of crashes that all daemons share, one caller could
// stop the whole service; with them, 2 servers are lost and the others keep running.
#[test]
fn resent_crash() {
    let mut fleet = RequestFleet::start("crash_shared", SERVERS);
    let mut statuses = Vec::new();
    for round in 0..8_u64 {
        let entry = fleet.entry(1 + round as usize % SERVERS);
        let answer = call(&entry, "POST", "/confirm?fault=crash", "");
        statuses.push(answer.map(|answer| answer.status).unwrap_or(0));
        // A resend faster than the spread of the record may crash one more server.
        let expected = (1, round.min(1));
        wait_for("the record of the crash", || {
            fleet.daemons.iter().flatten().all(|daemon| count_suspects(daemon) == expected)
        });
    }
    let backends = fleet.backends.iter_mut().flatten();
    let crashed = backends.filter_map(TestProcess::exit_status).count();
    assert_eq!(crashed, 2, "{statuses:?}");
    // Other requests to the same service are still answered.
    for index in 0..=SERVERS {
        let answer = call(&fleet.entry(index), "POST", "/confirm", "");
        assert_eq!(answer.expect("an answer").status, 200);
    }
}
