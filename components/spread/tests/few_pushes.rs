//! Which daemons push a version they read at the source.

mod common;

use std::time::Duration;

use common::{TestDaemon, TestFleet, WayFleet, WayState, all_hold, numbered, wait_for};
use sk_spread::{PassMode, PassStyle, SpreadOptions, VersionOrigin, plan_pass};

fn count_pushes(daemons: &[TestDaemon]) -> u64 {
    let states = daemons.iter().map(|daemon| daemon.handle.reader().state());
    let kinds = states.flat_map(|state| state.kinds);
    kinds.filter(|kind| kind.kind == "push").map(|kind| kind.calls).sum()
}

/// Guards against every daemon that reads the source pushing what it read, as if it were the first
/// relay: the copies fill thin links and hold up the versions that follow.
#[test]
fn other_watchers_announce() {
    let own = "lj1-a".to_owned();
    let plan = plan_pass(&VersionOrigin::Source, &own, None, PassMode::Push);
    assert_eq!((plan.style, plan.delay), (PassStyle::Announce, Duration::ZERO));
}

/// Guards against the same in a fleet: the relays are refused by the source, and those that read it
/// in their place push nothing.
#[test]
fn stand_ins_announce() {
    let fleet = WayFleet::start();
    fleet.close(1, WayState::Refuses);
    let before = count_pushes(&fleet.daemons);
    fleet.accept(2);
    std::thread::sleep(Duration::from_secs(3));
    fleet.accept(3);
    assert_eq!(count_pushes(&fleet.daemons) - before, 0);
}

/// Guards against daemons that start together pushing whole configurations at each other.
#[test]
fn starts_push_nothing() {
    let mut fleet = TestFleet::new();
    let start_window = Duration::from_millis(30);
    fleet.options = SpreadOptions { start_window, ..fleet.options.clone() };
    fleet.platform.accept(numbered(9));
    let mut daemons: Vec<TestDaemon> = Vec::new();
    for index in 0..24 {
        let seeds: Vec<_> = daemons.iter().take(2).map(|daemon| daemon.address).collect();
        daemons.push(fleet.start(&format!("lj1-{index:02}"), "lj1", &seeds));
    }
    wait_for("the version everywhere", || all_hold(&daemons, 9));
    assert_eq!(count_pushes(&daemons), 0);
}
