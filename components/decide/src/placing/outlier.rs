//! Setting endpoints aside that fail or are slow, by what our own requests saw.
//!
//! Made for a server that accepts work and fails it, or does it ten times slower: its own health
//! endpoint still says that all is well. What prevents harm from wrong judgements is the cap: when
//! most endpoints look bad, the fault is elsewhere, and sending all load to the rest would fell it.

use std::time::Duration;

use crate::WorkKey;
use crate::placing::{CallOutcome, PlacementTable, TableEntry};

/// Peers needed to tell a slow endpoint from a slow service.
const MIN_PEERS: usize = 2;

impl PlacementTable {
    /// Judges an endpoint by the end of a request.
    pub(super) fn judge(
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
            CallOutcome::Success => entry.gauge.note_end(false, now),
            CallOutcome::Failure | CallOutcome::Unreachable => entry.gauge.note_end(true, now),
            CallOutcome::Refused | CallOutcome::Leaving => {}
        }
        match outcome {
            CallOutcome::Leaving => entry.gauge.mark_leaving(),
            CallOutcome::Refused if is_probe => entry.gauge.postpone_probe(&self.settings, now),
            CallOutcome::Refused => self.note_refusal(entry, now),
            _ if is_probe => self.judge_probe(entry, work, outcome, latency, now),
            CallOutcome::Success => self.note_success(entry, work, latency, now),
            CallOutcome::Failure => self.note_failures(entry, 1, now),
            CallOutcome::Unreachable => {
                self.note_failures(entry, self.settings.unreachable_weight, now);
            }
        }
    }

    /// Takes endpoints back, the longest aside first, until no more than the cap allows are aside.
    /// Needed when healthy endpoints leave while others are aside.
    pub(super) fn release_excess(&self, now: Duration) {
        let _held = self.lock_aside();
        let mut aside: Vec<_> = self.staying().filter(|entry| entry.gauge.is_aside()).collect();
        aside.sort_by_key(|entry| entry.gauge.aside_until());
        let excess = aside.len().saturating_sub(self.settings.most_aside(self.staying().count()));
        aside.iter().take(excess).for_each(|entry| entry.gauge.take_back(now));
    }

    /// Gives the endpoints that are not leaving. Those that are must not count for the cap, or the
    /// last one that stays could be set aside.
    fn staying(&self) -> impl Iterator<Item = &TableEntry> {
        self.entries.iter().filter(|entry| !entry.gauge.is_leaving())
    }

    /// A refusal means that the server is loaded. Its share goes down for a moment; a higher load
    /// that it reported itself stands.
    fn note_refusal(&self, entry: &TableEntry, now: Duration) {
        let load = entry.gauge.live_hint(now).max(self.settings.refusal_load);
        entry.gauge.set_hint(load, now + self.settings.hint_life);
    }

    /// A probe is judged on its own: one success that is not slow brings the endpoint back, cold.
    fn judge_probe(
        &self,
        entry: &TableEntry,
        work: WorkKey,
        outcome: CallOutcome,
        latency: Duration,
        now: Duration,
    ) {
        if outcome == CallOutcome::Success && !self.is_slow(entry, work, latency) {
            entry.gauge.take_back(now);
        } else {
            entry.gauge.set_aside(&self.settings, now);
        }
    }

    fn note_success(&self, entry: &TableEntry, work: WorkKey, latency: Duration, now: Duration) {
        let settings = &self.settings;
        entry.gauge.clear_failures();
        if entry.gauge.warmth(settings, now) >= 1.0 {
            entry.gauge.clear_strikes();
        }
        let mean = entry.gauge.latency(work);
        let samples = mean.add(latency, now);
        // Each judgement looks at all peers, so it is made once per handful of requests.
        let is_due = samples.is_multiple_of(settings.slow_samples.max(1));
        match mean.known(settings.slow_samples) {
            Some(mean) if is_due && self.is_slow(entry, work, mean) => self.try_aside(entry, now),
            _ => {}
        }
    }

    fn note_failures(&self, entry: &TableEntry, count: u32, now: Duration) {
        if entry.gauge.add_failures(count) >= self.settings.failure_limit {
            self.try_aside(entry, now);
        }
    }

    /// Sets an endpoint aside, or lowers its share for a while if the cap is reached. With two of
    /// five gone and one aside, the other would else take a fifth of the calls, which is more than
    /// the retry budget covers. All shares low alike leave the division as it was.
    fn try_aside(&self, entry: &TableEntry, now: Duration) {
        let _held = self.lock_aside();
        let aside = self.staying().filter(|entry| entry.gauge.is_aside()).count();
        match aside < self.settings.most_aside(self.staying().count()) {
            _ if entry.gauge.is_aside() || !self.settings.weights.outliers => {}
            true => entry.gauge.set_aside(&self.settings, now),
            false => entry.gauge.set_hint(1.0, now + self.settings.hint_life),
        }
    }

    /// Tells whether a latency is far above the median of the other endpoints in service.
    fn is_slow(&self, entry: &TableEntry, work: WorkKey, latency: Duration) -> bool {
        let settings = &self.settings;
        let mut peers: Vec<_> = self
            .entries
            .iter()
            .filter(|peer| peer.record.id != entry.record.id && !peer.gauge.is_aside())
            .filter_map(|peer| peer.gauge.latency(work).known(settings.slow_samples))
            .collect();
        if peers.len() < MIN_PEERS {
            return false;
        }
        peers.sort_unstable();
        let median = peers[peers.len() / 2];
        latency > median.mul_f64(settings.slow_ratio) && latency > median + settings.slow_excess
    }
}
