//! What the samples say about the course of traffic.

use std::collections::VecDeque;
use std::time::Duration;

use crate::rollout::judging::EvidenceSpan;
use crate::rollout::{GroupEvidence, RolloutSample, WorkEvidence, time_bound};

/// Time within which most requests sent to the target version are answered.
const ANSWER_TIME: Duration = Duration::from_secs(2);
/// Part of these that has to be answered. The others were lost, or take long by their kind.
const ANSWERED_PART: f64 = 0.6;
/// Time from which the rate of the service's requests is known.
const RATE_TIME: Duration = Duration::from_millis(1200);
/// Time by which the counts of the guards may be older than the sample. A rate that is taken for too
/// low gives the canary more than its part.
const COUNT_DELAY: Duration = Duration::from_millis(700);
/// Weight of a sample in the number of requests that run.
const RUNNING_WEIGHT: f64 = 0.2;
/// Time for which the old servers have to run nothing.
const IDLE_TIME: Duration = Duration::from_millis(200);

/// The samples so far, as far as later ones are compared with them.
#[derive(Clone, Debug)]
pub(crate) struct TrafficProgress {
    /// Evidence of the last sample, if spans can be computed from it.
    last: Option<(GroupEvidence, GroupEvidence)>,
    /// Answers of the target version.
    target: WorkEvidence,
    /// Requests sent to the target version, by the time of the sample.
    sent: VecDeque<(Duration, u64)>,
    /// Requests sent to the service in the first sample.
    first_sent: Option<(Duration, u64)>,
    sent_since: u64,
    /// Mean number of requests that run at the service.
    running: Option<f64>,
    /// Longest service time of the base.
    longest: Duration,
    first_answer: Option<Duration>,
    idle_since: Option<Duration>,
    now: Duration,
}

impl TrafficProgress {
    /// Creates the progress of a new order: all counts were made since its start.
    pub(crate) fn new() -> Self {
        Self { last: Some(Default::default()), ..Self::resumed() }
    }

    /// Creates the progress of an order that runs already.
    pub(crate) fn resumed() -> Self {
        Self {
            last: None,
            target: WorkEvidence::default(),
            sent: VecDeque::new(),
            first_sent: None,
            sent_since: 0,
            running: None,
            longest: Duration::ZERO,
            first_answer: None,
            idle_since: None,
            now: Duration::ZERO,
        }
    }

    /// Takes in a sample, made while the target version has a share. Returns what was answered since
    /// the last one, unless it is the first after a restart.
    pub(crate) fn observe(&mut self, sample: &RolloutSample, share: f64) -> Option<EvidenceSpan> {
        self.now = sample.elapsed;
        let (_, first_sent) = *self.first_sent.get_or_insert((self.now, sample.sent));
        self.sent_since = sample.sent.saturating_sub(first_sent);
        if share < 1.0 {
            let running = f64::from(sample.base_running) / (1.0 - share);
            let mean = self.running.get_or_insert(running);
            *mean += RUNNING_WEIGHT * (running - *mean);
        }
        self.target = sample.target.total().total();
        let times = sample.base.total().total().times;
        if let Some(range) = times.iter().rposition(|count| *count > 0) {
            self.longest = Duration::from_secs_f64(time_bound(range));
        }
        self.sent.push_back((self.now, sample.sent_to_target));
        while self.sent.get(1).is_some_and(|(at, _)| *at + ANSWER_TIME <= self.now) {
            self.sent.pop_front();
        }
        if self.target.answers > 0 {
            self.first_answer.get_or_insert(self.now);
        }
        self.idle_since = match sample.base_running {
            0 => Some(self.idle_since.unwrap_or(self.now)),
            _ => None,
        };
        let next = (sample.target.clone(), sample.base.clone());
        let (mut target, mut base) = next.clone();
        let (last_target, last_base) = self.last.replace(next)?;
        target.subtract(&last_target);
        base.subtract(&last_base);
        let capacity = sample.target_capacity;
        Some(EvidenceSpan { target, base, is_cold: capacity.warm_servers < capacity.servers })
    }

    /// Returns the time of the last sample, since the order.
    pub(crate) fn now(&self) -> Duration {
        self.now
    }

    /// Returns the service's requests per second, once there are enough samples.
    pub(crate) fn rate(&self) -> Option<f64> {
        let time = self.now.saturating_sub(self.first_sent?.0);
        let counted = time.saturating_sub(COUNT_DELAY);
        (time >= RATE_TIME).then(|| self.sent_since as f64 / counted.as_secs_f64())
    }

    /// Returns the longest service time of the base so far.
    pub(crate) fn longest(&self) -> Duration {
        self.longest
    }

    /// Returns the mean number of requests that run at the service.
    pub(crate) fn running(&self) -> f64 {
        self.running.unwrap_or_default()
    }

    /// Returns how long the target version has been answering.
    pub(crate) fn answering_for(&self) -> Duration {
        self.first_answer.map_or(Duration::ZERO, |at| self.now.saturating_sub(at))
    }

    /// Returns the answers of the target version.
    pub(crate) fn target(&self) -> &WorkEvidence {
        &self.target
    }

    /// Returns whether the target version has answered what was sent to it some time ago. One that
    /// answers nothing, or late, leaves no other evidence.
    pub(crate) fn keeps_up(&self) -> bool {
        let sent = self.sent.front().filter(|(at, _)| *at + ANSWER_TIME <= self.now);
        sent.is_none_or(|(_, sent)| self.target.answers as f64 >= ANSWERED_PART * *sent as f64)
    }

    /// Returns whether the old servers have run nothing for some time.
    pub(crate) fn is_base_idle(&self) -> bool {
        self.idle_since.is_some_and(|at| self.now >= at + IDLE_TIME)
    }
}
