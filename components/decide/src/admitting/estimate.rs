//! Running estimates of the guard: service times and the peak of short work.

use std::time::Duration;

/// Divisor of the weight of a new sample. With eight, an estimate follows a change within about a
/// second at the traffic of one server.
const SAMPLE_WEIGHT: u32 = 8;
/// Mean deviations added to the mean for a request that would queue. Two cover evenly spread
/// service times whole, and exponential ones in eleven of twelve cases.
const HIGH_ESTIMATE_DEVIATIONS: u32 = 2;
/// Time without a sample in which an estimate halves. Otherwise an estimate above all deadlines
/// would refuse everything, get no sample and never fall.
const ESTIMATE_HALVING: Duration = Duration::from_secs(1);
/// Halvings after which an estimate counts as zero for all purposes; it bounds the divisor.
const MAX_HALVINGS: u32 = 20;
/// Time over which a mean of arrivals is taken: longer than their bursts, and shorter than the changes
/// of a load that a proxy has to follow.
const MEAN_TIME: Duration = Duration::from_secs(1);
/// Time in which a peak falls to half: longer than the gaps of a service with a call a second.
const PEAK_HALVING: Duration = Duration::from_secs(2);

/// Running mean of the time that one kind of work takes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceEstimate {
    mean: Duration,
    /// Mean distance of a sample from the mean.
    deviation: Duration,
    last_sample: Duration,
    is_known: bool,
}

impl ServiceEstimate {
    /// Adds the service time of a request that ended at `now`.
    pub(crate) fn add(&mut self, took: Duration, now: Duration) {
        let distance = took.abs_diff(self.mean);
        match self.is_known {
            true => {
                self.mean = (self.mean * (SAMPLE_WEIGHT - 1) + took) / SAMPLE_WEIGHT;
                self.deviation = (self.deviation * (SAMPLE_WEIGHT - 1) + distance) / SAMPLE_WEIGHT;
            }
            // The deviation of a first sample is taken as half of it, as TCP does for its first
            // round trip.
            false => (self.mean, self.deviation) = (took, took / 2),
        }
        self.is_known = true;
        self.last_sample = now;
    }

    /// Returns the expected service time, lower the longer no sample came.
    pub(crate) fn expected(&self, now: Duration) -> Duration {
        self.mean / self.decay_divisor(now)
    }

    /// Returns a service time that few requests exceed.
    pub(crate) fn high_estimate(&self, now: Duration) -> Duration {
        (self.mean + self.deviation * HIGH_ESTIMATE_DEVIATIONS) / self.decay_divisor(now)
    }

    /// Returns the divisor for the time without a sample, doubled with each halving time.
    fn decay_divisor(&self, now: Duration) -> u32 {
        let idle = now.saturating_sub(self.last_sample).as_millis();
        let halvings = u32::try_from(idle / ESTIMATE_HALVING.as_millis()).unwrap_or(u32::MAX);
        1 << halvings.min(MAX_HALVINGS)
    }
}

/// Mean of a quantity over about the last [`MEAN_TIME`], sampled at the arrivals of requests.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DecayingMean {
    mean: f64,
    at: Duration,
}

impl DecayingMean {
    /// Adds the value found at `now`.
    pub(super) fn add(&mut self, value: f64, now: Duration) {
        let kept = self.kept_share(now);
        self.mean = self.mean * kept + value * (1.0 - kept);
        self.at = now;
    }

    /// Returns the mean, lower the longer no sample came.
    pub(super) fn level(&self, now: Duration) -> f64 {
        self.mean * self.kept_share(now)
    }

    /// Returns the weight of the mean after the time since the last sample.
    fn kept_share(&self, now: Duration) -> f64 {
        let idle = now.saturating_sub(self.at);
        (-idle.as_secs_f64() / MEAN_TIME.as_secs_f64()).exp()
    }
}

/// The highest recent value of a quantity.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DecayingPeak {
    peak: f64,
    at: Duration,
}

impl DecayingPeak {
    /// Raises the peak to a value seen at `now`.
    pub(super) fn raise(&mut self, value: f64, now: Duration) {
        self.peak = self.level(now).max(value);
        self.at = now;
    }

    /// Returns the peak as it has fallen by `now`.
    pub(super) fn level(&self, now: Duration) -> f64 {
        let halvings = now.saturating_sub(self.at).as_secs_f64() / PEAK_HALVING.as_secs_f64();
        self.peak * (-halvings).exp2()
    }
}
