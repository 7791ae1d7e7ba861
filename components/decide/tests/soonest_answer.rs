//! Placement by the expected answer, on servers that differ in speed.

use std::{sync::Arc, time::Duration};

use rand::{SeedableRng, rngs::StdRng};
use sk_decide::{
    WorkClass,
    placing::{
        CallOutcome, EndpointDistance, EndpointRecord, PlaceRequest, PlacementOrder,
        PlacementSettings, PlacementTable,
    },
};

const GOAL: Duration = Duration::from_millis(600);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn table(distances: &[EndpointDistance]) -> Arc<PlacementTable> {
    let settings = PlacementSettings {
        order: PlacementOrder::Soonest,
        warm_up: Duration::ZERO,
        ..PlacementSettings::default()
    };
    let record = |(index, distance): (usize, &EndpointDistance)| EndpointRecord {
        id: index as u64,
        incarnation: 1,
        slots: 12,
        distance: *distance,
        age: Duration::from_secs(60),
    };
    let records: Vec<EndpointRecord> = distances.iter().enumerate().map(record).collect();
    Arc::new(PlacementTable::new(settings).rebuild(&records, Duration::ZERO))
}

const ANY: PlaceRequest<'static> = PlaceRequest {
    class: WorkClass::Short,
    work: 1,
    bytes: 0,
    exclude: &[],
    may_probe: true,
    needs_free_slot: true,
    goal: Some(GOAL),
    is_nested: false,
};

/// Ends a request at a given endpoint by leaving only that one to choose.
fn train(
    table: &Arc<PlacementTable>,
    id: u64,
    outcome: CallOutcome,
    took: Duration,
    now: Duration,
) {
    let others: Vec<u64> = (0..table.len() as u64).filter(|other| *other != id).collect();
    let request = PlaceRequest { exclude: &others, needs_free_slot: false, ..ANY };
    let mut rng = StdRng::seed_from_u64(1);
    let placed = table.choose(&request, now, &mut rng).expect("the one that is left");
    placed.finish(outcome, took, now);
}

/// Counts where a hundred requests go.
fn count(table: &Arc<PlacementTable>, request: &PlaceRequest<'_>, now: Duration) -> Vec<u32> {
    let mut rng = StdRng::seed_from_u64(2);
    let mut counts = vec![0; table.len()];
    for _ in 0..100 {
        if let Ok(placed) = table.choose(request, now, &mut rng) {
            counts[placed.endpoint() as usize] += 1;
        }
    }
    counts
}

/// Servers of one service differ threefold in speed. Half of the callers of the slow one would miss
/// their goal while the fast one is idle.
#[test]
fn fast_first() {
    let table = table(&[EndpointDistance::SameCentre; 3]);
    let now = Duration::from_secs(5);
    for (id, took) in [(0, 150), (1, 320), (2, 450)] {
        (0..8).for_each(|_| train(&table, id, CallOutcome::Success, millis(took), now));
    }
    assert_eq!(count(&table, &ANY, now), [100, 0, 0]);
    // It reports that it has no free slot: the next best is tried, and no request waits for the
    // first.
    table.record_wait(0, false, millis(80), now);
    assert_eq!(count(&table, &ANY, now), [0, 100, 0]);
    // The report counts until the wait is over.
    assert_eq!(count(&table, &ANY, now + millis(90)), [100, 0, 0]);
}

/// No server has a slot free. The request waits where wait and work together are least, and not
/// where the work alone is.
#[test]
fn least_sum() {
    let table = table(&[EndpointDistance::SameCentre; 2]);
    let now = Duration::from_secs(5);
    for (id, took, wait) in [(0, 150, 400), (1, 250, 50)] {
        (0..8).for_each(|_| train(&table, id, CallOutcome::Success, millis(took), now));
        table.record_wait(id, false, millis(wait), now);
    }
    assert_eq!(count(&table, &ANY, now), [0, 0], "none is free");
    let queueing = PlaceRequest { needs_free_slot: false, ..ANY };
    assert_eq!(count(&table, &queueing, now), [0, 100]);
}

/// Bytes between data centres are expensive. While the goal is met near by, nothing is sent far;
/// where it would be missed near by, callers matter more than bytes.
#[test]
fn near_in_time() {
    let table = table(&[EndpointDistance::SameCentre, EndpointDistance::SameRegion]);
    let now = Duration::from_secs(5);
    for (id, took) in [(0, 300), (1, 150)] {
        (0..8).for_each(|_| train(&table, id, CallOutcome::Success, millis(took), now));
    }
    assert_eq!(count(&table, &ANY, now), [100, 0]);
    let urgent = PlaceRequest { goal: Some(millis(350)), ..ANY };
    assert_eq!(count(&table, &urgent, now), [0, 100]);
}

/// A server fails half of its requests while it looks healthy and is near. Callers of requests that
/// run once only would lose every second one.
#[test]
fn failing_avoided() {
    let table = table(&[EndpointDistance::SameCentre, EndpointDistance::SameRegion]);
    let now = Duration::from_secs(5);
    for index in 0..12 {
        let outcome = if index % 2 == 0 { CallOutcome::Success } else { CallOutcome::Failure };
        train(&table, 0, outcome, millis(100), now);
        train(&table, 1, CallOutcome::Success, millis(200), now);
    }
    assert_eq!(count(&table, &ANY, now), [0, 100]);
    // It is tried again when some time has passed since the failures.
    assert_eq!(count(&table, &ANY, now + Duration::from_secs(10)), [100, 0]);
}

/// A guard sees its server fail before this daemon has lost a request there. Without the guard's
/// report, each daemon of a fleet would lose two requests to find out the same.
#[test]
fn reported_failures() {
    let table = table(&[EndpointDistance::SameCentre, EndpointDistance::SameRegion]);
    let now = Duration::from_secs(5);
    for (id, took) in [(0, 100), (1, 200)] {
        (0..8).for_each(|_| train(&table, id, CallOutcome::Success, millis(took), now));
    }
    table.record_failure_rate(0, 0.4, now);
    assert_eq!(count(&table, &ANY, now), [0, 100]);
    assert_eq!(count(&table, &ANY, now + Duration::from_secs(10)), [100, 0]);
}

/// One of two servers resets every connection at once, and the other has no free slot. The first
/// always looks free, so that all requests that the second has no slot for would go there and fail,
/// and their retries too.
#[test]
fn failing_is_not_free() {
    let table = table(&[EndpointDistance::SameCentre; 2]);
    let now = Duration::from_secs(5);
    (0..8).for_each(|_| train(&table, 0, CallOutcome::Success, millis(200), now));
    (0..8).for_each(|_| train(&table, 1, CallOutcome::Failure, millis(2), now));
    table.record_wait(0, false, millis(150), now);
    assert_eq!(count(&table, &ANY, now), [0, 0], "the only free slot is at a failing server");
    let queueing = PlaceRequest { needs_free_slot: false, ..ANY };
    assert_eq!(count(&table, &queueing, now), [100, 0], "they wait at the one that works");
}

/// Ends a request at a given endpoint whose answer spent a time in transit.
fn train_transit(table: &Arc<PlacementTable>, id: u64, transit: Duration, now: Duration) {
    let others: Vec<u64> = (0..table.len() as u64).filter(|other| *other != id).collect();
    let request = PlaceRequest { exclude: &others, needs_free_slot: false, ..ANY };
    let mut rng = StdRng::seed_from_u64(1);
    let mut placed = table.choose(&request, now, &mut rng).expect("the one that is left");
    placed.record_head(Some(transit), now);
    placed.finish(CallOutcome::Success, millis(150), now);
}

/// The link of an instance is full of documents. Its server is quick, its guard has free slots and
/// reports them, and every answer is a third of a second late. Callers of short work would all miss
/// their goal while other servers are idle.
#[test]
fn full_link() {
    let table = table(&[EndpointDistance::SameCentre, EndpointDistance::SameRegion]);
    let now = Duration::from_secs(5);
    for (id, transit) in [(0, 330), (1, 2)] {
        (0..4).for_each(|_| train_transit(&table, id, millis(transit), now));
    }
    let urgent = PlaceRequest { goal: Some(millis(400)), ..ANY };
    assert_eq!(count(&table, &urgent, now), [0, 100]);
    // No further answer came from it: it is tried again.
    let later = now + Duration::from_secs(20);
    assert!(count(&table, &urgent, later)[0] > 0);
}

/// A daemon has no processor time left, or lost its power a second ago, and answers nothing. It has
/// refused nothing, so all counts look good; requests would be sent there until their deadlines
/// pass one by one.
#[test]
fn no_answer() {
    let table = table(&[EndpointDistance::SameCentre, EndpointDistance::SameRegion]);
    let now = Duration::from_secs(5);
    for id in [0, 1] {
        (0..4).for_each(|_| train_transit(&table, id, millis(2), now));
    }
    let mut rng = StdRng::seed_from_u64(1);
    let near = PlaceRequest { exclude: &[1], needs_free_slot: false, ..ANY };
    let mut open = table.choose(&near, now, &mut rng).expect("the near one");
    assert_eq!(count(&table, &ANY, now + millis(100)), [100, 0], "long work alone proves nothing");
    let silent = now + millis(1_300);
    assert_eq!(count(&table, &ANY, silent), [0, 100]);
    open.record_head(Some(millis(2)), silent);
    assert_eq!(count(&table, &ANY, silent), [100, 0], "an answer shows that messages get through");
}

/// Documents are late everywhere, by half a second more near by than far away. Bytes that cross
/// between data centres are expensive, and the caller gets a late document either way; it comes
/// from far only where the near one would be later by seconds.
#[test]
fn late_documents() {
    let table = table(&[EndpointDistance::SameCentre, EndpointDistance::SameRegion]);
    let now = Duration::from_secs(5);
    let long = PlaceRequest { class: WorkClass::Long, work: 2, needs_free_slot: false, ..ANY };
    for (id, took) in [(0, 1_400), (1, 900)] {
        for _ in 0..8 {
            let others = [1 - id];
            let request = PlaceRequest { exclude: &others, ..long };
            let placed = table.choose(&request, now, &mut StdRng::seed_from_u64(1)).expect("one");
            placed.finish(CallOutcome::Success, millis(took), now);
        }
    }
    assert_eq!(count(&table, &long, now), [100, 0]);
    let short = PlaceRequest { class: WorkClass::Short, work: 1, ..long };
    for (id, took) in [(0, 1_400), (1, 900)] {
        (0..8).for_each(|_| train(&table, id, CallOutcome::Success, millis(took), now));
    }
    assert_eq!(count(&table, &short, now), [0, 100], "short answers are cheap");
    table.record_wait(0, false, millis(1_000), now);
    assert_eq!(count(&table, &long, now), [0, 100]);
}
