//! Many daemons that start at once.

mod common;

use std::sync::atomic::Ordering;

use common::{TestDaemon, TestFleet, all_hold, numbered, wait_for};

const FLEET: usize = 40;

fn start_herd(fleet: &TestFleet, seeds: &[std::net::SocketAddr]) -> Vec<TestDaemon> {
    let start = |index| fleet.start(&format!("lj1-{index:02}"), "lj1", seeds);
    (0..FLEET).map(start).collect()
}

/// Guards against a rollout that exhausts the platform's rate limit. It restarts all daemons of a
/// data centre within a second; if each of them read the platform, a larger fleet would exceed the
/// limit just when every daemon waits for an answer.
#[test]
fn few_reads() {
    let fleet = TestFleet::new();
    fleet.platform.accept(numbered(9));
    let first = fleet.start("lj1-first", "lj1", &[]);
    wait_for("the first one", || first.config.is_ready());
    fleet.platform.reads.store(0, Ordering::SeqCst);
    let daemons = start_herd(&fleet, &[first.address]);
    let took =
        wait_for("all to be ready", || daemons.iter().all(|daemon| daemon.config.is_ready()));
    assert!(all_hold(&daemons, 9));
    assert!(took.as_secs() < 11, "took {took:?}");
    // The naive start takes at least one read per daemon.
    let reads = fleet.platform.reads.load(Ordering::SeqCst);
    let by = |daemon: &TestDaemon| daemon.handle.reader().state().source_reads;
    let max_reads = daemons.iter().chain([&first]).map(by).max().unwrap_or_default();
    println!("{max_reads} reads by the busiest, {reads} reads for {FLEET} daemons in {took:?}");
    assert!(reads <= FLEET / 4, "{reads} reads for {FLEET} daemons");
}

/// Guards against a fleet that stays divided after all daemons restart together at new addresses,
/// when seeds and contacts are stale. Each change would be read by every daemon at the platform,
/// and backend servers would be unknown beyond their own instance.
#[test]
fn fleet_at_new_addresses() {
    let fleet = TestFleet::new();
    fleet.platform.accept(numbered(1));
    let before = start_herd(&fleet, &[]);
    let have_joined =
        |daemons: &[TestDaemon]| daemons.iter().all(|daemon| daemon.present_count() == FLEET);
    wait_for("all to join through contacts", || have_joined(&before));
    let stale: Vec<_> = before.iter().take(3).map(|daemon| daemon.address).collect();
    drop(before);
    let after = start_herd(&fleet, &stale);
    wait_for("all to join again", || have_joined(&after));
    wait_for("the version", || all_hold(&after, 1));
}
