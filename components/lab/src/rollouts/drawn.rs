//! Randomly drawn services with an order, and what is wrong with the new version.

use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng, rngs::SmallRng};

/// What a fault of a version does to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultEffect {
    /// Part of the requests that fail.
    Fails(f64),
    /// Factor on service times.
    Slow(f64),
}

/// Which requests a fault hits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultCondition {
    /// All of them.
    Always,
    /// Those that start while more than half of their server's slots are in use.
    UnderLoad,
    /// Those of one kind of work, by its index.
    OneWork(usize),
}

/// Fault of a version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct VersionFault {
    /// What it does.
    pub effect: FaultEffect,
    /// Which requests it hits.
    pub condition: FaultCondition,
    /// Age of a server from which it shows.
    pub from_age: Duration,
}

/// Kind of work of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DrawnWork {
    /// Part of the service's requests.
    pub share: f64,
    /// Mean service time in seconds, without the tail.
    pub mean: f64,
    /// Standard deviation relative to the mean.
    pub spread: f64,
    /// Part of the requests in the tail.
    pub tail_share: f64,
    /// Factor on the times of these.
    pub tail_factor: f64,
}

/// A time in which more requests come, and calls of servers of both versions are refused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DrawnBurst {
    /// Start in seconds after the order.
    pub from: f64,
    /// End in seconds after the order.
    pub until: f64,
    /// Factor on the rate of requests.
    pub rate: f64,
    /// Part of the requests that fail.
    pub failures: f64,
}

/// A gray failure of one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrayServer {
    /// Whether it has the target version.
    pub is_target: bool,
    /// Index in its group.
    pub index: usize,
    /// What it does to its requests.
    pub effect: FaultEffect,
}

/// A service with an order.
#[derive(Clone, Debug)]
pub struct DrawnOrder {
    /// Seed of its requests.
    pub seed: u64,
    /// Servers of each version.
    pub servers: usize,
    /// Slots of each server.
    pub slots: u32,
    /// Requests per second.
    pub rate: f64,
    /// Duration of the order.
    pub duration: Duration,
    /// Kinds of work.
    pub works: Vec<DrawnWork>,
    /// Factors on service times of the old servers, then of the new ones.
    pub slowness: [Vec<f64>; 2],
    /// Start of the new servers in seconds after the order, possibly before it.
    pub start: f64,
    /// Part of the requests that fail anyway.
    pub failures: f64,
    /// Times of overload.
    pub bursts: Vec<DrawnBurst>,
    /// Servers with a gray failure.
    pub gray: Vec<GrayServer>,
    /// What is wrong with the target version, none for a good one.
    pub fault: Option<VersionFault>,
}

/// Draws an order, of a service with 3 to 300 servers of each version unless their number is given.
/// The same seed gives the same order.
pub fn draw_order(seed: u64, servers: Option<usize>) -> DrawnOrder {
    let rng = &mut SmallRng::seed_from_u64(seed);
    let drawn = (3.0 * 100_f64.powf(rng.random::<f64>())).round() as usize;
    let servers = servers.unwrap_or(drawn);
    let slots = rng.random_range(6..=14);
    let works = draw_works(rng);
    let mean: f64 = works.iter().map(|work| work.share * work.mean).sum();
    let load = rng.random_range(0.35..0.7);
    let mut slowness = || (0..servers).map(|_| rng.random_range(0.5..1.7)).collect::<Vec<f64>>();
    let slowness = [slowness(), slowness()];
    let duration = Duration::from_secs_f64(rng.random_range(12.0..16.0));
    let bursts = match rng.random_bool(0.5) {
        true => (0..rng.random_range(1..=3)).map(|_| draw_burst(rng)).collect(),
        false => Vec::new(),
    };
    let gray = match rng.random_bool(0.3) {
        true => vec![draw_gray(rng, servers)],
        false => Vec::new(),
    };
    let fault = rng.random_bool(0.5).then(|| draw_fault(rng, works.len()));
    DrawnOrder {
        seed,
        servers,
        slots,
        rate: load * f64::from(slots) * servers as f64 / (1.15 * mean),
        duration,
        works,
        slowness,
        start: rng.random_range(-1.0..0.5),
        failures: rng.random_range(0.0..0.02),
        bursts,
        gray,
        fault,
    }
}

fn draw_works(rng: &mut impl Rng) -> Vec<DrawnWork> {
    let count = rng.random_range(2..=5);
    let weights: Vec<f64> = (0..count).map(|_| rng.random_range(0.15..1.0)).collect();
    let sum: f64 = weights.iter().sum();
    let scale = rng.random_range(0.05..0.2);
    let work = |weight: f64| DrawnWork {
        share: weight / sum,
        mean: scale * rng.random_range(0.4..1.8),
        spread: rng.random_range(0.3..0.8),
        tail_share: rng.random_range(0.01..0.03),
        tail_factor: rng.random_range(3.0..7.0),
    };
    weights.into_iter().map(work).collect()
}

fn draw_burst(rng: &mut impl Rng) -> DrawnBurst {
    let from = rng.random_range(0.0..10.0);
    DrawnBurst {
        from,
        until: from + rng.random_range(0.5..3.0),
        rate: rng.random_range(1.1..1.8),
        failures: rng.random_range(0.0..0.2),
    }
}

fn draw_gray(rng: &mut impl Rng, servers: usize) -> GrayServer {
    let effect = match rng.random_bool(0.5) {
        true => FaultEffect::Fails(rng.random_range(0.2..0.8)),
        false => FaultEffect::Slow(rng.random_range(3.0..8.0)),
    };
    // Target servers are used by their index; the first ones serve the canary.
    let index = rng.random_range(0..servers.div_ceil(8));
    GrayServer { is_target: rng.random_bool(0.6), index, effect }
}

fn draw_fault(rng: &mut impl Rng, works: usize) -> VersionFault {
    let effect = match rng.random_range(0..10) {
        0..5 => FaultEffect::Fails(rng.random_range(0.37..0.5)),
        5..7 => FaultEffect::Fails(rng.random_range(0.02..0.37)),
        7..9 => FaultEffect::Slow(rng.random_range(3.0..8.0)),
        _ => FaultEffect::Slow(rng.random_range(1.5..3.0)),
    };
    let condition = match rng.random_range(0..3) {
        0 => FaultCondition::Always,
        1 => FaultCondition::UnderLoad,
        _ => FaultCondition::OneWork(rng.random_range(0..works)),
    };
    let from_age = match rng.random_bool(0.5) {
        true => Duration::ZERO,
        false => Duration::from_secs(3),
    };
    VersionFault { effect, condition, from_age }
}

impl VersionFault {
    /// Returns whether callers notice the fault: one request in ten fails, or times are three times
    /// as long.
    pub fn is_strong(&self) -> bool {
        match self.effect {
            FaultEffect::Fails(part) => part >= 0.1,
            FaultEffect::Slow(factor) => factor >= 3.0,
        }
    }
}
