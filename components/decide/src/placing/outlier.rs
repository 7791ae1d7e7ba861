//! Ejection of endpoints that fail or are slow, as this daemon's own requests show.
//!
//! A broken server can accept work and fail it, or take ten times as long, while its own health
//! endpoint reports that all is well. Such an endpoint is ejected until a probe succeeds. A limit
//! on the ejected endpoints prevents harm from wrong verdicts: when most endpoints look bad, the
//! fault is elsewhere, and sending all load to the rest would bring it down.

use std::time::Duration;

use crate::WorkKey;
use crate::placing::{CallOutcome, PlacementTable, TableEntry};

/// Peers needed to tell a slow endpoint from a slow service.
const MIN_PEERS: usize = 2;

impl PlacementTable {
    /// Counts the end of a request, and ejects or reinstates its endpoint where that is due.
    pub(super) fn record_outcome(
        &self,
        index: usize,
        work: WorkKey,
        is_probe: bool,
        outcome: CallOutcome,
        latency: Duration,
        now: Duration,
    ) {
        let entry = &self.entries[index];
        match outcome {
            CallOutcome::Success => entry.gauge.record_end(false, now),
            CallOutcome::Failure | CallOutcome::Unreachable => entry.gauge.record_end(true, now),
            CallOutcome::Refused | CallOutcome::Leaving => {}
        }
        match outcome {
            CallOutcome::Leaving => entry.gauge.mark_leaving(),
            CallOutcome::Refused if is_probe => entry.gauge.postpone_probe(&self.settings, now),
            CallOutcome::Refused => self.record_refusal(entry, now),
            _ if is_probe => self.judge_probe(entry, work, outcome, latency, now),
            CallOutcome::Success => self.record_success(entry, work, latency, now),
            CallOutcome::Failure => self.record_failures(entry, 1, now),
            CallOutcome::Unreachable => {
                self.record_failures(entry, self.settings.unreachable_weight, now);
            }
        }
    }

    /// Reinstates ejected endpoints, first those whose probe is due first, until no more are
    /// ejected than the limit allows. Needed when healthy endpoints leave while others are ejected.
    pub(super) fn reinstate_excess(&self, now: Duration) {
        let _guard = self.lock_ejection();
        let mut ejected: Vec<_> =
            self.not_leaving().filter(|entry| entry.gauge.is_ejected()).collect();
        ejected.sort_by_key(|entry| entry.gauge.ejected_until());
        let excess =
            ejected.len().saturating_sub(self.settings.max_ejected(self.not_leaving().count()));
        ejected.iter().take(excess).for_each(|entry| entry.gauge.reinstate(now));
    }

    /// Returns the endpoints that are not leaving. Those that are must not count for the limit, or
    /// the last one that stays could be ejected.
    fn not_leaving(&self) -> impl Iterator<Item = &TableEntry> {
        self.entries.iter().filter(|entry| !entry.gauge.is_leaving())
    }

    /// Lowers the slots counted on for a moment, since a refusal means that the server is loaded. A
    /// higher load that the server reported itself stands.
    fn record_refusal(&self, entry: &TableEntry, now: Duration) {
        let load = entry.gauge.current_hint(now).max(self.settings.refusal_load);
        entry.gauge.set_hint(load, now + self.settings.hint_life);
    }

    /// Judges a probe on its own: one success that is not slow reinstates the endpoint, cold; all
    /// else ejects it again.
    fn judge_probe(
        &self,
        entry: &TableEntry,
        work: WorkKey,
        outcome: CallOutcome,
        latency: Duration,
        now: Duration,
    ) {
        if outcome == CallOutcome::Success && !self.is_slow(entry, work, latency) {
            entry.gauge.reinstate(now);
        } else {
            entry.gauge.eject(&self.settings, now);
        }
    }

    /// Counts a success, and ejects the endpoint if its mean latency is far above its peers'.
    fn record_success(&self, entry: &TableEntry, work: WorkKey, latency: Duration, now: Duration) {
        let settings = &self.settings;
        entry.gauge.clear_failures();
        if entry.gauge.warm_fraction(settings, now) >= 1.0 {
            entry.gauge.reset_ejection_count();
        }
        let mean = entry.gauge.latency(work);
        let samples = mean.add(latency, now);
        // The check for slowness scans all peers, so it is made once per handful of requests.
        let is_due = samples.is_multiple_of(settings.slow_samples.max(1));
        match mean.mean_if_sampled(settings.slow_samples) {
            Some(mean) if is_due && self.is_slow(entry, work, mean) => self.try_eject(entry, now),
            _ => {}
        }
    }

    /// Counts failures in a row, and ejects the endpoint when they reach the limit.
    fn record_failures(&self, entry: &TableEntry, count: u32, now: Duration) {
        if entry.gauge.add_failures(count) >= self.settings.failure_limit {
            self.try_eject(entry, now);
        }
    }

    /// Ejects an endpoint, or lowers the slots counted on at it for a while if the limit is
    /// reached. With two of five endpoints gone and one ejected, the other would otherwise take a
    /// fifth of the calls, which is more than the retry budget covers. When all endpoints are
    /// lowered alike, the calls are divided among them as before.
    fn try_eject(&self, entry: &TableEntry, now: Duration) {
        let _guard = self.lock_ejection();
        let ejected = self.not_leaving().filter(|entry| entry.gauge.is_ejected()).count();
        match ejected < self.settings.max_ejected(self.not_leaving().count()) {
            _ if entry.gauge.is_ejected() || !self.settings.factors.outliers => {}
            true => entry.gauge.eject(&self.settings, now),
            false => entry.gauge.set_hint(1.0, now + self.settings.hint_life),
        }
    }

    /// Returns whether a latency is far above the median of the other endpoints in service.
    fn is_slow(&self, entry: &TableEntry, work: WorkKey, latency: Duration) -> bool {
        let settings = &self.settings;
        let mut peers: Vec<_> = self
            .entries
            .iter()
            .filter(|peer| peer.record.id != entry.record.id && !peer.gauge.is_ejected())
            .filter_map(|peer| peer.gauge.latency(work).mean_if_sampled(settings.slow_samples))
            .collect();
        if peers.len() < MIN_PEERS {
            return false;
        }
        peers.sort_unstable();
        let median = peers[peers.len() / 2];
        latency > median.mul_f64(settings.slow_ratio) && latency > median + settings.slow_excess
    }
}
