//! Large versions over links that take seconds to transfer them.

mod common;

use std::time::{Duration, Instant};

use common::{
    AccessState, PlatformAccess, SlowLink, TestDaemon, TestFleet, all_hold, make_snapshot, noise,
    numbered, relays, wait_for, with_routes,
};
use sk_model::{ConfigSnapshot, Version};
use sk_spread::SpreadOptions;

const BYTES_PER_S: usize = 100_000;
const LARGE_BYTES: usize = 300_000;
const VALUE_BYTES: usize = 1_000;
/// Time within which a version must be in force, in addition to its transfer time.
const IN_FORCE: Duration = Duration::from_secs(2);

/// Makes a version that hardly compresses.
fn make_large(version: Version) -> ConfigSnapshot {
    let setting = |index: usize| (format!("s{index}"), noise(VALUE_BYTES));
    let settings: Vec<_> = (0..LARGE_BYTES / VALUE_BYTES).map(setting).collect();
    let values: Vec<_> =
        settings.iter().map(|(name, text)| ("board", name.as_str(), text.as_str())).collect();
    make_snapshot(version, &values)
}

/// Starts daemons of one data centre; at the end only the relay reaches the source.
fn start_slow_links(options: SpreadOptions, count: usize) -> (TestFleet, Vec<TestDaemon>) {
    let mut fleet = TestFleet::new();
    fleet.options = SpreadOptions { secret: fleet.options.secret.clone(), relays: 1, ..options };
    let mut accesses = Vec::new();
    let started = (0..count).fold(Vec::<(TestDaemon, SlowLink)>::new(), |mut started, index| {
        let seeds: Vec<_> = started.iter().take(2).map(|(daemon, _)| daemon.address).collect();
        let access = PlatformAccess::new(&fleet.platform);
        accesses.push(access.clone());
        let name = format!("lj1-{index:02}");
        started.push(fleet.start_behind_link(BYTES_PER_S, &name, "lj1", &seeds, access));
        started
    });
    let daemons: Vec<TestDaemon> = started.into_iter().map(|(daemon, _)| daemon).collect();
    wait_for("all daemons to join and be ready", || {
        daemons.iter().all(|daemon| daemon.present_count() == count && daemon.config.is_ready())
    });
    fleet.platform.accept(numbered(1));
    wait_for("the first version", || all_hold(&daemons, 1));
    // The choice of the daemons that watch the source settles shortly after the last daemon joins.
    std::thread::sleep(Duration::from_secs(1));
    let relay = &relays(&daemons[0], "lj1")[0];
    for (daemon, access) in daemons.iter().zip(&accesses) {
        access.set(if daemon.name == *relay { AccessState::Open } else { AccessState::Refuses });
    }
    (fleet, daemons)
}

/// Guards against a time limit that does not grow with the size: a version that takes a link three
/// seconds would be abandoned in mid-transfer and sent again from its start, for ever.
#[test]
fn large_version_arrives() {
    let (fleet, daemons) = start_slow_links(SpreadOptions { fan_out: 2, ..Default::default() }, 3);
    let started_at = Instant::now();
    fleet.platform.accept(make_large(2));
    wait_for("the large version", || all_hold(&daemons, 2));
    let took = started_at.elapsed();
    // The copies of both children may cross one link.
    let transfer_time = Duration::from_secs_f64(2.0 * LARGE_BYTES as f64 / BYTES_PER_S as f64);
    println!("in force after {took:?}, of which links take up to {transfer_time:?}");
    assert!(took < transfer_time + IN_FORCE, "in force after {took:?}");
}

/// Guards against a change of a thousand routes that fills slow links with repetitive text: six
/// children's copies of it take a link of 7.5 Mbit/s for 1.5 s, more than half of the time within
/// which it must be in force.
#[test]
fn routes_are_compressed() {
    let fleet = TestFleet::new();
    let daemons = fleet.start_all(&["lj1"], 6);
    fleet.platform.accept(with_routes(1, 200));
    wait_for("the first version", || all_hold(&daemons, 1));
    std::thread::sleep(Duration::from_secs(1));
    let received = || daemons.iter().map(|daemon| daemon.meter.bytes().received).sum::<u64>();
    let before = received();
    let change = with_routes(2, 1_160);
    let text_bytes = serde_json::to_vec(&change.trees["board"]).expect("text").len() as u64;
    fleet.platform.accept(change);
    wait_for("the change", || all_hold(&daemons, 2));
    let per_daemon = (received() - before) / daemons.len() as u64;
    println!("{per_daemon} bytes a daemon for a subtree of {text_bytes} bytes");
    assert!(
        per_daemon < text_bytes / 4,
        "{per_daemon} bytes a daemon for a subtree of {text_bytes} bytes"
    );
}
