//! Calls of requests that have started elsewhere, on a server that also gets requests of callers and
//! documents.

use std::{cmp::Reverse, collections::BinaryHeap, collections::HashMap, time::Duration};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use sk_decide::{
    WorkClass,
    admitting::{
        Admission, AdmissionGuard, FlowKey, GuardRequest, GuardSettings, QueueOrder, RefusalReason,
        Released, Ticket,
    },
};

const SLOTS: u32 = 12;
const END: Duration = Duration::from_secs(20);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn guard(slots: u32) -> AdmissionGuard {
    let settings = GuardSettings { order: QueueOrder::Urgent, slots, ..GuardSettings::default() };
    AdmissionGuard::new(settings, Duration::ZERO)
}

/// A call with a goal of 200 ms and half a second to its deadline.
fn call(now: Duration) -> GuardRequest {
    GuardRequest {
        class: WorkClass::Short,
        flow: FlowKey { workspace: None, team: 1, caller: 1 },
        deadline: now + millis(500),
        is_exclusive: false,
        goal: Some(now + millis(200)),
        rank: 2,
        is_nested: true,
        work: 1,
        max_wait: None,
    }
}

/// Occupies all slots with work that has been found to take `work`.
fn occupy(guard: &mut AdmissionGuard, work: Duration, now: Duration, rng: &mut StdRng) -> Ticket {
    let request = GuardRequest { is_nested: false, rank: 0, goal: None, ..call(now) };
    for _ in 0..8 {
        let Admission::Run(ticket) = guard.offer(&request, now - work, rng) else {
            panic!("a slot is free")
        };
        let _ = guard.finish(ticket, now);
    }
    match guard.offer(&request, now, rng) {
        Admission::Run(ticket) => ticket,
        other => panic!("a slot is free: {other:?}"),
    }
}

/// Guards against requests of callers that start before the calls for which other servers keep slots
/// occupied: all of a higher rank, and with less time to their goals.
#[test]
fn starts_first() {
    let (mut guard, mut rng) = (guard(1), StdRng::seed_from_u64(1));
    let now = Duration::from_secs(5);
    let running = occupy(&mut guard, millis(50), now, &mut rng);
    let urgent =
        GuardRequest { is_nested: false, rank: 0, goal: Some(now + millis(150)), ..call(now) };
    assert!(matches!(guard.offer(&urgent, now, &mut rng), Admission::Queued(_)));
    let Admission::Queued(nested) = guard.offer(&call(now), now, &mut rng) else {
        panic!("the call queues")
    };
    assert_eq!(guard.finish(running, now + millis(50)).start, [nested]);
}

/// Guards against work that is lost because one of its calls would have been late. A request of a
/// caller is refused in its place, while it can still be answered elsewhere.
#[test]
fn late_call_kept() {
    let (mut guard, mut rng) = (guard(1), StdRng::seed_from_u64(1));
    let now = Duration::from_secs(5);
    occupy(&mut guard, millis(180), now, &mut rng);
    let new = GuardRequest { is_nested: false, ..call(now) };
    match guard.offer(&new, now, &mut rng) {
        Admission::Refused(refusal) => assert_eq!(refusal.reason, RefusalReason::GoalMissed),
        other => panic!("{other:?}"),
    }
    assert!(matches!(guard.offer(&call(now), now, &mut rng), Admission::Queued(_)));
    assert_eq!(guard.next_expiry(), Some(now + millis(320)), "its deadline less the usual work");
}

/// Calls at three quarters of a server beside as many documents as it takes; returns the times that calls
/// waited, in order, and how many documents ran.
fn play(is_nested: bool) -> (Vec<Duration>, u32) {
    let (mut guard, mut rng) = (guard(SLOTS), StdRng::seed_from_u64(7));
    let mut ends: BinaryHeap<Reverse<(Duration, Ticket)>> = BinaryHeap::new();
    let mut arrived: HashMap<Ticket, (Duration, bool)> = HashMap::new();
    let (mut next_call, mut next_document) = (Duration::ZERO, Duration::ZERO);
    let (mut waits, mut documents) = (Vec::new(), 0);
    let gap = |rate: f64, rng: &mut StdRng| {
        Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / rate)
    };
    let mut start = |ticket: Ticket,
                     now: Duration,
                     arrived: &HashMap<Ticket, (Duration, bool)>,
                     ends: &mut BinaryHeap<_>,
                     rng: &mut StdRng| {
        let (at, is_document) = arrived[&ticket];
        let mean = if is_document { 150.0 } else { 46.0 };
        match is_document {
            true => documents += 1,
            false => waits.push(now - at),
        }
        let work = Duration::from_secs_f64(mean * rng.random_range(0.4..1.6) / 1000.0);
        ends.push(Reverse((now + work, ticket)));
    };
    loop {
        let next_end = ends.peek().map_or(Duration::MAX, |Reverse((at, _))| *at);
        let now = next_end.min(next_call).min(next_document);
        if now > END {
            break;
        }
        if now == next_end {
            let Some(Reverse((_, ticket))) = ends.pop() else { break };
            let Released { start: begin, .. } = guard.finish(ticket, now);
            for ticket in begin {
                start(ticket, now, &arrived, &mut ends, &mut rng);
            }
            continue;
        }
        let is_document = now == next_document && now != next_call;
        let request = match is_document {
            true => {
                next_document = now + gap(60.0, &mut rng);
                GuardRequest {
                    class: WorkClass::Long,
                    deadline: now + millis(5000),
                    goal: Some(now + millis(800)),
                    is_nested: false,
                    work: 2,
                    ..call(now)
                }
            }
            false => {
                next_call = now + gap(200.0, &mut rng);
                GuardRequest { is_nested, ..call(now) }
            }
        };
        match guard.offer(&request, now, &mut rng) {
            Admission::Run(ticket) => {
                arrived.insert(ticket, (now, is_document));
                start(ticket, now, &arrived, &mut ends, &mut rng);
            }
            Admission::Queued(ticket) => {
                arrived.insert(ticket, (now, is_document));
            }
            Admission::Refused(_) => {}
        }
    }
    waits.sort_unstable();
    (waits, documents)
}

/// Guards against documents that take the slots which calls need: the calls then wait, and with them
/// the slots of the servers that made them. Some documents run all the same.
#[test]
fn documents_yield() {
    let late = |waits: &[Duration]| waits[waits.len() * 9 / 10];
    let (nested, documents) = play(true);
    let (plain, _) = play(false);
    println!("waits of calls, 9 of 10: {:?}, without preference {:?}", late(&nested), late(&plain));
    assert!(late(&nested) < millis(46), "longer than their work: {:?}", late(&nested));
    assert!(late(&plain) >= late(&nested) * 2, "{:?} and {:?}", late(&plain), late(&nested));
    // One slot's worth: 20 s of 150 ms.
    assert!(documents >= 100, "{documents} documents ran");
}
