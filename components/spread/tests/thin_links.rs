//! Large versions over links that take seconds for them.

mod common;

use std::time::{Duration, Instant};

use common::{
    PlatformWay, TestDaemon, TestFleet, ThinLink, WayState, all_hold, make_snapshot, noise,
    numbered, relays, wait_for, with_routes,
};
use sk_model::{ConfigSnapshot, Version};
use sk_spread::SpreadOptions;

const BYTES_PER_S: usize = 100_000;
const LARGE_BYTES: usize = 300_000;
const VALUE_BYTES: usize = 1_000;
/// Time in which a version has to be in force, beside the time that links take for it.
const IN_FORCE: Duration = Duration::from_secs(2);

/// Makes a version that no encoding makes much smaller.
fn large(version: Version) -> ConfigSnapshot {
    let setting = |index: usize| (format!("s{index}"), noise(VALUE_BYTES));
    let settings: Vec<_> = (0..LARGE_BYTES / VALUE_BYTES).map(setting).collect();
    let values: Vec<_> =
        settings.iter().map(|(name, text)| ("board", name.as_str(), text.as_str())).collect();
    make_snapshot(version, &values)
}

/// Starts daemons of one data centre of which only the relay reaches the source in the end.
fn start_thin(options: SpreadOptions, count: usize) -> (TestFleet, Vec<TestDaemon>) {
    let mut fleet = TestFleet::new();
    fleet.options = SpreadOptions { secret: fleet.options.secret.clone(), relays: 1, ..options };
    let mut ways = Vec::new();
    let started = (0..count).fold(Vec::<(TestDaemon, ThinLink)>::new(), |mut started, index| {
        let seeds: Vec<_> = started.iter().take(2).map(|(daemon, _)| daemon.address).collect();
        let way = PlatformWay::new(&fleet.platform);
        ways.push(way.clone());
        let name = format!("lj1-{index:02}");
        started.push(fleet.start_behind(BYTES_PER_S, &name, "lj1", &seeds, way));
        started
    });
    let daemons: Vec<TestDaemon> = started.into_iter().map(|(daemon, _)| daemon).collect();
    wait_for("all daemons to meet and be ready", || {
        daemons.iter().all(|daemon| daemon.present() == count && daemon.held.is_ready())
    });
    fleet.platform.accept(numbered(1));
    wait_for("the first version", || all_hold(&daemons, 1));
    // Views of who watches the source settle a little after the last daemon came.
    std::thread::sleep(Duration::from_secs(1));
    let relay = &relays(&daemons[0], "lj1")[0];
    for (daemon, way) in daemons.iter().zip(&ways) {
        way.set(if daemon.name == *relay { WayState::Open } else { WayState::Refuses });
    }
    (fleet, daemons)
}

/// Guards against a time limit that does not grow with what is sent: a version that takes a link
/// three seconds would be given up in mid-transfer and sent again from its start, for ever.
#[test]
fn large_version_arrives() {
    let (fleet, daemons) = start_thin(SpreadOptions { fan_out: 2, ..Default::default() }, 3);
    let began = Instant::now();
    fleet.platform.accept(large(2));
    wait_for("the large version", || all_hold(&daemons, 2));
    let took = began.elapsed();
    // Both children's copies may cross one link.
    let carried = Duration::from_secs_f64(2.0 * LARGE_BYTES as f64 / BYTES_PER_S as f64);
    println!("in force after {took:?}, of which links take up to {carried:?}");
    assert!(took < carried + IN_FORCE, "in force after {took:?}");
}

/// Guards against a change of a thousand routes filling thin links with text that repeats itself: six
/// children's copies of it take a link of 7.5 Mbit/s for 1.5 s, more than half of the time in which
/// it has to be in force.
#[test]
fn routes_are_packed() {
    let fleet = TestFleet::new();
    let daemons = fleet.start_all(&["lj1"], 6);
    fleet.platform.accept(with_routes(1, 200));
    wait_for("the first version", || all_hold(&daemons, 1));
    std::thread::sleep(Duration::from_secs(1));
    let received = || daemons.iter().map(|daemon| daemon.meter.bytes().received).sum::<u64>();
    let before = received();
    let change = with_routes(2, 1_160);
    let text = serde_json::to_vec(&change.trees["board"]).expect("text").len() as u64;
    fleet.platform.accept(change);
    wait_for("the change", || all_hold(&daemons, 2));
    let each = (received() - before) / daemons.len() as u64;
    println!("{each} bytes a daemon for a subtree of {text} bytes");
    assert!(each < text / 4, "{each} bytes a daemon for a subtree of {text} bytes");
}
