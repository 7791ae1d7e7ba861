//! The events of a single monitor and their timing.

mod support;

use std::time::Duration;

use sk_member::{
    LivenessMonitor, LocalReachability, MemberSnapshot, MemberStatus, MemberSuspicion, MemberTable,
    MonitorEvent, MonitorOptions,
};
use support::{fleet, record, snapshot_of};

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Creates a data centre of `len` daemons, the first of which monitors all others.
fn monitor_of(len: usize) -> (LivenessMonitor, MemberTable) {
    let names: Vec<String> = (0..len).map(|index| format!("m{index}")).collect();
    let mut table = MemberTable::new(record("m0", 1, 1, MemberStatus::Alive));
    for name in &names[1..] {
        table.merge(record(name, 1, 1, MemberStatus::Alive));
    }
    let mut monitor = LivenessMonitor::new("m0".to_owned(), 1, MonitorOptions::default());
    monitor.set_neighbours(names[1..].to_vec(), Duration::ZERO);
    (monitor, table)
}

fn snapshot(table: &MemberTable) -> MemberSnapshot {
    snapshot_of(table.records().values().cloned())
}

/// Ticks through a range of times in ms, during which all daemons but `silent` are heard, and
/// returns the events.
fn run(
    monitor: &mut LivenessMonitor,
    table: &MemberTable,
    silent: &str,
    time: std::ops::Range<u64>,
) -> Vec<MonitorEvent> {
    let snapshot = snapshot(table);
    let mut events = Vec::new();
    for now in time.step_by(100).map(millis) {
        for proxy in snapshot.keys().filter(|proxy| *proxy != silent) {
            monitor.record_heard(proxy, now);
        }
        events.extend(monitor.tick(&snapshot, now));
    }
    events
}

fn suspicion(proxy: &str, observer: &str) -> MemberSuspicion {
    MemberSuspicion {
        proxy: proxy.to_owned(),
        incarnation: 1,
        sequence: 1,
        observer: observer.to_owned(),
        number: 10,
        is_withdrawn: false,
    }
}

fn is_gone(events: &[MonitorEvent]) -> bool {
    events.iter().any(|event| matches!(event, MonitorEvent::Gone { .. }))
}

fn suspicion_count(events: &[MonitorEvent]) -> usize {
    events.iter().filter(|event| matches!(event, MonitorEvent::SendSuspicion(_))).count()
}

// In a small fleet there may be only one observer. It stops using the silent daemon, but its
// suspicion alone must not remove the record from every daemon.
#[test]
fn single_observer() {
    for len in [2, 3, 5] {
        let (mut monitor, table) = monitor_of(len);
        let events = run(&mut monitor, &table, "m1", 0..30_000);
        assert!(!is_gone(&events), "{len} daemons");
        assert_eq!(suspicion_count(&events), 1, "{len} daemons");
        assert!(monitor.marks().contains_key("m1"), "{len} daemons");
    }
}

// Two observers of one data centre agree, which is the quorum: the silent daemon counts as gone.
#[test]
fn second_observer() {
    let (mut monitor, table) = monitor_of(5);
    run(&mut monitor, &table, "m1", 0..2_000);
    assert!(monitor.add_suspicion(suspicion("m1", "m2"), millis(2_000)));
    assert!(!monitor.add_suspicion(suspicion("m1", "m2"), millis(2_000)), "known");
    assert!(is_gone(&run(&mut monitor, &table, "m1", 2_000..2_200)));
}

// Observers in other data centres cannot distinguish a crash from a network cut. However many they
// are, the daemon is only marked.
#[test]
fn far_observers() {
    let snapshot = snapshot_of(fleet(90));
    let mut monitor = LivenessMonitor::new("proxy-000".to_owned(), 1, MonitorOptions::default());
    let neighbours: Vec<String> =
        monitor.plan(&snapshot).neighbours("proxy-000").cloned().collect();
    monitor.set_neighbours(neighbours, Duration::ZERO);
    for observer in snapshot.keys().filter(|name| snapshot[*name].data_centre != "dc1") {
        let far_suspicion =
            MemberSuspicion { incarnation: 1_000, ..suspicion("proxy-010", observer) };
        monitor.add_suspicion(far_suspicion, Duration::ZERO);
    }
    assert!(!is_gone(&monitor.tick(&snapshot, millis(100))));
    assert_eq!(monitor.marks().get("proxy-010"), Some(&LocalReachability::Suspect));
}

// The kernel resets the connections of a process that ended. Waiting for silence would send
// requests to it for another second.
#[test]
fn reset_is_faster() {
    let (mut monitor, table) = monitor_of(5);
    run(&mut monitor, &table, "m1", 0..1_000);
    monitor.record_heard("m1", millis(950));
    monitor.record_reset("m1", millis(1_000));
    assert_eq!(suspicion_count(&run(&mut monitor, &table, "m1", 1_000..1_300)), 0);
    assert_eq!(suspicion_count(&run(&mut monitor, &table, "m1", 1_300..1_400)), 1);
    monitor.record_heard("m1", millis(1_400));
    let events = monitor.tick(&snapshot(&table), millis(1_400));
    assert!(
        matches!(&events[..], [MonitorEvent::SendSuspicion(suspicion), ..] if suspicion.is_withdrawn)
    );
    assert!(monitor.marks().is_empty());
}

// A link is broken in one direction for an hour. The daemon behind it refutes each suspicion, and
// each refutation is sent to the whole fleet.
#[test]
fn rare_suspicions() {
    let (mut monitor, mut table) = monitor_of(5);
    let mut refutations = 0;
    for start in (0..3_600_000).step_by(1_000) {
        let events = run(&mut monitor, &table, "m1", start..start + 1_000);
        assert!(!is_gone(&events));
        if suspicion_count(&events) > 0 {
            refutations += 1;
            let sequence = table.records()["m1"].sequence + 1;
            table.merge(record("m1", 1, sequence, MemberStatus::Alive));
        }
    }
    assert!((50..80).contains(&refutations), "{refutations} in an hour");
}

// The whole process is paused for 10 s; afterwards no neighbour was heard for that time.
#[test]
fn own_pause() {
    let (mut monitor, table) = monitor_of(5);
    run(&mut monitor, &table, "", 0..1_000);
    monitor.add_suspicion(suspicion("m1", "m2"), millis(900));
    monitor.add_suspicion(suspicion("m1", "m3"), millis(900));
    let events = monitor.tick(&snapshot(&table), millis(11_000));
    assert_eq!(events, [MonitorEvent::Paused(millis(10_100))]);
    let events = run(&mut monitor, &table, "", 11_100..12_400);
    assert!(!is_gone(&events) && suspicion_count(&events) == 0, "{events:?}");
}
