//! Many daemons that start at once.

mod common;

use std::sync::atomic::Ordering;

use common::{TestDaemon, TestFleet, all_hold, numbered, wait_for};

const FLEET: usize = 40;

fn start_herd(fleet: &TestFleet, seeds: &[std::net::SocketAddr]) -> Vec<TestDaemon> {
    let start = |index| fleet.start(&format!("lj1-{index:02}"), "lj1", seeds);
    (0..FLEET).map(start).collect()
}

/// A rollout restarts all daemons of a data centre within a second. If each read the platform, a
/// larger fleet would exhaust the platform's rate just when everyone waits for it.
#[test]
fn few_reads() {
    let fleet = TestFleet::new();
    fleet.platform.accept(numbered(9));
    let first = fleet.start("lj1-first", "lj1", &[]);
    wait_for("the first one", || first.held.is_ready());
    fleet.platform.reads.store(0, Ordering::SeqCst);
    let daemons = start_herd(&fleet, &[first.address]);
    let took = wait_for("all to be ready", || daemons.iter().all(|daemon| daemon.held.is_ready()));
    assert!(all_hold(&daemons, 9));
    assert!(took.as_secs() < 11, "took {took:?}");
    // Reading for oneself takes one read per daemon at least; that is the naive way.
    let reads = fleet.platform.reads.load(Ordering::SeqCst);
    let by = |daemon: &TestDaemon| daemon.handle.reader().state().source_reads;
    let most = daemons.iter().chain([&first]).map(by).max().unwrap_or_default();
    println!("{most} reads by the busiest, {reads} reads for {FLEET} daemons in {took:?}");
    assert!(reads <= FLEET / 4, "{reads} reads for {FLEET} daemons");
}

/// All daemons restart together at new addresses: seeds and contacts are stale and nobody knows
/// anybody. If they stayed apart, each change would be seen by every one of them at the
/// platform, and backend servers would be unknown beyond their own instance.
#[test]
fn all_at_new_addresses() {
    let fleet = TestFleet::new();
    fleet.platform.accept(numbered(1));
    let before = start_herd(&fleet, &[]);
    let met = |daemons: &[TestDaemon]| daemons.iter().all(|daemon| daemon.present() == FLEET);
    wait_for("all to meet by contacts", || met(&before));
    let stale: Vec<_> = before.iter().take(3).map(|daemon| daemon.address).collect();
    drop(before);
    let after = start_herd(&fleet, &stale);
    wait_for("all to meet again", || met(&after));
    wait_for("the version", || all_hold(&after, 1));
}
