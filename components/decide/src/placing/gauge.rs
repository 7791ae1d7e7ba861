//! Counters of one endpoint, shared by all threads of a daemon.

use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use crate::WorkKey;
use crate::placing::mean::{LatencyMean, WorkMeans, decay_factor, micros, signed_micros};
use crate::placing::{EndpointId, EndpointRecord, Incarnation, PlacementSettings};

/// Value of a full load in a packed hint, which has the load in its low bits and its expiry above
/// them.
const HINT_STEPS: u64 = 255;
/// Bits that the load takes in a packed hint.
const HINT_BITS: u32 = 8;
/// Bits that the wait takes in a packed report: up to a second.
const WAIT_BITS: u32 = 20;
/// Time in which a reported wait falls to about a third, in the expectation of a request that may
/// queue: about as long as queues last in a burst.
const WAIT_DECAY: Duration = Duration::from_secs(1);
/// Divisor of the weight of one request in the failure rate. With this value two failures in a row
/// make a rate of 0.3, a penalty of three tenths of the goal, and ten successes bring it below
/// 0.05; one failure makes 0.17, at which an endpoint still counts as healthy.
const FAILURE_WEIGHT: u32 = 6;
/// Factor on the expected work up to which a missing answer says nothing about the transit time.
/// Log-normal service times whose standard deviation is 0.8 of their mean exceed it in one of
/// thirty-six cases.
const SILENCE_FACTOR: u32 = 3;

/// Counters of one incarnation of an endpoint. All are independent and relaxed: a value that is
/// late by a few nanoseconds only makes a choice slightly worse.
#[derive(Debug)]
pub struct EndpointGauge {
    in_flight: AtomicU32,
    consecutive_failures: AtomicU32,
    latencies: WorkMeans<LatencyMean>,
    /// Last load hint: its expiry in microseconds, above eight bits of load.
    hint: AtomicU64,
    /// Start of the warm-up in microseconds, negative for a server older than this process.
    warm_up_start: AtomicI64,
    /// Microsecond at which a probe is due, zero while in service.
    ejected_until: AtomicU64,
    /// Last reported waits for a slot, of requests of callers and of calls of started requests, which
    /// go before these: the wait in its low bits and the time of the report above them, both in
    /// microseconds.
    waits: [AtomicU64; 2],
    /// Transit time of requests, without the wait and the work at the guard.
    transit: LatencyMean,
    /// Requests whose answer's head has not come yet.
    unanswered: AtomicU32,
    /// Microsecond since which these have waited without any answer from the endpoint.
    silent_since: AtomicU64,
    /// Failure rate of the last requests, in thousandths.
    failure_rate: AtomicU32,
    /// Microsecond at which the failure rate was last updated.
    failure_updated_at: AtomicU64,
    /// Ejections since the endpoint last ran well.
    ejection_count: AtomicU32,
    /// Whether a probe is under way.
    is_probing: AtomicBool,
    is_leaving: AtomicBool,
}

impl EndpointGauge {
    /// Creates the counters of a process that has been running for `age`.
    pub(super) fn new(age: Duration, now: Duration) -> Self {
        Self {
            in_flight: AtomicU32::new(0),
            consecutive_failures: AtomicU32::new(0),
            latencies: Default::default(),
            hint: AtomicU64::new(0),
            warm_up_start: AtomicI64::new(signed_micros(now) - signed_micros(age)),
            ejected_until: AtomicU64::new(0),
            waits: Default::default(),
            transit: LatencyMean::default(),
            unanswered: AtomicU32::new(0),
            silent_since: AtomicU64::new(0),
            failure_rate: AtomicU32::new(0),
            failure_updated_at: AtomicU64::new(0),
            ejection_count: AtomicU32::new(0),
            is_probing: AtomicBool::new(false),
            is_leaving: AtomicBool::new(false),
        }
    }

    /// Returns the requests of this daemon in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns whether the endpoint is ejected.
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.load(Ordering::Relaxed) != 0
    }

    /// Returns whether the guard has reported that the server is leaving.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Takes the endpoint out of service for good, before the membership lists it as leaving. Until
    /// then each request placed here would be refused and cost a retry.
    pub(super) fn mark_leaving(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
    }

    /// Counts a request that is sent at `now`.
    pub(super) fn begin_request(&self, now: Duration) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        if self.unanswered.fetch_add(1, Ordering::Relaxed) == 0 {
            self.silent_since.store(micros(now), Ordering::Relaxed);
        }
    }

    /// Counts out a request whose answer's head came at `answered_at`, or which ends without one.
    /// Any answer, even a failure, shows that messages get through to the endpoint and back.
    pub(super) fn end_unanswered(&self, answered_at: Option<Duration>) {
        self.unanswered.fetch_sub(1, Ordering::Relaxed);
        if let Some(now) = answered_at {
            self.silent_since.store(micros(now), Ordering::Relaxed);
        }
    }

    /// Adds the transit time of a request.
    pub(super) fn add_transit(&self, transit: Duration, now: Duration) {
        self.transit.add(transit, now);
    }

    /// Returns the expected transit time of a request whose work takes `work`.
    ///
    /// A full link, or a daemon without processor time, cannot be seen in any count that its guard
    /// sends, since what it sends is late itself. The transit time is therefore what answers took
    /// beyond the wait and the work, or what requests without an answer have waited beyond them by
    /// now.
    pub(super) fn transit(&self, work: Duration, now: Duration) -> Duration {
        let measured = self.transit.decayed_towards(Duration::ZERO, now);
        let silence = match self.unanswered.load(Ordering::Relaxed) {
            0 => 0,
            _ => micros(now).saturating_sub(self.silent_since.load(Ordering::Relaxed)),
        };
        let wait = self.wait(false, now).max(self.wait(true, now));
        let expected = wait + work * SILENCE_FACTOR;
        measured.max(Duration::from_micros(silence).saturating_sub(expected))
    }

    /// Counts out a request that has ended.
    pub(super) fn end_request(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the fraction of its slots that is counted on during the warm-up, from the cold share
    /// to 1.
    pub(super) fn warm_fraction(&self, settings: &PlacementSettings, now: Duration) -> f64 {
        let elapsed = signed_micros(now) - self.warm_up_start.load(Ordering::Relaxed);
        let whole = signed_micros(settings.warm_up).max(1);
        (elapsed as f64 / whole as f64).clamp(settings.cold_share, 1.0)
    }

    /// Stores a load, from 0 to 1, that counts until `expiry`.
    pub(super) fn set_hint(&self, load: f64, expiry: Duration) {
        // The clamp keeps the cast within eight bits; a NaN becomes zero.
        let steps = (load.clamp(0.0, 1.0) * HINT_STEPS as f64) as u64;
        self.hint.store((micros(expiry) << HINT_BITS) | steps, Ordering::Relaxed);
    }

    /// Returns the load of the last hint, zero once it has expired.
    pub(super) fn current_hint(&self, now: Duration) -> f64 {
        let packed = self.hint.load(Ordering::Relaxed);
        match packed >> HINT_BITS {
            expiry if micros(now) < expiry => (packed & HINT_STEPS) as f64 / HINT_STEPS as f64,
            _ => 0.0,
        }
    }

    /// Stores the wait for a slot that calls of started requests, or requests of callers, would have
    /// at `now`. It is below the bound that [`WAIT_BITS`] sets.
    pub(super) fn set_wait(&self, is_nested: bool, wait: Duration, now: Duration) {
        let packed = (micros(now) << WAIT_BITS) | micros(wait).min((1 << WAIT_BITS) - 1);
        self.waits[usize::from(is_nested)].store(packed, Ordering::Relaxed);
    }

    /// Returns how long until such a request could get a slot if nobody else came, by the last report:
    /// the wait that was reported, less the time since then.
    pub(super) fn wait(&self, is_nested: bool, now: Duration) -> Duration {
        let (wait, age) = self.reported_wait(is_nested, now);
        wait.saturating_sub(age)
    }

    /// Returns how long such a request is expected to wait for a slot, by the last report. A queue
    /// lasts longer than the wait in it, since others keep coming.
    pub(super) fn lasting_wait(&self, is_nested: bool, now: Duration) -> Duration {
        let (wait, age) = self.reported_wait(is_nested, now);
        wait.mul_f64((-age.as_secs_f64() / WAIT_DECAY.as_secs_f64()).exp())
    }

    /// Returns the last reported wait and the time since the report.
    fn reported_wait(&self, is_nested: bool, now: Duration) -> (Duration, Duration) {
        let packed = self.waits[usize::from(is_nested)].load(Ordering::Relaxed);
        let at = Duration::from_micros(packed >> WAIT_BITS);
        (Duration::from_micros(packed & ((1 << WAIT_BITS) - 1)), now.saturating_sub(at))
    }

    /// Counts a request that has ended in the failure rate.
    pub(super) fn record_end(&self, is_failure: bool, now: Duration) {
        let sample = if is_failure { 1000 } else { 0 };
        let current = (self.failure_rate(now) * 1000.0) as u32;
        let rate = (current * (FAILURE_WEIGHT - 1) + sample) / FAILURE_WEIGHT;
        self.failure_rate.store(rate, Ordering::Relaxed);
        self.failure_updated_at.store(micros(now), Ordering::Relaxed);
    }

    /// Raises the failure rate to one that another daemon has seen.
    pub(super) fn raise_failure_rate(&self, rate: f64, now: Duration) {
        if rate > self.failure_rate(now) {
            self.failure_rate.store((rate.clamp(0.0, 1.0) * 1000.0) as u32, Ordering::Relaxed);
            self.failure_updated_at.store(micros(now), Ordering::Relaxed);
        }
    }

    /// Returns the failure rate of the last requests, from 0 to 1. It decays while none come, so
    /// that a server that failed is tried again.
    pub(super) fn failure_rate(&self, now: Duration) -> f64 {
        let idle = micros(now).saturating_sub(self.failure_updated_at.load(Ordering::Relaxed));
        let current = f64::from(self.failure_rate.load(Ordering::Relaxed)) / 1000.0;
        current * decay_factor(idle)
    }

    /// Counts failures in a row and returns their number.
    pub(super) fn add_failures(&self, count: u32) -> u32 {
        self.consecutive_failures.fetch_add(count, Ordering::Relaxed).saturating_add(count)
    }

    pub(super) fn clear_failures(&self) {
        self.consecutive_failures.store(0, Ordering::Relaxed);
    }

    /// Returns the mean latency of a kind of work.
    pub(super) fn latency(&self, work: WorkKey) -> &LatencyMean {
        self.latencies.for_kind(work)
    }

    /// Returns whether the endpoint is ejected and its time is over.
    pub(super) fn is_probe_due(&self, now: Duration) -> bool {
        let until = self.ejected_until.load(Ordering::Relaxed);
        until != 0 && until <= micros(now)
    }

    /// Claims the one probe; returns `false` if a probe is under way.
    pub(super) fn claim_probe(&self) -> bool {
        self.is_probing.compare_exchange(false, true, Ordering::AcqRel, Ordering::Relaxed).is_ok()
    }

    pub(super) fn end_probe(&self) {
        self.is_probing.store(false, Ordering::Release);
    }

    /// Ejects the endpoint. Each ejection since it last ran well doubles the time.
    pub(super) fn eject(&self, settings: &PlacementSettings, now: Duration) {
        let doublings = self.ejection_count.fetch_add(1, Ordering::Relaxed).min(31);
        let time = settings.ejection_base.saturating_mul(1 << doublings).min(settings.ejection_cap);
        self.ejected_until.store(micros(now + time).max(1), Ordering::Relaxed);
    }

    /// Postpones the next probe without counting an ejection, as after a refusal, which shows that
    /// the guard works but nothing of the server.
    pub(super) fn postpone_probe(&self, settings: &PlacementSettings, now: Duration) {
        self.ejected_until.store(micros(now + settings.ejection_base).max(1), Ordering::Relaxed);
    }

    /// Takes the endpoint back into service, cold and without its history. Its ejections stay
    /// counted until it has warmed up, so that one which fails again at once is ejected for longer.
    pub(super) fn reinstate(&self, now: Duration) {
        self.clear_failures();
        self.latencies.all().for_each(LatencyMean::reset);
        self.warm_up_start.store(signed_micros(now), Ordering::Relaxed);
        self.ejected_until.store(0, Ordering::Relaxed);
    }

    /// Forgets earlier ejections.
    pub(super) fn reset_ejection_count(&self) {
        self.ejection_count.store(0, Ordering::Relaxed);
    }

    /// Returns the microsecond at which a probe is due, zero while in service.
    pub(super) fn ejected_until(&self) -> u64 {
        self.ejected_until.load(Ordering::Relaxed)
    }
}

/// State of an endpoint as a dump shows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointState {
    /// Identifies the endpoint.
    pub id: EndpointId,
    /// Identifies the process at the endpoint.
    pub incarnation: Incarnation,
    /// Requests of this daemon in flight.
    pub in_flight: u32,
    /// Slots that are counted on now.
    pub effective_slots: f64,
    /// Whether it is ejected.
    pub is_ejected: bool,
    /// Ejections since it last ran well.
    pub ejection_count: u32,
    /// Whether it is leaving.
    pub is_leaving: bool,
}

impl EndpointState {
    pub(super) fn of(record: &EndpointRecord, gauge: &EndpointGauge, effective_slots: f64) -> Self {
        Self {
            id: record.id,
            incarnation: record.incarnation,
            in_flight: gauge.in_flight(),
            effective_slots,
            is_ejected: gauge.is_ejected(),
            ejection_count: gauge.ejection_count.load(Ordering::Relaxed),
            is_leaving: gauge.is_leaving(),
        }
    }
}
