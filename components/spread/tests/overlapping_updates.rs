//! Versions that follow each other faster than they are forwarded, and data centres that are cut
//! off.

mod common;

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use common::{FakePlatform, TestFleet, all_hold, make_snapshot, noise, numbered, wait_for};
use sk_spread::{ForwardMode, SpreadOptions};

/// Guards against versions that overtake each other in the tree when operators change settings
/// several times within a second. No proxy may go back for a moment, and all must end on the
/// newest.
#[test]
fn never_goes_back() {
    let fleet = TestFleet::new();
    let daemons = fleet.start_all(&["lj1", "lj2"], 6);
    let is_over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let (daemons, is_over) = (&daemons, &is_over);
        let watcher = scope.spawn(move || {
            let mut seen = vec![0; daemons.len()];
            while !is_over.load(Ordering::SeqCst) {
                for (seen, daemon) in seen.iter_mut().zip(daemons) {
                    let current = daemon.config.current();
                    assert!(current.version() >= *seen, "{} went back", daemon.name);
                    *seen = current.version();
                    if *seen > 0 {
                        assert_eq!(*current, numbered(*seen), "{} holds a mixture", daemon.name);
                    }
                }
                std::thread::yield_now();
            }
        });
        for version in 1..=30 {
            fleet.platform.accept(numbered(version));
            std::thread::sleep(std::time::Duration::from_millis(version % 7));
        }
        wait_for("the newest everywhere", || all_hold(daemons, 30));
        is_over.store(true, Ordering::SeqCst);
        watcher.join().expect("no daemon went back");
    });
}

/// Guards against announcements that wait for a quiet period: while changes arrive faster than
/// relays batch them, none would be sent, and proxies would stay on the first version.
#[test]
fn steady_changes() {
    let mut fleet = TestFleet::new();
    fleet.options.mode = ForwardMode::Announce;
    let daemons = fleet.start_all(&["lj1"], 6);
    let mut version = 0;
    let took = wait_for("any version everywhere, while changes go on", || {
        version += 1;
        fleet.platform.accept(numbered(version));
        std::thread::sleep(std::time::Duration::from_millis(100));
        all_hold(&daemons, 1)
    });
    assert!(took.as_secs() < 5, "took {took:?}");
    wait_for("the newest everywhere", || all_hold(&daemons, version));
}

/// Guards against old routes in a data centre that loses its connection to the platform but not to
/// its peers: its relays cannot see a change that all others have in force, so the daemon that
/// learns of it first must forward it.
#[test]
fn cut_data_centre() {
    let fleet = TestFleet::new();
    let connected = fleet.start_all(&["lj1"], 4);
    let unreachable = FakePlatform::new();
    unreachable.set_down(true);
    let options = SpreadOptions { seeds: vec![connected[0].address], ..fleet.options.clone() };
    let start = |index| {
        fleet.start_with(&format!("lj2-{index}"), "lj2", options.clone(), Arc::clone(&unreachable))
    };
    let isolated: Vec<_> = (0..6).map(start).collect();
    wait_for("all to join", || {
        isolated.iter().all(|daemon| daemon.present_count() == 10 && daemon.config.is_ready())
    });
    for version in 1..=3 {
        fleet.platform.accept(numbered(version));
        let took = wait_for("the version behind the cut", || all_hold(&isolated, version));
        println!("behind the cut after {took:?}");
        assert!(took.as_secs() < 11, "took {took:?}");
    }
}

/// Guards against a whole data centre that fetches a large version from one daemon at once.
/// Serving all fetches together would exhaust that daemon's memory; refused ones must retry and
/// succeed.
#[test]
fn capped_fetches() {
    let mut fleet = TestFleet::new();
    fleet.options.mode = ForwardMode::Announce;
    fleet.options.fan_out = 12;
    fleet.options.max_fetches = 1;
    let daemons = fleet.start_all(&["lj1"], 13);
    let text = noise(60_000);
    let names: Vec<String> = (0..10).map(|index| format!("v{index}")).collect();
    let values: Vec<_> = names.iter().map(|name| ("board", name.as_str(), text.as_str())).collect();
    fleet.platform.accept(make_snapshot(1, &values));
    let took = wait_for("the large version everywhere", || all_hold(&daemons, 1));
    let states = || daemons.iter().map(|daemon| daemon.handle.reader().state());
    let refused: u64 = states().map(|state| state.fetches_refused).sum();
    println!("{refused} fetches refused, everywhere after {took:?}");
    assert!(refused > 0);
    assert!(took.as_secs() < 11, "took {took:?}");
}
