//! Data centres whose source-watching daemons cannot reach the source while others could.

mod common;

use std::time::Duration;

use common::{AccessFleet, AccessState, DAEMONS_PER_CENTRE, DATA_CENTRES};

/// Guards against a relay that the platform refuses and that is not replaced because it is alive.
/// Callers at all daemons would be sent by old routes for as long as the refusal lasts. If relays
/// were replaced only when they die, the 4 relays would make 1 to 3 failing calls a second, and 9
/// daemons that the platform would serve would make none in 9 seconds.
#[test]
fn relays_refused() {
    let fleet = AccessFleet::start();
    fleet.set_access(1, AccessState::Refuses);
    fleet.accept(2);
    // The second version arrives after the fleet has adapted to the refusal.
    std::thread::sleep(Duration::from_secs(3));
    fleet.accept(3);
    fleet.set_access(1, AccessState::Open);
    fleet.accept(4);
}

/// Guards against relays whose platform answers stop without an error. A relay notices only when a
/// watch does not end, and a version accepted at that very moment must be in force as soon as any
/// other.
#[test]
fn relays_silent() {
    let fleet = AccessFleet::start();
    fleet.set_access(1, AccessState::Silent);
    fleet.accept(2);
    std::thread::sleep(Duration::from_secs(3));
    fleet.accept(3);
    fleet.set_access(1, AccessState::Open);
    fleet.accept(4);
}

/// Guards against a missed version when the platform refuses most daemons of each data centre,
/// including the first two choices: only the last daemon there can learn of it.
#[test]
fn most_refused() {
    let fleet = AccessFleet::start();
    fleet.set_access(DAEMONS_PER_CENTRE - 1, AccessState::Refuses);
    fleet.accept(2);
    std::thread::sleep(Duration::from_secs(3));
    fleet.accept(3);
}

/// Guards against old routes in a data centre that cannot reach the platform while its peers
/// elsewhere can: it must get new routes as soon as the others.
#[test]
fn one_centre_refused() {
    let fleet = AccessFleet::start();
    for name in fleet.ranked(DATA_CENTRES[0]) {
        fleet.accesses[&name].set(AccessState::Refuses);
    }
    fleet.accept(2);
    std::thread::sleep(Duration::from_secs(3));
    fleet.accept(3);
}
