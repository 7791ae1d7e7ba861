//! Configuration on its way while daemons and the platform fail, as separate processes.

mod common;

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use common::{
    DaemonPlan, MANAGER_TOKEN, POLL_INTERVAL, TEAM_TOKEN, TestDirectory, TestProcess, WAIT_BOUND,
    call, call_body, operate, platform_address, render, start_daemon, start_platform, wait_for,
};
use sk_model::content_hash;

/// Time in which a change is to be in force everywhere.
const FORCE_BOUND: Duration = Duration::from_secs(11);
const FLEET: usize = 6;

struct TestFleet {
    platform: TestProcess,
    daemons: BTreeMap<String, TestProcess>,
    directory: TestDirectory,
    /// Greatest version seen in force, by daemon; no daemon may ever show a lesser one again.
    seen: BTreeMap<String, u64>,
    extra: String,
}

fn start_fleet(name: &str) -> TestFleet {
    let mut fleet = TestFleet {
        platform: start_platform(),
        daemons: BTreeMap::new(),
        directory: TestDirectory::new(name),
        seen: BTreeMap::new(),
        extra: String::new(),
    };
    for index in 0..FLEET {
        fleet.start(&format!("lj1-{index}"), &fleet.seeds());
    }
    fleet.wait_met(FLEET);
    let hash = sk_ops::hash_token(TEAM_TOKEN);
    let team = ["team", "ledvica", "--token-sha256", &hash];
    let output = operate(&fleet.ops("lj1-0"), MANAGER_TOKEN, &team);
    assert!(output.status.success(), "{}", render(&output));
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

    fn seeds(&self) -> Vec<String> {
        self.daemons.values().take(3).map(|daemon| daemon.address("control")).collect()
    }

    fn state(&self, name: &str) -> serde_json::Value {
        let token = format!("Authorization: Bearer {MANAGER_TOKEN}\r\n");
        let answer = call(&self.ops(name), "GET", "/v1/state", &token).expect("a state");
        serde_json::from_str(&answer.body).expect("a state in JSON")
    }

    fn wait_met(&self, count: usize) {
        wait_for("the daemons to meet", || {
            self.daemons.keys().all(|name| {
                let state = self.state(name);
                let members = state["members"].as_object().expect("members").values();
                members.filter(|member| member["status"] == "alive").count() == count
            })
        });
    }

    /// Accepts one more version through the named daemon.
    fn change(&self, through: &str, number: u64) {
        let text = format!("kind = \"value\"\ntext = \"{number}\"\n");
        self.directory.write("declared/ledvica/number.toml", &text);
        let folder = self.directory.0.join("declared");
        let folder = folder.to_str().expect("path is text");
        let args = ["apply", folder, "--revision", "r1", "--author", "ana"];
        let output = operate(&self.ops(through), TEAM_TOKEN, &args);
        assert!(output.status.success(), "{}", render(&output));
    }

    /// Gives the versions in force, and fails where one moved back. A process that has just
    /// started and is not ready shows none.
    fn versions(&mut self, names: &[String]) -> Vec<u64> {
        let mut versions = Vec::new();
        for name in names {
            let version = self.state(name)["version"].as_u64().expect("a version");
            let seen = self.seen.entry(name.clone()).or_default();
            assert!(version >= *seen || version == 0, "{name} went from {seen} to {version}");
            *seen = version.max(*seen);
            versions.push(version);
        }
        versions
    }

    fn wait_version(&mut self, version: u64) -> Duration {
        let names: Vec<String> = self.daemons.keys().cloned().collect();
        self.wait_version_of(&names, version)
    }

    fn wait_version_of(&mut self, names: &[String], version: u64) -> Duration {
        let begin = Instant::now();
        while self.versions(names).iter().any(|held| *held != version) {
            assert!(begin.elapsed() < WAIT_BOUND, "waited in vain for version {version}");
            std::thread::sleep(POLL_INTERVAL);
        }
        begin.elapsed()
    }

    fn set_faults(&self, faults: &str) {
        let platform = platform_address(&self.platform);
        let answer = call_body(&platform, "PUT", "/v1/faults", faults).expect("platform answers");
        assert_eq!(answer.status, 204, "{answer:?}");
    }

    /// Names the daemons in the order in which they are chosen as relays, as `sk-member` weighs.
    fn relay_order(&self) -> Vec<String> {
        let mut names: Vec<String> = self.daemons.keys().cloned().collect();
        names.sort_by_key(|name| std::cmp::Reverse(content_hash(format!("lj1 {name}").as_bytes())));
        names
    }
}

/// The instance of the first relay dies in the moment in which it passes a change on. A proxy whose
/// place in the tree was below it would go on with old routes.
#[test]
fn relay_killed() {
    let mut fleet = start_fleet("relay_killed");
    for version in 1..=3 {
        let order = fleet.relay_order();
        fleet.change(order.last().expect("a daemon"), version);
        // Sends SIGKILL.
        drop(fleet.daemons.remove(&order[0]));
        let took = fleet.wait_version(version);
        println!("in force {took:?} after the kill");
        assert!(took < FORCE_BOUND, "took {took:?}");
    }
}

/// A daemon's instance is frozen while three versions are accepted, and thaws with its old belief
/// of everything. It must not go on with the old version, nor bring anyone else back to it.
#[test]
fn paused_daemon() {
    let mut fleet = start_fleet("paused_daemon");
    fleet.change("lj1-0", 1);
    fleet.wait_version(1);
    // Once a relay and once a daemon that is none.
    let order = fleet.relay_order();
    let mut version = 1;
    for name in [&order[0], &order[FLEET - 1]] {
        fleet.daemons[name].signal("-STOP");
        let others: Vec<String> = order.iter().filter(|other| *other != name).cloned().collect();
        for _ in 0..3 {
            version += 1;
            fleet.change(&others[0], version);
            let took = fleet.wait_version_of(&others, version);
            println!("in force {took:?} after the change beside a paused daemon");
            assert!(took < FORCE_BOUND, "took {took:?}");
        }
        fleet.daemons[name].signal("-CONT");
        let took = fleet.wait_version(version);
        println!("in force on the woken daemon after {took:?}");
        assert!(took < FORCE_BOUND, "took {took:?}");
        fleet.wait_met(FLEET);
    }
}

/// The platform is away for a while. Proxies go on with what they hold, one that restarts gets it
/// from its peers, and the first change after the return reaches all.
#[test]
fn platform_away() {
    let mut fleet = start_fleet("platform_away");
    fleet.change("lj1-0", 1);
    fleet.wait_version(1);
    fleet.set_faults("{\"is_down\": true}");
    let seeds = fleet.seeds();
    drop(fleet.daemons.remove("lj1-5"));
    fleet.start("lj1-5", &seeds);
    let took = fleet.wait_version(1);
    println!("a daemon restarted in an outage holds the version after {took:?}");
    fleet.set_faults("{}");
    fleet.change("lj1-0", 2);
    let took = fleet.wait_version(2);
    println!("in force {took:?} after the return");
    assert!(took < FORCE_BOUND, "took {took:?}");
}

/// A power cut takes all daemons at once, and they return at new addresses; their seeds and the
/// contacts in the platform are all stale. Each must hold the version again and find the others.
#[test]
fn all_killed() {
    let mut fleet = start_fleet("all_killed");
    fleet.change("lj1-0", 1);
    fleet.wait_version(1);
    let stale = fleet.seeds();
    fleet.daemons.clear();
    for index in 0..FLEET {
        fleet.start(&format!("lj1-{index}"), &stale);
    }
    let took = fleet.wait_version(1);
    println!("all hold the version again after {took:?}");
    assert!(took < FORCE_BOUND, "took {took:?}");
    fleet.wait_met(FLEET);
    fleet.change("lj1-3", 2);
    fleet.wait_version(2);
}
