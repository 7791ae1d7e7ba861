//! Switches that disable single mechanisms of the request path, to measure their effect.

use serde::{Deserialize, Serialize};

/// Mechanisms that are disabled to measure their effect. Not for production: requests are served
/// worse without them.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ExperimentSettings {
    /// Disabled mechanisms. Default none.
    pub off: Vec<Mechanism>,
    /// Thousandths of its slots that a server which has just started does not use yet, 0 to 1000.
    /// Absent for the default of `placing.order`.
    pub cold_hold: Option<u64>,
    /// Microseconds of extra waiting in the own data centre that are accepted to save one kilobyte
    /// of traffic to another, 0 to 1000000. Absent for the default.
    pub near_wait_us: Option<u64>,
}

/// A mechanism of the request path that can be disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mechanism {
    /// Placing by the measured times of each kind of work.
    WorkKinds,
    /// Placing by the failures of an endpoint.
    Failures,
    /// Placing by the transit time to an endpoint.
    Transit,
    /// Placing by the waiting times that the guards report.
    WaitHints,
    /// Excluding endpoints that fail or are slow.
    Outliers,
    /// Retrying a request after a server's failure.
    #[serde(rename = "failed-again")]
    FailureRetries,
    /// Limiting long work by the capacity of the link.
    #[serde(rename = "link-room")]
    LinkLimit,
    /// Replacing the least urgent request of a full queue, which goes back to its sender.
    #[serde(rename = "made-room")]
    Eviction,
    /// Preferring calls of started requests over requests of callers.
    NestedFirst,
    /// Queueing at once where most attempts to find a free slot are in vain.
    SlotOdds,
    /// Waiting in the own data centre while the goal is met there.
    NearFirst,
    /// Counting the goal of a request that was refused before from its first attempt.
    Returns,
}
