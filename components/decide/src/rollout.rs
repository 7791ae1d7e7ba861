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

use derive_more::Display;

use crate::rollout::judging::{AcceptanceLimits, Judgement, VersionJudge};
use crate::rollout::plan::{MIN_CANARY, RolloutPlan};
use crate::rollout::progress::TrafficProgress;

pub(crate) use crate::rollout::evidence::time_bound;
pub use crate::rollout::evidence::{
    GroupEvidence, ServerKey, TIME_RANGES, VersionEvidence, WorkEvidence, time_range,
};
pub use crate::rollout::stage::{RollbackReason, RolloutPhase, RolloutStage};

mod evidence;
mod judging;
mod limits;
mod plan;
mod progress;
mod sequential;
mod stage;

/// How a version is judged.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RolloutMethod {
    /// A sequential test against the old servers of the same moments.
    #[display("sequential test")]
    SequentialTest,
    /// Fixed limits of rates and quantiles by kind of work.
    #[display("fixed limits")]
    FixedLimits,
}

/// When the share grows.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RolloutPacing {
    /// As soon as there is enough fresh evidence for the next step, within the time planned for it.
    #[display("by evidence")]
    ByEvidence,
    /// At planned times, unless the version is found to be bad.
    #[display("by time")]
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
    /// Whether too little is known of the old servers to end the roll-out, except for a fault of the
    /// target version.
    pub is_base_lost: bool,
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

/// Bad responses of one server after which others are not waited for to show whether it is alone.
const MAX_SUSPECT_FAILURES: u64 = 100;
/// Time for which others are waited for at most. A step to use others takes effect, and shows,
/// within 2 s.
const MAX_SUSPECT_TIME: Duration = Duration::from_millis(3500);
/// Time that a fault may hide in evidence of its version's better past.
const RENEWAL_TIME: Duration = Duration::from_millis(2500);
/// Servers that are added to the canary to tell a gray failure of one server from a bad version.
const SUSPECT_SERVERS: u32 = 2;
/// Time that a stage takes to reach all daemons, and their counts to come back.
const REACH_TIME: Duration = Duration::from_secs(2);
/// Factor from which the canary's share is adjusted to the rate of requests.
const CANARY_ADJUSTMENT: f64 = 1.25;
/// Time after which a step has taken effect and shows in the evidence.
const EVIDENCE_DELAY: Duration = Duration::from_millis(1500);

/// What all evidence has to show before the share grows.
const WHOLE_LIMITS: AcceptanceLimits = AcceptanceLimits {
    answers: 30,
    work_answers: 6,
    excess: 0.08,
    seen_excess: 0.08,
    work_excess: 0.35,
    slowness: 2.2,
};
/// What the evidence since the last step has to show.
const FRESH_LIMITS: AcceptanceLimits = AcceptanceLimits {
    answers: 6,
    work_answers: 0,
    excess: 0.35,
    seen_excess: 0.35,
    work_excess: 0.6,
    slowness: 3.0,
};
/// What suffices when the time for a step has passed, for services with few requests.
const SCARCE_LIMITS: AcceptanceLimits = AcceptanceLimits {
    answers: 8,
    work_answers: 0,
    excess: 0.35,
    seen_excess: 0.06,
    work_excess: 0.6,
    slowness: 2.2,
};

/// Decides on one order from samples of what the guards count.
#[derive(Clone, Debug)]
pub struct RolloutController {
    settings: RolloutSettings,
    duration: Duration,
    plan: RolloutPlan,
    stage: RolloutStage,
    /// Time at which the stage was reached here.
    stage_since: Option<Duration>,
    /// All evidence.
    whole: VersionJudge,
    /// The evidence since the last step, or of the last seconds.
    fresh: VersionJudge,
    /// Time since which `fresh` counts.
    fresh_since: Duration,
    /// Time since which one server shows a fault that others have not been able to show.
    suspected_since: Option<Duration>,
    progress: TrafficProgress,
}

impl RolloutController {
    /// Creates the controller of a new order.
    pub fn new(settings: RolloutSettings, duration: Duration) -> Self {
        Self {
            settings,
            duration,
            plan: RolloutPlan::new(duration, Duration::ZERO),
            stage: RolloutStage::default(),
            stage_since: None,
            whole: VersionJudge::new(settings.method),
            fresh: VersionJudge::new(settings.method),
            fresh_since: Duration::ZERO,
            suspected_since: None,
            progress: TrafficProgress::new(),
        }
    }

    /// Creates the controller of an order that has reached a stage, for instance before a restart.
    /// Counts of the first sample are not judged, since it is not known when they were made.
    pub fn resume(settings: RolloutSettings, duration: Duration, stage: RolloutStage) -> Self {
        let progress = TrafficProgress::resumed();
        Self { stage, progress, ..Self::new(settings, duration) }
    }

    /// Returns the stage reached.
    pub fn stage(&self) -> RolloutStage {
        self.stage
    }

    /// Takes over a later stage that another daemon has decided.
    pub fn advance(&mut self, stage: RolloutStage) {
        if stage <= self.stage {
            return;
        }
        // The canary's share is adjusted to the rate of requests, which starts no new stage.
        if stage.phase != RolloutPhase::Canary {
            self.stage_since = None;
        }
        self.stage = stage;
    }

    /// Decides on the next step. Samples have to be given in the order of their time; the time
    /// between two of them does not matter. Once the roll-out has ended the verdict stays.
    pub fn assess(&mut self, sample: &RolloutSample) -> RolloutStep {
        let now = sample.elapsed;
        if let Some(span) = self.progress.observe(sample, self.stage.share()) {
            self.whole.observe(&span);
            self.fresh.observe(&span);
        }
        self.plan = RolloutPlan::new(self.duration, self.progress.longest());
        let stage_since = *self.stage_since.get_or_insert(now);
        let fresh_from = stage_since + EVIDENCE_DELAY;
        let is_new_stage = self.fresh_since < fresh_from && now >= fresh_from;
        if is_new_stage || now >= self.fresh_since + RENEWAL_TIME {
            self.fresh = self.whole.renewed();
            self.fresh_since = now;
        }
        self.suspected_since = match self.is_suspected() {
            true => self.suspected_since.or(Some(now)),
            false => None,
        };
        let next = self.next_stage(sample, now.saturating_sub(stage_since));
        self.advance(next);
        self.stage_since.get_or_insert(now);
        self.step()
    }

    /// Returns the stage that follows from the evidence, `in_stage` after the last one was reached.
    fn next_stage(&self, sample: &RolloutSample, in_stage: Duration) -> RolloutStage {
        let (now, plan) = (sample.elapsed, &self.plan);
        let is_moved = self.stage.phase == RolloutPhase::Moving;
        let is_idle = in_stage >= REACH_TIME && self.progress.is_base_idle();
        let fault = self.fault(sample);
        match (self.stage.phase, fault) {
            _ if self.stage.is_final() => self.stage,
            (_, None) if sample.is_base_lost => self.stage,
            _ if serves_alone(sample) && !sample.is_base_lost => {
                self.at(RolloutPhase::Finished, 1.0, sample)
            }
            (_, Some(reason)) => self.rolled_back(reason),
            (RolloutPhase::Moving, _) if is_idle => self.at(RolloutPhase::Finished, 1.0, sample),
            _ if now >= plan.end(is_moved) => self.rolled_back(self.lateness(sample)),
            (RolloutPhase::Canary, _) if self.is_due(plan.canary_until, MIN_CANARY, in_stage) => {
                let share = plan.step_share(&self.settings, sample, self.progress.rate(), false);
                self.at(RolloutPhase::Growing, share, sample)
            }
            (RolloutPhase::Growing, _)
                if now <= plan.move_until() && self.is_due(plan.move_at, plan.step, in_stage) =>
            {
                self.at(RolloutPhase::Moving, 1.0, sample)
            }
            (RolloutPhase::Growing, _)
                if now < plan.move_at
                    && self.is_due(plan.move_at - plan.step, plan.step, in_stage) =>
            {
                let share = plan.step_share(&self.settings, sample, self.progress.rate(), true);
                self.at(RolloutPhase::Growing, share, sample)
            }
            (RolloutPhase::Canary, _) => {
                let share = plan.canary_share(&self.settings, self.progress.rate());
                let is_adjusted = share >= CANARY_ADJUSTMENT * self.stage.share();
                let share = if is_adjusted { share } else { self.stage.share() };
                self.at(RolloutPhase::Canary, share, sample)
            }
            _ => self.stage,
        }
    }

    /// Returns whether the step planned for `at` may be made. `in_stage` has to be `min_time`, and
    /// what the target version does has to be seen for that long.
    fn is_due(&self, at: Duration, min_time: Duration, in_stage: Duration) -> bool {
        let now = self.progress.now();
        match self.settings.pacing {
            RolloutPacing::ByTime => now >= at && self.progress.target().answers > 0,
            RolloutPacing::ByEvidence => {
                let is_growing = self.stage.phase == RolloutPhase::Growing;
                let is_known = self.whole.accepts(WHOLE_LIMITS)
                    && (!is_growing || self.fresh.accepts(FRESH_LIMITS));
                let is_late = now >= at + self.plan.step / 2;
                now >= at
                    && in_stage >= min_time
                    && self.progress.answering_for() >= min_time
                    && self.progress.keeps_up()
                    && !self.is_suspected()
                    && (is_known || is_late && self.whole.accepts(SCARCE_LIMITS))
            }
        }
    }

    /// Returns why the version is bad, if it is.
    fn fault(&self, sample: &RolloutSample) -> Option<RollbackReason> {
        let target = self.progress.target();
        [self.whole.judge(), self.fresh.judge()].into_iter().find_map(|judgement| match judgement {
            Judgement::Bad(reason) => Some(reason),
            Judgement::Suspected(reason) => {
                let is_sure = target.failures >= MAX_SUSPECT_FAILURES
                    || self
                        .suspected_since
                        .is_some_and(|at| sample.elapsed >= at + MAX_SUSPECT_TIME);
                (is_sure || sample.target_capacity.servers == 1).then_some(reason)
            }
            Judgement::Open => None,
        })
    }

    /// Returns whether one server has shown a fault that others have not been able to show.
    fn is_suspected(&self) -> bool {
        let is_suspected = |judge: &VersionJudge| matches!(judge.judge(), Judgement::Suspected(_));
        is_suspected(&self.whole) || is_suspected(&self.fresh)
    }

    /// Returns the reason of a roll-out that has not ended in time.
    fn lateness(&self, sample: &RolloutSample) -> RollbackReason {
        match self.stage.phase {
            _ if sample.target_capacity.servers == 0 => RollbackReason::NoServers,
            RolloutPhase::Moving => RollbackReason::OutOfTime,
            _ => RollbackReason::TooLittleEvidence,
        }
    }

    /// Returns a stage with a share that is at least the one reached.
    fn at(&self, phase: RolloutPhase, share: f64, sample: &RolloutSample) -> RolloutStage {
        let share = share.max(self.stage.share());
        let servers = match phase {
            RolloutPhase::Moving | RolloutPhase::Finished => sample.target_capacity.servers,
            _ if self.is_suspected() => {
                let servers =
                    self.plan.servers(share, sample, self.progress.running()) + SUSPECT_SERVERS;
                servers.min(sample.target_capacity.servers)
            }
            _ => self.plan.servers(share, sample, self.progress.running()),
        };
        RolloutStage {
            phase,
            share_thousandths: (share * 1000.0).round() as u16,
            servers: servers.max(self.stage.servers),
        }
    }

    /// Returns the stage of a roll-out that is rolled back.
    fn rolled_back(&self, reason: RollbackReason) -> RolloutStage {
        RolloutStage { phase: RolloutPhase::RolledBack(reason), share_thousandths: 0, servers: 0 }
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

/// Returns whether the service has no old servers.
fn serves_alone(sample: &RolloutSample) -> bool {
    sample.base_capacity.servers == 0
        && sample.base_running == 0
        && sample.target_capacity.servers > 0
}
