//! How far a roll-out has come, in a form that merges in any order.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::WorkKey;

/// Why a roll-out was rolled back.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RollbackReason {
    /// The target version fails more of its requests than the base. Rates are in thousandths.
    #[display("fails {target_rate} of 1000 requests, the old version {base_rate}")]
    Failing {
        /// Kind of work that shows it, none for all together.
        work: Option<WorkKey>,
        /// Failures of the target version.
        target_rate: u16,
        /// Failures of the base at the same time.
        base_rate: u16,
    },
    /// The target version is slower than the base.
    #[display("takes {percent} % of the old version's time")]
    Slow {
        /// Kind of work that shows it, none for all together.
        work: Option<WorkKey>,
        /// Service time relative to the base's, in percent.
        percent: u32,
    },
    /// No server of the target version was there.
    #[display("no server of the target version")]
    NoServers,
    /// Too few answers to tell whether the version is good.
    #[display("not enough evidence within the duration")]
    TooLittleEvidence,
    /// The old servers still ran requests when the duration ended.
    #[display("traffic was not moved within the duration")]
    OutOfTime,
}

impl RollbackReason {
    /// Returns whether the target version has shown a fault.
    pub fn is_fault(&self) -> bool {
        matches!(self, Self::Failing { .. } | Self::Slow { .. })
    }
}

/// Phase of a roll-out. The order of the variants is that of their precedence in a merge.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutPhase {
    /// A few per cent of the requests go to few servers of the target version.
    #[display("canary")]
    Canary,
    /// The share grows.
    #[display("growing")]
    Growing,
    /// All requests go to the target version; the old servers finish theirs.
    #[display("moving")]
    Moving,
    /// All traffic has been moved.
    #[display("finished")]
    Finished,
    /// The target version gets nothing any more.
    #[display("rolled back: {_0}")]
    RolledBack(RollbackReason),
}

/// Stage of a roll-out: phase and share. Of two stages of one order the greater one holds, so
/// merging is idempotent, commutative and associative.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{phase} at {share_thousandths} of 1000")]
pub struct RolloutStage {
    /// Phase.
    pub phase: RolloutPhase,
    /// Part of the service's requests that the target version gets, in thousandths.
    pub share_thousandths: u16,
    /// Servers of the target version that get them.
    pub servers: u32,
}

impl Default for RolloutStage {
    fn default() -> Self {
        Self { phase: RolloutPhase::Canary, share_thousandths: 0, servers: 0 }
    }
}

impl RolloutStage {
    /// Merges the stage that another daemon knows.
    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        self.max(other)
    }

    /// Returns the share, 0 to 1.
    pub fn share(&self) -> f64 {
        f64::from(self.share_thousandths) / 1000.0
    }

    /// Returns whether the roll-out has ended.
    pub fn is_final(&self) -> bool {
        matches!(self.phase, RolloutPhase::Finished | RolloutPhase::RolledBack(_))
    }
}
