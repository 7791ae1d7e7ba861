//! A sequential test of the target version against the old servers of the same moments.
//!
//! Each span between two samples and each kind of work is a stratum of its own: the failures of the
//! target version are compared with those expected at the base's rate of that span, so a burst that
//! hits both groups, or a share that grows during it, shifts nothing. The difference is tested at
//! each sample with the boundary of a normal mixture (Robbins 1970; Johari et al. 2017 for the
//! mixture SPRT), which holds its error rate however often it is looked at. Service times are
//! compared as logarithms, with the differences of speed between servers as a random effect.

use std::collections::BTreeMap;

use crate::WorkKey;
use crate::rollout::judging::{AcceptanceLimits, EvidenceSpan, Judgement};
use crate::rollout::{RollbackReason, ServerKey, WorkEvidence, time_bound};

/// Probability that a good version crosses the boundary of failures, over a whole roll-out.
const ERROR_RATE: f64 = 0.002;
/// Variance at which the boundary is tightest: that of some ten answers, so that a canary of a small
/// service, or a rare kind of work, is judged by few failures.
const MIXTURE_VARIANCE: f64 = 0.7;
/// Share of failures beyond the base's that is no fault.
const TOLERATED_EXCESS: f64 = 0.03;
/// Part of the base's rate by which servers of one version differ in an overload.
const TOLERATED_PART: f64 = 0.25;
/// Factor on the variance of independent failures. Refused calls and lost responses come in groups.
const OVERDISPERSION: f64 = 1.3;
/// Answers of the base's past that count in each span, so that a span with few of them has a rate.
const PAST_ANSWERS: f64 = 5.0;
/// The same where the base serves nothing any more.
const PAST_ANSWERS_ALONE: f64 = 60.0;
/// Share of failures that is no fault where only the base's past is known: an overload may have
/// begun since.
const PAST_TOLERANCE: f64 = 0.07;
/// Service times of the past that count in each span. They vary less than failures do, and a mean
/// of few of them is far off.
const PAST_TIMES: f64 = 50.0;
/// Service times of the base from which others are compared with them.
const MIN_BASE_TIMES: f64 = 8.0;
/// Part of the past that is kept from one span to the next.
const PAST_KEPT: f64 = 0.9;
/// Rate of failures expected where the base has served nothing of the kind.
const UNKNOWN_RATE: f64 = 0.05;

/// Standard deviation of the logarithm of servers' speeds, for factors from 0.5 to 1.7.
const SPEED_DEVIATION: f64 = 0.35;
/// Standard deviation of the logarithm of one service time, whose spread is 0.8 of the mean.
const TIME_DEVIATION: f64 = 0.8;
/// Factor on service times that is no fault, however sure it is.
const TOLERATED_SLOWNESS: f64 = 2.0;
/// Factor on service times that a good version may have.
const USUAL_SLOWNESS: f64 = 1.2;
/// Standard deviations of the mean beyond the usual factor that make a version slow. The servers'
/// speeds are drawn once, so looking again adds little to the error rate.
const SLOWNESS_DEVIATIONS: f64 = 3.5;
/// The same for a suspicion, which more servers confirm or refute.
const SUSPECT_DEVIATIONS: f64 = 2.3;
/// Factor on service times of servers that are not warm.
const COLD_SLOWNESS: f64 = 2.2;

/// Answers of the other servers from which they can tell that only one server has a failure.
const MIN_OTHER_ANSWERS: f64 = 15.0;
/// Failures beyond the other servers' that make a server an outlier.
const OUTLIER_EXCESS: f64 = 0.15;
/// Factor on the other servers' times that makes a server an outlier.
const OUTLIER_SLOWNESS: f64 = 2.5;
/// Answers from which the failures of a kind of work are judged before the share grows.
const MIN_WORK_ANSWERS: f64 = 6.0;
/// Part of the base's answers from which a kind of work has to be seen at the target version.
const FREQUENT_WORK: f64 = 0.04;

/// Sums of one kind of work at the base. The past fades.
#[derive(Clone, Copy, Debug, Default)]
struct BaseLevel {
    answers: f64,
    failures: f64,
    times: f64,
    log_times: f64,
}

impl BaseLevel {
    fn add(&mut self, evidence: &WorkEvidence) {
        self.answers += evidence.answers as f64;
        self.failures += evidence.failures as f64;
        let (times, log_times) = log_sum(evidence);
        self.times += times;
        self.log_times += log_times;
    }

    fn scaled(&self, factor: f64) -> Self {
        Self {
            answers: self.answers * factor,
            failures: self.failures * factor,
            times: self.times * factor,
            log_times: self.log_times * factor,
        }
    }

    fn plus(&self, other: &Self) -> Self {
        Self {
            answers: self.answers + other.answers,
            failures: self.failures + other.failures,
            times: self.times + other.times,
            log_times: self.log_times + other.log_times,
        }
    }

    fn failure_rate(&self) -> f64 {
        self.failures / self.answers.max(1.0)
    }

    fn mean_log(&self) -> f64 {
        self.log_times / self.times.max(1.0)
    }

    /// Returns the sums scaled down to those of few answers and times.
    fn as_past(&self, answers: f64) -> Self {
        let answers = self.scaled((answers / self.answers.max(f64::MIN_POSITIVE)).min(1.0));
        let times = self.scaled((PAST_TIMES / self.times.max(f64::MIN_POSITIVE)).min(1.0));
        Self { times: times.times, log_times: times.log_times, ..answers }
    }
}

/// What a server of the target version did beside what the base did at the same moments.
#[derive(Clone, Copy, Debug, Default)]
struct ServerScore {
    answers: f64,
    failures: f64,
    /// Failures at the base's rate.
    expected: f64,
    /// Failures at the base's rate and the tolerated excess.
    tolerated: f64,
    variance: f64,
    times: f64,
    /// Sum of the logarithms of service times relative to the base's.
    log_ratios: f64,
}

impl ServerScore {
    fn add(&mut self, other: &Self) {
        self.answers += other.answers;
        self.failures += other.failures;
        self.expected += other.expected;
        self.tolerated += other.tolerated;
        self.variance += other.variance;
        self.times += other.times;
        self.log_ratios += other.log_ratios;
    }

    fn excess_rate(&self) -> f64 {
        (self.failures - self.expected) / self.answers.max(1.0)
    }

    fn mean_log_ratio(&self) -> f64 {
        self.log_ratios / self.times.max(1.0)
    }

    /// Returns whether the failures cross the boundary, with the error rate divided by the number
    /// of tests made at once.
    fn crosses(&self, tests: usize) -> bool {
        let error_rate = ERROR_RATE / tests as f64;
        let mixed = self.variance + MIXTURE_VARIANCE;
        let boundary = (mixed * (mixed / (MIXTURE_VARIANCE * error_rate * error_rate)).ln()).sqrt();
        self.failures - self.tolerated > boundary
    }

    /// Returns whether the failures beyond the base's are below a share, but for what chance adds at
    /// the base's rate.
    fn shows_excess_below(&self, share: f64) -> bool {
        let answers = self.answers.max(1.0);
        let rate = (self.expected / answers).min(1.0);
        self.excess_rate() <= share + (rate * (1.0 - rate) / answers).sqrt()
    }

    /// Returns an upper bound of the failures beyond the base's, at about 95 % (Agresti and Coull
    /// 1998).
    fn excess_bound(&self) -> f64 {
        let answers = self.answers + 4.0;
        let rate = (self.failures + 2.0) / answers;
        rate + 1.64 * (rate * (1.0 - rate) / answers).sqrt() - self.expected / self.answers.max(1.0)
    }
}

/// Result of one of the tests.
enum TestResult {
    Passed,
    Suspected,
    Failed,
}

/// Evidence seen so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct SequentialTest {
    /// The base's past by kind of work.
    past: BTreeMap<WorkKey, BaseLevel>,
    /// All that each server of the base did.
    base_servers: BTreeMap<ServerKey, BaseLevel>,
    /// Answers of the base by kind of work.
    base_answers: BTreeMap<WorkKey, f64>,
    scores: BTreeMap<WorkKey, BTreeMap<ServerKey, ServerScore>>,
}

impl SequentialTest {
    /// Takes in one span.
    pub(crate) fn observe(&mut self, span: &EvidenceSpan) {
        for (server, evidence) in &span.base.by_server {
            self.base_servers.entry(*server).or_default().add(&evidence.total());
        }
        let outlier = self.base_outlier();
        let mut present: BTreeMap<WorkKey, BaseLevel> = BTreeMap::new();
        for (server, evidence) in &span.base.by_server {
            for (work, evidence) in evidence.by_work.iter().filter(|_| Some(*server) != outlier) {
                present.entry(*work).or_default().add(evidence);
                *self.base_answers.entry(*work).or_default() += evidence.answers as f64;
            }
        }
        for (work, target) in &span.target.total().by_work {
            let level = present.get(work).copied().unwrap_or_default();
            let past = self.past.get(work).copied().unwrap_or_default();
            let is_alone = level.answers < PAST_ANSWERS;
            let past = past.as_past(if is_alone { PAST_ANSWERS_ALONE } else { PAST_ANSWERS });
            let past_part = past.answers / (past.answers + level.answers).max(1.0);
            let level = level.plus(&past);
            let tolerance = TOLERATED_EXCESS + PAST_TOLERANCE * past_part;
            for (server, evidence) in &span.target.by_server {
                let Some(evidence) = evidence.by_work.get(work) else { continue };
                let control = Control {
                    level,
                    tolerance,
                    target_answers: target.answers as f64,
                    is_cold: span.is_cold,
                };
                let score = control.score(evidence);
                self.scores.entry(*work).or_default().entry(*server).or_default().add(&score);
            }
        }
        for (work, level) in present {
            let past = self.past.entry(work).or_default();
            *past = past.scaled(PAST_KEPT).plus(&level);
        }
    }

    /// Forgets what the target version did.
    pub(crate) fn renewed(&self) -> Self {
        Self { scores: BTreeMap::new(), ..self.clone() }
    }

    /// Tests failures and service times of each kind of work, and of all together. One server that
    /// alone has a failure is left out.
    pub(crate) fn judge(&self) -> Judgement {
        let tests = self.scores.len() + 1;
        let all = self.all_works();
        let outliers = [failure_outlier(&all), slow_outlier(&all)];
        let works = self.scores.iter().map(|(work, scores)| (Some(*work), scores.clone()));
        let mut judgement = Judgement::Open;
        for (work, mut scores) in std::iter::once((None, all)).chain(works) {
            scores.retain(|server, _| !outliers.contains(&Some(*server)));
            let total = sum(scores.values());
            let failing = RollbackReason::Failing {
                work,
                target_rate: thousandths(total.failures / total.answers.max(1.0)),
                base_rate: thousandths(total.expected / total.answers.max(1.0)),
            };
            let (log_ratio, _) = self.slowness(&scores);
            let slow = RollbackReason::Slow { work, percent: (100.0 * log_ratio.exp()) as u32 };
            for (reason, result) in
                [(failing, test_failures(&scores, tests)), (slow, self.test_times(&scores))]
            {
                match (result, judgement) {
                    (TestResult::Failed, _) => return Judgement::Bad(reason),
                    (TestResult::Suspected, Judgement::Open) => {
                        judgement = Judgement::Suspected(reason);
                    }
                    _ => {}
                }
            }
        }
        judgement
    }

    /// Returns whether the evidence rules out the limits. One server that alone has a failure is
    /// left out.
    pub(crate) fn accepts(&self, limits: AcceptanceLimits) -> bool {
        let mut all = self.all_works();
        let outliers = [failure_outlier(&all), slow_outlier(&all)];
        all.retain(|server, _| !outliers.contains(&Some(*server)));
        let base_answers: f64 = self.base_answers.values().sum();
        let accepts_work = |(work, answers): (&WorkKey, &f64)| {
            let scores = self.scores.get(work).into_iter().flatten();
            let total = sum(scores
                .filter(|(server, _)| !outliers.contains(&Some(**server)))
                .map(|(_, s)| s));
            let is_rare = *answers < FREQUENT_WORK * base_answers;
            let is_seen = is_rare || total.answers >= limits.work_answers as f64;
            is_seen
                && (total.answers < MIN_WORK_ANSWERS || total.excess_bound() <= limits.work_excess)
        };
        let total = sum(all.values());
        total.answers >= limits.answers as f64
            && total.excess_bound() <= limits.excess
            && total.shows_excess_below(limits.seen_excess)
            && self.slowness(&all).0 <= limits.slowness.ln()
            && self.base_answers.iter().all(accepts_work)
    }

    /// Returns the scores of all kinds of work together, by server.
    fn all_works(&self) -> BTreeMap<ServerKey, ServerScore> {
        let mut all: BTreeMap<ServerKey, ServerScore> = BTreeMap::new();
        for (server, score) in self.scores.values().flatten() {
            all.entry(*server).or_default().add(score);
        }
        all
    }

    /// Tests the service times. Few servers may be slow by chance, and one by a gray failure, so the
    /// servers beside the slowest one have to be slow too.
    fn test_times(&self, scores: &BTreeMap<ServerKey, ServerScore>) -> TestResult {
        let (log_ratio, deviation) = self.slowness(scores);
        let tolerated = TOLERATED_SLOWNESS.ln();
        let exceeds = |deviations: f64| {
            log_ratio > tolerated.max(USUAL_SLOWNESS.ln() + deviations * deviation)
        };
        let slowest = scores
            .iter()
            .max_by(|one, other| one.1.mean_log_ratio().total_cmp(&other.1.mean_log_ratio()))
            .map(|(server, _)| *server);
        let mut others = scores.clone();
        others.retain(|server, _| Some(*server) != slowest);
        match exceeds(SUSPECT_DEVIATIONS) {
            true if exceeds(SLOWNESS_DEVIATIONS) && self.slowness(&others).0 > tolerated => {
                TestResult::Failed
            }
            true => TestResult::Suspected,
            false => TestResult::Passed,
        }
    }

    /// Returns the mean logarithm of the servers' slowness and its standard deviation.
    fn slowness(&self, scores: &BTreeMap<ServerKey, ServerScore>) -> (f64, f64) {
        let between = SPEED_DEVIATION.powi(2);
        let (mut weights, mut weighted) = (0.0, 0.0);
        for score in scores.values().filter(|score| score.times > 0.0) {
            let weight = 1.0 / (between + TIME_DEVIATION.powi(2) / score.times);
            weights += weight;
            weighted += weight * score.mean_log_ratio();
        }
        match weights > 0.0 {
            true => {
                let base = between / self.base_servers.len().max(1) as f64;
                (weighted / weights, (1.0 / weights + base).sqrt())
            }
            false => (0.0, f64::INFINITY),
        }
    }

    /// Returns the server of the base that has a gray failure, if there is one.
    fn base_outlier(&self) -> Option<ServerKey> {
        let total =
            self.base_servers.values().fold(BaseLevel::default(), |sum, level| sum.plus(level));
        let excess = |level: &BaseLevel| {
            let others = total.plus(&level.scaled(-1.0));
            let failures = level.failure_rate() - others.failure_rate();
            let slowness = level.mean_log() - others.mean_log();
            (failures / OUTLIER_EXCESS).max(slowness / OUTLIER_SLOWNESS.ln())
        };
        let candidates = self.base_servers.iter().filter(|(_, level)| {
            level.answers >= MIN_OTHER_ANSWERS && total.answers - level.answers >= MIN_OTHER_ANSWERS
        });
        candidates
            .map(|(server, level)| (*server, excess(level)))
            .filter(|(_, excess)| *excess > 1.0)
            .max_by(|one, other| one.1.total_cmp(&other.1))
            .map(|(server, _)| server)
    }
}

/// What the target version is compared with, for one span and kind of work.
struct Control {
    level: BaseLevel,
    /// Share of failures beyond the base's that is no fault.
    tolerance: f64,
    /// Answers of the whole target version.
    target_answers: f64,
    is_cold: bool,
}

impl Control {
    /// Scores the answers of one server.
    fn score(&self, evidence: &WorkEvidence) -> ServerScore {
        let (level, answers) = (&self.level, evidence.answers as f64);
        let rate = if level.answers > 0.0 { level.failure_rate() } else { UNKNOWN_RATE };
        let tolerated = (rate + self.tolerance + TOLERATED_PART * rate).min(1.0);
        let spread = 1.0 + self.target_answers / level.answers.max(1.0);
        let (times, log_times) = log_sum(evidence);
        let cold = if self.is_cold { COLD_SLOWNESS.ln() } else { 0.0 };
        let (times, log_ratios) = match level.times >= MIN_BASE_TIMES {
            true => (times, log_times - times * (level.mean_log() + cold)),
            false => (0.0, 0.0),
        };
        ServerScore {
            answers,
            failures: evidence.failures as f64,
            expected: answers * rate,
            tolerated: answers * tolerated,
            variance: OVERDISPERSION * answers * tolerated * (1.0 - tolerated) * spread,
            times,
            log_ratios,
        }
    }
}

/// Tests the failures. A version is bad if it is so without its worst server too.
fn test_failures(scores: &BTreeMap<ServerKey, ServerScore>, tests: usize) -> TestResult {
    let worst = worst_server(scores).map(|(server, _)| server);
    let others = scores.iter().filter(|(server, _)| Some(**server) != worst);
    match sum(scores.values()).crosses(tests) {
        false => TestResult::Passed,
        true if sum(others.map(|(_, score)| score)).crosses(tests) => TestResult::Failed,
        true => TestResult::Suspected,
    }
}

/// Returns the server with the most failures beyond the base's.
fn worst_server(scores: &BTreeMap<ServerKey, ServerScore>) -> Option<(ServerKey, ServerScore)> {
    let excess = |score: &ServerScore| score.failures - score.tolerated;
    let worst = scores.iter().max_by(|one, other| excess(one.1).total_cmp(&excess(other.1)));
    worst.map(|(server, score)| (*server, *score))
}

/// Returns the server that alone has failures, if all others show that they have none.
fn failure_outlier(scores: &BTreeMap<ServerKey, ServerScore>) -> Option<ServerKey> {
    let (server, worst) = worst_server(scores)?;
    let others = sum(scores.iter().filter(|(other, _)| **other != server).map(|(_, score)| score));
    let is_outlier = worst.excess_rate() > OUTLIER_EXCESS
        && others.answers >= MIN_OTHER_ANSWERS
        && others.excess_rate() < worst.excess_rate() / 4.0;
    is_outlier.then_some(server)
}

/// Returns the server that is much slower than each other one, if others have enough answers.
fn slow_outlier(scores: &BTreeMap<ServerKey, ServerScore>) -> Option<ServerKey> {
    let slowness = |score: &ServerScore| score.mean_log_ratio();
    let mut order: Vec<_> = scores.iter().filter(|(_, score)| score.times >= 3.0).collect();
    order.sort_by(|one, other| slowness(other.1).total_cmp(&slowness(one.1)));
    let others = sum(order.iter().skip(1).map(|(_, score)| *score));
    match order[..] {
        [(server, first), (_, second), ..]
            if others.times >= MIN_OTHER_ANSWERS
                && slowness(first) - slowness(second) > OUTLIER_SLOWNESS.ln() =>
        {
            Some(*server)
        }
        _ => None,
    }
}

fn sum<'a>(scores: impl Iterator<Item = &'a ServerScore>) -> ServerScore {
    scores.fold(ServerScore::default(), |mut total, score| {
        total.add(score);
        total
    })
}

/// Returns the number of service times and the sum of their logarithms.
fn log_sum(evidence: &WorkEvidence) -> (f64, f64) {
    let ranges = evidence.times.iter().enumerate().filter(|(_, count)| **count > 0);
    ranges.fold((0.0, 0.0), |(times, sum), (range, count)| {
        (times + *count as f64, sum + *count as f64 * time_bound(range).ln())
    })
}

fn thousandths(rate: f64) -> u16 {
    (1000.0 * rate.clamp(0.0, 1.0)) as u16
}
