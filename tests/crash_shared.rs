//! A request that crashes every server that runs it, sent again and again.

mod common;

use common::{TestProcess, call, operate, requests::RequestFleet, wait_for};

/// Daemons with a server each; callers use all of them.
const SERVERS: usize = 4;

/// Gives how many requests a daemon suspects, and how many of them it refuses.
fn suspects(daemon: &TestProcess) -> (u64, u64) {
    let output = operate(&daemon.address("ops"), "", &["state"]);
    let state: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
    let count = |name: &str| state[name].as_u64().unwrap_or(0);
    (count("suspects"), count("quarantined"))
}

// A caller's request crashes the server that runs it. The caller knows nothing of that and sends
// it again, each time through another daemon. Without a memory that all daemons share, one caller
// would bring the whole service down; with it, two servers are lost and the rest go on.
#[test]
fn resent_crash() {
    let mut fleet = RequestFleet::start("crash_shared", SERVERS);
    let mut statuses = Vec::new();
    for round in 0..8_u64 {
        let entry = fleet.entry(1 + round as usize % SERVERS);
        let answer = call(&entry, "POST", "/confirm?fault=crash", "");
        statuses.push(answer.map(|answer| answer.status).unwrap_or(0));
        // A resend that is quicker than the news may cost one more server.
        let expected = (1, round.min(1));
        wait_for("the news", || {
            fleet.daemons.iter().flatten().all(|daemon| suspects(daemon) == expected)
        });
    }
    let backends = fleet.backends.iter_mut().flatten();
    let dead = backends.filter_map(TestProcess::ended).count();
    assert_eq!(dead, 2, "{statuses:?}");
    // Others' requests of the same service go on.
    for index in 0..=SERVERS {
        let answer = call(&fleet.entry(index), "POST", "/confirm", "");
        assert_eq!(answer.expect("an answer").status, 200);
    }
}
