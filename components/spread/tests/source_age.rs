//! Age of the configuration source's last confirmation at each daemon.

mod common;

use std::time::Duration;

use common::{TestDaemon, TestFleet, wait_for};

fn age(daemon: &TestDaemon) -> Option<Duration> {
    daemon.handle.reader().state().source_age_ms.map(Duration::from_millis)
}

/// Guards against an outage of the source that no one sees: routes look the same as usual, and for
/// a daemon that does not watch the source itself only the age shows it.
#[test]
fn age_grows_in_outage() {
    let fleet = TestFleet::new();
    let daemons = fleet.start_all(&["lj1", "lj2"], 6);
    let recent = Duration::from_secs(3);
    let is_recent = |daemon: &TestDaemon| age(daemon).is_some_and(|age| age < recent);
    wait_for("all to hear of the source", || daemons.iter().all(is_recent));
    fleet.platform.set_down(true);
    let is_old = |daemon: &TestDaemon| age(daemon).is_some_and(|age| age > recent);
    wait_for("the outage to show", || daemons.iter().all(is_old));
    fleet.platform.set_down(false);
    wait_for("the return to show", || daemons.iter().all(is_recent));
}
