//! Compares two policies on the same seeds.
//!
//! Differences are taken seed by seed, since both policies then face the same callers and the
//! variation between seeds does not hide a small effect.

use crate::{fleet::DaemonPolicy, scenario::Scenario, simulation::run_scenario};

/// Mean of the differences between two policies, taken seed by seed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PairedMean {
    /// Mean of the second policy's value minus the first's.
    pub mean: f64,
    /// Twice the standard error of the mean: the true mean lies within it in about nineteen of
    /// twenty cases.
    pub margin: f64,
}

impl PairedMean {
    /// Computes the mean and margin of a list of differences.
    pub fn from_differences(differences: &[f64]) -> Self {
        let count = differences.len().max(1) as f64;
        let mean = differences.iter().sum::<f64>() / count;
        let squares: f64 = differences.iter().map(|difference| (difference - mean).powi(2)).sum();
        let variance = squares / (count - 1.0).max(1.0);
        Self { mean, margin: 2.0 * (variance / count).sqrt() }
    }
}

/// Runs a scenario with both policies on each seed. Returns the mean differences, second minus
/// first, of the share of requests answered within the goal, of the share answered at all, and of
/// the megabytes sent between data centres.
pub fn compare_policies(
    scenario: &Scenario,
    policies: [&DaemonPolicy; 2],
    seeds: std::ops::Range<u64>,
) -> [PairedMean; 3] {
    let mut differences = [Vec::new(), Vec::new(), Vec::new()];
    for seed in seeds {
        let [first, second] = policies.map(|policy| run_scenario(scenario, policy, seed));
        let megabytes = (second.cross_centre_bytes as f64 - first.cross_centre_bytes as f64) / 1e6;
        let seed_differences = [
            second.goal_share() - first.goal_share(),
            second.answered_share() - first.answered_share(),
            megabytes,
        ];
        differences
            .iter_mut()
            .zip(seed_differences)
            .for_each(|(list, difference)| list.push(difference));
    }
    differences.map(|list| PairedMean::from_differences(&list))
}
