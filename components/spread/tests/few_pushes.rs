//! Which daemons push a version that they read at the source.

mod common;

use std::time::Duration;

use common::{
    AccessFleet, AccessState, SlowLink, TestDaemon, TestFleet, all_hold, count_calls, numbered,
    wait_for,
};
use sk_member::PushTree;
use sk_spread::{ForwardMethod, ForwardMode, SpreadOptions, VersionOrigin, plan_forward};

/// Guards against every daemon that reads the source pushing what it read, as if it were the first
/// relay: the copies fill slow links and delay the versions that follow.
#[test]
fn other_watchers_announce() {
    let own = "lj1-a".to_owned();
    let plan = plan_forward(&VersionOrigin::Source, &own, None, ForwardMode::Push);
    assert_eq!((plan.method, plan.delay), (ForwardMethod::Announce, Duration::ZERO));
}

/// Guards against the same in a fleet: the source refuses the relays, and the daemons that read it
/// in their place must push nothing.
#[test]
fn takeovers_announce() {
    let fleet = AccessFleet::start();
    fleet.set_access(1, AccessState::Refuses);
    let before = count_calls(&fleet.daemons, "push");
    fleet.accept(2);
    std::thread::sleep(Duration::from_secs(3));
    fleet.accept(3);
    assert_eq!(count_calls(&fleet.daemons, "push") - before, 0);
}

/// Guards against daemons that start together and push whole configurations to each other.
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

/// Guards against a parent that pushes to the whole subtree of a silent child, which takes the
/// parent's link from the children that do answer.
#[test]
fn orphans_announced() {
    let mut fleet = TestFleet::new();
    fleet.options = SpreadOptions { relays: 1, ..fleet.options.clone() };
    let started: Vec<(TestDaemon, SlowLink)> = (0..16).fold(Vec::new(), |mut started, index| {
        let seeds: Vec<_> = started.iter().take(2).map(|(daemon, _)| daemon.address).collect();
        let (name, source) = (format!("lj1-{index:02}"), fleet.platform.clone());
        started.push(fleet.start_behind_link(10_000_000, &name, "lj1", &seeds, source));
        started
    });
    let (daemons, links): (Vec<_>, Vec<_>) = started.into_iter().unzip();
    wait_for("all daemons to join", || {
        daemons.iter().all(|daemon| daemon.present_count() == 16 && daemon.config.is_ready())
    });
    fleet.platform.accept(numbered(1));
    wait_for("the version everywhere", || all_hold(&daemons, 1));
    // The choice of the daemons that watch the source settles shortly after the last daemon joins.
    std::thread::sleep(Duration::from_secs(1));
    fleet.platform.accept(numbered(2));
    wait_for("the version everywhere", || all_hold(&daemons, 2));
    let root = &common::relays(&daemons[0], "lj1")[0];
    let tree = PushTree::new(&daemons[0].members.snapshot(), "lj1", root, fleet.options.fan_out);
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
