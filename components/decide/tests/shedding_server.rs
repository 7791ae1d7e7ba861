//! Servers that refuse requests although a slot counts as free, behind guards that many daemons send
//! to.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};
use sk_decide::{
    WorkClass,
    admitting::{
        Admission, AdmissionGuard, FlowKey, GuardRequest, GuardSettings, QueueOrder, Released,
        Ticket,
    },
};

const SLOTS: u32 = 12;
/// Mean time that a request takes; each takes a half to one and a half of it.
const WORK: Duration = Duration::from_millis(100);
const STEP: Duration = Duration::from_millis(1);
const FAULT_BEGIN: Duration = Duration::from_secs(2);
const FAULT_END: Duration = Duration::from_secs(8);
/// Time in which the guard finds out.
const FIND_TIME: Duration = Duration::from_millis(150);
/// Time in which the guard finds out that the fault has ended.
const RECOVERY_TIME: Duration = Duration::from_millis(900);
const END: Duration = Duration::from_secs(12);

/// What a server refuses while it is faulty.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Share(f64),
    FewerSlots(u32),
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    /// Requests of callers, and those that were answered.
    asked: u32,
    served: u32,
    /// Requests offered to guards of faulty servers, sent to these servers and refused by them.
    offered: u32,
    arrived: u32,
    rejected: u32,
}

impl Count {
    fn served_share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.asked)
    }

    /// Returns the part of the requests for faulty servers that these refused.
    fn rejected_share(&self) -> f64 {
        f64::from(self.rejected) / f64::from(self.offered)
    }
}

struct Server {
    guard: AdmissionGuard,
    fault: Option<Fault>,
    running: Vec<(Duration, Ticket, usize)>,
    queued: Vec<(Ticket, usize)>,
    /// Wait and load that entries last heard of.
    hint: (Duration, f64),
}

struct Fleet {
    servers: Vec<Server>,
    rng: StdRng,
    guard_rng: StdRng,
    /// Servers that a request has been at.
    tried: Vec<Vec<usize>>,
    /// Counts before the fault, while the guard finds out, during the fault, at its end and after.
    counts: [Count; 5],
    now: Duration,
}

impl Fleet {
    /// Runs `servers` servers, of which `faulty` have the fault for a time, at a part of the fleet's
    /// capacity, and returns the counts during the fault and after it.
    fn run(servers: usize, faulty: usize, fault: Fault, load: f64) -> (Count, Count) {
        let settings = GuardSettings {
            order: QueueOrder::Urgent,
            slots: SLOTS,
            limits_by_refusals: true,
            ..GuardSettings::default()
        };
        let server = |index| Server {
            guard: AdmissionGuard::new(settings, Duration::ZERO),
            fault: Some(fault).filter(|_| index < faulty),
            running: Vec::new(),
            queued: Vec::new(),
            hint: (Duration::ZERO, 0.0),
        };
        let mut fleet = Self {
            servers: (0..servers).map(server).collect(),
            rng: StdRng::seed_from_u64(3),
            guard_rng: StdRng::seed_from_u64(4),
            tried: Vec::new(),
            counts: Default::default(),
            now: Duration::from_secs(1),
        };
        let per_step =
            load * servers as f64 * f64::from(SLOTS) * STEP.as_secs_f64() / WORK.as_secs_f64();
        while fleet.now < END {
            fleet.now += STEP;
            for server in 0..servers {
                fleet.end_requests(server);
                let released = fleet.servers[server].guard.expire(fleet.now);
                fleet.apply(server, released);
            }
            for _ in 0..(per_step + fleet.rng.random::<f64>()) as u32 {
                fleet.tried.push(Vec::new());
                fleet.count().asked += 1;
                fleet.place(fleet.tried.len() - 1);
            }
        }
        let [_, _, during, _, after] = fleet.counts;
        (during, after)
    }

    fn count(&mut self) -> &mut Count {
        let ends = [FAULT_BEGIN, FAULT_BEGIN + FIND_TIME, FAULT_END, FAULT_END + RECOVERY_TIME];
        let stage = ends.iter().filter(|end| **end <= self.now).count();
        &mut self.counts[stage]
    }

    /// Sends a request to the better of two servers by their hints, and to any other one after a
    /// refusal.
    fn place(&mut self, request: usize) {
        let tried = &self.tried[request];
        let left: Vec<usize> =
            (0..self.servers.len()).filter(|server| !tried.contains(server)).collect();
        if left.is_empty() {
            return;
        }
        let mut draw = || left[self.rng.random_range(0..left.len())];
        let (first, second) = (draw(), draw());
        let hint = |server: usize| self.servers[server].hint;
        let server = if hint(first) <= hint(second) { first } else { second };
        self.tried[request].push(server);
        self.offer(server, request);
    }

    fn offer(&mut self, server: usize, request: usize) {
        let now = self.now;
        if self.servers[server].fault.is_some() {
            self.count().offered += 1;
        }
        let offer = GuardRequest {
            class: WorkClass::Short,
            flow: FlowKey { workspace: None, team: 1, caller: 1 },
            deadline: now + WORK * 10,
            is_exclusive: false,
            goal: Some(now + WORK * 4),
            rank: 0,
            is_nested: false,
            work: 1,
            max_wait: Some(Duration::ZERO),
        };
        let guard = &mut self.servers[server].guard;
        match guard.offer(&offer, now, &mut self.guard_rng) {
            Admission::Run(ticket) => self.send(server, ticket, request),
            Admission::Queued(ticket) => self.servers[server].queued.push((ticket, request)),
            Admission::Refused(_) => {
                self.hear(server);
                self.place(request);
            }
        }
    }

    fn send(&mut self, server: usize, ticket: Ticket, request: usize) {
        let now = self.now;
        let running = self.servers[server].running.len() as u32;
        let is_faulty = (FAULT_BEGIN..FAULT_END).contains(&now);
        let rejects = match self.servers[server].fault.filter(|_| is_faulty) {
            Some(Fault::Share(share)) => self.rng.random_bool(share),
            Some(Fault::FewerSlots(slots)) => running >= slots,
            None => false,
        };
        if self.servers[server].fault.is_some() {
            self.count().arrived += 1;
        }
        if !rejects {
            let took = WORK.mul_f64(0.5 + self.rng.random::<f64>());
            return self.servers[server].running.push((now + took, ticket, request));
        }
        self.count().rejected += 1;
        let released = self.servers[server].guard.record_rejected(ticket, now);
        self.apply(server, released);
        let released = self.servers[server].guard.cancel(ticket, now);
        self.apply(server, released);
        self.hear(server);
        self.place(request);
    }

    fn end_requests(&mut self, server: usize) {
        let now = self.now;
        let running = std::mem::take(&mut self.servers[server].running);
        let (ended, rest): (Vec<_>, Vec<_>) = running.into_iter().partition(|(at, ..)| *at <= now);
        self.servers[server].running = rest;
        for (_, ticket, _) in ended {
            self.count().served += 1;
            let released = self.servers[server].guard.finish(ticket, now);
            self.apply(server, released);
            self.hear(server);
        }
    }

    fn apply(&mut self, server: usize, released: Released) {
        let mut take = |ticket: Ticket| {
            let queued = &mut self.servers[server].queued;
            let place = queued.iter().position(|(queued, _)| *queued == ticket);
            queued.swap_remove(place.expect("a released request was queued")).1
        };
        let start: Vec<_> =
            released.start.into_iter().map(|ticket| (ticket, take(ticket))).collect();
        let refused: Vec<_> =
            released.refused.into_iter().map(|(ticket, _)| take(ticket)).collect();
        start.into_iter().for_each(|(ticket, request)| self.send(server, ticket, request));
        refused.into_iter().for_each(|request| self.place(request));
    }

    /// Passes the guard's hints on to the entries.
    fn hear(&mut self, server: usize) {
        let (now, server) = (self.now, &mut self.servers[server]);
        server.hint = (server.guard.wait_hint(false, now), server.guard.load(now));
    }
}

/// Guards against callers that lose their requests, or use up their retries, at two servers of eight
/// that refuse a share of what they get, everything, or what goes beyond fewer slots than they
/// state.
#[test]
fn others_have_room() {
    for fault in [Fault::Share(0.55), Fault::Share(1.0), Fault::FewerSlots(5)] {
        let (during, after) = Fleet::run(8, 2, fault, 0.5);
        assert!(during.rejected_share() < 0.2, "{fault:?}: {during:?}");
        assert!(during.served_share() > 0.99, "{fault:?}: {during:?}");
        assert!(after.served_share() > 0.99, "{fault:?}: {after:?}");
        let regained = f64::from(after.arrived) / f64::from(after.asked);
        assert!(regained > 0.2, "{fault:?}: the servers get their quarter again: {regained}");
    }
}

/// Guards against retries without end where no other server has room.
#[test]
fn nowhere_else() {
    for load in [0.2, 0.5, 0.9] {
        let (usual, _) = Fleet::run(1, 1, Fault::Share(0.0), load);
        for fault in [Fault::Share(0.55), Fault::Share(1.0), Fault::FewerSlots(5)] {
            let (during, after) = Fleet::run(1, 1, fault, load);
            assert!(during.rejected_share() < 0.2, "load {load}, {fault:?}: {during:?}");
            let regained = after.served_share() / usual.served_share();
            assert!(regained > 0.93, "load {load}, {fault:?}: {after:?}, usually {usual:?}");
        }
    }
}

/// Guards against a guard that keeps probing at the same rate where fewer slots are there: of what
/// arrives at the server, less than a fifth is refused, and what it can do is used.
#[test]
fn fewer_slots() {
    let (during, _) = Fleet::run(1, 1, Fault::FewerSlots(5), 0.9);
    assert!(during.rejected * 5 < during.arrived, "{during:?}");
    let usable = 5.0 / WORK.as_secs_f64() * (FAULT_END - FAULT_BEGIN - FIND_TIME).as_secs_f64();
    assert!(f64::from(during.served) > 0.8 * usable, "{during:?}");
}

/// Guards against a server that loses its capacity by single refusals.
#[test]
fn single_refusals() {
    let (with, _) = Fleet::run(1, 1, Fault::Share(0.01), 0.9);
    let (without, _) = Fleet::run(1, 1, Fault::Share(0.0), 0.9);
    assert!(with.served * 100 >= without.served * 97, "{with:?}, {without:?}");
}
