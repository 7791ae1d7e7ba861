//! What a server reports about its load, and how far the guard relies on it.
//!
//! Servers of one service differ in speed, and neighbours on their machines slow them for half a
//! second at a time. A mean of service times follows too late, and afterwards holds for too long:
//! the guard would keep requests that cannot be in time and refuse others that could. With the
//! reported slowness the guard learns the server's own speed and plans with that of the moment.
//!
//! A report is a hint. Its slowness counts only as long as it predicts service times about as well
//! as their plain mean does, and waiting requests only as long as their number falls now and then.

use std::time::Duration;

use crate::admitting::estimate::ServiceEstimate;
use crate::admitting::{AdmissionGuard, CallStage, Ticket};

/// Slowness of a server that works as fast as usual, in per cent.
const USUAL_SLOWNESS: u32 = 100;
/// Bounds of the slowness that is believed, in per cent.
const SLOWNESS_BOUNDS: (u32, u32) = (50, 1000);
/// Age of a report beyond which it tells nothing of the present: half of a neighbour's usual burst.
const MAX_AGE: Duration = Duration::from_millis(300);
/// Weight of a request in the mean errors of predictions: about a second's requests of one server.
const ERROR_WEIGHT: f64 = 1.0 / 64.0;
/// Factor by which predictions with the reported slowness may be worse than those without it.
const TRUST_FACTOR: f64 = 1.1;
/// Time in which a queue that is served falls at least once; what never falls is not one.
const QUEUE_TIME: Duration = Duration::from_secs(4);
/// Slowness from which daemons that choose among servers learn of it.
const HINTED_SLOWNESS: f64 = 1.2;

/// Load that a server reports with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait at it.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// How long work takes at present, in per cent of the usual time; zero if unknown.
    pub slowness: u32,
}

impl ServerLoad {
    /// Returns the factor on the usual service time.
    fn slowness_factor(&self) -> f64 {
        let (min, max) = SLOWNESS_BOUNDS;
        match self.slowness {
            0 => 1.0,
            slowness => f64::from(slowness.clamp(min, max)) / f64::from(USUAL_SLOWNESS),
        }
    }
}

/// Running means of the time that one kind of work takes: as measured, and at the usual speed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WorkEstimate {
    measured: ServiceEstimate,
    usual: ServiceEstimate,
}

impl WorkEstimate {
    /// Adds the service time of a request that ended at `now` while the server was slower than usual
    /// by a factor.
    pub(super) fn add(&mut self, took: Duration, slowness: f64, now: Duration) {
        self.measured.add(took, now);
        self.usual.add(scale(took, slowness.recip()), now);
    }

    /// Returns the expected service time at a slowness, `None` if reports are not relied on.
    pub(super) fn expected(&self, slowness: Option<f64>, now: Duration) -> Duration {
        match slowness {
            Some(slowness) => scale(self.usual.expected(now), slowness),
            None => self.measured.expected(now),
        }
    }

    /// Returns a service time that few requests exceed, likewise.
    pub(super) fn high_estimate(&self, slowness: Option<f64>, now: Duration) -> Duration {
        match slowness {
            Some(slowness) => scale(self.usual.high_estimate(now), slowness),
            None => self.measured.high_estimate(now),
        }
    }
}

/// Scales a time by a factor; one leaves it exactly as it is.
fn scale(time: Duration, factor: f64) -> Duration {
    if factor == 1.0 { time } else { time.mul_f64(factor) }
}

/// What is known of a server's load.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LoadReports {
    /// Slowness of the last report.
    slowness: f64,
    /// Requests of the last report that wait and that the guard did not send.
    foreign: u32,
    /// When it was read; `None` before the first one.
    read_at: Option<Duration>,
    /// Fewest such requests in the present and in the last span of [`QUEUE_TIME`].
    least_foreign: [u32; 2],
    /// Begin of the present span.
    span_begin: Duration,
    /// Mean errors of predicted service times, with the reported slowness and without it.
    errors: [f64; 2],
}

impl LoadReports {
    /// Records a report that was read at `now`, while the guard had sent `own` requests.
    fn record(&mut self, load: &ServerLoad, own: u32, now: Duration) {
        let beyond_own = load.running.saturating_add(load.waiting).saturating_sub(own);
        // Requests that wait beside a free slot are none.
        let waits = load.waiting > 0 && load.running >= load.slots;
        let foreign = if waits { load.waiting.min(beyond_own) } else { 0 };
        let [present, _] = self.least_foreign;
        let is_over = now.saturating_sub(self.span_begin) >= QUEUE_TIME;
        match self.read_at {
            None => (self.least_foreign, self.span_begin) = ([foreign, 0], now),
            Some(_) if is_over => {
                (self.least_foreign, self.span_begin) = ([foreign, present], now);
            }
            Some(_) => self.least_foreign[0] = present.min(foreign),
        }
        self.foreign = foreign;
        self.slowness = load.slowness_factor();
        self.read_at = Some(now);
    }

    /// Adds the errors of the predictions for a request.
    fn record_errors(
        &mut self,
        took: Duration,
        estimate: &WorkEstimate,
        slowness: f64,
        now: Duration,
    ) {
        let predictions = [Some(slowness), None].map(|slowness| estimate.expected(slowness, now));
        for (error, predicted) in self.errors.iter_mut().zip(predictions) {
            let distance = took.abs_diff(predicted).as_secs_f64();
            *error += (distance - *error) * ERROR_WEIGHT;
        }
    }

    fn is_current(&self, now: Duration) -> bool {
        self.read_at.is_some_and(|read_at| now.saturating_sub(read_at) <= MAX_AGE)
    }

    /// Returns the factor by which the server is slower than usual now, `None` if its reports predict
    /// less than no reports.
    fn slowness(&self, now: Duration) -> Option<f64> {
        let [with, without] = self.errors;
        match with <= without * TRUST_FACTOR {
            true if self.is_current(now) => Some(self.slowness),
            true => Some(1.0),
            false => None,
        }
    }

    /// Returns the slots that are taken by requests which the guard did not send, at most half of
    /// `slots`.
    fn taken_slots(&self, slots: u32, now: Duration) -> u32 {
        let [present, last] = self.least_foreign;
        match self.is_current(now) {
            true => self.foreign.saturating_sub(present.min(last)).min(slots / 2),
            false => 0,
        }
    }
}

impl AdmissionGuard {
    /// Records the load that the server reports with the answer to a request, read at `now`.
    pub fn record_load(&mut self, ticket: Ticket, load: &ServerLoad, now: Duration) {
        let own = self.running_count();
        self.load_reports.record(load, own, now);
        if let Some(call) = self.calls.get_mut(ticket) {
            call.slowness = load.slowness_factor();
        }
    }

    /// Adds the time that a request took to the errors of its estimate.
    pub(super) fn record_prediction(&mut self, ticket: Ticket, now: Duration) {
        let Some(call) = self.calls.get(ticket) else { return };
        let estimate = match self.work_estimates.get(&call.work) {
            Some(estimate) => *estimate,
            None => self.estimates[crate::class_index(call.class)],
        };
        if let CallStage::Running(since) = call.stage {
            let took = now.saturating_sub(since);
            self.load_reports.record_errors(took, &estimate, call.slowness, now);
        }
    }

    /// Returns the factor by which the server is slower than usual now, `None` if that is not known.
    pub(super) fn slowness(&self, now: Duration) -> Option<f64> {
        self.load_reports.slowness(now)
    }

    /// Returns how much longer than usual a request takes now, for daemons that choose among
    /// servers.
    pub(super) fn slowness_hint(&self, now: Duration) -> Duration {
        let usual = self.estimates.iter().map(|estimate| estimate.expected(Some(1.0), now));
        let usual = usual.filter(|time| !time.is_zero()).min().unwrap_or_default();
        match self.slowness(now) {
            Some(slowness) if slowness >= HINTED_SLOWNESS => usual.mul_f64(slowness - 1.0),
            _ => Duration::ZERO,
        }
    }

    /// Returns how many of `slots` are left beside the requests that wait at the server and that the
    /// guard did not send.
    pub(super) fn slots_beside_foreign(&self, slots: u32, now: Duration) -> u32 {
        slots - self.load_reports.taken_slots(slots, now)
    }
}
