//! A server that neighbours on its machine slow for half a second at a time, and that reports its
//! load, truly or not.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};
use sk_decide::{
    WorkClass,
    admitting::{
        Admission, AdmissionGuard, FlowKey, GuardRequest, GuardSettings, QueueOrder, Released,
        ServerLoad, Ticket,
    },
};

const SLOTS: u32 = 12;
const WORK: Duration = Duration::from_millis(100);
const GOAL: Duration = Duration::from_millis(300);
const STEP: Duration = Duration::from_millis(1);
const END: Duration = Duration::from_secs(60);
/// A neighbour slows the server by this factor, for a time in each period.
const NOISE: f64 = 2.5;
const NOISE_TIME: Duration = Duration::from_millis(600);
const NOISE_PERIOD: Duration = Duration::from_secs(4);

/// What the server reports as its load.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Report {
    Nothing,
    True,
    Zeros,
    Constant(ServerLoad),
    Random,
}

/// Requests by what became of them.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    asked: u32,
    in_goal: u32,
    late: u32,
    refused: u32,
}

fn new_guard() -> AdmissionGuard {
    let settings =
        GuardSettings { order: QueueOrder::Urgent, slots: SLOTS, ..GuardSettings::default() };
    AdmissionGuard::new(settings, Duration::ZERO)
}

fn request(now: Duration) -> GuardRequest {
    GuardRequest {
        class: WorkClass::Short,
        flow: FlowKey { workspace: None, team: 1, caller: 1 },
        deadline: now + GOAL * 3,
        is_exclusive: false,
        goal: Some(now + GOAL),
        rank: 0,
        is_nested: false,
        work: 1,
        max_wait: None,
    }
}

fn slowness_at(now: Duration, has_noise: bool) -> f64 {
    let phase = now.as_micros() % NOISE_PERIOD.as_micros();
    if has_noise && phase < NOISE_TIME.as_micros() { NOISE } else { 1.0 }
}

/// Sends a part of the server's usual capacity to it for a minute.
fn run(report: Report, load: f64, has_noise: bool) -> Count {
    let (mut guard, mut count) = (new_guard(), Count::default());
    let (mut rng, mut guard_rng) = (StdRng::seed_from_u64(5), StdRng::seed_from_u64(6));
    // Remaining work, ticket and time of arrival of the requests that run, and those that wait.
    let mut running: Vec<(f64, Ticket, Duration)> = Vec::new();
    let mut waiting: Vec<(Ticket, Duration)> = Vec::new();
    let mut now = Duration::from_secs(1);
    let mut arrivals = 0.0;
    while now < END {
        now += STEP;
        let slowness = slowness_at(now, has_noise);
        let mut started: Vec<Released> = vec![guard.expire(now)];
        running.iter_mut().for_each(|(left, ..)| *left -= STEP.as_secs_f64() / slowness);
        let (ended, rest): (Vec<_>, Vec<_>) = running.into_iter().partition(|run| run.0 <= 0.0);
        running = rest;
        for (_, ticket, asked_at) in ended {
            let in_use = running.len() as u32 + 1;
            let load = match report {
                Report::Nothing => None,
                Report::True => Some((in_use, 0, SLOTS, (slowness * 100.0) as u32)),
                Report::Zeros => Some((0, 0, 0, 0)),
                Report::Constant(load) => {
                    Some((load.running, load.waiting, load.slots, load.slowness))
                }
                Report::Random => Some((in_use, 0, SLOTS, rng.random_range(1..2000))),
            };
            if let Some((running, waiting, slots, slowness)) = load {
                let load = ServerLoad { running, waiting, slots, slowness };
                guard.record_load(ticket, &load, now);
            }
            match now - asked_at <= GOAL {
                true => count.in_goal += 1,
                false => count.late += 1,
            }
            started.push(guard.finish(ticket, now));
        }
        arrivals += load * f64::from(SLOTS) * STEP.as_secs_f64() / WORK.as_secs_f64();
        let mut work = || WORK.as_secs_f64() * (0.5 + rng.random::<f64>());
        while arrivals >= 1.0 {
            arrivals -= 1.0;
            count.asked += 1;
            match guard.offer(&request(now), now, &mut guard_rng) {
                Admission::Run(ticket) => running.push((work(), ticket, now)),
                Admission::Queued(ticket) => waiting.push((ticket, now)),
                Admission::Refused(_) => count.refused += 1,
            }
        }
        for released in started {
            count.refused += released.refused.len() as u32;
            for ticket in released.start {
                let asked_at = waiting.iter().find(|(waiting, _)| *waiting == ticket);
                running.push((work(), ticket, asked_at.expect("a queued request").1));
            }
        }
    }
    count
}

/// Guards against requests that are kept while a neighbour slows the server and answered late, and
/// against refusals afterwards.
#[test]
fn slowed_at_times() {
    let without = run(Report::Nothing, 0.85, true);
    let with = run(Report::True, 0.85, true);
    assert!(with.in_goal > without.in_goal, "{with:?}, without reports {without:?}");
    assert!(with.late < without.late, "{with:?}, without reports {without:?}");
}

/// Guards against a server that loses requests by reports that are not true.
#[test]
fn untrue_reports() {
    let full = ServerLoad { running: 12, waiting: 90, slots: 12, slowness: 900 };
    let reports = [Report::Zeros, Report::Constant(full), Report::Random];
    for has_noise in [false, true] {
        let without = run(Report::Nothing, 0.85, has_noise);
        for report in reports {
            let with = run(report, 0.85, has_noise);
            assert!(
                with.in_goal * 100 >= without.in_goal * 95,
                "{report:?}: {with:?}, {without:?}"
            );
        }
    }
}

/// Guards against requests that are sent to a server whose slots others have taken, and against a
/// report that holds when it is old.
#[test]
fn others_wait_there() {
    let (mut guard, mut rng) = (new_guard(), StdRng::seed_from_u64(1));
    let now = Duration::from_secs(1);
    let Admission::Run(ticket) = guard.offer(&request(now), now, &mut rng) else {
        panic!("the server is idle");
    };
    let load = ServerLoad { running: 12, waiting: 0, slots: 12, slowness: 100 };
    guard.record_load(ticket, &load, now);
    assert_eq!(guard.state(now).slots, 12);
    guard.record_load(ticket, &ServerLoad { waiting: 3, ..load }, now);
    assert_eq!(guard.state(now).slots, 9);
    guard.record_load(ticket, &ServerLoad { waiting: 300, ..load }, now);
    assert_eq!(guard.state(now).slots, 6, "never less than half");
    assert_eq!(guard.state(now + Duration::from_millis(301)).slots, 12);
}
