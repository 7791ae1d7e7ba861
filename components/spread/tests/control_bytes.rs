//! Cost of control traffic per daemon, idle and per change.

mod common;

use std::time::{Duration, Instant};

use common::{TestDaemon, TestFleet, all_hold, numbered, wait_for};
use sk_spread::ForwardMode;

/// Limit of a daemon's control traffic, in bytes a second in both directions.
const MAX_BYTES_PER_S: u64 = 20_000;
const WINDOW: Duration = Duration::from_secs(4);
const CHANGES: u64 = 10;

fn total_bytes(daemons: &[TestDaemon]) -> u64 {
    let bytes = daemons.iter().map(|daemon| daemon.meter.bytes());
    bytes.map(|bytes| bytes.sent + bytes.received).sum()
}

/// Returns the bytes per daemon and second while nothing changes.
fn idle_rate(daemons: &[TestDaemon]) -> u64 {
    let (before, started_at) = (total_bytes(daemons), Instant::now());
    // The window is what is measured; there is no condition to wait for.
    std::thread::sleep(WINDOW);
    let bytes = (total_bytes(daemons) - before) as f64;
    (bytes / started_at.elapsed().as_secs_f64()) as u64 / daemons.len() as u64
}

/// Returns the bytes per daemon and change beyond the idle ones.
fn change_bytes(daemons: &[TestDaemon], idle: u64, mut change: impl FnMut(u64)) -> i64 {
    let (before, started_at) = (total_bytes(daemons), Instant::now());
    (0..CHANGES).for_each(&mut change);
    // Announcements of the second relays and acknowledgements still follow.
    std::thread::sleep(Duration::from_secs(2));
    let bytes = (total_bytes(daemons) - before) as f64 / daemons.len() as f64;
    ((bytes - idle as f64 * started_at.elapsed().as_secs_f64()) / CHANGES as f64) as i64
}

fn measure(mode: ForwardMode) {
    let mut fleet = TestFleet::new();
    fleet.options.mode = mode;
    let daemons = fleet.start_all(&["lj1", "lj2"], 10);
    fleet.platform.accept(numbered(1));
    wait_for("the first version", || all_hold(&daemons, 1));
    let idle = idle_rate(&daemons);
    let single = change_bytes(&daemons, idle, |round| {
        fleet.platform.accept(numbered(round + 2));
        wait_for("the version", || all_hold(&daemons, round + 2));
    });
    let burst = change_bytes(&daemons, idle, |round| {
        let version = 2 + CHANGES + round;
        fleet.platform.accept(numbered(version));
        // Simulates operators' changes in a series, close together.
        std::thread::sleep(Duration::from_millis(50));
        if round + 1 == CHANGES {
            wait_for("the last version", || all_hold(&daemons, version));
        }
    });
    println!(
        "{mode:?}: idle {idle} bytes/s a daemon; a daemon and change: {single} B one by one, {burst} B in a series"
    );
    assert!(idle < MAX_BYTES_PER_S / 2, "idle takes {idle} bytes/s of {MAX_BYTES_PER_S}");
}

#[test]
fn push_within_budget() {
    measure(ForwardMode::Push);
}

#[test]
fn announce_within_budget() {
    measure(ForwardMode::Announce);
}
