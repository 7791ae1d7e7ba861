//! Two policies on the same seeds.

use crate::{fleet::LabPolicy, scenario::Scenario, world::run_scenario};

/// A mean of differences between two policies, seed by seed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PairedMean {
    /// Mean of the second less the first.
    pub mean: f64,
    /// Twice its standard error: the mean is within it in about nineteen of twenty cases.
    pub margin: f64,
}

impl PairedMean {
    /// Computes the mean of differences.
    pub fn of(differences: &[f64]) -> Self {
        let count = differences.len().max(1) as f64;
        let mean = differences.iter().sum::<f64>() / count;
        let squares: f64 = differences.iter().map(|one| (one - mean).powi(2)).sum();
        let variance = squares / (count - 1.0).max(1.0);
        Self { mean, margin: 2.0 * (variance / count).sqrt() }
    }
}

/// Plays two policies on the same seeds and gives the differences, second less first, of the part in
/// goal, of the part answered, and of the megabytes between data centres.
pub fn compare_policies(
    scenario: &Scenario,
    policies: [&LabPolicy; 2],
    seeds: std::ops::Range<u64>,
) -> [PairedMean; 3] {
    let mut differences = [Vec::new(), Vec::new(), Vec::new()];
    for seed in seeds {
        let [first, second] = policies.map(|policy| run_scenario(scenario, policy, seed));
        let megabytes = (second.crossed_bytes as f64 - first.crossed_bytes as f64) / 1e6;
        let found =
            [second.in_goal() - first.in_goal(), second.answered() - first.answered(), megabytes];
        differences.iter_mut().zip(found).for_each(|(list, one)| list.push(one));
    }
    differences.map(|list| PairedMean::of(&list))
}
