//! Leaving mechanisms out to find what they are worth.

use serde::{Deserialize, Serialize};

/// Mechanisms that are left out to find what they are worth. Not for service: callers fare worse.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ExperimentSettings {
    /// Mechanisms left out. Default none.
    pub off: Vec<Mechanism>,
    /// Thousandths of the slots of a server that has just started which are held back, 0 to 1000. Absent
    /// for what the order of requests has.
    pub cold_hold: Option<u64>,
    /// Microseconds of waiting near by that a kilobyte is worth which would cross, 0 to 1000000. Absent
    /// for the default.
    pub near_wait_us: Option<u64>,
}

/// A mechanism of the request path that can be left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mechanism {
    /// Placing by the times of each kind of work.
    WorkKinds,
    /// Placing by an endpoint's failures.
    Failures,
    /// Placing by the time on the way.
    Transit,
    /// Placing by the guards' word on the wait.
    WaitHints,
    /// Setting endpoints aside that fail or are slow.
    Outliers,
    /// Sending again after a server's failure.
    FailedAgain,
    /// Bounding long work by what the link carries.
    LinkRoom,
    /// Handing back the least urgent of a full queue.
    MadeRoom,
}
