//! Spread of configuration while daemons and the platform fail, with separate processes.

mod common;

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use common::{
    DaemonPlan, MANAGER_TOKEN, POLL_INTERVAL, TEAM_TOKEN, TestDirectory, TestProcess, WAIT_BOUND,
    call, call_with_body, platform_address, render_output, run_cli, start_daemon, start_platform,
    wait_for,
};
use sk_model::content_hash;

/// Longest time until a change is in force on all daemons.
const MAX_IN_FORCE_TIME: Duration = Duration::from_secs(11);
/// Number of daemons.
const FLEET_SIZE: usize = 6;

struct TestFleet {
    platform: TestProcess,
    daemons: BTreeMap<String, TestProcess>,
    directory: TestDirectory,
    /// Greatest version seen in force, by daemon. No daemon may return to a lesser one.
    greatest_versions: BTreeMap<String, u64>,
    extra: String,
}

fn start_fleet(name: &str) -> TestFleet {
    let mut fleet = TestFleet {
        platform: start_platform(),
        daemons: BTreeMap::new(),
        directory: TestDirectory::new(name),
        greatest_versions: BTreeMap::new(),
        extra: String::new(),
    };
    for index in 0..FLEET_SIZE {
        fleet.start(&format!("lj1-{index}"), &fleet.seeds());
    }
    fleet.wait_joined(FLEET_SIZE);
    let hash = sk_ops::hash_token(TEAM_TOKEN);
    let team = ["team", "ledvica", "--token-sha256", &hash];
    let output = run_cli(&fleet.ops("lj1-0"), MANAGER_TOKEN, &team);
    assert!(output.status.success(), "{}", render_output(&output));
    fleet
}

impl TestFleet {
    fn start(&mut self, name: &str, seeds: &[String]) {
        let platform = platform_address(&self.platform);
        let plan =
            DaemonPlan { name, data_centre: "lj1", platform: &platform, seeds, extra: &self.extra };
        let daemon = start_daemon(&self.directory.0, &plan);
        self.daemons.insert(name.to_owned(), daemon);
    }

    fn ops(&self, name: &str) -> String {
        self.daemons[name].address("ops")
    }

    /// Returns the control addresses of 3 daemons, for others to join.
    fn seeds(&self) -> Vec<String> {
        self.daemons.values().take(3).map(|daemon| daemon.address("control")).collect()
    }

    fn state(&self, name: &str) -> serde_json::Value {
        let token = format!("Authorization: Bearer {MANAGER_TOKEN}\r\n");
        let answer = call(&self.ops(name), "GET", "/v1/state", &token).expect("a state");
        serde_json::from_str(&answer.body).expect("a state in JSON")
    }

    /// Waits until every daemon sees a number of members alive.
    fn wait_joined(&self, count: usize) {
        wait_for("the daemons to join", || {
            self.daemons.keys().all(|name| {
                let state = self.state(name);
                let members = state["members"].as_object().expect("members").values();
                members.filter(|member| member["status"] == "alive").count() == count
            })
        });
    }

    /// Applies a change through the named daemon, which makes one more version.
    fn apply_change(&self, through: &str, number: u64) {
        let text = format!("kind = \"value\"\ntext = \"{number}\"\n");
        self.directory.write("declared/ledvica/number.toml", &text);
        let folder = self.directory.0.join("declared");
        let folder = folder.to_str().expect("path is text");
        let args = ["apply", folder, "--revision", "r1", "--author", "ana"];
        let output = run_cli(&self.ops(through), TEAM_TOKEN, &args);
        assert!(output.status.success(), "{}", render_output(&output));
    }

    /// Reads the versions in force and fails if one moved back. A process that has just started and
    /// is not ready has version 0.
    fn read_versions(&mut self, names: &[String]) -> Vec<u64> {
        let mut versions = Vec::new();
        for name in names {
            let version = self.state(name)["version"].as_u64().expect("a version");
            let seen = self.greatest_versions.entry(name.clone()).or_default();
            assert!(version >= *seen || version == 0, "{name} went from {seen} to {version}");
            *seen = version.max(*seen);
            versions.push(version);
        }
        versions
    }

    /// Waits until a version is in force on all daemons and returns the time that it took.
    fn wait_version(&mut self, version: u64) -> Duration {
        let names: Vec<String> = self.daemons.keys().cloned().collect();
        self.wait_version_of(&names, version)
    }

    fn wait_version_of(&mut self, names: &[String], version: u64) -> Duration {
        let begin = Instant::now();
        while self.read_versions(names).iter().any(|found| *found != version) {
            assert!(begin.elapsed() < WAIT_BOUND, "timed out waiting for version {version}");
            std::thread::sleep(POLL_INTERVAL);
        }
        begin.elapsed()
    }

    fn set_faults(&self, faults: &str) {
        let platform = platform_address(&self.platform);
        let answer =
            call_with_body(&platform, "PUT", "/v1/faults", faults).expect("platform answers");
        assert_eq!(answer.status, 204, "{answer:?}");
    }

    /// Returns the names of the daemons in the order in which `sk-member` chooses relays.
    fn relay_order(&self) -> Vec<String> {
        let mut names: Vec<String> = self.daemons.keys().cloned().collect();
        names.sort_by_key(|name| std::cmp::Reverse(content_hash(format!("lj1 {name}").as_bytes())));
        names
    }
}

/// The first relay is killed while it forwards a change. The proxies below it in the tree must not
/// stay on old routes.
#[test]
fn relay_killed() {
    let mut fleet = start_fleet("relay_killed");
    for version in 1..=3 {
        let order = fleet.relay_order();
        fleet.apply_change(order.last().expect("a daemon"), version);
        // Sends SIGKILL.
        drop(fleet.daemons.remove(&order[0]));
        let took = fleet.wait_version(version);
        println!("in force {took:?} after the kill");
        assert!(took < MAX_IN_FORCE_TIME, "took {took:?}");
    }
}

/// A daemon is paused while 3 versions are accepted, and resumes with its old state. It must not
/// stay on the old version, nor return other daemons to it.
#[test]
fn paused_daemon() {
    let mut fleet = start_fleet("paused_daemon");
    fleet.apply_change("lj1-0", 1);
    fleet.wait_version(1);
    // Pauses a relay first, and then a daemon that is not a relay.
    let order = fleet.relay_order();
    let mut version = 1;
    for name in [&order[0], &order[FLEET_SIZE - 1]] {
        fleet.daemons[name].signal("-STOP");
        let others: Vec<String> = order.iter().filter(|other| *other != name).cloned().collect();
        for _ in 0..3 {
            version += 1;
            fleet.apply_change(&others[0], version);
            let took = fleet.wait_version_of(&others, version);
            println!("in force {took:?} after the change, with one daemon paused");
            assert!(took < MAX_IN_FORCE_TIME, "took {took:?}");
        }
        fleet.daemons[name].signal("-CONT");
        let took = fleet.wait_version(version);
        println!("in force on the resumed daemon after {took:?}");
        assert!(took < MAX_IN_FORCE_TIME, "took {took:?}");
        fleet.wait_joined(FLEET_SIZE);
    }
}

/// The platform is unavailable for a while. Proxies keep their configuration, one that restarts
/// gets it from its peers, and the first change after the outage reaches all.
#[test]
fn platform_outage() {
    let mut fleet = start_fleet("platform_away");
    fleet.apply_change("lj1-0", 1);
    fleet.wait_version(1);
    fleet.set_faults("{\"is_down\": true}");
    let seeds = fleet.seeds();
    drop(fleet.daemons.remove("lj1-5"));
    fleet.start("lj1-5", &seeds);
    let took = fleet.wait_version(1);
    println!("in force on a daemon restarted during the outage after {took:?}");
    fleet.set_faults("{}");
    fleet.apply_change("lj1-0", 2);
    let took = fleet.wait_version(2);
    println!("in force {took:?} after the outage");
    assert!(took < MAX_IN_FORCE_TIME, "took {took:?}");
}

/// A power failure ends all daemons at once, and they restart at new addresses; their seeds and the
/// contacts in the platform are all stale. Each must get the version again and find the others.
#[test]
fn all_killed() {
    let mut fleet = start_fleet("all_killed");
    fleet.apply_change("lj1-0", 1);
    fleet.wait_version(1);
    let stale = fleet.seeds();
    fleet.daemons.clear();
    for index in 0..FLEET_SIZE {
        fleet.start(&format!("lj1-{index}"), &stale);
    }
    let took = fleet.wait_version(1);
    println!("in force on all daemons after {took:?}");
    assert!(took < MAX_IN_FORCE_TIME, "took {took:?}");
    fleet.wait_joined(FLEET_SIZE);
    fleet.apply_change("lj1-3", 2);
    fleet.wait_version(2);
}
