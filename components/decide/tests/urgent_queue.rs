//! A server in a burst of mixed work, in the order of urgency and first come, first served.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use expect_test::expect;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use sk_decide::{
    WorkClass,
    admitting::{
        Admission, AdmissionGuard, FlowKey, GuardRequest, GuardSettings, QueueOrder, RefusalReason,
        Released, Ticket,
    },
};

const SLOTS: u32 = 12;
const END: Duration = Duration::from_secs(30);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A kind of work: mean service time, goal, deadline, rank and arrivals a second.
#[derive(Clone, Copy)]
struct WorkKind {
    work: u64,
    goal: u64,
    deadline: u64,
    rank: u8,
    rate: f64,
}

/// Calls that other requests wait for, and confirmations by callers: about 0.8 of the server.
const KINDS: [WorkKind; 2] = [
    WorkKind { work: 55, goal: 200, deadline: 600, rank: 1, rate: 50.0 },
    WorkKind { work: 290, goal: 800, deadline: 2500, rank: 1, rate: 24.0 },
];

/// Outcomes that callers got, by kind of work.
#[derive(Clone, Copy, Debug, Default)]
struct KindCount {
    asked: u32,
    in_goal: u32,
    late: u32,
    refused_at_once: u32,
    refused_after_wait: u32,
}

#[derive(Clone, Copy)]
struct SentCall {
    kind: usize,
    asked_at: Duration,
    work: Duration,
}

struct Simulation {
    guard: AdmissionGuard,
    rng: StdRng,
    /// Random numbers of the guard, separate from those of the load, so that each order meets the
    /// same load.
    guard_rng: StdRng,
    calls: Vec<(Ticket, SentCall)>,
    ends: BinaryHeap<Reverse<(Duration, usize)>>,
    counts: [KindCount; 2],
}

impl Simulation {
    fn new(settings: GuardSettings) -> Self {
        Self {
            guard: AdmissionGuard::new(settings, Duration::ZERO),
            rng: StdRng::seed_from_u64(7),
            guard_rng: StdRng::seed_from_u64(8),
            calls: Vec::new(),
            ends: BinaryHeap::new(),
            counts: Default::default(),
        }
    }

    fn run(mut self, burst: f64) -> [KindCount; 2] {
        let mut next = KINDS.map(|_| Duration::from_secs(1));
        loop {
            let kind = if next[0] <= next[1] { 0 } else { 1 };
            let end = self.ends.peek().map(|Reverse((at, _))| *at);
            let expiry = self.guard.next_expiry();
            let other = [end, expiry].into_iter().flatten().min();
            match other {
                Some(at) if at <= next[kind] => self.advance(at),
                _ if next[kind] > END => return self.counts,
                _ => {
                    let now = next[kind];
                    self.arrive(kind, now);
                    // Five seconds of more traffic in the middle.
                    let is_burst = (millis(10_000)..millis(15_000)).contains(&now);
                    let rate = KINDS[kind].rate * if is_burst { burst } else { 1.0 };
                    let draw: f64 = self.rng.random();
                    next[kind] = now + Duration::from_secs_f64(-(1.0 - draw).ln() / rate);
                }
            }
        }
    }

    fn arrive(&mut self, kind: usize, now: Duration) {
        let figures = KINDS[kind];
        let draw: f64 = self.rng.random();
        let work = millis(figures.work).mul_f64(0.4 + 1.2 * draw);
        let request = GuardRequest {
            class: WorkClass::Short,
            flow: FlowKey { workspace: None, team: 1, caller: 1 + kind as u64 },
            deadline: now + millis(figures.deadline),
            is_exclusive: false,
            goal: Some(now + millis(figures.goal)),
            rank: figures.rank,
            is_nested: false,
            work: kind as u64,
            max_wait: None,
        };
        self.counts[kind].asked += 1;
        let evicted = self.guard.evict_less_urgent(&request, now);
        self.deliver(evicted, now);
        match self.guard.offer(&request, now, &mut self.guard_rng) {
            Admission::Refused(_) => self.counts[kind].refused_at_once += 1,
            Admission::Run(ticket) => {
                self.calls.push((ticket, SentCall { kind, asked_at: now, work }));
                self.start(ticket, now);
            }
            Admission::Queued(ticket) => {
                self.calls.push((ticket, SentCall { kind, asked_at: now, work }));
            }
        }
    }

    fn start(&mut self, ticket: Ticket, now: Duration) {
        let index = self.index_of(ticket);
        self.ends.push(Reverse((now + self.calls[index].1.work, index)));
    }

    fn index_of(&self, ticket: Ticket) -> usize {
        self.calls
            .iter()
            .position(|(known, _)| *known == ticket)
            .expect("a ticket of this simulation")
    }

    fn advance(&mut self, now: Duration) {
        let is_end = self.ends.peek().is_some_and(|Reverse((at, _))| *at <= now);
        let released = match self.ends.pop_if_due(is_end) {
            Some(index) => {
                let (ticket, call) = self.calls[index];
                let took = now - call.asked_at;
                let counts = &mut self.counts[call.kind];
                match took <= millis(KINDS[call.kind].goal) {
                    true => counts.in_goal += 1,
                    false => counts.late += 1,
                }
                self.guard.finish(ticket, now)
            }
            None => self.guard.expire(now),
        };
        self.deliver(released, now);
    }

    fn deliver(&mut self, released: Released, now: Duration) {
        for (ticket, _) in released.refused {
            let kind = self.calls[self.index_of(ticket)].1.kind;
            self.counts[kind].refused_after_wait += 1;
        }
        for ticket in released.start {
            self.start(ticket, now);
        }
    }
}

trait PopDue {
    fn pop_if_due(&mut self, is_due: bool) -> Option<usize>;
}

impl PopDue for BinaryHeap<Reverse<(Duration, usize)>> {
    fn pop_if_due(&mut self, is_due: bool) -> Option<usize> {
        is_due.then(|| self.pop()).flatten().map(|Reverse((_, index))| index)
    }
}

fn settings(order: QueueOrder) -> GuardSettings {
    GuardSettings { order, slots: SLOTS, short_queue: 48, ..GuardSettings::default() }
}

fn show(counts: [KindCount; 2]) -> String {
    let line = |name: &str, count: KindCount| {
        format!(
            "{name}: {} asked, {} in goal, {} late, {} refused at once, {} after a wait\n",
            count.asked, count.in_goal, count.late, count.refused_at_once, count.refused_after_wait
        )
    };
    line("calls", counts[0]) + &line("confirmations", counts[1])
}

/// A burst of twice the traffic for five seconds. In the fair order nearly every caller of the
/// burst is answered late, and calls are refused for which their caller has already worked. By
/// urgency, most of those that are admitted are in time, the others are refused at once, and all
/// calls are answered.
#[test]
fn burst_by_urgency() {
    let fair = Simulation::new(settings(QueueOrder::Fair)).run(2.0);
    let urgent = Simulation::new(settings(QueueOrder::Urgent)).run(2.0);
    expect![[r#"
        in turns
        calls: 1685 asked, 1599 in goal, 1 late, 80 refused at once, 0 after a wait
        confirmations: 812 asked, 666 in goal, 55 late, 85 refused at once, 0 after a wait
        by urgency
        calls: 1685 asked, 1680 in goal, 0 late, 0 refused at once, 0 after a wait
        confirmations: 812 asked, 680 in goal, 26 late, 76 refused at once, 24 after a wait
    "#]]
    .assert_eq(&format!("in turns\n{}by urgency\n{}", show(fair), show(urgent)));
    let lost = |counts: [KindCount; 2]| {
        counts[0].refused_at_once + counts[0].refused_after_wait + counts[0].late
    };
    assert!(lost(urgent) < lost(fair), "calls");
    assert!(urgent[1].in_goal > fair[1].in_goal, "confirmations");
}

/// The queue is full of confirmations when a call comes. Refusing the call would lose the work of
/// the request that waits for it.
#[test]
fn call_makes_room() {
    let mut guard = AdmissionGuard::new(
        GuardSettings { short_queue: 2, ..settings(QueueOrder::Urgent) },
        Duration::ZERO,
    );
    let mut rng = StdRng::seed_from_u64(1);
    let now = Duration::from_secs(5);
    let request = |kind: usize| GuardRequest {
        class: WorkClass::Short,
        flow: FlowKey { workspace: None, team: 1, caller: 1 },
        deadline: now + millis(KINDS[kind].deadline),
        is_exclusive: false,
        goal: Some(now + millis(KINDS[kind].goal)),
        rank: KINDS[kind].rank,
        is_nested: false,
        work: kind as u64,
        max_wait: None,
    };
    for _ in 0..SLOTS {
        assert!(matches!(guard.offer(&request(1), now, &mut rng), Admission::Run(_)));
    }
    let waiting: Vec<Admission> = (0..2).map(|_| guard.offer(&request(1), now, &mut rng)).collect();
    assert!(waiting.iter().all(|admission| matches!(admission, Admission::Queued(_))));
    // Another confirmation is not more urgent than those that wait.
    assert_eq!(guard.evict_less_urgent(&request(1), now), Released::default());
    let evicted = guard.evict_less_urgent(&request(0), now);
    assert_eq!(evicted.refused.len(), 1);
    assert_eq!(evicted.refused[0].1, RefusalReason::QueueFull);
    assert!(matches!(guard.offer(&request(0), now, &mut rng), Admission::Queued(_)));
}

/// A request that may not wait is refused at once, whatever the queue, so that it can go elsewhere.
#[test]
fn no_wait_refused() {
    let mut guard = AdmissionGuard::new(settings(QueueOrder::Urgent), Duration::ZERO);
    let mut rng = StdRng::seed_from_u64(1);
    let now = Duration::from_secs(5);
    let request = GuardRequest {
        class: WorkClass::Short,
        flow: FlowKey { workspace: None, team: 1, caller: 1 },
        deadline: now + millis(2_000),
        is_exclusive: false,
        goal: None,
        rank: 0,
        is_nested: false,
        work: 1,
        max_wait: Some(Duration::ZERO),
    };
    for _ in 0..SLOTS {
        assert!(matches!(guard.offer(&request, now, &mut rng), Admission::Run(_)));
    }
    let Admission::Refused(refusal) = guard.offer(&request, now, &mut rng) else {
        panic!("no slot is free")
    };
    assert_eq!(refusal.reason, RefusalReason::Busy);
    assert!(matches!(
        guard.offer(&GuardRequest { max_wait: None, ..request }, now, &mut rng),
        Admission::Queued(_)
    ));
}
