//! A small discrete-event model: callers send calls through daemons to servers, either by the
//! decisions of this crate or naively: round robin, an unbounded queue, three blind retries.
//!
//! The network takes no time. A server runs as many calls at once as it has slots; a call that was
//! given up by its caller still runs to its end under the naive policy.
#![allow(dead_code, reason = "each test file uses its own part")]

use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sk_decide::WorkClass;
use sk_decide::admitting::{
    Admission, AdmissionGuard, GuardRequest, GuardSettings, Released, Ticket,
};
use sk_decide::placing::{
    CallOutcome, EndpointDistance, EndpointRecord, PlaceRequest, PlacedCall, PlacementSettings,
    PlacementTable,
};
use sk_decide::retrying::{
    FailedAttempt, RetryBudget, RetrySettings, RetryVerdict, RunOutcome, may_retry,
};

pub mod report;

use report::Report;

/// Daemons that place calls, each seeing only its own.
const DAEMONS: usize = 10;
const NAIVE_RETRIES: u8 = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    Guarded,
    Naive,
}

/// A stream of calls from one caller.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub class: WorkClass,
    pub flow: u64,
    /// Calls a second.
    pub rate: f64,
    /// Mean service time; each call takes a half to one and a half of it.
    pub service: Duration,
    pub deadline: Duration,
    pub from: Duration,
    pub until: Duration,
}

#[derive(Clone, Debug)]
pub struct Scenario {
    pub servers: usize,
    pub loads: Vec<Load>,
    /// A server and the factor by which it is slow.
    pub slow: Option<(usize, f64)>,
    /// Whether all servers have just started. A cold server is up to six times as slow, the more
    /// calls it runs.
    pub cold: bool,
    /// Servers that cannot be reached between two times.
    pub outage: Option<(usize, Duration, Duration)>,
    /// Calls sent before this time are not counted.
    pub counted_from: Duration,
    pub guard: GuardSettings,
}

impl Scenario {
    pub fn new(loads: Vec<Load>) -> Self {
        Self {
            servers: 5,
            loads,
            slow: None,
            cold: false,
            outage: None,
            counted_from: Duration::ZERO,
            guard: GuardSettings::default(),
        }
    }

    /// Calls a second that all servers can serve.
    pub fn capacity(&self, service: Duration) -> f64 {
        (self.servers as u32 * self.guard.slots) as f64 / service.as_secs_f64()
    }

    pub fn run(&self, policy: Policy) -> Report {
        let mut model = Model::new(self, policy);
        model.run();
        model.report
    }
}

/// A steady load of short calls of 10 ms with a deadline of 100 ms.
pub fn short_load(rate: f64, seconds: u64) -> Load {
    Load {
        class: WorkClass::Short,
        flow: 1,
        rate,
        service: millis(10),
        deadline: millis(100),
        from: Duration::ZERO,
        until: Duration::from_secs(seconds),
    }
}

pub fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Attempt(usize),
    Done(usize, usize),
    GiveUp(usize, u8),
    Expire(usize),
}

struct Call {
    load: usize,
    sent_at: Duration,
    work: f64,
    tries: u8,
    tried: Vec<u64>,
    placed: Option<PlacedCall>,
    ticket: Option<Ticket>,
    started: Duration,
    is_over: bool,
}

struct Server {
    guard: AdmissionGuard,
    held: HashMap<Ticket, usize>,
    fifo: VecDeque<usize>,
    running: u32,
    watched: Option<Duration>,
}

struct Model<'a> {
    scenario: &'a Scenario,
    policy: Policy,
    rng: StdRng,
    /// Apart from `rng`, so that both policies get the same calls.
    arrivals: StdRng,
    now: Duration,
    events: BinaryHeap<std::cmp::Reverse<(Duration, u64, Event)>>,
    sequence: u64,
    calls: Vec<Call>,
    servers: Vec<Server>,
    tables: Vec<Arc<PlacementTable>>,
    budgets: Vec<RetryBudget>,
    turn: usize,
    report: Report,
}

impl<'a> Model<'a> {
    fn new(scenario: &'a Scenario, policy: Policy) -> Self {
        let age = if scenario.cold { Duration::ZERO } else { Duration::from_secs(3600) };
        let record = |id| EndpointRecord {
            id,
            incarnation: 1,
            slots: scenario.guard.slots,
            distance: EndpointDistance::SameCentre,
            age,
        };
        let records: Vec<_> = (0..scenario.servers as u64).map(record).collect();
        let empty = PlacementTable::new(PlacementSettings::default());
        let table = || Arc::new(empty.rebuild(&records, Duration::ZERO));
        let started_at = if scenario.cold { Duration::from_nanos(1) } else { Duration::ZERO };
        let server = || Server {
            guard: AdmissionGuard::new(scenario.guard, started_at),
            held: HashMap::new(),
            fifo: VecDeque::new(),
            running: 0,
            watched: None,
        };
        let budget = || RetryBudget::new(RetrySettings::default(), Duration::ZERO);
        Self {
            scenario,
            policy,
            rng: StdRng::seed_from_u64(11),
            arrivals: StdRng::seed_from_u64(12),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            sequence: 0,
            calls: Vec::new(),
            servers: (0..scenario.servers).map(|_| server()).collect(),
            tables: (0..DAEMONS).map(|_| table()).collect(),
            budgets: (0..DAEMONS).map(|_| budget()).collect(),
            turn: 0,
            report: Report::default(),
        }
    }

    fn run(&mut self) {
        for (index, load) in self.scenario.loads.iter().enumerate() {
            self.push(load.from, Event::Arrive(index));
        }
        while let Some(std::cmp::Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            match event {
                Event::Arrive(load) => self.arrive(load),
                Event::Attempt(call) => self.attempt(call),
                Event::Done(server, call) => self.done(server, call),
                Event::GiveUp(call, attempt) => self.give_up(call, attempt),
                Event::Expire(server) => {
                    self.servers[server].watched = None;
                    let released = self.servers[server].guard.expire(self.now);
                    self.apply(server, released);
                }
            }
        }
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(std::cmp::Reverse((at, self.sequence, event)));
    }

    fn arrive(&mut self, index: usize) {
        let load = self.scenario.loads[index];
        let gap = -(1.0 - self.arrivals.random::<f64>()).ln() / load.rate;
        let next = self.now + Duration::from_secs_f64(gap);
        if next < load.until {
            self.push(next, Event::Arrive(index));
        }
        let work = load.service.as_secs_f64() * (0.5 + self.arrivals.random::<f64>());
        self.calls.push(Call {
            load: index,
            sent_at: self.now,
            work,
            tries: 0,
            tried: Vec::new(),
            placed: None,
            ticket: None,
            started: Duration::ZERO,
            is_over: false,
        });
        self.budgets[(self.calls.len() - 1) % DAEMONS].record_attempt();
        self.attempt(self.calls.len() - 1);
    }

    fn attempt(&mut self, call: usize) {
        self.report.sends += 1;
        match self.policy {
            Policy::Guarded => self.attempt_guarded(call),
            Policy::Naive => self.attempt_naive(call),
        }
    }

    fn attempt_guarded(&mut self, index: usize) {
        let daemon = index % DAEMONS;
        let call = &self.calls[index];
        let load = self.scenario.loads[call.load];
        let place = PlaceRequest { class: load.class, exclude: &call.tried, may_probe: true };
        let Ok(placed) = self.tables[daemon].choose(&place, self.now, &mut self.rng) else {
            return self.end(index, None);
        };
        let server = placed.endpoint() as usize;
        let deadline = call.sent_at + load.deadline;
        let request = GuardRequest { class: load.class, flow: load.flow, deadline, alone: false };
        self.calls[index].tried.push(server as u64);
        if self.is_down(server) {
            placed.finish(CallOutcome::Unreachable, Duration::ZERO, self.now);
            return self.retry_or_end(index);
        }
        let admission = self.servers[server].guard.offer(&request, self.now, &mut self.rng);
        self.calls[index].placed = Some(placed);
        match admission {
            Admission::Run(ticket) => {
                self.servers[server].held.insert(ticket, index);
                self.start(server, index, Some(ticket));
            }
            Admission::Queued(ticket) => {
                self.servers[server].held.insert(ticket, index);
                self.watch(server);
            }
            Admission::Refused(_) => self.refused(server, index),
        }
    }

    fn attempt_naive(&mut self, index: usize) {
        let server = self.turn % self.scenario.servers;
        self.turn += 1;
        let attempt = self.calls[index].tries;
        let deadline = self.scenario.loads[self.calls[index].load].deadline;
        if self.is_down(server) {
            return self.give_up(index, attempt);
        }
        self.push(self.now + deadline, Event::GiveUp(index, attempt));
        match self.servers[server].running < self.scenario.guard.slots {
            true => self.start(server, index, None),
            false => self.servers[server].fifo.push_back(index),
        }
    }

    fn start(&mut self, server: usize, index: usize, ticket: Option<Ticket>) {
        let slow = match self.scenario.slow {
            Some((slow, factor)) if slow == server => factor,
            _ => 1.0,
        };
        self.servers[server].running += 1;
        let busy = f64::from(self.servers[server].running) / f64::from(self.scenario.guard.slots);
        let cold = (1.0 - self.now.as_secs_f64() / 10.0).max(0.0);
        let factor = if self.scenario.cold { 1.0 + 5.0 * cold * busy * busy } else { 1.0 };
        let call = &mut self.calls[index];
        call.ticket = ticket;
        call.started = self.now;
        let end = self.now + Duration::from_secs_f64(call.work * slow * factor);
        self.push(end, Event::Done(server, index));
    }

    fn done(&mut self, server: usize, index: usize) {
        self.servers[server].running -= 1;
        if let Some(ticket) = self.calls[index].ticket {
            self.servers[server].held.remove(&ticket);
            let released = self.servers[server].guard.finish(ticket, self.now);
            self.apply(server, released);
            self.settle(server, index, CallOutcome::Success);
            self.note_overrun(index);
        } else if let Some(next) = self.servers[server].fifo.pop_front() {
            // The naive server runs what its queue holds, wanted or not.
            self.start(server, next, None);
        }
        self.end(index, Some(self.now));
    }

    fn give_up(&mut self, index: usize, attempt: u8) {
        let call = &mut self.calls[index];
        match call {
            _ if call.is_over || call.tries != attempt => {}
            _ if attempt >= NAIVE_RETRIES => self.end(index, None),
            _ => {
                call.tries += 1;
                self.attempt(index);
            }
        }
    }

    fn apply(&mut self, server: usize, released: Released) {
        for ticket in released.start {
            let index = self.servers[server].held[&ticket];
            self.start(server, index, Some(ticket));
        }
        for (ticket, _) in released.refused {
            let index = self.servers[server].held.remove(&ticket).expect("ticket is held");
            self.refused(server, index);
        }
        self.watch(server);
    }

    fn watch(&mut self, server: usize) {
        let server_state = &mut self.servers[server];
        let Some(at) = server_state.guard.next_expiry() else { return };
        if server_state.watched.is_none_or(|watched| at < watched) {
            server_state.watched = Some(at);
            self.push(at.max(self.now), Event::Expire(server));
        }
    }

    fn refused(&mut self, server: usize, index: usize) {
        self.settle(server, index, CallOutcome::Refused);
        self.retry_or_end(index);
    }

    /// Ends the placed call and passes on the load that the guard reports with its answer.
    fn settle(&mut self, server: usize, index: usize, outcome: CallOutcome) {
        let load = self.servers[server].guard.load(self.now);
        let table = &self.tables[index % DAEMONS];
        table.hint(server as u64, load, self.now);
        let call = &mut self.calls[index];
        let latency = self.now.saturating_sub(call.started);
        if let Some(placed) = call.placed.take() {
            placed.finish(outcome, latency, self.now);
        }
    }

    fn retry_or_end(&mut self, index: usize) {
        let call = &self.calls[index];
        let load = self.scenario.loads[call.load];
        let attempt = FailedAttempt {
            outcome: RunOutcome::NotRun,
            is_repeatable: false,
            own_retries: call.tries,
            retried_above: 0,
            remaining: (call.sent_at + load.deadline).saturating_sub(self.now),
            expected: load.service,
        };
        let budget = &self.budgets[index % DAEMONS];
        match may_retry(&attempt, budget, self.now, &mut self.rng) {
            RetryVerdict::Retry(delay) => {
                self.calls[index].tries += 1;
                self.push(self.now + delay, Event::Attempt(index));
            }
            RetryVerdict::GiveUp(_) => self.end(index, None),
        }
    }

    /// Notes by how much an admitted call missed its deadline beyond its own service time.
    fn note_overrun(&mut self, index: usize) {
        let call = &self.calls[index];
        let due = call.sent_at + self.scenario.loads[call.load].deadline;
        let overrun = self.now.saturating_sub(due).saturating_sub(self.now - call.started);
        self.report.worst_overrun = self.report.worst_overrun.max(overrun);
    }

    fn end(&mut self, index: usize, answered: Option<Duration>) {
        let call = &mut self.calls[index];
        if std::mem::replace(&mut call.is_over, true) || call.sent_at < self.scenario.counted_from {
            return;
        }
        let load = self.scenario.loads[call.load];
        let took = self.now - call.sent_at;
        self.report.count(load.class, load.flow, answered.is_some(), took, load.deadline);
    }

    fn is_down(&self, server: usize) -> bool {
        self.scenario
            .outage
            .is_some_and(|(count, from, until)| server < count && (from..until).contains(&self.now))
    }
}
