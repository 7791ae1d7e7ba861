//! Fixed limits of rates and quantiles by kind of work.

use crate::rollout::judging::{AcceptanceLimits, EvidenceSpan, Judgement};
use crate::rollout::{RollbackReason, VersionEvidence, WorkEvidence, time_bound};

/// Answers of the target version below which nothing is judged.
const MIN_ANSWERS: u64 = 20;
/// Failures beyond the base's share that make a version bad.
const MAX_EXCESS: f64 = 0.1;
/// Factor on the base's median that makes a version bad.
const MAX_SLOWNESS: f64 = 2.5;
/// Factor on the base's median while servers are cold.
const MAX_COLD_SLOWNESS: f64 = 5.0;

/// The answers of both groups since the start, without regard to servers and moments.
#[derive(Clone, Debug, Default)]
pub(crate) struct FixedLimits {
    target: VersionEvidence,
    base: VersionEvidence,
    is_cold: bool,
}

impl FixedLimits {
    /// Adds the evidence of a span.
    pub(crate) fn observe(&mut self, span: &EvidenceSpan) {
        self.target.add(&span.target.total());
        self.base.add(&span.base.total());
        self.is_cold = span.is_cold;
    }

    /// Judges each kind of work, and all together.
    pub(crate) fn judge(&self) -> Judgement {
        let all = (None, self.target.total(), self.base.total());
        let works = self.target.by_work.iter().map(|(work, target)| {
            (Some(*work), target.clone(), self.base.by_work.get(work).cloned().unwrap_or_default())
        });
        let mut judged = std::iter::once(all).chain(works).filter_map(|(work, target, base)| {
            let (excess, slowness) = (excess(&target, &base), slowness(&target, &base));
            let max_slowness = if self.is_cold { MAX_COLD_SLOWNESS } else { MAX_SLOWNESS };
            match target.answers < MIN_ANSWERS || base.answers < MIN_ANSWERS {
                true => None,
                false if excess > MAX_EXCESS => Some(RollbackReason::Failing {
                    work,
                    target_rate: (target.failure_rate() * 1000.0) as u16,
                    base_rate: (base.failure_rate() * 1000.0) as u16,
                }),
                false if slowness > max_slowness => {
                    Some(RollbackReason::Slow { work, percent: (slowness * 100.0) as u32 })
                }
                false => None,
            }
        });
        judged.next().map_or(Judgement::Open, Judgement::Bad)
    }

    /// Returns whether there are enough answers within the limits.
    pub(crate) fn accepts(&self, limits: AcceptanceLimits) -> bool {
        let (target, base) = (self.target.total(), self.base.total());
        target.answers >= limits.answers
            && excess(&target, &base) <= limits.excess
            && slowness(&target, &base) <= limits.slowness
    }
}

/// Returns the share of failures beyond the base's.
fn excess(target: &WorkEvidence, base: &WorkEvidence) -> f64 {
    target.failure_rate() - base.failure_rate()
}

/// Returns the ratio of the medians, 1 without answers.
fn slowness(target: &WorkEvidence, base: &WorkEvidence) -> f64 {
    match (median(target), median(base)) {
        (Some(target), Some(base)) => target / base,
        _ => 1.0,
    }
}

/// Returns the middle of the range that holds the median, in seconds.
fn median(evidence: &WorkEvidence) -> Option<f64> {
    let count: u64 = evidence.times.iter().sum();
    let mut seen = 0;
    let range = evidence.times.iter().position(|times| {
        seen += times;
        count > 0 && 2 * seen >= count
    });
    range.map(time_bound)
}
