//! Quarantine of requests that crash their server, identified by fingerprint.
//!
//! A single request can crash each server that runs it, while its caller sends it again: without a
//! check it takes a service of five servers down in five sends, and all requests in flight beside
//! it each time.
//!
//! A crash makes suspects of all requests in flight, since nothing tells them apart yet. A suspect
//! runs again only *alone* on its server, as a trial. A server that dies under a trial convicts the
//! request, and so does a second crash at which it was alone by chance: nothing else was running,
//! so a request is not convicted for what another one did, however many crashes it was near. A
//! success clears a request of earlier crashes other than trials. A convicted request is refused
//! for a set time; then its next run is a trial again, which harms no other request.
//!
//! Evidence is a grow-only set with a total order, so tables of two daemons merge to the same table
//! in any order and any number of times.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use crate::quarantine::successes::SuccessCache;

pub use crate::quarantine::record::{CrashEvidence, CrashKind, SuspectRecord};

mod record;
mod successes;

/// Hash of a request: its key, or its method, path and body.
pub type Fingerprint = u64;
/// Identifies one crash: a hash of the server and its incarnation.
pub type CrashId = u64;

/// Settings of the quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineSettings {
    /// How long a convicted request is refused. Default 10 min: a resend costs one server at most
    /// six times an hour, and a repaired service takes the request again soon.
    pub refusal_time: Duration,
    /// How long evidence is kept. Default 1 h, so that a request which its caller sends again an
    /// hour later still runs alone. At least `refusal_time`.
    pub evidence_life: Duration,
    /// Requests kept at most. Default 1024, about 200 KB: two crashes a day leave some 24 each.
    pub capacity: usize,
    /// Crashes with a request in flight, without a success since, after which it is refused.
    /// Default none: a suspect runs alone instead. To run one alone, a server must be emptied, and
    /// where work takes a quarter of a second and all slots are in use, that costs a dozen requests
    /// for each suspect; a second or third crash shows almost as much.
    pub crash_limit: Option<u32>,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            refusal_time: Duration::from_secs(600),
            evidence_life: Duration::from_secs(3600),
            capacity: 1024,
            crash_limit: None,
        }
    }
}

/// How a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineVerdict {
    /// Run it as any other.
    Clear,
    /// Run it with nothing else on the server.
    RunAlone,
    /// Do not run it; the time after which it may be tried again.
    Refused(Duration),
}

/// Crash of a server, as the daemon beside it observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashReport<'a> {
    /// Identifies the crash.
    pub crash_id: CrashId,
    /// Time of the crash since the Unix epoch.
    pub at: Duration,
    /// Requests in flight on the server.
    pub in_flight: &'a [Fingerprint],
    /// Whether the request in flight was a trial.
    pub is_trial: bool,
}

/// Suspect and convicted requests. `now` is the time since the Unix epoch here, because evidence
/// travels between daemons; a clock that is off by a second moves expiry by a second.
#[derive(Clone, Debug)]
pub struct QuarantineTable {
    settings: QuarantineSettings,
    records: HashMap<Fingerprint, SuspectRecord>,
    successes: SuccessCache,
    /// Requests whose record changed since the changes were last taken for other daemons.
    changed: BTreeSet<Fingerprint>,
}

impl QuarantineTable {
    /// Creates an empty table.
    pub fn new(settings: QuarantineSettings) -> Self {
        Self {
            settings,
            records: HashMap::new(),
            successes: SuccessCache::default(),
            changed: BTreeSet::new(),
        }
    }

    /// Decides how a request may run.
    pub fn classify(&self, fingerprint: Fingerprint, now: Duration) -> QuarantineVerdict {
        let Some(record) = self.records.get(&fingerprint) else { return QuarantineVerdict::Clear };
        let since = now.saturating_sub(self.settings.evidence_life);
        if let Some(limit) = self.settings.crash_limit {
            return self.judge_crashes(record, limit, now);
        }
        match record
            .convicted_at(since)
            .map(|at| (at + self.settings.refusal_time).saturating_sub(now))
        {
            Some(left) if !left.is_zero() => QuarantineVerdict::Refused(left),
            _ if record.is_suspect(since) => QuarantineVerdict::RunAlone,
            _ => QuarantineVerdict::Clear,
        }
    }

    /// Refuses a request whose crashes have reached the limit, and lets any other run.
    fn judge_crashes(
        &self,
        record: &SuspectRecord,
        limit: u32,
        now: Duration,
    ) -> QuarantineVerdict {
        let since = now.saturating_sub(self.settings.evidence_life);
        let left = (record.last_crash_at() + self.settings.refusal_time).saturating_sub(now);
        match record.crash_count(since) >= limit as usize && !left.is_zero() {
            true => QuarantineVerdict::Refused(left),
            false => QuarantineVerdict::Clear,
        }
    }

    /// Records a crash. Several copies of one request in flight count as that request alone.
    pub fn record_crash(&mut self, report: &CrashReport<'_>) {
        let mut fingerprints = report.in_flight.to_vec();
        fingerprints.sort_unstable();
        fingerprints.dedup();
        let kind = match fingerprints.len() {
            1 if report.is_trial => CrashKind::Trial,
            1 => CrashKind::Alone,
            _ => CrashKind::Shared,
        };
        for fingerprint in fingerprints {
            let evidence =
                CrashEvidence { at: report.at, crash_id: report.crash_id, kind, is_cleared: false };
            self.merge_record(&SuspectRecord::with_crash(fingerprint, evidence));
        }
        self.shrink();
    }

    /// Records that a request ran to its end at `now`, which clears it of earlier crashes.
    pub fn record_success(&mut self, fingerprint: Fingerprint, now: Duration) {
        self.successes.insert(fingerprint, now);
        let record = self.records.get_mut(&fingerprint);
        if record.is_some_and(|record| record.clear_before(now)) {
            self.changed.insert(fingerprint);
        }
    }

    /// Merges the records of another daemon. Idempotent, commutative and associative as long as no
    /// more requests are known than the table holds.
    pub fn merge(&mut self, records: &[SuspectRecord]) {
        records.iter().for_each(|record| self.merge_record(record));
        self.shrink();
    }

    /// Drops the records without evidence that is still kept.
    pub fn expire(&mut self, now: Duration) {
        let since = now.saturating_sub(self.settings.evidence_life);
        self.records.retain(|_, record| record.last_crash_at() >= since);
        self.changed.retain(|fingerprint| self.records.contains_key(fingerprint));
    }

    /// Returns the records that changed since the last call, to be sent to other daemons. A merge
    /// that brings nothing new changes nothing, so an exchange between daemons comes to an end.
    pub fn take_changed(&mut self) -> Vec<SuspectRecord> {
        let changed = std::mem::take(&mut self.changed);
        changed.iter().filter_map(|fingerprint| self.records.get(fingerprint)).cloned().collect()
    }

    /// Returns all records, by fingerprint, for other daemons and for a dump.
    pub fn export(&self) -> Vec<SuspectRecord> {
        let ordered: BTreeMap<_, _> = self.records.iter().collect();
        ordered.into_values().cloned().collect()
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Merges one record, clears it by the last success known here, and notes whether it changed.
    fn merge_record(&mut self, other: &SuspectRecord) {
        let fingerprint = other.fingerprint;
        let record =
            self.records.entry(fingerprint).or_insert_with(|| SuspectRecord::new(fingerprint));
        let before = record.clone();
        record.merge(other);
        // A frequent request has often succeeded here by the time that a crash elsewhere is
        // reported. Without this each of its copies would wait for an empty server.
        if let Some(at) = self.successes.last(fingerprint) {
            record.clear_before(at);
        }
        if *record != before {
            self.changed.insert(fingerprint);
        }
    }

    /// Drops the records with the oldest crashes beyond the capacity.
    fn shrink(&mut self) {
        let excess = self.records.len().saturating_sub(self.settings.capacity);
        if excess == 0 {
            return;
        }
        let mut ages: Vec<_> = self
            .records
            .values()
            .map(|record| (record.last_crash_at(), record.fingerprint))
            .collect();
        ages.sort_unstable();
        for (_, fingerprint) in ages.into_iter().take(excess) {
            self.records.remove(&fingerprint);
            self.changed.remove(&fingerprint);
        }
    }
}
