//! Versions that are bad under load only.

mod rollout_service;

use rollout_service::{healthy, run};
use sk_decide::rollout::RolloutPhase;

/// A canary that is spread over all servers keeps each of them idle, and a fault that needs load
/// first shows when all traffic has been moved.
#[test]
fn loaded_canary() {
    let course = run(&healthy, &healthy);
    let before_move = course
        .stages
        .iter()
        .filter(|(_, stage)| matches!(stage.phase, RolloutPhase::Canary | RolloutPhase::Growing));
    // The service runs 240 requests, and a server has twelve slots.
    for (at, stage) in before_move.skip(8) {
        let load = 240.0 * stage.share() / (12.0 * f64::from(stage.servers));
        assert!(load > 0.5, "at {at:?}: {stage} uses {load:.2} of its slots");
    }
}
