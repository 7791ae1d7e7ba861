//! Relays that stop while a version is being forwarded.

mod common;

use common::{TestFleet, all_hold, numbered, relays, wait_for};

/// Guards against daemons left on an old version when the instance of the first relay is replaced
/// during a push. Their callers would be sent by old routes until someone noticed.
#[test]
fn relay_stopped_during_push() {
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
            daemons.iter().all(|daemon| daemon.present_count() == count)
        });
        println!("version after {took:?}, end of the relay {known:?} later");
    }
}

/// Guards against lost acknowledgements when a relay restarts under its name before anyone detects
/// it, without those that it had accepted and not stored. The report would say "pending" for ever.
#[test]
fn restarted_relay_gets_acks() {
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
