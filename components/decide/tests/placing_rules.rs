//! The rules of placement, one by one.

use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use sk_decide::WorkClass;
use sk_decide::placing::{
    CallOutcome, EndpointDistance, EndpointRecord, PlaceError, PlaceRequest, PlacementSettings,
    PlacementTable,
};

const OLD: Duration = Duration::from_secs(3600);
const ANY: PlaceRequest<'static> = PlaceRequest {
    class: WorkClass::Short,
    work: 1,
    bytes: 0,
    exclude: &[],
    may_probe: true,
    needs_free_slot: false,
    goal: None,
    is_nested: false,
};

fn record(id: u64) -> EndpointRecord {
    let distance = EndpointDistance::SameCentre;
    EndpointRecord { id, incarnation: 1, slots: 12, distance, age: OLD }
}

fn table(records: &[EndpointRecord], now: Duration) -> Arc<PlacementTable> {
    Arc::new(PlacementTable::new(PlacementSettings::default()).rebuild(records, now))
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Places calls that end at once and returns how many each endpoint got.
fn distribution(table: &Arc<PlacementTable>, calls: u32, now: Duration) -> [u32; 8] {
    let mut rng = StdRng::seed_from_u64(1);
    let mut counts = [0; 8];
    for _ in 0..calls {
        let call = table.choose(&ANY, now, &mut rng).expect("an endpoint is left");
        counts[call.endpoint() as usize] += 1;
    }
    counts
}

fn fail(table: &Arc<PlacementTable>, id: u64, outcome: CallOutcome, now: Duration) {
    let mut rng = StdRng::seed_from_u64(2);
    let others: Vec<_> =
        table.states(now).iter().map(|state| state.id).filter(|other| *other != id).collect();
    let request = PlaceRequest { exclude: &others, ..ANY };
    let call = table.choose(&request, now, &mut rng).expect("the endpoint may be tried");
    call.finish(outcome, Duration::from_millis(10), now);
}

fn ejected_count(table: &PlacementTable, now: Duration) -> usize {
    table.states(now).iter().filter(|state| state.is_ejected).count()
}

/// All servers fail at once, as when a database behind them is gone. Ejecting all of them would
/// turn slow failures into no service at all, which lasts when the database is back.
#[test]
fn ejection_limit() {
    let now = seconds(1);
    for (count, max_ejected) in [(1, 0), (2, 1), (3, 1), (5, 1), (6, 2), (7, 2)] {
        let records: Vec<_> = (0..count).map(record).collect();
        let table = table(&records, now);
        for id in 0..count {
            (0..6).for_each(|_| fail(&table, id, CallOutcome::Failure, now));
        }
        assert_eq!(ejected_count(&table, now), max_ejected, "{count} endpoints");
    }
}

/// Healthy endpoints leave while others are ejected. The number of ejected ones must come down with
/// them.
#[test]
fn shrunken_service() {
    let now = seconds(1);
    let records: Vec<_> = (0..6).map(record).collect();
    let full = table(&records, now);
    (0..6).for_each(|_| (0..2).for_each(|id| fail(&full, id, CallOutcome::Failure, now)));
    assert_eq!(ejected_count(&full, now), 2);
    assert_eq!(ejected_count(&full.rebuild(&records[..3], now), now), 1);
    assert_eq!(ejected_count(&full.rebuild(&records[..1], now), now), 0);
}

/// The ejection of an endpoint runs out. If all requests tried it at once, a server that is still
/// broken would fail them all.
#[test]
fn single_probe() {
    let (now, later) = (seconds(1), seconds(7));
    let table = table(&[record(0), record(1), record(2)], now);
    (0..2).for_each(|_| fail(&table, 0, CallOutcome::Unreachable, now));
    assert_eq!(distribution(&table, 300, now)[0], 0, "ejected");
    let mut rng = StdRng::seed_from_u64(1);
    let once_only = PlaceRequest { may_probe: false, ..ANY };
    let call = table.choose(&once_only, later, &mut rng).expect("others are left");
    assert!(!call.is_probe(), "a request that runs at most once is no probe");
    let probe = table.choose(&ANY, later, &mut rng).expect("the probe is due");
    assert!(probe.is_probe() && probe.endpoint() == 0);
    assert_eq!(distribution(&table, 300, later)[0], 0, "one probe at a time");
    probe.finish(CallOutcome::Failure, Duration::ZERO, later);
    assert_eq!(distribution(&table, 300, later + seconds(9))[0], 0, "ejected for twice as long");
    let again = later + seconds(10);
    let probe = table.choose(&ANY, again, &mut rng).expect("the probe is due");
    probe.finish(CallOutcome::Success, Duration::from_millis(1), again);
    let cold = distribution(&table, 3000, again)[0];
    assert!((1..300).contains(&cold), "reinstated and cold: {cold} of 3000");
}

/// All other endpoints were tried. The ejected one is a better answer than none, but by one request
/// only.
#[test]
fn last_resort() {
    let now = seconds(1);
    let table = table(&[record(0), record(1)], now);
    (0..2).for_each(|_| fail(&table, 0, CallOutcome::Unreachable, now));
    let mut rng = StdRng::seed_from_u64(1);
    let request = PlaceRequest { exclude: &[1], ..ANY };
    let probe = table.choose(&request, now, &mut rng).expect("one probe is allowed");
    assert!(probe.is_probe());
    let second = table.choose(&request, now, &mut rng);
    assert_eq!(second.err(), Some(PlaceError::AllExcluded));
}

/// A server drains, and its guard reports it before the membership does. Requests placed there
/// meanwhile are refused and each costs a retry.
#[test]
fn leaving_server() {
    let now = seconds(1);
    let table = table(&[record(0), record(1), record(2)], now);
    fail(&table, 0, CallOutcome::Leaving, now);
    assert_eq!(distribution(&table, 300, now + seconds(3600))[0], 0);
    fail(&table, 1, CallOutcome::Leaving, now);
    (0..6).for_each(|_| fail(&table, 2, CallOutcome::Failure, now));
    assert_eq!(distribution(&table, 300, now)[2], 300, "the last one that stays is not ejected");
}

/// A new process runs at an old address. With the counts of the old one it would look loaded for
/// good, and with its history it would stay ejected though it is a healthy server.
#[test]
fn new_incarnation() {
    let now = seconds(1);
    let old = table(&[record(0), record(1)], now);
    let mut rng = StdRng::seed_from_u64(1);
    let request = PlaceRequest { exclude: &[1], ..ANY };
    let calls: Vec<_> = (0..5).map(|_| old.choose(&request, now, &mut rng)).collect();
    let restarted = EndpointRecord { incarnation: 2, age: Duration::ZERO, ..record(0) };
    let new = Arc::new(old.rebuild(&[restarted, record(1)], now));
    assert_eq!(new.states(now)[0].in_flight, 0);
    assert_eq!(old.rebuild(&[record(0), record(1)], now).states(now)[0].in_flight, 5);
    drop(calls);
    assert_eq!((old.states(now)[0].in_flight, new.states(now)[0].in_flight), (0, 0));
    let cold = distribution(&new, 3000, now)[0];
    assert!((150..450).contains(&cold), "a tenth of its slots: {cold} of 3000");
    let warm = distribution(&new, 3000, now + seconds(40))[0];
    assert!((1300..1700).contains(&warm), "all of its slots: {warm} of 3000");
}

/// The load that a server reports lowers the slots counted on at it, and only for a short time: a
/// server whose report is stuck at full would otherwise idle, and one stuck at idle must gain
/// nothing.
#[test]
fn load_hints() {
    let now = seconds(1);
    let table = table(&[record(0), record(1)], now);
    table.record_load(0, 0.0, now);
    assert!((1300..1700).contains(&distribution(&table, 3000, now)[0]), "idle gains nothing");
    table.record_load(0, 1.0, now);
    let full = distribution(&table, 3000, now)[0];
    assert!((150..450).contains(&full), "full keeps a tenth: {full} of 3000");
    assert!((1300..1700).contains(&distribution(&table, 3000, now + seconds(2))[0]), "expired");
}

/// Requests stay in their data centre until it is loaded, and then leave by degrees: without the
/// spill they queue near by while servers elsewhere are idle; with a sharp threshold the load of
/// whole data centres swings back and forth.
#[test]
fn centre_spill() {
    let now = seconds(1);
    let distance = EndpointDistance::SameRegion;
    let table = table(&[record(0), EndpointRecord { distance, ..record(1) }], now);
    let mut rng = StdRng::seed_from_u64(1);
    let mut calls = Vec::new();
    let mut spilled_at = Vec::new();
    for count in 0..20 {
        let call = table.choose(&ANY, now, &mut rng).expect("an endpoint is left");
        spilled_at.extend((call.endpoint() == 1).then_some(count));
        calls.push(call);
    }
    assert!(spilled_at[0] >= 8, "near by up to 70 %: {spilled_at:?}");
    assert!(table.states(now)[0].in_flight <= 12, "none beyond the slots near by");
}

/// Threads place calls while failures eject endpoints. The limit must apply at every moment, and no
/// count may be lost, or an endpoint would look loaded for good.
#[test]
fn many_threads() {
    let now = seconds(1);
    let records: Vec<_> = (0..6).map(record).collect();
    let table = table(&records, now);
    std::thread::scope(|scope| {
        for seed in 0..4 {
            let table = &table;
            scope.spawn(move || {
                let mut rng = StdRng::seed_from_u64(seed);
                for step in 0..2000_u64 {
                    let now = now + Duration::from_millis(step);
                    let Ok(call) = table.choose(&ANY, now, &mut rng) else { continue };
                    let outcome = match call.endpoint() % 2 {
                        0 => CallOutcome::Failure,
                        _ => CallOutcome::Success,
                    };
                    call.finish(outcome, Duration::from_millis(1), now);
                    assert!(ejected_count(table, now) <= 2);
                }
            });
        }
    });
    assert!(table.states(now).iter().all(|state| state.in_flight == 0));
}
