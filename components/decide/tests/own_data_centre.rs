//! Keeping work in its data centre, where that costs callers nothing.

use std::{sync::Arc, time::Duration};

use rand::{SeedableRng, rngs::StdRng};
use sk_decide::{
    WorkClass,
    admitting::{
        Admission, AdmissionGuard, FlowKey, GuardRequest, GuardSettings, QueueOrder, RefusalReason,
    },
    placing::{
        CallOutcome, EndpointDistance, EndpointRecord, PlaceError, PlaceRequest, PlacementFactors,
        PlacementOrder, PlacementSettings, PlacementTable,
    },
};

const UPLOAD: u64 = 1;
const ALERT: u64 = 2;
const DOCUMENT: u64 = 3;
/// The endpoint in the own data centre, and the one in another.
const NEAR: u64 = 0;
const FAR: u64 = 1;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn two_centres() -> Arc<PlacementTable> {
    two_centres_with(PlacementFactors::default())
}

fn two_centres_with(factors: PlacementFactors) -> Arc<PlacementTable> {
    let settings = PlacementSettings {
        order: PlacementOrder::Soonest,
        factors,
        ..PlacementSettings::default()
    };
    let record = |id: u64, distance| EndpointRecord {
        id,
        incarnation: 1,
        slots: 9,
        distance,
        age: Duration::from_secs(3600),
    };
    let records =
        [record(NEAR, EndpointDistance::SameCentre), record(FAR, EndpointDistance::SameRegion)];
    Arc::new(PlacementTable::new(settings).rebuild(&records, Duration::ZERO))
}

fn attempt(work: u64, bytes: u64, goal: u64) -> PlaceRequest<'static> {
    PlaceRequest {
        class: WorkClass::Short,
        work,
        bytes,
        exclude: &[],
        may_probe: true,
        needs_free_slot: true,
        goal: Some(millis(goal)),
        is_nested: false,
    }
}

fn train(table: &Arc<PlacementTable>, id: u64, work: u64, took: u64, now: Duration) {
    let exclude = [1 - id];
    let request =
        PlaceRequest { exclude: &exclude, needs_free_slot: false, ..attempt(work, 0, 100) };
    for _ in 0..8 {
        let mut rng = StdRng::seed_from_u64(1);
        let placed = table.choose(&request, now, &mut rng).expect("the one that is left");
        placed.finish(CallOutcome::Success, millis(took), now);
    }
}

fn place(table: &Arc<PlacementTable>, request: &PlaceRequest<'_>, now: Duration) -> u64 {
    let mut rng = StdRng::seed_from_u64(2);
    table.choose(request, now, &mut rng).expect("an endpoint").endpoint()
}

/// The near server has just got uploads, which take it three times as long as alerts. With one time
/// for both kinds it looks too slow for an alert's goal, and nearly all alerts leave a data centre
/// whose own server is idle.
#[test]
fn separate_work_kinds() {
    let table = two_centres();
    let now = Duration::from_secs(5);
    for id in [NEAR, FAR] {
        train(&table, id, ALERT, 38, now);
    }
    train(&table, NEAR, UPLOAD, 115, now);
    assert_eq!(place(&table, &attempt(ALERT, 5_000, 100), now), NEAR);
}

/// All near slots are taken for a moment. An upload of 60 kilobytes that would be in time after a
/// short wait stays; where requests do not stay near for a goal that is met there, a small one goes
/// where a slot is free at once.
#[test]
fn large_upload_waits() {
    let factors = PlacementFactors { near_first: false, ..PlacementFactors::default() };
    for (factors, small) in [(PlacementFactors::default(), None), (factors, Some(FAR))] {
        let table = two_centres_with(factors);
        let now = Duration::from_secs(5);
        for id in [NEAR, FAR] {
            train(&table, id, UPLOAD, 72, now);
        }
        table.record_wait(NEAR, false, millis(40), now);
        assert_eq!(place(&table, &attempt(UPLOAD, 60_000, 300), now), NEAR);
        let asking = attempt(UPLOAD, 1_000, 300);
        let placed = table.choose(&asking, now, &mut StdRng::seed_from_u64(2));
        assert_eq!(placed.ok().map(|placed| placed.endpoint()), small);
        // Bytes are not worth a missed goal.
        assert_eq!(place(&table, &attempt(UPLOAD, 60_000, 130), now), FAR);
    }
}

/// Guards against requests that cross to another data centre for a free slot, although they would be
/// in time after a wait near by: there is no slot to ask for, and they queue at the near server. Where
/// that wait puts the goal at risk, the free slot is taken.
#[test]
fn small_request_stays() {
    let table = two_centres();
    let now = Duration::from_secs(5);
    for id in [NEAR, FAR] {
        train(&table, id, UPLOAD, 72, now);
    }
    table.record_wait(NEAR, false, millis(40), now);
    let asking = attempt(UPLOAD, 1_000, 300);
    let queueing = PlaceRequest { needs_free_slot: false, ..asking };
    assert!(table.choose(&asking, now, &mut StdRng::seed_from_u64(2)).is_err());
    assert_eq!(place(&table, &queueing, now), NEAR);
    table.record_wait(NEAR, false, millis(120), now);
    assert_eq!(place(&table, &asking, now), FAR);
    assert_eq!(place(&table, &queueing, now), FAR);
}

/// Guards against requests that take a full server for an idle one as soon as the last report's wait
/// is over: others keep coming, and all of them would go to the fastest server at once.
#[test]
fn queue_outlasts_report() {
    let table = two_centres();
    let now = Duration::from_secs(5);
    for id in [NEAR, FAR] {
        train(&table, id, UPLOAD, 72, now);
    }
    table.record_wait(NEAR, false, millis(200), now);
    let queueing = PlaceRequest { needs_free_slot: false, ..attempt(UPLOAD, 1_000, 300) };
    assert_eq!(place(&table, &queueing, now + millis(250)), FAR);
    // Two seconds later the report says nothing any more.
    assert_eq!(place(&table, &queueing, now + millis(2_000)), NEAR);
}

/// A request waits near by for a short time, and more urgent ones keep coming. It must not be kept
/// there while slots are free elsewhere, and is handed back as not run.
#[test]
fn handed_back() {
    let settings =
        GuardSettings { order: QueueOrder::Urgent, slots: 1, ..GuardSettings::default() };
    let mut guard = AdmissionGuard::new(settings, Duration::ZERO);
    let mut rng = StdRng::seed_from_u64(1);
    let now = Duration::from_secs(5);
    let request = |rank: u8, max_wait: Option<Duration>| GuardRequest {
        class: WorkClass::Short,
        flow: FlowKey { workspace: None, team: 1, caller: 1 },
        deadline: now + millis(500),
        is_exclusive: false,
        goal: Some(now + millis(200)),
        rank,
        is_nested: false,
        work: 1,
        max_wait,
    };
    assert!(matches!(guard.offer(&request(1, None), now, &mut rng), Admission::Run(_)));
    let brief = request(2, Some(millis(20)));
    let Admission::Queued(ticket) = guard.offer(&brief, now, &mut rng) else {
        panic!("a slot is expected within the time it may wait")
    };
    assert!(matches!(guard.offer(&request(0, None), now, &mut rng), Admission::Queued(_)));
    assert_eq!(guard.next_expiry(), Some(now + millis(40)), "twice the time it may wait");
    let released = guard.expire(now + millis(40));
    assert_eq!(released.refused, [(ticket, RefusalReason::Busy)]);
}

/// A call that every server of a service needs fails for half of their requests. Counted against
/// the near servers alone, it would send requests to another data centre, where as many fail. A
/// server that fails while its peers do not is still avoided.
#[test]
fn common_failures() {
    let table = two_centres();
    let now = Duration::from_secs(5);
    let fail = |id: u64| {
        for index in 0..12 {
            let outcome = if index % 2 == 0 { CallOutcome::Success } else { CallOutcome::Failure };
            let exclude = [1 - id];
            let request =
                PlaceRequest { exclude: &exclude, needs_free_slot: false, ..attempt(1, 0, 300) };
            let placed = table.choose(&request, now, &mut StdRng::seed_from_u64(3));
            placed.expect("the one that is left").finish(outcome, millis(60), now);
        }
    };
    fail(NEAR);
    assert_eq!(place(&table, &attempt(1, 1_000, 300), now), FAR, "it alone fails");
    fail(FAR);
    assert_eq!(place(&table, &attempt(1, 1_000, 300), now), NEAR, "both fail");
}

/// All data centres are full of documents. Sent to the others, most documents cross and as many are
/// served; a free slot elsewhere is used, and without a server near by they queue elsewhere.
#[test]
fn documents_stay() {
    let table = two_centres();
    let now = Duration::from_secs(5);
    let document = PlaceRequest {
        class: WorkClass::Long,
        needs_free_slot: false,
        ..attempt(DOCUMENT, 90_000, 1_000)
    };
    for id in [NEAR, FAR] {
        train(&table, id, DOCUMENT, 250, now);
    }
    let choose = |exclude: &[u64], now: Duration| {
        let wanted = PlaceRequest { exclude, ..document };
        let placed = table.choose(&wanted, now, &mut StdRng::seed_from_u64(4));
        placed.map(|placed| (placed.endpoint(), placed.max_wait()))
    };
    assert_eq!(choose(&[], now), Ok((NEAR, None)));
    assert_eq!(choose(&[NEAR], now), Ok((FAR, Some(Duration::ZERO))), "refused near by");
    for id in [NEAR, FAR] {
        table.record_wait(id, false, millis(500), now);
    }
    assert_eq!(choose(&[], now), Ok((NEAR, None)));
    assert_eq!(choose(&[NEAR], now), Err(PlaceError::AllExcluded), "full elsewhere");

    let far = EndpointRecord {
        id: FAR,
        incarnation: 1,
        slots: 9,
        distance: EndpointDistance::SameRegion,
        age: Duration::from_secs(3600),
    };
    let without_near = Arc::new(table.rebuild(&[far], now));
    let placed = without_near.choose(&document, now, &mut StdRng::seed_from_u64(4));
    assert_eq!(placed.map(|placed| placed.max_wait()), Ok(None), "no server near by");
}
