//! Outages of the platform, and daemons that start meanwhile.

mod common;

use std::sync::atomic::Ordering;

use common::{FakePlatform, TestFleet, all_hold, numbered, wait_for};
use sk_spread::SpreadOptions;

/// Guards against an outage of the platform that changes what daemons serve: they keep the version
/// they hold, one that restarts gets it from its peers, and a change accepted afterwards comes into
/// force everywhere.
#[test]
fn outage_and_return() {
    let fleet = TestFleet::new();
    let mut daemons = fleet.start_all(&["lj1", "lj2"], 4);
    fleet.platform.accept(numbered(3));
    wait_for("the version everywhere", || all_hold(&daemons, 3));
    fleet.platform.set_down(true);
    let seeds = [daemons[0].address, daemons[5].address];
    let gone = daemons.remove(3);
    let name = gone.name.clone();
    drop(gone);
    let late = fleet.start(&name, "lj1", &seeds);
    wait_for("the restarted daemon", || late.config.is_ready());
    assert_eq!(late.version(), 3);
    daemons.push(late);
    assert!(all_hold(&daemons, 3));
    fleet.platform.set_down(false);
    fleet.platform.accept(numbered(4));
    let took = wait_for("the next version", || all_hold(&daemons, 4));
    assert!(took.as_secs() < 11, "took {took:?}");
}

/// Guards against serving the empty configuration when all daemons restart while the platform is
/// unreachable and no reachable daemon knows a version: every caller would get "no route". The
/// daemons must report that they are not ready, and hold the version once the platform is back.
#[test]
fn no_peer_has_version() {
    let fleet = TestFleet::new();
    fleet.platform.accept(numbered(7));
    fleet.platform.set_down(true);
    let first = fleet.start("lj1-00", "lj1", &[]);
    let second = fleet.start("lj1-01", "lj1", &[first.address]);
    let daemons = [first, second];
    wait_for("the daemons to join", || daemons.iter().all(|daemon| daemon.present_count() == 2));
    wait_for("a failed read of the platform", || {
        daemons.iter().all(|daemon| daemon.handle.reader().state().source_fault.is_some())
    });
    assert!(daemons.iter().all(|daemon| !daemon.config.is_ready() && daemon.version() == 0));
    fleet.platform.set_down(false);
    wait_for("the version", || all_hold(&daemons, 7));
}

/// Guards against the same with many daemons, which all wait for the platform to return. If each
/// read it for itself, the return would exhaust the rate limit and look like the next outage.
#[test]
fn many_wait_for_platform() {
    let fleet = TestFleet::new();
    fleet.platform.accept(numbered(7));
    fleet.platform.set_down(true);
    let first = fleet.start("lj1-00", "lj1", &[]);
    let seeds = [first.address];
    let others = (1..30).map(|index| fleet.start(&format!("lj1-{index:02}"), "lj1", &seeds));
    let daemons: Vec<_> = [first].into_iter().chain(others).collect();
    wait_for("the daemons to join", || {
        daemons.iter().all(|daemon| daemon.present_count() == daemons.len())
    });
    wait_for("a failed read of the platform", || fleet.platform.reads.load(Ordering::SeqCst) >= 4);
    assert!(daemons.iter().all(|daemon| !daemon.config.is_ready()));
    fleet.platform.set_down(false);
    fleet.platform.reads.store(0, Ordering::SeqCst);
    let took = wait_for("the version", || all_hold(&daemons, 7));
    let reads = fleet.platform.reads.load(Ordering::SeqCst);
    println!("{reads} reads for {} daemons in {took:?} after the return", daemons.len());
    assert!(reads < daemons.len(), "{reads} reads for {} daemons", daemons.len());
    assert!(took.as_secs() < 11, "took {took:?}");
}

/// Guards against a daemon that waits for its own connection to the platform while its peers are
/// connected: without their versions it would never become ready, or would serve something older
/// than it served before.
#[test]
fn own_connection_cut() {
    let fleet = TestFleet::new();
    let daemons = fleet.start_all(&["lj1"], 4);
    fleet.platform.accept(numbered(2));
    wait_for("the version everywhere", || all_hold(&daemons, 2));
    let unreachable = FakePlatform::new();
    unreachable.set_down(true);
    let options = SpreadOptions { seeds: vec![daemons[0].address], ..fleet.options.clone() };
    let late = fleet.start_with("lj1-cut", "lj1", options, unreachable);
    wait_for("readiness", || late.config.is_ready());
    assert_eq!(late.version(), 2);
    fleet.platform.accept(numbered(3));
    wait_for("the next version", || late.version() == 3);
}
