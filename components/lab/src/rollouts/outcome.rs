//! How simulated roll-outs ended.

use std::fmt;
use std::time::Duration;

use sk_decide::rollout::{RolloutSettings, RolloutVerdict};

use crate::rollouts::drawn::{DrawnOrder, FaultEffect};

/// Bad responses from which a fault counts as shown. One that callers hardly ever meet, for
/// instance under a load that does not occur, cannot be found.
const SHOWN_RESPONSES: u64 = 50;

/// How one order ended.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OrderOutcome {
    /// Requests sent to the service within the duration.
    pub sent: u64,
    /// Requests among them that the target version got.
    pub exposure: u64,
    /// Bad responses that the version's fault caused.
    pub bad_responses: u64,
    /// Time of the 50th bad response, in seconds after the order.
    pub noted_at: Option<f64>,
    /// Time of the last request sent to the target version, in seconds after the order.
    pub last_sent: f64,
    /// The verdict and its time.
    pub ended: Option<(Duration, RolloutVerdict)>,
}

impl OrderOutcome {
    /// Returns whether the order is done.
    pub fn is_done(&self) -> bool {
        matches!(self.ended, Some((_, RolloutVerdict::Finish)))
    }

    /// Returns whether the version was rolled back.
    pub fn is_rolled_back(&self) -> bool {
        matches!(self.ended, Some((_, RolloutVerdict::RollBack(_))))
    }

    /// Returns whether a bad version was rolled back, and got nothing later than the settings allow
    /// after its 50th bad response.
    pub fn is_stopped_in_time(&self, settings: &RolloutSettings) -> bool {
        let last_allowed =
            self.noted_at.map_or(f64::INFINITY, |at| at + settings.rollback.as_secs_f64());
        self.is_rolled_back() && self.last_sent <= last_allowed
    }

    /// Returns the exposure relative to its bound; above 1 it is broken.
    pub fn exposure_ratio(&self, settings: &RolloutSettings) -> f64 {
        let bound = settings.exposure_share * self.sent as f64 + f64::from(settings.exposure_slack);
        self.exposure as f64 / bound
    }
}

/// Results of many orders.
#[derive(Clone, Debug, Default)]
pub struct RolloutFigures {
    /// Good versions.
    pub good: usize,
    /// Good versions done within the duration.
    pub done: usize,
    /// Good versions rolled back, those for lack of evidence or time included.
    pub wrongly_rolled_back: usize,
    /// Versions with a strong fault that showed.
    pub bad: usize,
    /// Versions among them that were stopped in time.
    pub stopped: usize,
    /// Versions with a weak fault that showed.
    pub weak: usize,
    /// Versions among them that were stopped in time.
    pub weak_stopped: usize,
    /// Versions with a fault that did not show.
    pub hidden: usize,
    /// Exposure of each strong fault relative to its bound.
    pub exposures: Vec<f64>,
    /// Least part of failing requests for which a version was stopped.
    pub least_failures: Option<f64>,
    /// Least factor on service times for which a version was stopped.
    pub least_slowness: Option<f64>,
    /// Times from the 50th bad response to the last request sent, of the versions stopped.
    pub stop_times: Vec<f64>,
}

impl RolloutFigures {
    /// Counts an order.
    pub fn record(
        &mut self,
        order: &DrawnOrder,
        outcome: &OrderOutcome,
        settings: &RolloutSettings,
    ) {
        let is_stopped = outcome.is_stopped_in_time(settings);
        match order.fault {
            None => {
                self.good += 1;
                self.done += usize::from(outcome.is_done());
                self.wrongly_rolled_back += usize::from(outcome.is_rolled_back());
            }
            Some(_) if outcome.bad_responses < SHOWN_RESPONSES && !outcome.is_rolled_back() => {
                self.hidden += 1;
            }
            Some(fault) => {
                let (count, stopped) = match fault.is_strong() {
                    true => (&mut self.bad, &mut self.stopped),
                    false => (&mut self.weak, &mut self.weak_stopped),
                };
                *count += 1;
                *stopped += usize::from(is_stopped);
                if fault.is_strong() {
                    self.exposures.push(outcome.exposure_ratio(settings));
                }
                if let Some(at) = outcome.noted_at.filter(|_| is_stopped) {
                    self.stop_times.push((outcome.last_sent - at).max(0.0));
                }
                let (least, size) = match fault.effect {
                    FaultEffect::Fails(part) => (&mut self.least_failures, part),
                    FaultEffect::Slow(factor) => (&mut self.least_slowness, factor),
                };
                if is_stopped {
                    *least = Some(least.map_or(size, |least| least.min(size)));
                }
            }
        }
    }

    /// Returns a quantile of the exposures relative to their bounds, 0 without any.
    pub fn exposure_quantile(&self, quantile: f64) -> f64 {
        quantile_of(&self.exposures, quantile)
    }
}

/// Returns the least value that at least the given part of the values does not exceed.
fn quantile_of(values: &[f64], quantile: f64) -> f64 {
    let mut values = values.to_vec();
    values.sort_by(f64::total_cmp);
    let rank = (quantile * values.len() as f64).ceil() as usize;
    values.get(rank.saturating_sub(1)).copied().unwrap_or(0.0)
}

impl fmt::Display for RolloutFigures {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let percent = |part: usize, whole: usize| 100.0 * part as f64 / whole.max(1) as f64;
        let over = self.exposures.iter().filter(|exposure| **exposure > 1.0).count();
        writeln!(
            out,
            "good: {} versions, done in time {:.1} %, rolled back {:.1} %",
            self.good,
            percent(self.done, self.good),
            percent(self.wrongly_rolled_back, self.good)
        )?;
        writeln!(
            out,
            "bad: {} versions, stopped in time {:.1} %, exposure p99 {:.2}, maximum {:.2} of the \
             bound, {over} over it",
            self.bad,
            percent(self.stopped, self.bad),
            self.exposure_quantile(0.99),
            self.exposure_quantile(1.0)
        )?;
        writeln!(
            out,
            "stopped after the 50th bad response: p99 {:.2} s, maximum {:.2} s",
            quantile_of(&self.stop_times, 0.99),
            quantile_of(&self.stop_times, 1.0)
        )?;
        writeln!(
            out,
            "weak: {} versions, stopped in time {:.1} %; least found: failures of {:.1} %, {:.1} \
             times as slow; not shown: {}",
            self.weak,
            percent(self.weak_stopped, self.weak),
            100.0 * self.least_failures.unwrap_or(f64::NAN),
            self.least_slowness.unwrap_or(f64::NAN),
            self.hidden
        )
    }
}
