//! Simulated roll-outs of drawn services.

use sk_decide::rollout::RolloutSettings;
use sk_lab::{DrawnOrder, FaultCondition, FaultEffect, VersionFault, draw_order, run_order};

fn order(seed: u64, fault: Option<VersionFault>) -> DrawnOrder {
    DrawnOrder { fault, bursts: Vec::new(), gray: Vec::new(), ..draw_order(seed, Some(41)) }
}

/// A version that fails two of five requests would reach more callers than the exposure allows.
#[test]
fn bad_versions() {
    let settings = RolloutSettings::default();
    let effect = FaultEffect::Fails(0.4);
    for seed in 0..4 {
        let from_age = std::time::Duration::from_secs(if seed % 2 == 0 { 0 } else { 3 });
        let fault = VersionFault { effect, condition: FaultCondition::Always, from_age };
        let outcome = run_order(&order(seed, Some(fault)), settings);
        assert!(outcome.is_stopped_in_time(&settings), "seed {seed}: {outcome:?}");
        assert!(outcome.exposure_ratio(&settings) <= 1.0, "seed {seed}: {outcome:?}");
    }
}

/// The same seed has to give the same course, or two methods face different versions.
#[test]
fn same_seed() {
    let run = || run_order(&draw_order(7, None), RolloutSettings::default());
    assert_eq!(run(), run());
}
