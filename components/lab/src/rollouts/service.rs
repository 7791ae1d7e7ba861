//! A simulated service with servers of two versions.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use rand_distr::{Distribution, Exp, LogNormal};
use sk_decide::rollout::{
    RolloutController, RolloutSample, RolloutSettings, RolloutStep, RolloutVerdict, VersionCapacity,
};

use crate::rollouts::drawn::{DrawnBurst, DrawnOrder, FaultCondition, FaultEffect, VersionFault};
use crate::rollouts::outcome::OrderOutcome;

/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// Age of the counts that the controller sees.
const EVIDENCE_DELAY: Duration = Duration::from_secs(1);
/// Time that a step takes to reach all daemons.
const STEP_DELAY: Duration = Duration::from_millis(500);
/// Factor on the service times of a cold server, and how long it is cold.
const COLD_SLOWNESS: f64 = 2.0;
const COLD_TIME: f64 = 3.0;
/// A neighbour that slows a server: for how long, how often and by how much.
const NEIGHBOUR_PERIOD: f64 = 0.6;
const NEIGHBOUR_PART: f64 = 0.15;
const NEIGHBOUR_SLOWNESS: f64 = 2.5;
/// Time that a request loses at most by that.
const NEIGHBOUR_LOSS: f64 = NEIGHBOUR_PERIOD * (1.0 - 1.0 / NEIGHBOUR_SLOWNESS);
/// Time after which a server's answer counts as missing.
const ANSWER_LIMIT: f64 = 10.0;
/// Bad responses after which a bad version has to be stopped.
const NOTED_RESPONSES: u64 = 50;

/// Group of servers, as an index.
const BASE: usize = 0;
const TARGET: usize = 1;

/// Something that happens, at a time in microseconds since the order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Sample,
    End { group: usize, server: usize, work: usize, took_us: u64, is_failure: bool, is_bad: bool },
}

/// State of one run.
struct SimulatedService<'a> {
    order: &'a DrawnOrder,
    rng: SmallRng,
    now: f64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    running: [Vec<u32>; 2],
    counts: RolloutSample,
    samples: VecDeque<RolloutSample>,
    /// Steps that have been decided and have not reached the daemons, with the time at which they do.
    steps: VecDeque<(f64, RolloutStep)>,
    step: RolloutStep,
    split: f64,
    outcome: OrderOutcome,
}

/// Runs an order to the end of its duration.
pub fn run_order(order: &DrawnOrder, settings: RolloutSettings) -> OrderOutcome {
    let mut controller = RolloutController::new(settings, order.duration);
    let mut service = SimulatedService::new(order);
    service.schedule(0.0, Event::Arrival);
    service.schedule(0.0, Event::Sample);
    while let Some(Reverse((at, _, event))) = service.events.pop() {
        service.now = at as f64 / 1e6;
        if service.now > order.duration.as_secs_f64() {
            break;
        }
        match event {
            Event::Arrival => service.arrive(),
            Event::Sample => service.sample(&mut controller),
            Event::End { group, server, work, took_us, is_failure, is_bad } => {
                service.running[group][server] -= 1;
                let took = Duration::from_micros(took_us);
                let groups = [&mut service.counts.base, &mut service.counts.target];
                let evidence = groups.into_iter().nth(group).expect("two groups");
                let server = evidence.by_server.entry(server as u64).or_default();
                server.record(work as u64, is_failure, took);
                service.count_bad(is_bad);
            }
        }
    }
    service.outcome.sent = service.counts.sent;
    service.outcome.exposure = service.counts.sent_to_target;
    service.outcome
}

impl<'a> SimulatedService<'a> {
    fn new(order: &'a DrawnOrder) -> Self {
        Self {
            order,
            rng: SmallRng::seed_from_u64(order.seed ^ 0x5eed),
            now: 0.0,
            events: BinaryHeap::new(),
            sequence: 0,
            running: [vec![0; order.servers], vec![0; order.servers]],
            counts: RolloutSample::default(),
            samples: VecDeque::new(),
            steps: VecDeque::new(),
            step: RolloutStep { share: 0.0, servers: 0, verdict: RolloutVerdict::Continue },
            split: 0.0,
            outcome: OrderOutcome::default(),
        }
    }

    fn schedule(&mut self, at: f64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse(((at * 1e6) as u64, self.sequence, event)));
    }

    fn burst(&self) -> Option<&'a DrawnBurst> {
        self.order.bursts.iter().find(|burst| (burst.from..burst.until).contains(&self.now))
    }

    /// Takes a sample and gives the controller one that is as old as the evidence is.
    fn sample(&mut self, controller: &mut RolloutController) {
        self.schedule(self.now + SAMPLE_INTERVAL.as_secs_f64(), Event::Sample);
        let servers = self.order.servers as u32;
        let capacity = |is_warm: bool| VersionCapacity {
            servers,
            warm_servers: if is_warm { servers } else { 0 },
            slots: servers * self.order.slots,
        };
        self.counts.base_capacity = capacity(true);
        self.counts.target_capacity = match self.now >= self.order.start {
            true => capacity(self.now >= self.order.start + COLD_TIME),
            false => VersionCapacity::default(),
        };
        self.counts.base_running = self.running[BASE].iter().sum();
        self.samples.push_back(self.counts.clone());
        let delay = EVIDENCE_DELAY.as_micros() / SAMPLE_INTERVAL.as_micros();
        if self.samples.len() <= delay as usize {
            return;
        }
        let sample = self.samples.pop_front().expect("not empty");
        let elapsed = Duration::from_secs_f64(self.now);
        let step = controller.assess(&RolloutSample { elapsed, ..sample });
        self.steps.push_back((self.now + STEP_DELAY.as_secs_f64(), step));
        if step.verdict != RolloutVerdict::Continue {
            self.outcome.ended.get_or_insert((elapsed, step.verdict));
        }
    }

    fn arrive(&mut self) {
        let burst = self.burst();
        let rate = self.order.rate * burst.map_or(1.0, |burst| burst.rate);
        let wait = Exp::new(rate).expect("positive rate").sample(&mut self.rng);
        self.schedule(self.now + wait, Event::Arrival);
        while self.steps.front().is_some_and(|(at, _)| *at <= self.now) {
            self.step = self.steps.pop_front().expect("not empty").1;
        }
        self.split += self.step.share;
        let is_selected = self.split >= 1.0;
        self.split -= if is_selected { 1.0 } else { 0.0 };
        let to_target = is_selected.then(|| self.find_server(TARGET)).flatten();
        let to_base = || (self.step.share < 1.0, BASE);
        let placed = match (to_target, to_base()) {
            (Some(server), _) => Some((TARGET, server)),
            (None, (true, group)) => self.find_server(group).map(|server| (group, server)),
            _ => None,
        };
        if let Some((group, server)) = placed {
            self.start(group, server);
        }
    }

    /// Returns the less busy of two servers, or one of eight others if both are full.
    fn find_server(&mut self, group: usize) -> Option<usize> {
        let count = match group {
            TARGET if self.now < self.order.start => 0,
            TARGET => (self.step.servers as usize).min(self.order.servers),
            _ => self.order.servers,
        };
        if count == 0 {
            return None;
        }
        let mut candidate = || self.rng.random_range(0..count);
        let candidates: [usize; 10] = std::array::from_fn(|_| candidate());
        let running = &self.running[group];
        let has_room = |server: &usize| running[*server] < self.order.slots;
        let best = candidates[..2].iter().copied().min_by_key(|server| running[*server]);
        best.filter(has_room).or_else(|| candidates[2..].iter().copied().find(has_room))
    }

    fn start(&mut self, group: usize, server: usize) {
        let order = self.order;
        self.running[group][server] += 1;
        self.counts.sent += 1;
        let work = self.draw_work();
        let drawn = order.works[work];
        let sigma = (1.0 + drawn.spread * drawn.spread).ln().sqrt();
        let times = LogNormal::new(drawn.mean.ln() - sigma * sigma / 2.0, sigma);
        let mut took = times.expect("valid spread").sample(&mut self.rng);
        if self.rng.random_bool(drawn.tail_share) {
            took = drawn.mean * drawn.tail_factor;
        }
        took *= order.slowness[group][server];
        if self.has_neighbour(group, server) {
            took += NEIGHBOUR_LOSS.min(took * (NEIGHBOUR_SLOWNESS - 1.0));
        }
        let mut failures = order.failures + self.burst().map_or(0.0, |burst| burst.failures);
        let mut is_bad = false;
        if group == TARGET {
            self.counts.sent_to_target += 1;
            self.outcome.last_sent = self.now;
            took *= if self.now < order.start + COLD_TIME { COLD_SLOWNESS } else { 1.0 };
        }
        let grays = order
            .gray
            .iter()
            .filter(|gray| gray.is_target == (group == TARGET) && gray.index == server);
        for gray in grays {
            match gray.effect {
                FaultEffect::Fails(part) => failures += part,
                FaultEffect::Slow(factor) => took *= factor,
            }
        }
        let fault = order.fault.filter(|fault| group == TARGET && self.is_hit(fault, server, work));
        match fault.map(|fault| fault.effect) {
            Some(FaultEffect::Fails(part)) => is_bad = self.rng.random_bool(part),
            Some(FaultEffect::Slow(factor)) => {
                took *= factor;
                is_bad = true;
            }
            None => {}
        }
        let fails_by_fault =
            is_bad && matches!(fault, Some(VersionFault { effect: FaultEffect::Fails(_), .. }));
        let is_failure =
            took > ANSWER_LIMIT || fails_by_fault || self.rng.random_bool(failures.min(1.0));
        let took = took.min(ANSWER_LIMIT);
        let took_us = (took * 1e6) as u64;
        let end = Event::End { group, server, work, took_us, is_failure, is_bad };
        self.schedule(self.now + took, end);
    }

    fn draw_work(&mut self) -> usize {
        let mut left: f64 = self.rng.random();
        let works = &self.order.works;
        let found = works.iter().position(|work| {
            left -= work.share;
            left < 0.0
        });
        found.unwrap_or(works.len() - 1)
    }

    /// Returns whether a neighbour slows a server now.
    fn has_neighbour(&self, group: usize, server: usize) -> bool {
        let period = (self.now / NEIGHBOUR_PERIOD) as u64;
        let id = (group * self.order.servers + server) as u64;
        let seed = self.order.seed.wrapping_mul(1_000_003) ^ (id << 20) ^ period;
        SmallRng::seed_from_u64(seed).random_bool(NEIGHBOUR_PART)
    }

    /// Returns whether a fault hits a request that starts now.
    fn is_hit(&self, fault: &VersionFault, server: usize, work: usize) -> bool {
        let is_old_enough = self.now - self.order.start >= fault.from_age.as_secs_f64();
        is_old_enough
            && match fault.condition {
                FaultCondition::Always => true,
                FaultCondition::UnderLoad => 2 * self.running[TARGET][server] > self.order.slots,
                FaultCondition::OneWork(hit) => work == hit,
            }
    }

    fn count_bad(&mut self, is_bad: bool) {
        self.outcome.bad_responses += u64::from(is_bad);
        if is_bad && self.outcome.bad_responses == NOTED_RESPONSES {
            self.outcome.noted_at = Some(self.now);
        }
    }
}
