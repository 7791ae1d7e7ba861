//! Whether the evidence shows that a version is bad, or that it is good enough for more requests.

use crate::rollout::{GroupEvidence, RollbackReason, RolloutMethod};
use crate::rollout::{limits::FixedLimits, sequential::SequentialTest};

/// What both groups answered between two samples.
#[derive(Clone, Debug)]
pub(crate) struct EvidenceSpan {
    pub(crate) target: GroupEvidence,
    pub(crate) base: GroupEvidence,
    /// Whether some of the target version's servers were not warm yet.
    pub(crate) is_cold: bool,
}

/// What the evidence shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Judgement {
    /// Nothing against the version.
    Open,
    /// The version looks bad, but it may be one server with a gray failure.
    Suspected(RollbackReason),
    /// The version is bad.
    Bad(RollbackReason),
}

/// What a version has to show before it gets more requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AcceptanceLimits {
    /// Answers needed.
    pub(crate) answers: u64,
    /// Answers needed of each kind of work that the base often serves.
    pub(crate) work_answers: u64,
    /// Share of failures beyond those of the base that the evidence has to rule out.
    pub(crate) excess: f64,
    /// Share of failures beyond those of the base that the evidence may show at most.
    pub(crate) seen_excess: f64,
    /// Share of failures of each kind of work that the evidence has to rule out.
    pub(crate) work_excess: f64,
    /// Factor on the base's service times that must not be reached.
    pub(crate) slowness: f64,
}

/// One of the methods, with the evidence that it has seen.
#[derive(Clone, Debug)]
pub(crate) enum VersionJudge {
    Sequential(SequentialTest),
    Fixed(FixedLimits),
}

impl VersionJudge {
    /// Creates a judge that has seen nothing.
    pub(crate) fn new(method: RolloutMethod) -> Self {
        match method {
            RolloutMethod::SequentialTest => Self::Sequential(SequentialTest::default()),
            RolloutMethod::FixedLimits => Self::Fixed(FixedLimits::default()),
        }
    }

    /// Takes in the evidence of a span that follows those seen so far.
    pub(crate) fn observe(&mut self, span: &EvidenceSpan) {
        match self {
            Self::Sequential(test) => test.observe(span),
            Self::Fixed(limits) => limits.observe(span),
        }
    }

    /// Returns a judge that forgets what the target version did and keeps what is known of the
    /// base.
    pub(crate) fn renewed(&self) -> Self {
        match self {
            Self::Sequential(test) => Self::Sequential(test.renewed()),
            Self::Fixed(_) => Self::Fixed(FixedLimits::default()),
        }
    }

    /// Judges the version.
    pub(crate) fn judge(&self) -> Judgement {
        match self {
            Self::Sequential(test) => test.judge(),
            Self::Fixed(limits) => limits.judge(),
        }
    }

    /// Returns whether the version may get more requests.
    pub(crate) fn accepts(&self, limits: AcceptanceLimits) -> bool {
        match self {
            Self::Sequential(test) => test.accepts(limits),
            Self::Fixed(fixed) => fixed.accepts(limits),
        }
    }
}
