//! Daemons that watch the source for their data centre and do not reach it, while others would.

mod common;

use std::time::Duration;

use common::{CENTRE_DAEMONS, DATA_CENTRES, WayFleet, WayState};

/// The platform refuses the calls of one daemon in each data centre, the one that watches it for the
/// others, and serves everyone else. Callers at all daemons go on being sent by old routes, for as
/// long as the refusal lasts. A relay used to be replaced only when it died, and one that is refused
/// is alive. On such a day the four relays made one to three calls a second that all failed, and
/// nine daemons that the platform would have served made none in nine seconds.
#[test]
fn relays_refused() {
    let fleet = WayFleet::start();
    fleet.close(1, WayState::Refuses);
    fleet.accept(2);
    // The next one finds the fleet as the refusal has left it.
    std::thread::sleep(Duration::from_secs(3));
    fleet.accept(3);
    fleet.close(1, WayState::Open);
    fleet.accept(4);
}

/// The platform's answers to the relays stay away without a word. A relay learns it only when a
/// watch does not end, and a version accepted in the moment in which the silence begins is to be in
/// force as soon as any other.
#[test]
fn relays_silent() {
    let fleet = WayFleet::start();
    fleet.close(1, WayState::Silent);
    fleet.accept(2);
    std::thread::sleep(Duration::from_secs(3));
    fleet.accept(3);
    fleet.close(1, WayState::Open);
    fleet.accept(4);
}

/// Most daemons of each data centre are refused, the first two choices among them. The last one is
/// the only one there that can learn of a version.
#[test]
fn most_refused() {
    let fleet = WayFleet::start();
    fleet.close(CENTRE_DAEMONS - 1, WayState::Refuses);
    fleet.accept(2);
    std::thread::sleep(Duration::from_secs(3));
    fleet.accept(3);
}

/// A whole data centre does not reach the platform, but its peers elsewhere do. Its callers are to be
/// sent by the new routes as soon as those of the others.
#[test]
fn one_centre_refused() {
    let fleet = WayFleet::start();
    for name in fleet.ranked(DATA_CENTRES[0]) {
        fleet.ways[&name].set(WayState::Refuses);
    }
    fleet.accept(2);
    std::thread::sleep(Duration::from_secs(3));
    fleet.accept(3);
}
