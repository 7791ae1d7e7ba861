//! Simulated roll-outs: drawn services and versions, decided by `sk_decide::rollout`.
//!
//! Requests arrive at random, are placed on the less busy of two servers and take a drawn time
//! there. The controller sees the guards' counts a second late, and its steps take effect half a
//! second after they are decided.

use sk_decide::rollout::{RolloutMethod, RolloutPacing, RolloutSettings};

pub use crate::rollouts::drawn::{
    DrawnBurst, DrawnOrder, DrawnWork, FaultCondition, FaultEffect, GrayServer, VersionFault,
    draw_order,
};
pub use crate::rollouts::outcome::{OrderOutcome, RolloutFigures};
pub use crate::rollouts::service::run_order;

mod drawn;
mod outcome;
mod service;

/// Runs the drawn orders with each method and each way to time its steps. Returns the figures with
/// the names of both.
pub fn compare_rollouts(
    seeds: std::ops::Range<u64>,
    servers: Option<usize>,
) -> Vec<(String, RolloutFigures)> {
    let methods = [RolloutMethod::SequentialTest, RolloutMethod::FixedLimits];
    let pacings = [RolloutPacing::ByEvidence, RolloutPacing::ByTime];
    let ways = methods.into_iter().flat_map(|method| pacings.map(|pacing| (method, pacing)));
    let figures = ways.map(|(method, pacing)| {
        let settings = RolloutSettings { method, pacing, ..RolloutSettings::default() };
        let mut figures = RolloutFigures::default();
        for seed in seeds.clone() {
            let order = draw_order(seed, servers);
            figures.record(&order, &run_order(&order, settings), &settings);
        }
        (format!("{method}, steps {pacing}"), figures)
    });
    figures.collect()
}
