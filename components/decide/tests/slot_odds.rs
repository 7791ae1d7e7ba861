//! Whether requests ask for free slots, by how their attempts ended.

use std::{sync::Arc, time::Duration};

use sk_decide::placing::{PlacementFactors, PlacementSettings, PlacementTable};

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn table(factors: PlacementFactors) -> Arc<PlacementTable> {
    Arc::new(PlacementTable::new(PlacementSettings { factors, ..PlacementSettings::default() }))
}

/// Records attempts, 30 a second, of which one of `each` is in vain, for two seconds.
fn attempt(table: &PlacementTable, each: u64, begin: Duration) -> Duration {
    let at = |number: u64| begin + millis(number * 33);
    for number in 0..60 {
        table.record_slot_search(number % each == each - 1, at(number));
    }
    at(59)
}

/// Guards against a fleet of full servers on which each request asks four of them in vain before it
/// queues.
#[test]
fn mostly_vain() {
    let table = table(PlacementFactors::default());
    assert!(!table.is_asking_vain(Duration::ZERO), "nothing is known");
    let now = attempt(&table, 2, millis(1000));
    assert!(table.is_asking_vain(now));
    // What was known has changed by now.
    assert!(!table.is_asking_vain(now + millis(2000)));
}

/// Guards against requests that queue near one full server while the others have free slots.
#[test]
fn seldom_vain() {
    let table = table(PlacementFactors::default());
    let now = attempt(&table, 12, millis(1000));
    assert!(!table.is_asking_vain(now));
}

/// Guards against a fleet that is full everywhere and passes each refused request on from one server
/// to the next, and against one that does not use the room that other data centres have.
#[test]
fn vain_moves() {
    let table = table(PlacementFactors::default());
    for number in 0..30 {
        table.record_move(true, millis(1000 + number * 33));
    }
    assert!(table.is_moving_vain(millis(2000)));
    for number in 0..60 {
        table.record_move(false, millis(2000 + number * 33));
    }
    assert!(!table.is_moving_vain(millis(4000)));
}

/// The mechanism can be left out, to measure what it gains.
#[test]
fn left_out() {
    let table = table(PlacementFactors { slot_odds: false, ..PlacementFactors::default() });
    let now = attempt(&table, 1, millis(1000));
    assert!(!table.is_asking_vain(now));
}
