//! What the guards of a service counted, by server and kind of work.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::WorkKey;

/// Number of ranges of service times that are counted apart.
pub const TIME_RANGES: usize = 24;
/// Upper bound of the first range.
const FIRST_BOUND: Duration = Duration::from_millis(1);
/// Ratio of the bounds of adjacent ranges. The last range begins at 7.5 s.
const BOUND_RATIO: f64 = 1.5;

/// Identifies a server within a service, by a hash of its id.
pub type ServerKey = u64;

/// Answers of one kind of work since the order. All counts only grow.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WorkEvidence {
    /// Responses of the server, failures included, and requests that it did not answer in time.
    pub answers: u64,
    /// Bad responses among them.
    pub failures: u64,
    /// Service times of the responses that are not failures, by range.
    pub times: [u64; TIME_RANGES],
}

impl WorkEvidence {
    /// Counts one response that took `took` on the server.
    pub fn record(&mut self, is_failure: bool, took: Duration) {
        self.answers += 1;
        match is_failure {
            true => self.failures += 1,
            false => self.times[time_range(took)] += 1,
        }
    }

    /// Returns the share of failures among the answers, 0 without answers.
    pub fn failure_rate(&self) -> f64 {
        self.failures as f64 / self.answers.max(1) as f64
    }

    /// Adds the counts of another server or incarnation.
    pub fn add(&mut self, other: &Self) {
        self.answers += other.answers;
        self.failures += other.failures;
        self.times.iter_mut().zip(other.times).for_each(|(count, added)| *count += added);
    }

    /// Subtracts earlier counts; a count that was lost by a restart is taken as 0.
    pub fn subtract(&mut self, earlier: &Self) {
        self.answers = self.answers.saturating_sub(earlier.answers);
        self.failures = self.failures.saturating_sub(earlier.failures);
        let ranges = self.times.iter_mut().zip(earlier.times);
        ranges.for_each(|(count, before)| *count = count.saturating_sub(before));
    }
}

/// Answers of one server, or of several, by kind of work.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct VersionEvidence {
    /// Evidence by kind of work.
    pub by_work: BTreeMap<WorkKey, WorkEvidence>,
}

impl VersionEvidence {
    /// Counts one response.
    pub fn record(&mut self, work: WorkKey, is_failure: bool, took: Duration) {
        self.by_work.entry(work).or_default().record(is_failure, took);
    }

    /// Adds the counts of another server or incarnation.
    pub fn add(&mut self, other: &Self) {
        for (work, evidence) in &other.by_work {
            self.by_work.entry(*work).or_default().add(evidence);
        }
    }

    /// Subtracts earlier counts.
    pub fn subtract(&mut self, earlier: &Self) {
        for (work, evidence) in &earlier.by_work {
            self.by_work.entry(*work).or_default().subtract(evidence);
        }
    }

    /// Returns the evidence of all kinds of work together.
    pub fn total(&self) -> WorkEvidence {
        let mut total = WorkEvidence::default();
        self.by_work.values().for_each(|evidence| total.add(evidence));
        total
    }
}

/// Answers of the servers of one group, the target version or the base.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct GroupEvidence {
    /// Evidence by server, over all of its incarnations.
    pub by_server: BTreeMap<ServerKey, VersionEvidence>,
}

impl GroupEvidence {
    /// Adds the counts of one server.
    pub fn add_server(&mut self, server: ServerKey, evidence: &VersionEvidence) {
        self.by_server.entry(server).or_default().add(evidence);
    }

    /// Subtracts earlier counts.
    pub fn subtract(&mut self, earlier: &Self) {
        for (server, evidence) in &earlier.by_server {
            self.by_server.entry(*server).or_default().subtract(evidence);
        }
    }

    /// Returns the evidence of all servers together.
    pub fn total(&self) -> VersionEvidence {
        let mut total = VersionEvidence::default();
        self.by_server.values().for_each(|evidence| total.add(evidence));
        total
    }
}

/// Returns the range that a service time is counted in.
pub fn time_range(took: Duration) -> usize {
    let ratio = took.as_secs_f64() / FIRST_BOUND.as_secs_f64();
    match ratio <= 1.0 {
        true => 0,
        false => (ratio.log(BOUND_RATIO).ceil() as usize).min(TIME_RANGES - 1),
    }
}

/// Returns the upper bound of a range, in seconds. The last range has none and counts as one ratio
/// above the one before.
pub(crate) fn time_bound(range: usize) -> f64 {
    FIRST_BOUND.as_secs_f64() * BOUND_RATIO.powi(range as i32)
}
