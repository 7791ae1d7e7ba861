//! A change from the platform to every daemon, by both modes.

mod common;

use std::sync::atomic::Ordering;

use common::{TestFleet, all_hold, numbered, wait_for};
use sk_model::Version;
use sk_spread::{PassMode, PassStyle, VersionOrigin, plan_pass};

fn spread_versions(mode: PassMode) {
    let mut fleet = TestFleet::new();
    fleet.options.mode = mode;
    let daemons = fleet.start_all(&["lj1", "lj2"], 8);
    for version in 1..=5 {
        fleet.platform.accept(numbered(version));
        wait_for("the version everywhere", || all_hold(&daemons, version));
    }
    for daemon in &daemons {
        assert_eq!(*daemon.held.current(), numbered(5));
    }
    wait_for("all acknowledgements", || {
        daemons
            .iter()
            .all(|daemon| fleet.sink.get(&daemon.name).is_some_and(|ack| ack.version == 5))
    });
}

#[test]
fn push_reaches_all() {
    spread_versions(PassMode::Push);
}

#[test]
fn announce_reaches_all() {
    spread_versions(PassMode::Announce);
}

#[test]
fn only_relays_watch() {
    let fleet = TestFleet::new();
    let daemons = fleet.start_all(&["lj1", "lj2"], 8);
    // Relays that were chosen while the fleet was met have given their watches up by then.
    wait_for("views to agree", || {
        daemons.iter().filter(|d| d.handle.reader().state().is_relay).count() == 4
    });
    fleet.platform.waits.store(0, Ordering::SeqCst);
    for version in 1..=10 as Version {
        fleet.platform.accept(numbered(version));
        wait_for("the version everywhere", || all_hold(&daemons, version));
    }
    let waits = fleet.platform.waits.load(Ordering::SeqCst);
    assert!(waits <= 4 * 11, "{waits} watches for 10 changes and 4 relays");
}

#[test]
fn pass_plans() {
    let own = "lj1-a".to_owned();
    let plan = |origin: VersionOrigin, rank, mode| plan_pass(&origin, &own, rank, mode);
    let first = plan(VersionOrigin::Source, Some(0), PassMode::Push);
    assert_eq!((first.style, first.delay.is_zero()), (PassStyle::Push, true));
    let second = plan(VersionOrigin::Source, Some(1), PassMode::Push);
    assert_eq!((second.style, second.delay.is_zero()), (PassStyle::Announce, false));
    let root = "lj1-b".to_owned();
    let pushed = plan(VersionOrigin::Pushed { root: root.clone() }, None, PassMode::Push);
    assert_eq!((pushed.style, pushed.root), (PassStyle::Push, root));
    let found = plan(VersionOrigin::Found, None, PassMode::Push);
    assert_eq!((found.style, found.root), (PassStyle::Announce, own.clone()));
    let announced = plan(VersionOrigin::Source, Some(0), PassMode::Announce);
    assert_eq!((announced.style, announced.delay.is_zero()), (PassStyle::Announce, false));
}
