//! Relays that end while a version is under way.

mod common;

use common::{TestFleet, all_hold, numbered, relays, wait_for};

/// The instance of the first relay is replaced in the moment in which it passes a change on: some
/// daemons have got it and some have not. Callers at the latter would be sent by old routes
/// for as long as nobody notices.
#[test]
fn stopped_mid_push() {
    let fleet = TestFleet::new();
    let mut daemons = fleet.start_all(&["lj1"], 12);
    for version in 1..=4 {
        let first = relays(&daemons[0], "lj1").remove(0);
        let place = daemons.iter().position(|daemon| daemon.name == first).expect("a relay");
        let mut relay = daemons.remove(place);
        fleet.platform.accept(numbered(version));
        relay.handle.stop();
        drop(relay);
        let took = wait_for("the version on the rest", || all_hold(&daemons, version));
        assert!(took.as_secs() < 11, "took {took:?}");
        let count = daemons.len();
        let known = wait_for("the relay's end to be known", || {
            daemons.iter().all(|daemon| daemon.present() == count)
        });
        println!("version after {took:?}, end of the relay {known:?} later");
    }
}

/// A relay restarts under its name faster than anyone misses it, and has forgotten the
/// acknowledgements that it took and had not kept. The report would say "pending" for ever.
#[test]
fn new_relay_learns_acks() {
    let fleet = TestFleet::new();
    let mut daemons = fleet.start_all(&["lj1"], 6);
    fleet.platform.accept(numbered(1));
    wait_for("the version everywhere", || all_hold(&daemons, 1));
    wait_for("the relays to know it", || {
        daemons.iter().all(|daemon| fleet.sink.get(&daemon.name).is_some())
    });
    let names = relays(&daemons[0], "lj1");
    daemons.retain(|daemon| !names.contains(&daemon.name));
    fleet.sink.clear();
    let seeds: Vec<_> = daemons.iter().map(|daemon| daemon.address).collect();
    daemons.extend(names.iter().map(|name| fleet.start(name, "lj1", &seeds)));
    wait_for("all acknowledgements again", || {
        daemons
            .iter()
            .all(|daemon| fleet.sink.get(&daemon.name).is_some_and(|ack| ack.version == 1))
    });
}
