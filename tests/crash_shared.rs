//! A request that crashes every server that runs it, sent again and again.

mod common;

use common::{
    DaemonPlan, MANAGER_TOKEN, TEAM_TOKEN, TestDirectory, TestProcess, call, in_force, operate,
    platform_address, render, start_backend, start_daemon, start_platform, wait_for,
};

const DECLARATIONS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/declarations/first");
const SERVICE: &str = "/ledvica/treatment-records";
const DAEMONS: usize = 4;

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
    let directory = TestDirectory::new("crash_shared");
    let platform = start_platform();
    let address = platform_address(&platform);
    let (mut daemons, mut backends): (Vec<TestProcess>, Vec<TestProcess>) = Default::default();
    for index in 0..DAEMONS {
        let seeds: Vec<String> = daemons.iter().map(|daemon| daemon.address("control")).collect();
        let (name, platform) = (format!("daemon{index}"), address.as_str());
        let data_centre = "lj1";
        let plan = DaemonPlan { name: &name, data_centre, platform, seeds: &seeds, extra: "" };
        let daemon = start_daemon(&directory.0, &plan);
        backends.push(start_backend(&daemon.address("ops"), SERVICE, &format!("server{index}")));
        daemons.push(daemon);
    }
    let ops = daemons[0].address("ops");
    wait_for("the daemons to meet", || in_force(&ops).1 == DAEMONS);
    let hash = sk_ops::hash_token(TEAM_TOKEN);
    operate(&ops, MANAGER_TOKEN, &["team", "ledvica", "--token-sha256", &hash]);
    let args = ["apply", DECLARATIONS, "--revision", "r1", "--author", "ana"];
    let output = operate(&ops, TEAM_TOKEN, &args);
    assert!(output.status.success(), "{}", render(&output));
    wait_for("the change", || in_force(&ops) == (DAEMONS, DAEMONS));

    let mut statuses = Vec::new();
    for round in 0..8_u64 {
        let proxy = daemons[round as usize % DAEMONS].address("proxy");
        let answer = call(&proxy, "POST", "/treatments/1?fault=crash", "");
        statuses.push(answer.map(|answer| answer.status).unwrap_or(0));
        // A resend that is quicker than the news may cost one more server.
        let expected = (1, round.min(1));
        wait_for("the news", || daemons.iter().all(|daemon| suspects(daemon) == expected));
    }
    let dead = backends.iter_mut().filter_map(TestProcess::ended).count();
    assert_eq!(dead, 2, "{statuses:?}");
    // Others' requests of the same service go on.
    for daemon in &daemons {
        let answer = call(&daemon.address("proxy"), "POST", "/treatments/2", "");
        assert_eq!(answer.expect("an answer").status, 200);
    }
}
