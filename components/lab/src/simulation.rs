//! Runs a scenario event by event in virtual time.
//!
//! Each event asks the daemons' decision code what comes next: where a call is placed, whether a
//! guard admits it, how long a refused caller waits. Events at the same time keep the order in
//! which they were scheduled, so that the same seed always produces the same run.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use rand::{Rng, RngExt, SeedableRng, rngs::StdRng};
use rand_distr::{Distribution, LogNormal};
use sk_decide::{
    WorkClass,
    admitting::{
        Admission, FlowKey, GuardRequest, RefusalReason, Released, StatedRate, Ticket,
        return_within_goal,
    },
    backoff::draw_between,
    placing::{CallOutcome, PlaceRequest, PlacedCall},
    slot_search::SlotSearch,
};

use crate::{
    figures::RunFigures,
    fleet::{
        CallIndex, DaemonPolicy, DaemonTables, ServerIndex, SimulatedServer, make_servers,
        make_tables,
    },
    nested::{NestedCalls, ParentCall},
    scenario::Scenario,
};

/// Divisor of the time left before the deadline: a refused caller waits as the refusal asks, but at
/// most this part of it, so that time is left for the retry.
const RETRY_WAIT_DIVISOR: u32 = 3;

/// A caller's request with the state that its daemon keeps for it.
pub(crate) struct SimulatedCall {
    pub(crate) route: usize,
    daemon: ServerIndex,
    /// When its caller first sent it.
    requested_at: Duration,
    /// When the caller's current attempt began.
    attempt_began: Duration,
    /// Retries that the caller has left.
    retries_left: u8,
    search: SlotSearch,
    /// Refused attempts that the daemon has repeated on another server since the caller's attempt
    /// began.
    free_moves_used: u8,
    placed_call: Option<PlacedCall>,
    /// When the daemon last placed it on a server.
    placed_at: Duration,
    /// Whether a guard refused the caller's attempt because it would have missed its goal.
    is_over_goal: bool,
    /// When a server last started it.
    work_started: Duration,
    /// The calls that its server makes for it.
    pub(crate) nested: NestedCalls,
    /// The running request that it is made for, if a server makes it.
    pub(crate) parent: Option<ParentCall>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimulationEvent {
    /// A caller sends a request, or retries it.
    SendRequest(CallIndex),
    /// A request arrives at a server's guard.
    ReachGuard(CallIndex, ServerIndex),
    /// A server finishes a request.
    FinishWork(CallIndex, ServerIndex, Ticket),
    /// An answer, or a refusal with its reason, arrives at the caller's daemon.
    ReceiveAnswer(CallIndex, ServerIndex, Option<RefusalReason>),
    /// Requests that wait at a server may have expired.
    ExpireQueue(ServerIndex),
    /// The link of a server has carried some bytes.
    AdvanceLink(ServerIndex),
}

/// State of a run.
pub(crate) struct FleetSimulation<'a> {
    pub(crate) scenario: &'a Scenario,
    pub(crate) policy: &'a DaemonPolicy,
    servers: Vec<SimulatedServer>,
    daemons: Vec<DaemonTables>,
    pub(crate) calls: Vec<SimulatedCall>,
    /// Events by time, those at the same time by sequence, so that the same seed produces the same
    /// run.
    events: BinaryHeap<Reverse<(Duration, u64, SimulationEvent)>>,
    sequence: u64,
    pub(crate) now: Duration,
    /// Random numbers of decisions and of work. The arrivals have a generator of their own, so that
    /// no decision changes them.
    pub(crate) rng: StdRng,
    figures: RunFigures,
}

/// Runs a scenario with a policy and returns the results. With the same seed every policy faces the
/// same callers.
pub fn run_scenario(scenario: &Scenario, policy: &DaemonPolicy, seed: u64) -> RunFigures {
    let servers = make_servers(scenario, policy);
    let daemons = (0..servers.len()).map(|daemon| make_tables(&servers, daemon, policy)).collect();
    let mut simulation = FleetSimulation {
        scenario,
        policy,
        servers,
        daemons,
        calls: Vec::new(),
        events: BinaryHeap::new(),
        sequence: 0,
        now: Duration::ZERO,
        rng: StdRng::seed_from_u64(seed ^ 0x5eed),
        figures: RunFigures::default(),
    };
    simulation.plan_arrivals(&mut StdRng::seed_from_u64(seed));
    while let Some(Reverse((at, _, event))) = simulation.events.pop() {
        simulation.now = at;
        simulation.handle_event(event);
    }
    simulation.figures
}

impl FleetSimulation<'_> {
    /// Draws all requests before the run, so that no decision changes when which caller sends one.
    fn plan_arrivals(&mut self, rng: &mut StdRng) {
        let weights: f64 = self.scenario.routes.iter().map(|route| route.weight).sum();
        for load in &self.scenario.load {
            let local_daemons: Vec<ServerIndex> = (0..self.servers.len())
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
                let daemon = local_daemons[rng.random_range(0..local_daemons.len())];
                let at = Duration::from_secs_f64(at);
                self.add_call(route.unwrap_or_default(), daemon, at, None);
            }
        }
    }

    /// Adds a call and schedules its first attempt.
    pub(crate) fn add_call(
        &mut self,
        route: usize,
        daemon: ServerIndex,
        at: Duration,
        parent: Option<ParentCall>,
    ) {
        let plan = &self.scenario.routes[route];
        self.figures.routes.entry(plan.name.clone()).or_default().requests += 1;
        self.calls.push(SimulatedCall {
            route,
            daemon,
            requested_at: at,
            attempt_began: at,
            retries_left: plan.returns,
            search: SlotSearch::default(),
            free_moves_used: 0,
            placed_call: None,
            placed_at: Duration::ZERO,
            is_over_goal: false,
            work_started: Duration::ZERO,
            nested: NestedCalls::default(),
            parent,
        });
        self.schedule(at, SimulationEvent::SendRequest(self.calls.len() - 1));
    }

    /// Returns the factor on a server's work at the current time, with the faults that are active.
    fn current_slowness(&self, server: ServerIndex) -> f64 {
        let second = self.now.as_secs_f64();
        self.servers[server].slowness * self.scenario.work_factor(server, second)
    }

    fn schedule(&mut self, at: Duration, event: SimulationEvent) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn handle_event(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::SendRequest(call) => self.place_call(call),
            SimulationEvent::ReachGuard(call, server) => self.offer_request(call, server),
            SimulationEvent::FinishWork(call, server, ticket) => {
                self.begin_nested(ParentCall { call, server, ticket });
            }
            SimulationEvent::ReceiveAnswer(call, server, refusal) => {
                self.receive_answer(call, server, refusal)
            }
            SimulationEvent::ExpireQueue(server) => {
                let released = self.servers[server].guard.expire(self.now);
                self.apply_release(server, released);
            }
            SimulationEvent::AdvanceLink(server) => {
                let link = self.servers[server].link.as_ref();
                if link.is_some_and(|link| link.is_step_due(self.now)) {
                    self.advance_link(server);
                }
            }
        }
    }

    /// Returns when the caller of a call stops waiting.
    fn call_deadline(&self, call: CallIndex) -> Duration {
        let call = &self.calls[call];
        let own = call.requested_at + millis(self.scenario.routes[call.route].deadline_ms);
        match &call.parent {
            Some(parent) => own.min(self.call_deadline(parent.call)),
            None => own,
        }
    }

    /// Returns whether a call goes before the requests of callers.
    fn is_nested(&self, call: CallIndex) -> bool {
        self.policy.placement.factors.nested_first && self.calls[call].parent.is_some()
    }

    /// Returns when the caller's current attempt misses its goal.
    fn goal_end(&self, call: CallIndex) -> Duration {
        let call = &self.calls[call];
        let began = match self.policy.placement.factors.returns {
            true => call.requested_at,
            false => call.attempt_began,
        };
        began + millis(self.scenario.routes[call.route].goal_ms)
    }

    /// Returns the class of a call's work.
    fn work_class(&self, call: CallIndex) -> WorkClass {
        match self.scenario.routes[self.calls[call].route].is_long {
            true => WorkClass::Long,
            false => WorkClass::Short,
        }
    }

    /// Places a call on a server, or ends its attempt where the daemon finds none.
    fn place_call(&mut self, index: CallIndex) {
        let (deadline, goal) = (self.call_deadline(index), self.goal_end(index));
        if self.now >= deadline {
            return self.end_refused(index, Duration::ZERO);
        }
        let call = &self.calls[index];
        let route = &self.scenario.routes[call.route];
        let table = self.daemons[call.daemon][&route.service].clone();
        let exclude = call.search.excluded();
        let class = self.work_class(index);
        let is_nested = self.is_nested(index);
        let may_queue_at_once =
            class == WorkClass::Long || is_nested || table.is_asking_vain(self.now);
        let needs_free_slot =
            call.search.needs_free_slot(self.policy.placement.order, may_queue_at_once);
        let wanted = PlaceRequest {
            class,
            work: call.route as u64,
            bytes: route.bytes,
            exclude: &exclude,
            may_probe: true,
            needs_free_slot,
            goal: Some(goal.saturating_sub(self.now)),
            is_nested,
        };
        match table.choose(&wanted, self.now, &mut self.rng) {
            Ok(placed) => {
                let server = placed.endpoint() as ServerIndex;
                let transit = self.transit_time(self.calls[index].daemon, server);
                self.calls[index].placed_call = Some(placed);
                self.calls[index].placed_at = self.now;
                self.schedule(self.now + transit, SimulationEvent::ReachGuard(index, server));
            }
            Err(_) if self.calls[index].search.begin_queueing() => self.place_call(index),
            Err(_) => self.end_refused(index, self.policy.guard.retry_after_min),
        }
    }

    /// Returns the one-way transit time between two daemons.
    fn transit_time(&self, from: ServerIndex, to: ServerIndex) -> Duration {
        match self.crosses_centres(from, to) {
            true => millis(self.scenario.far_ms),
            false => millis(self.scenario.near_ms),
        }
    }

    /// Returns whether two daemons are in different data centres.
    fn crosses_centres(&self, from: ServerIndex, to: ServerIndex) -> bool {
        self.servers[from].data_centre != self.servers[to].data_centre
    }

    /// Offers a request to a server's guard and follows its decision.
    fn offer_request(&mut self, index: CallIndex, server: ServerIndex) {
        self.figures.messages += 1;
        let call = &self.calls[index];
        let route = &self.scenario.routes[call.route];
        if self.crosses_centres(call.daemon, server) && !route.is_long {
            self.figures.cross_centre_bytes += route.bytes;
        }
        let request = GuardRequest {
            class: self.work_class(index),
            flow: FlowKey { workspace: None, team: 0, caller: call.daemon as u64 },
            deadline: self.call_deadline(index),
            is_exclusive: false,
            goal: Some(self.goal_end(index)),
            rank: route.rank,
            is_nested: self.is_nested(index),
            work: call.route as u64,
            max_wait: call.placed_call.as_ref().and_then(PlacedCall::max_wait),
        };
        let guard = &mut self.servers[server].guard;
        let released = guard.evict_less_urgent(&request, self.now);
        self.apply_release(server, released);
        let admission = self.servers[server].guard.offer(&request, self.now, &mut self.rng);
        match admission {
            Admission::Run(ticket) => {
                self.servers[server].admitted.insert(ticket, index);
                self.start_work(index, server, ticket);
            }
            Admission::Queued(ticket) => {
                self.servers[server].admitted.insert(ticket, index);
                self.schedule_expiry(server);
            }
            Admission::Refused(refusal) => self.send_answer(index, server, Some(refusal.reason)),
        }
    }

    /// Schedules the check for requests that wait too long at a server.
    fn schedule_expiry(&mut self, server: ServerIndex) {
        if let Some(at) = self.servers[server].guard.next_expiry() {
            self.schedule(at.max(self.now), SimulationEvent::ExpireQueue(server));
        }
    }

    /// Starts a request on a server and draws the time that it takes.
    fn start_work(&mut self, index: CallIndex, server: ServerIndex, ticket: Ticket) {
        let may_send = self.servers[server].guard.record_sent(ticket, self.now);
        debug_assert!(may_send, "an admitted request has room in the limit");
        self.figures.runs += 1;
        if self.stated_rate(server) != StatedRate::Unlimited {
            self.figures.limited_arrivals.entry(server).or_default().push(self.now);
        }
        self.calls[index].work_started = self.now;
        let route = &self.scenario.routes[self.calls[index].route];
        let work_ms =
            draw_work(route.work_ms, route.spread, &mut self.rng) * self.current_slowness(server);
        self.schedule(
            self.now + millis(work_ms),
            SimulationEvent::FinishWork(index, server, ticket),
        );
    }

    /// Returns what a server states now about the requests that it takes.
    fn stated_rate(&self, server: ServerIndex) -> StatedRate {
        self.scenario.stated_rate(server, self.now.as_secs_f64())
    }

    /// Frees the slot of a finished request and sends its answer, over the link if it is large.
    pub(crate) fn finish_work(&mut self, parent: &ParentCall) {
        let &ParentCall { call: index, server, ticket } = parent;
        let (rate, sent_at) = (self.stated_rate(server), self.calls[index].work_started);
        let (_, released) = self.servers[server].guard.record_stated_rate(rate, sent_at, self.now);
        self.apply_release(server, released);
        let is_large = self.scenario.routes[self.calls[index].route].is_long;
        let takes_link = is_large && self.servers[server].link.is_some();
        let occupies_slot = takes_link && !self.policy.reads_ahead;
        if !occupies_slot {
            self.free_slot(server, ticket);
        }
        if !takes_link {
            return self.send_answer(index, server, None);
        }
        self.advance_link(server);
        let bytes = self.scenario.routes[self.calls[index].route].bytes;
        if let Some(link) = &mut self.servers[server].link {
            link.begin(index, occupies_slot.then_some(ticket), bytes);
        }
        self.advance_link(server);
    }

    /// Frees a slot and starts what waits for it.
    fn free_slot(&mut self, server: ServerIndex, ticket: Ticket) {
        self.servers[server].admitted.remove(&ticket);
        let released = self.servers[server].guard.finish(ticket, self.now);
        self.apply_release(server, released);
    }

    /// Brings a server's link forward, delivers the answers that it has carried, and tells the guard
    /// what is left.
    fn advance_link(&mut self, server: ServerIndex) {
        let Some(link) = &mut self.servers[server].link else { return };
        let carried = link.advance(self.now);
        link.grant_permits(self.now);
        let (waiting, backlog) = link.backlog(self.now);
        if let Some(step_at) = link.plan_step(self.now) {
            self.schedule(step_at, SimulationEvent::AdvanceLink(server));
        }
        for transfer in carried {
            if let Some(ticket) = transfer.ticket {
                self.free_slot(server, ticket);
            }
            if self.crosses_centres(self.calls[transfer.call].daemon, server) {
                let route = &self.scenario.routes[self.calls[transfer.call].route];
                self.figures.cross_centre_bytes += route.bytes;
            }
            self.send_answer(transfer.call, server, None);
        }
        let guard = &mut self.servers[server].guard;
        let mut released = guard.set_waiting_answers(waiting, self.now);
        if self.policy.reads_ahead {
            let further = guard.set_answer_backlog(backlog, self.now);
            released.start.extend(further.start);
            released.refused.extend(further.refused);
        }
        self.apply_release(server, released);
    }

    /// Starts the waiting requests that a guard admits and sends back those that it refuses.
    fn apply_release(&mut self, server: ServerIndex, released: Released) {
        for ticket in released.start {
            if let Some(index) = self.servers[server].admitted.get(&ticket).copied() {
                self.start_work(index, server, ticket);
            }
        }
        for (ticket, reason) in released.refused {
            if let Some(index) = self.servers[server].admitted.remove(&ticket) {
                self.send_answer(index, server, Some(reason));
            }
        }
        self.schedule_expiry(server);
    }

    /// Schedules the arrival of an answer, or of a refusal, at the caller's daemon.
    fn send_answer(
        &mut self,
        index: CallIndex,
        server: ServerIndex,
        reason: Option<RefusalReason>,
    ) {
        let transit = self.transit_time(self.calls[index].daemon, server);
        self.schedule(self.now + transit, SimulationEvent::ReceiveAnswer(index, server, reason));
    }

    /// Handles an answer or a refusal at the caller's daemon. The daemon records the server's
    /// expected wait, then ends the call or places it again.
    fn receive_answer(
        &mut self,
        index: CallIndex,
        server: ServerIndex,
        refusal: Option<RefusalReason>,
    ) {
        let is_nested = self.is_nested(index);
        let wait = self.servers[server].guard.wait_hint(is_nested, self.now);
        let daemon = self.calls[index].daemon;
        let table = &self.daemons[daemon][&self.servers[server].service];
        table.record_wait(server as u64, is_nested, wait, self.now);
        let Some(mut placed) = self.calls[index].placed_call.take() else { return };
        let is_search_miss = placed.max_wait().is_some()
            && matches!(refusal, Some(RefusalReason::Busy | RefusalReason::RateLimited));
        if placed.max_wait().is_none() && self.calls[index].free_moves_used > 0 {
            table.record_move(refusal.is_some(), self.now);
        }
        if placed.max_wait().is_some() && self.work_class(index) == WorkClass::Short {
            table.record_slot_search(is_search_miss, self.now);
        }
        placed.record_head(None, self.now);
        match refusal {
            None => {
                let took = self.now.saturating_sub(self.calls[index].work_started);
                placed.finish(CallOutcome::Success, took, self.now);
                self.end_answered(index);
            }
            Some(_) if is_search_miss => {
                let is_long = self.work_class(index) == WorkClass::Long;
                let call = &mut self.calls[index];
                let goal = Some(millis(self.scenario.routes[call.route].goal_ms));
                let took = self.now - call.placed_at;
                if !is_long {
                    call.search.exclude_busy(server as u64, took, goal);
                } else if !call.search.exclude_full(server as u64, took, goal) {
                    return self.end_refused_randomly(index);
                }
                self.place_call(index);
            }
            Some(reason) => {
                placed.finish(CallOutcome::Refused, Duration::ZERO, self.now);
                self.calls[index].is_over_goal |= reason == RefusalReason::GoalMissed;
                self.try_elsewhere(index, server);
            }
        }
    }

    /// Places a refused call on another server while its daemon has free moves left, otherwise
    /// refuses it.
    fn try_elsewhere(&mut self, index: CallIndex, server: ServerIndex) {
        let call = &mut self.calls[index];
        call.search.exclude(server as u64);
        let table = &self.daemons[call.daemon][&self.servers[server].service];
        let is_vain = call.parent.is_none() && table.is_moving_vain(self.now);
        if call.free_moves_used < self.policy.free_moves && !is_vain {
            call.free_moves_used += 1;
            return self.place_call(index);
        }
        self.end_refused_randomly(index);
    }

    /// Refuses a call with a random wait.
    fn end_refused_randomly(&mut self, index: CallIndex) {
        let (retry_min, window) =
            (self.policy.guard.retry_after_min, self.policy.guard.retry_after_window);
        let is_long = self.work_class(index) == WorkClass::Long;
        let wait = match is_long && self.calls[index].is_over_goal {
            true => {
                let goal = self.goal_end(index).saturating_sub(self.now);
                return_within_goal(goal, &mut self.rng)
            }
            false => draw_between(retry_min, retry_min + window, &mut self.rng),
        };
        self.end_refused(index, wait);
    }

    /// Records an answered call, which counts as failed after its deadline.
    fn end_answered(&mut self, index: CallIndex) {
        let is_served = self.now <= self.call_deadline(index) && !self.calls[index].nested.failed;
        let call = &self.calls[index];
        let route = &self.scenario.routes[call.route];
        let figures = self.figures.routes.entry(route.name.clone()).or_default();
        match is_served {
            true => figures.record_answer(self.now - call.requested_at, millis(route.goal_ms)),
            false => figures.failed += 1,
        }
        self.end_nested(index, is_served);
    }

    /// Ends a refused attempt. The caller retries after `wait` while it has retries and time left.
    fn end_refused(&mut self, index: CallIndex, wait: Duration) {
        let left = self.call_deadline(index).saturating_sub(self.now);
        let call = &mut self.calls[index];
        if call.retries_left > 0 && !left.is_zero() {
            call.retries_left -= 1;
            let at = self.now + wait.min(left / RETRY_WAIT_DIVISOR);
            (call.attempt_began, call.search, call.free_moves_used) =
                (at, SlotSearch::default(), 0);
            call.is_over_goal = false;
            return self.schedule(at, SimulationEvent::SendRequest(index));
        }
        let name = &self.scenario.routes[call.route].name;
        self.figures.routes.entry(name.clone()).or_default().refused += 1;
        self.end_nested(index, false);
    }
}

/// Draws the work of a request in milliseconds from a log-normal distribution with the given mean
/// and a standard deviation of `spread` times the mean.
fn draw_work(mean_ms: f64, spread: f64, rng: &mut (impl Rng + ?Sized)) -> f64 {
    let variance = (1.0 + spread * spread).ln();
    let distribution = LogNormal::new(mean_ms.ln() - variance / 2.0, variance.sqrt());
    // The checks of the scenario bound both values, so the distribution exists.
    distribution.map_or(mean_ms, |distribution| distribution.sample(rng))
}

fn millis(millis: f64) -> Duration {
    Duration::from_secs_f64(millis.max(0.0) / 1000.0)
}
