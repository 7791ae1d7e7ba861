//! Admission to a server that states how many requests a second it takes.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};
use sk_decide::WorkClass;
use sk_decide::admitting::{
    Admission, AdmissionGuard, FlowKey, GuardRequest, GuardSettings, QueueOrder, RefusalReason,
    StatedRate, Ticket,
};

/// Span over which arrivals at the server are counted.
const SPAN: Duration = Duration::from_secs(4);
/// Time that a request takes.
const WORK: Duration = Duration::from_millis(100);
const STEP: Duration = Duration::from_millis(5);

fn new_guard(order: QueueOrder) -> AdmissionGuard {
    AdmissionGuard::new(GuardSettings { order, ..GuardSettings::default() }, Duration::ZERO)
}

fn request(now: Duration) -> GuardRequest {
    GuardRequest {
        class: WorkClass::Short,
        flow: FlowKey { workspace: None, team: 1, caller: 1 },
        deadline: now + Duration::from_secs(10),
        is_exclusive: false,
        goal: Some(now + Duration::from_secs(2)),
        rank: 0,
        is_nested: false,
        work: 1,
        max_wait: None,
    }
}

/// Offers a request at once and sends it if it runs.
fn send(guard: &mut AdmissionGuard, now: Duration, rng: &mut StdRng) -> Option<Ticket> {
    match guard.offer(&request(now), now, rng) {
        Admission::Run(ticket) => guard.record_sent(ticket, now).then_some(ticket),
        Admission::Queued(_) | Admission::Refused(_) => None,
    }
}

fn state(guard: &mut AdmissionGuard, rate: StatedRate, sent_at: Duration, now: Duration) {
    let _ = guard.record_stated_rate(rate, sent_at, now);
}

/// Returns the most arrivals in any [`SPAN`].
fn peak(arrivals: &[Duration]) -> usize {
    let within = |at: &Duration| {
        arrivals.iter().filter(|other| **other >= *at && **other < *at + SPAN).count()
    };
    arrivals.iter().map(within).max().unwrap_or_default()
}

/// Sends ten requests for each that `rate` allows, in bursts, for twenty seconds, and returns the
/// times at which the server got one. Each answer states the rate.
fn simulate(rate: f64, seed: u64) -> Vec<Duration> {
    let mut guard = new_guard(QueueOrder::Urgent);
    let mut rng = StdRng::seed_from_u64(seed);
    let mut running: Vec<(Duration, Ticket)> = Vec::new();
    let mut arrivals = Vec::new();
    state(&mut guard, StatedRate::PerSecond(rate), Duration::ZERO, STEP);
    let mut now = STEP;
    while now < Duration::from_secs(20) {
        now += STEP;
        let (ended, rest) = running.into_iter().partition(|(at, _)| *at + WORK <= now);
        running = rest;
        let mut started = Vec::new();
        for (sent_at, ticket) in ended {
            state(&mut guard, StatedRate::PerSecond(rate), sent_at, now);
            started.extend(guard.finish(ticket, now).start);
        }
        started.extend(guard.expire(now).start);
        for _ in 0..rng.random_range(0..=(rate / 10.0).ceil() as u32) {
            if let Admission::Run(ticket) = guard.offer(&request(now), now, &mut rng) {
                started.push(ticket);
            }
        }
        for ticket in started {
            if guard.record_sent(ticket, now) {
                arrivals.push(now);
                running.push((now, ticket));
            }
        }
    }
    arrivals
}

/// Guards against more requests than a limit allows, at low limits and high ones, and against a
/// limit that leaves much of what the server takes unused.
#[test]
fn any_rate() {
    for rate in [0.0, 0.1, 0.5, 1.0, 2.3, 11.9, 60.0] {
        for seed in 0..10 {
            let arrivals = simulate(rate, seed);
            let allowed = 1.5 * rate * SPAN.as_secs_f64() + 5.0;
            let peak = peak(&arrivals);
            assert!(peak as f64 <= allowed, "{rate} a second, seed {seed}: {peak} in {SPAN:?}");
            let least = 0.8 * rate * 20.0;
            assert!(arrivals.len() as f64 >= least, "{rate}, seed {seed}: {}", arrivals.len());
        }
    }
}

/// Guards against a server that gets nothing any more: at a limit of zero an answer that could tell
/// of its end would never come.
#[test]
fn zero_ends() {
    let mut guard = new_guard(QueueOrder::Fair);
    let mut rng = StdRng::seed_from_u64(1);
    let at = Duration::from_secs;
    state(&mut guard, StatedRate::PerSecond(0.0), at(1), at(1));
    let sent: Vec<u64> =
        (1..20).filter(|second| send(&mut guard, at(*second), &mut rng).is_some()).collect();
    assert_eq!(sent, [1, 5, 9, 13, 17]);
    state(&mut guard, StatedRate::Unlimited, at(17), at(18));
    assert!(send(&mut guard, at(18), &mut rng).is_some());
    assert!(send(&mut guard, at(18), &mut rng).is_some());
}

/// Guards against an answer that is older than the limit and seems to end it: it answers a request
/// that was sent before.
#[test]
fn older_answer() {
    let mut guard = new_guard(QueueOrder::Fair);
    let limit = |guard: &AdmissionGuard| guard.state(Duration::from_secs(9)).limit_per_thousand_s;
    let at = Duration::from_secs;
    state(&mut guard, StatedRate::PerSecond(2.0), at(1), at(3));
    for rate in [StatedRate::Unlimited, StatedRate::PerSecond(8.0)] {
        state(&mut guard, rate, at(2), at(4));
        assert_eq!(limit(&guard), Some(2000), "{rate:?}");
    }
    state(&mut guard, StatedRate::PerSecond(1.0), at(2), at(4));
    assert_eq!(limit(&guard), Some(1000), "a lower limit holds at once");
    state(&mut guard, StatedRate::PerSecond(8.0), at(4), at(5));
    assert_eq!(limit(&guard), Some(8000));
    state(&mut guard, StatedRate::Unlimited, at(6), at(7));
    assert_eq!(limit(&guard), None);
}

/// Guards against requests that were queued before a limit, and would wait for it in vain or be
/// sent beyond it.
#[test]
fn queue_beyond_limit() {
    for order in [QueueOrder::Fair, QueueOrder::Urgent] {
        let mut guard = new_guard(order);
        let mut rng = StdRng::seed_from_u64(1);
        let now = Duration::from_secs(5);
        while send(&mut guard, now, &mut rng).is_some() {}
        for _ in 0..3 {
            let admission = guard.offer(&request(now), now, &mut rng);
            assert!(matches!(admission, Admission::Queued(_)), "{admission:?}");
        }
        let (_, released) = guard.record_stated_rate(StatedRate::PerSecond(0.5), now, now);
        assert_eq!(released.refused.len(), 3, "{order:?}: all but one of four go elsewhere");
        assert!(released.refused.iter().all(|(_, reason)| *reason == RefusalReason::RateLimited));
        assert_eq!(guard.state(now).queued[0], 1);
    }
}

/// Guards against repeats on a new connection that come on top of a limit.
#[test]
fn repeats_count() {
    let mut guard = new_guard(QueueOrder::Fair);
    let mut rng = StdRng::seed_from_u64(1);
    let now = Duration::from_secs(1);
    state(&mut guard, StatedRate::PerSecond(3.0), now, now);
    let ticket = send(&mut guard, now, &mut rng).expect("room for a request");
    assert!(guard.record_sent(ticket, now));
    assert!(guard.record_sent(ticket, now));
    assert!(!guard.record_sent(ticket, now), "three a second");
    assert_eq!(send(&mut guard, now, &mut rng), None);
    guard.record_unsent(ticket, now);
    assert!(guard.record_sent(ticket, now), "what was not sent does not count");
}

/// Guards against a burst to a server that has stated a limit before its daemon started again.
#[test]
fn limit_before_start() {
    let mut guard = new_guard(QueueOrder::Fair);
    let mut rng = StdRng::seed_from_u64(1);
    let now = Duration::from_secs(1);
    guard.expect_limit(now);
    let sent = (0..12).filter(|_| send(&mut guard, now, &mut rng).is_some()).count();
    assert_eq!(sent, 4);
    let later = now + WORK;
    state(&mut guard, StatedRate::Unlimited, now, later);
    assert!(send(&mut guard, later, &mut rng).is_some(), "an answer without a limit ends it");
}

/// Guards against a server that has just started and gets a few requests only, since its daemon took
/// it for one that was running before.
#[test]
fn started_server() {
    let mut guard = new_guard(QueueOrder::Fair);
    let mut rng = StdRng::seed_from_u64(1);
    let now = Duration::from_secs(1);
    guard.expect_limit(now);
    guard.expect_no_limit();
    assert_eq!((0..12).filter(|_| send(&mut guard, now, &mut rng).is_some()).count(), 12);
    state(&mut guard, StatedRate::PerSecond(1.0), now, now);
    guard.expect_no_limit();
    assert!(send(&mut guard, now, &mut rng).is_none(), "a limit that was stated holds");
}

/// Guards against callers that wait for their deadline at a server without room, or come back
/// before it has any.
#[test]
fn refused_at_once() {
    let mut guard = new_guard(QueueOrder::Urgent);
    let mut rng = StdRng::seed_from_u64(1);
    let now = Duration::from_secs(1);
    state(&mut guard, StatedRate::PerSecond(2.0), now, now);
    while send(&mut guard, now, &mut rng).is_some() {}
    let Admission::Refused(refusal) = guard.offer(&request(now), now, &mut rng) else {
        panic!("no room is left");
    };
    assert_eq!(refusal.reason, RefusalReason::RateLimited);
    assert!(refusal.retry_after >= Duration::from_millis(499), "{refusal:?}");
    assert!(guard.wait_hint(false, now) >= Duration::from_millis(499));
}
