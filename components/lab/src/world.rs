//! Virtual time: what happens when, and the daemons' decisions on it.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use rand::{Rng, RngExt, SeedableRng, rngs::StdRng};
use rand_distr::{Distribution, LogNormal};
use sk_decide::{
    WorkClass,
    admitting::{Admission, FlowKey, GuardRequest, RefusalReason, Released, Ticket},
    backoff::draw_between,
    placing::{CallOutcome, PlaceRequest, PlacedCall},
    seeking::SlotSearch,
};

use crate::{
    figures::RunFigures,
    fleet::{
        CallIndex, DaemonTables, LabPolicy, LabServer, ServerIndex, make_servers, make_tables,
    },
    scenario::Scenario,
};

/// Part of the time left, as a divisor, up to which a caller waits as it is told.
const RETURN_PART: u32 = 3;

struct LabCall {
    route: usize,
    daemon: ServerIndex,
    /// When its caller first asked.
    asked: Duration,
    /// When this attempt of the caller's began.
    began: Duration,
    returns: u8,
    search: SlotSearch,
    moves: u8,
    placed: Option<PlacedCall>,
    /// When this placing began.
    placed_at: Duration,
    started: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum LabEvent {
    /// A caller asks, or asks again.
    Ask(CallIndex),
    /// A request reaches a guard.
    Reach(CallIndex, ServerIndex),
    /// A server is done with a request.
    Done(CallIndex, ServerIndex, Ticket),
    /// An answer, or a refusal for this reason, is back.
    Back(CallIndex, ServerIndex, Option<RefusalReason>),
    /// A queue is to be looked through.
    Expire(ServerIndex),
}

struct LabWorld<'a> {
    scenario: &'a Scenario,
    policy: &'a LabPolicy,
    servers: Vec<LabServer>,
    daemons: Vec<DaemonTables>,
    calls: Vec<LabCall>,
    /// Events by time, and by turn where two are at once, so that one seed gives one course.
    events: BinaryHeap<Reverse<(Duration, u64, LabEvent)>>,
    turn: u64,
    now: Duration,
    rng: StdRng,
    figures: RunFigures,
}

/// Plays a scenario under a policy. The same seed gives the same callers to every policy.
pub fn run_scenario(scenario: &Scenario, policy: &LabPolicy, seed: u64) -> RunFigures {
    let servers = make_servers(scenario, policy);
    let daemons = (0..servers.len()).map(|daemon| make_tables(&servers, daemon, policy)).collect();
    let mut world = LabWorld {
        scenario,
        policy,
        servers,
        daemons,
        calls: Vec::new(),
        events: BinaryHeap::new(),
        turn: 0,
        now: Duration::ZERO,
        rng: StdRng::seed_from_u64(seed ^ 0x5eed),
        figures: RunFigures::default(),
    };
    world.plan_arrivals(&mut StdRng::seed_from_u64(seed));
    while let Some(Reverse((at, _, event))) = world.events.pop() {
        world.now = at;
        world.happen(event);
    }
    world.figures
}

impl LabWorld<'_> {
    /// Draws all callers ahead, so that no decision changes who comes when.
    fn plan_arrivals(&mut self, rng: &mut StdRng) {
        let weights: f64 = self.scenario.routes.iter().map(|route| route.weight).sum();
        for load in &self.scenario.load {
            let here: Vec<ServerIndex> = (0..self.servers.len())
                .filter(|index| self.servers[*index].data_centre == load.data_centre)
                .collect();
            let mut at = 0.0;
            while at < self.scenario.seconds {
                let rate = (load.rate * self.scenario.rate_factor(at)).max(f64::MIN_POSITIVE);
                at += -(1.0 - rng.random::<f64>()).ln() / rate;
                let mut point = rng.random::<f64>() * weights;
                let route = self.scenario.routes.iter().position(|route| {
                    point -= route.weight;
                    point < 0.0
                });
                let daemon = here[rng.random_range(0..here.len())];
                self.add_call(route.unwrap_or_default(), daemon, Duration::from_secs_f64(at));
            }
        }
    }

    fn add_call(&mut self, route: usize, daemon: ServerIndex, at: Duration) {
        let plan = &self.scenario.routes[route];
        self.figures.routes.entry(plan.name.clone()).or_default().asked += 1;
        self.calls.push(LabCall {
            route,
            daemon,
            asked: at,
            began: at,
            returns: plan.returns,
            search: SlotSearch::default(),
            moves: 0,
            placed: None,
            placed_at: Duration::ZERO,
            started: Duration::ZERO,
        });
        self.push(at, LabEvent::Ask(self.calls.len() - 1));
    }

    /// Gives the factor on a server's work now.
    fn slowness(&self, server: ServerIndex) -> f64 {
        let second = self.now.as_secs_f64();
        self.servers[server].slowness * self.scenario.work_factor(server, second)
    }

    fn push(&mut self, at: Duration, event: LabEvent) {
        self.turn += 1;
        self.events.push(Reverse((at, self.turn, event)));
    }

    fn happen(&mut self, event: LabEvent) {
        match event {
            LabEvent::Ask(call) => self.place(call),
            LabEvent::Reach(call, server) => self.reach(call, server),
            LabEvent::Done(call, server, ticket) => self.done(call, server, ticket),
            LabEvent::Back(call, server, refusal) => self.back(call, server, refusal),
            LabEvent::Expire(server) => {
                let released = self.servers[server].guard.expire(self.now);
                self.release(server, released);
            }
        }
    }

    fn deadline(&self, call: CallIndex) -> Duration {
        let call = &self.calls[call];
        call.asked + millis(self.scenario.routes[call.route].deadline_ms)
    }

    fn goal(&self, call: CallIndex) -> Duration {
        let call = &self.calls[call];
        call.began + millis(self.scenario.routes[call.route].goal_ms)
    }

    fn place(&mut self, index: CallIndex) {
        let (deadline, goal) = (self.deadline(index), self.goal(index));
        if self.now >= deadline {
            return self.end_refused(index, Duration::ZERO);
        }
        let call = &self.calls[index];
        let route = &self.scenario.routes[call.route];
        let table = self.daemons[call.daemon][&route.service].clone();
        let exclude = call.search.excluded();
        let wants_slot = call.search.wants_slot(self.policy.placement.order, false);
        let wanted = PlaceRequest {
            class: WorkClass::Short,
            work: call.route as u64,
            bytes: route.bytes,
            exclude: &exclude,
            may_probe: true,
            wants_slot,
            goal: Some(goal.saturating_sub(self.now)),
        };
        match table.choose(&wanted, self.now, &mut self.rng) {
            Ok(placed) => {
                let server = placed.endpoint() as ServerIndex;
                let way = self.way(self.calls[index].daemon, server);
                self.calls[index].placed = Some(placed);
                self.calls[index].placed_at = self.now;
                self.push(self.now + way, LabEvent::Reach(index, server));
            }
            Err(_) if self.calls[index].search.begin_queueing() => self.place(index),
            Err(_) => self.end_refused(index, self.policy.guard.retry_least),
        }
    }

    /// Gives the time between two daemons, one way.
    fn way(&self, from: ServerIndex, to: ServerIndex) -> Duration {
        match self.crosses(from, to) {
            true => millis(self.scenario.far_ms),
            false => millis(self.scenario.near_ms),
        }
    }

    fn crosses(&self, from: ServerIndex, to: ServerIndex) -> bool {
        self.servers[from].data_centre != self.servers[to].data_centre
    }

    fn reach(&mut self, index: CallIndex, server: ServerIndex) {
        self.figures.messages += 1;
        let call = &self.calls[index];
        let route = &self.scenario.routes[call.route];
        if self.crosses(call.daemon, server) {
            self.figures.crossed_bytes += route.bytes;
        }
        let request = GuardRequest {
            class: WorkClass::Short,
            flow: FlowKey { team: 0, caller: call.daemon as u64 },
            deadline: self.deadline(index),
            alone: false,
            goal: Some(self.goal(index)),
            rank: route.rank,
            work: call.route as u64,
            most_wait: call.placed.as_ref().and_then(PlacedCall::most_wait),
        };
        let guard = &mut self.servers[server].guard;
        let room = guard.make_room(&request, self.now);
        self.release(server, room);
        let admission = self.servers[server].guard.offer(&request, self.now, &mut self.rng);
        match admission {
            Admission::Run(ticket) => {
                self.servers[server].held.insert(ticket, index);
                self.start(index, server, ticket);
            }
            Admission::Queued(ticket) => {
                self.servers[server].held.insert(ticket, index);
                self.watch(server);
            }
            Admission::Refused(refusal) => self.send_back(index, server, Some(refusal.reason)),
        }
    }

    fn watch(&mut self, server: ServerIndex) {
        if let Some(at) = self.servers[server].guard.next_expiry() {
            self.push(at.max(self.now), LabEvent::Expire(server));
        }
    }

    fn start(&mut self, index: CallIndex, server: ServerIndex, ticket: Ticket) {
        self.figures.runs += 1;
        self.calls[index].started = self.now;
        let route = &self.scenario.routes[self.calls[index].route];
        let work = draw_work(route.work_ms, route.spread, &mut self.rng) * self.slowness(server);
        self.push(self.now + millis(work), LabEvent::Done(index, server, ticket));
    }

    fn done(&mut self, index: CallIndex, server: ServerIndex, ticket: Ticket) {
        self.servers[server].held.remove(&ticket);
        let released = self.servers[server].guard.finish(ticket, self.now);
        self.release(server, released);
        self.send_back(index, server, None);
    }

    fn release(&mut self, server: ServerIndex, released: Released) {
        for ticket in released.start {
            if let Some(index) = self.servers[server].held.get(&ticket).copied() {
                self.start(index, server, ticket);
            }
        }
        for (ticket, reason) in released.refused {
            if let Some(index) = self.servers[server].held.remove(&ticket) {
                self.send_back(index, server, Some(reason));
            }
        }
        self.watch(server);
    }

    fn send_back(&mut self, index: CallIndex, server: ServerIndex, reason: Option<RefusalReason>) {
        let way = self.way(self.calls[index].daemon, server);
        self.push(self.now + way, LabEvent::Back(index, server, reason));
    }

    fn back(&mut self, index: CallIndex, server: ServerIndex, refusal: Option<RefusalReason>) {
        let wait = self.servers[server].guard.wait_hint(self.now);
        let daemon = self.calls[index].daemon;
        let service = self.servers[server].service.clone();
        self.daemons[daemon][&service].note_wait(server as u64, wait, self.now);
        let Some(mut placed) = self.calls[index].placed.take() else { return };
        placed.note_head(None, self.now);
        match refusal {
            None => {
                let took = self.now.saturating_sub(self.calls[index].started);
                placed.finish(CallOutcome::Success, took, self.now);
                self.end_answered(index);
            }
            Some(RefusalReason::Busy) => {
                let call = &mut self.calls[index];
                let goal = millis(self.scenario.routes[call.route].goal_ms);
                call.search.note_busy(server as u64, self.now - call.placed_at, Some(goal));
                self.place(index);
            }
            Some(_) => {
                placed.finish(CallOutcome::Refused, Duration::ZERO, self.now);
                self.move_on(index, server);
            }
        }
    }

    fn move_on(&mut self, index: CallIndex, server: ServerIndex) {
        let call = &mut self.calls[index];
        call.search.note_tried(server as u64);
        if call.moves < self.policy.free_moves {
            call.moves += 1;
            return self.place(index);
        }
        let (least, spread) = (self.policy.guard.retry_least, self.policy.guard.retry_spread);
        let wait = draw_between(least, least + spread, &mut self.rng);
        self.end_refused(index, wait);
    }

    fn end_answered(&mut self, index: CallIndex) {
        let call = &self.calls[index];
        let route = &self.scenario.routes[call.route];
        let figures = self.figures.routes.entry(route.name.clone()).or_default();
        match self.now <= call.asked + millis(route.deadline_ms) {
            true => figures.note_answer(self.now - call.asked, millis(route.goal_ms)),
            false => figures.failed += 1,
        }
    }

    /// Ends an attempt of a caller, who comes back as told while there is time.
    fn end_refused(&mut self, index: CallIndex, wait: Duration) {
        let left = self.deadline(index).saturating_sub(self.now);
        let call = &mut self.calls[index];
        if call.returns > 0 && !left.is_zero() {
            call.returns -= 1;
            let at = self.now + wait.min(left / RETURN_PART);
            (call.began, call.search, call.moves) = (at, SlotSearch::default(), 0);
            return self.push(at, LabEvent::Ask(index));
        }
        let name = &self.scenario.routes[call.route].name;
        self.figures.routes.entry(name.clone()).or_default().refused += 1;
    }
}

fn draw_work(mean: f64, spread: f64, rng: &mut (impl Rng + ?Sized)) -> f64 {
    let variance = (1.0 + spread * spread).ln();
    let work = LogNormal::new(mean.ln() - variance / 2.0, variance.sqrt());
    // The checks bound both figures, so the distribution exists.
    work.map_or(mean, |work| work.sample(rng))
}

fn millis(millis: f64) -> Duration {
    Duration::from_secs_f64(millis.max(0.0) / 1000.0)
}
