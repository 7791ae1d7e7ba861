//! Which daemons push a version they read at the source.

mod common;

use std::time::Duration;

use common::{
    TestDaemon, TestFleet, ThinLink, WayFleet, WayState, all_hold, count_calls, numbered, wait_for,
};
use sk_member::PushTree;
use sk_spread::{PassMode, PassStyle, SpreadOptions, VersionOrigin, plan_pass};

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
    let before = count_calls(&fleet.daemons, "push");
    fleet.accept(2);
    std::thread::sleep(Duration::from_secs(3));
    fleet.accept(3);
    assert_eq!(count_calls(&fleet.daemons, "push") - before, 0);
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
    assert_eq!(count_calls(&daemons, "push"), 0);
}

/// Guards against a daemon that answers nothing having its whole subtree pushed at by its parent,
/// which takes the parent's link from the children that do answer.
#[test]
fn orphans_announced() {
    let mut fleet = TestFleet::new();
    fleet.options = SpreadOptions { relays: 1, ..fleet.options.clone() };
    let started: Vec<(TestDaemon, ThinLink)> = (0..16).fold(Vec::new(), |mut started, index| {
        let seeds: Vec<_> = started.iter().take(2).map(|(daemon, _)| daemon.address).collect();
        let (name, source) = (format!("lj1-{index:02}"), fleet.platform.clone());
        started.push(fleet.start_behind(10_000_000, &name, "lj1", &seeds, source));
        started
    });
    let (daemons, links): (Vec<_>, Vec<_>) = started.into_iter().unzip();
    wait_for("all daemons to meet", || {
        daemons.iter().all(|daemon| daemon.present() == 16 && daemon.held.is_ready())
    });
    fleet.platform.accept(numbered(1));
    wait_for("the version everywhere", || all_hold(&daemons, 1));
    // Views of who watches the source settle a little after the last daemon came.
    std::thread::sleep(Duration::from_secs(1));
    fleet.platform.accept(numbered(2));
    wait_for("the version everywhere", || all_hold(&daemons, 2));
    let root = &common::relays(&daemons[0], "lj1")[0];
    let tree = PushTree::new(&daemons[0].members.view(), "lj1", root, fleet.options.fan_out);
    let silent = tree.children(root).into_iter().find(|child| !tree.children(child).is_empty());
    let silent = silent.expect("a child with children");
    let index = daemons.iter().position(|daemon| daemon.name == silent).expect("a daemon");
    links[index].set_silent(true);
    let parent = daemons.iter().position(|daemon| daemon.name == *root).expect("the root");
    let before = count_calls(&daemons[parent..=parent], "push");
    fleet.platform.accept(numbered(3));
    let others = || daemons.iter().filter(|daemon| daemon.name != silent);
    wait_for("all others to hold it", || others().all(|daemon| daemon.version() == 3));
    std::thread::sleep(Duration::from_secs(2));
    let pushes = count_calls(&daemons[parent..=parent], "push") - before;
    assert!(pushes <= tree.children(root).len() as u64, "{pushes} pushes of the root");
}
