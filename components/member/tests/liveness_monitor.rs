//! What one monitor says, and when.

mod support;

use std::time::Duration;

use sk_member::{
    LivenessMonitor, LocalMark, MemberStatus, MemberSuspicion, MemberTable, MemberView,
    MonitorEvent, MonitorOptions,
};
use support::{fleet, record, view_of};

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A data centre of as many daemons, the first of which watches all others.
fn watching(len: usize) -> (LivenessMonitor, MemberTable) {
    let names: Vec<String> = (0..len).map(|index| format!("m{index}")).collect();
    let mut table = MemberTable::new(record("m0", 1, 1, MemberStatus::Alive));
    for name in &names[1..] {
        table.merge(record(name, 1, 1, MemberStatus::Alive));
    }
    let mut monitor = LivenessMonitor::new("m0".to_owned(), 1, MonitorOptions::default());
    monitor.set_neighbours(names[1..].to_vec(), Duration::ZERO);
    (monitor, table)
}

fn view(table: &MemberTable) -> MemberView {
    view_of(table.records().values().cloned())
}

/// Ticks through a time, in which all but `silent` are heard.
fn run(
    monitor: &mut LivenessMonitor,
    table: &MemberTable,
    silent: &str,
    time: std::ops::Range<u64>,
) -> Vec<MonitorEvent> {
    let view = view(table);
    let mut events = Vec::new();
    for now in time.step_by(100).map(millis) {
        for proxy in view.keys().filter(|proxy| *proxy != silent) {
            monitor.heard(proxy, now);
        }
        events.extend(monitor.tick(&view, now));
    }
    events
}

fn accusation(proxy: &str, observer: &str) -> MemberSuspicion {
    MemberSuspicion {
        proxy: proxy.to_owned(),
        incarnation: 1,
        sequence: 1,
        observer: observer.to_owned(),
        round: 10,
        is_withdrawn: false,
    }
}

fn is_gone(events: &[MonitorEvent]) -> bool {
    events.iter().any(|event| matches!(event, MonitorEvent::Gone { .. }))
}

fn words(events: &[MonitorEvent]) -> usize {
    events.iter().filter(|event| matches!(event, MonitorEvent::Spread(_))).count()
}

// In a small fleet one observer may be all there is. It stops using the silent one, but its word
// alone must not take the record from everyone.
#[test]
fn too_few() {
    for len in [2, 3, 5] {
        let (mut monitor, table) = watching(len);
        let events = run(&mut monitor, &table, "m1", 0..30_000);
        assert!(!is_gone(&events), "{len} daemons");
        assert_eq!(words(&events), 1, "{len} daemons");
        assert!(monitor.marks().contains_key("m1"), "{len} daemons");
    }
}

#[test]
fn second_observer() {
    let (mut monitor, table) = watching(5);
    run(&mut monitor, &table, "m1", 0..2_000);
    assert!(monitor.note(accusation("m1", "m2"), millis(2_000)));
    assert!(!monitor.note(accusation("m1", "m2"), millis(2_000)), "known");
    assert!(is_gone(&run(&mut monitor, &table, "m1", 2_000..2_200)));
}

// Observers in other data centres cannot tell a crash from a cut. However many they are, the
// daemon is only marked.
#[test]
fn far_observers() {
    let view = view_of(fleet(90));
    let mut monitor = LivenessMonitor::new("proxy-000".to_owned(), 1, MonitorOptions::default());
    let neighbours: Vec<String> = monitor.plan(&view).neighbours("proxy-000").cloned().collect();
    monitor.set_neighbours(neighbours, Duration::ZERO);
    for observer in view.keys().filter(|name| view[*name].data_centre != "dc1") {
        let word = MemberSuspicion { incarnation: 1_000, ..accusation("proxy-010", observer) };
        monitor.note(word, Duration::ZERO);
    }
    assert!(!is_gone(&monitor.tick(&view, millis(100))));
    assert_eq!(monitor.marks().get("proxy-010"), Some(&LocalMark::Suspect));
}

// The kernel resets the connections of a process that ended. Waiting for silence would send a
// second's worth of requests to it.
#[test]
fn reset_is_faster() {
    let (mut monitor, table) = watching(5);
    run(&mut monitor, &table, "m1", 0..1_000);
    monitor.heard("m1", millis(950));
    monitor.lost("m1", millis(1_000));
    assert_eq!(words(&run(&mut monitor, &table, "m1", 1_000..1_300)), 0);
    assert_eq!(words(&run(&mut monitor, &table, "m1", 1_300..1_400)), 1);
    monitor.heard("m1", millis(1_400));
    let events = monitor.tick(&view(&table), millis(1_400));
    assert!(matches!(&events[..], [MonitorEvent::Spread(word), ..] if word.is_withdrawn));
    assert!(monitor.marks().is_empty());
}

// A link carries nothing in one direction, for an hour. The daemon behind it answers each
// accusation, and each answer travels to the whole fleet.
#[test]
fn rare_accusations() {
    let (mut monitor, mut table) = watching(5);
    let mut accusations = 0;
    for start in (0..3_600_000).step_by(1_000) {
        let events = run(&mut monitor, &table, "m1", start..start + 1_000);
        assert!(!is_gone(&events));
        if words(&events) > 0 {
            accusations += 1;
            let sequence = table.records()["m1"].sequence + 1;
            table.merge(record("m1", 1, sequence, MemberStatus::Alive));
        }
    }
    assert!((50..80).contains(&accusations), "{accusations} in an hour");
}

// The whole process stands still for 10 s; afterwards no neighbour was heard for as long.
#[test]
fn own_pause() {
    let (mut monitor, table) = watching(5);
    run(&mut monitor, &table, "", 0..1_000);
    monitor.note(accusation("m1", "m2"), millis(900));
    monitor.note(accusation("m1", "m3"), millis(900));
    let events = monitor.tick(&view(&table), millis(11_000));
    assert_eq!(events, [MonitorEvent::Paused(millis(10_100))]);
    let events = run(&mut monitor, &table, "", 11_100..12_400);
    assert!(!is_gone(&events) && words(&events) == 0, "{events:?}");
}
