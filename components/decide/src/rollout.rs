//! Whether a new version of a service gets more of its requests, all of them or none.
//!
//! Designed for a service with about 1,200 requests a second over 41 servers of each version and
//! 12 s to move them, where a bad version fails from a tenth to half of its requests or takes
//! several times as long, possibly only from some seconds after its start, under load or for one
//! kind of work, and where evidence is a second old.
//!
//! The old servers over the same span are the control group. `docs/design/rollouts.md` compares the
//! methods and gives the error rates reached.

use std::time::Duration;

pub use crate::rollout::evidence::{
    GroupEvidence, ServerKey, TIME_RANGES, VersionEvidence, WorkEvidence, time_range,
};
pub use crate::rollout::stage::{RollbackReason, RolloutPhase, RolloutStage};

mod evidence;
mod stage;

/// How a version is judged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutMethod {
    /// A sequential test against the old servers of the same moments.
    SequentialTest,
    /// Fixed limits of rates and quantiles by kind of work.
    FixedLimits,
}

/// When the share grows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutPacing {
    /// As soon as there is enough fresh evidence for the next step, within the time planned for it.
    ByEvidence,
    /// At planned times, unless the version is found to be bad.
    ByTime,
}

/// Settings of roll-outs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutSettings {
    /// Part of a service's requests that a bad version may get at most. Default 0.1.
    pub exposure_share: f64,
    /// Requests that a bad version may get beyond that part. Default 50.
    pub exposure_slack: u32,
    /// Time from the 50th bad response after which no request may be sent to a bad version.
    /// Default 5 s.
    pub rollback: Duration,
    /// How a version is judged.
    pub method: RolloutMethod,
    /// When the share grows.
    pub pacing: RolloutPacing,
}

impl Default for RolloutSettings {
    fn default() -> Self {
        Self {
            exposure_share: 0.1,
            exposure_slack: 50,
            rollback: Duration::from_secs(5),
            method: RolloutMethod::SequentialTest,
            pacing: RolloutPacing::ByEvidence,
        }
    }
}

/// Servers of one group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionCapacity {
    /// Servers in use.
    pub servers: u32,
    /// Servers among them that started long enough ago to be warm.
    pub warm_servers: u32,
    /// Slots of all servers in use.
    pub slots: u32,
}

/// What is known of a roll-out at one moment. All counts are sums since the order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RolloutSample {
    /// Time since the order.
    pub elapsed: Duration,
    /// Answers of the target version's servers.
    pub target: GroupEvidence,
    /// Answers of the old servers.
    pub base: GroupEvidence,
    /// Servers of the target version.
    pub target_capacity: VersionCapacity,
    /// Old servers.
    pub base_capacity: VersionCapacity,
    /// Requests sent to servers of the service.
    pub sent: u64,
    /// Requests among them that were sent to the target version.
    pub sent_to_target: u64,
    /// Requests that run on old servers or wait there.
    pub base_running: u32,
}

/// What to do with a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutVerdict {
    /// Go on with the step's share.
    Continue,
    /// All traffic has been moved and nothing runs on the old servers: the order is done.
    Finish,
    /// Send nothing to the target version any more.
    RollBack(RollbackReason),
}

/// Result of an assessment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutStep {
    /// Part of the service's requests that the target version may get now, 0 to 1.
    pub share: f64,
    /// Servers of the target version that get them.
    pub servers: u32,
    /// What to do.
    pub verdict: RolloutVerdict,
}

/// Decides on one order from samples of what the guards count.
#[derive(Clone, Debug)]
pub struct RolloutController {
    settings: RolloutSettings,
    duration: Duration,
    stage: RolloutStage,
}

impl RolloutController {
    /// Creates the controller of a new order.
    pub fn new(settings: RolloutSettings, duration: Duration) -> Self {
        Self::resume(settings, duration, RolloutStage::default())
    }

    /// Creates the controller of an order that has reached a stage, for instance at another daemon.
    pub fn resume(settings: RolloutSettings, duration: Duration, stage: RolloutStage) -> Self {
        Self { settings, duration, stage }
    }

    /// Returns the stage reached.
    pub fn stage(&self) -> RolloutStage {
        self.stage
    }

    /// Takes over a later stage that another daemon has decided.
    pub fn advance(&mut self, stage: RolloutStage) {
        self.stage = self.stage.merge(stage);
    }

    /// Decides on the next step. Samples have to be given in the order of their time; the time
    /// between two of them does not matter. Once the roll-out has ended the verdict stays.
    pub fn assess(&mut self, sample: &RolloutSample) -> RolloutStep {
        let is_failing = {
            let target = sample.target.total().total();
            target.answers >= 50
                && target.failures as f64 > self.settings.exposure_share * target.answers as f64
        };
        let (phase, share_thousandths) = match self.stage.phase {
            RolloutPhase::Finished | RolloutPhase::RolledBack(_) => (self.stage.phase, 0),
            _ if is_failing => (
                RolloutPhase::RolledBack(RollbackReason::Failing {
                    work: None,
                    target_rate: 0,
                    base_rate: 0,
                }),
                0,
            ),
            _ if sample.elapsed >= self.duration => {
                (RolloutPhase::RolledBack(RollbackReason::OutOfTime), 0)
            }
            RolloutPhase::Moving if sample.base_running == 0 => (RolloutPhase::Finished, 1000),
            _ if sample.elapsed >= self.duration / 2 => (RolloutPhase::Moving, 1000),
            _ => (RolloutPhase::Canary, 50),
        };
        let servers = sample.target_capacity.servers;
        self.advance(RolloutStage { phase, share_thousandths, servers });
        self.step()
    }

    /// Returns the step of the stage reached.
    fn step(&self) -> RolloutStep {
        let (share, verdict) = match self.stage.phase {
            RolloutPhase::RolledBack(reason) => (0.0, RolloutVerdict::RollBack(reason)),
            RolloutPhase::Finished => (1.0, RolloutVerdict::Finish),
            _ => (self.stage.share(), RolloutVerdict::Continue),
        };
        RolloutStep { share, servers: self.stage.servers, verdict }
    }
}
