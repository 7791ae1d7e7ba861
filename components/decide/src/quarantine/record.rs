//! Evidence against one request.

use std::time::Duration;

use crate::quarantine::{CrashId, Fingerprint};

/// Crashes kept for one request. Two decide; two more keep these two through a merge with a daemon
/// that saw others.
const MAX_EVIDENCE: usize = 4;

/// What was in flight at a crash, from weak to strong evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CrashKind {
    /// Others were in flight too.
    Shared,
    /// Nothing else was in flight, by chance.
    Alone,
    /// Nothing else was in flight, because the request was a suspect and ran as a trial.
    Trial,
}

/// One crash with the request in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrashEvidence {
    /// Time since the Unix epoch.
    pub at: Duration,
    /// Identifies the crash.
    pub crash_id: CrashId,
    /// What was in flight beside it.
    pub kind: CrashKind,
    /// Whether a later success has cleared the request of it.
    pub is_cleared: bool,
}

/// All evidence against one request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SuspectRecord {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Its crashes, the newest last, at most four.
    pub evidence: Vec<CrashEvidence>,
}

impl SuspectRecord {
    /// Creates a record without evidence.
    pub fn new(fingerprint: Fingerprint) -> Self {
        Self { fingerprint, evidence: Vec::new() }
    }

    /// Creates a record of one crash.
    pub fn with_crash(fingerprint: Fingerprint, evidence: CrashEvidence) -> Self {
        Self { fingerprint, evidence: vec![evidence] }
    }

    /// Merges the evidence of another record of the same request: for each crash the strongest
    /// kind, cleared if either is, and of all crashes the newest few.
    pub fn merge(&mut self, other: &Self) {
        for evidence in &other.evidence {
            self.merge_evidence(evidence);
        }
        self.evidence.sort_unstable();
        let excess = self.evidence.len().saturating_sub(MAX_EVIDENCE);
        self.evidence.drain(..excess);
    }

    /// Clears the request of crashes before `at`. Trials stay: a request that crashed its server
    /// alone is no less harmful for succeeding now and then. Returns whether any crash was cleared
    /// by it.
    pub fn clear_before(&mut self, at: Duration) -> bool {
        let mut has_changed = false;
        for evidence in &mut self.evidence {
            let is_due = evidence.at < at && evidence.kind != CrashKind::Trial;
            has_changed |= is_due && !evidence.is_cleared;
            evidence.is_cleared |= is_due;
        }
        has_changed
    }

    /// Returns the time of the newest crash, zero without any.
    pub fn last_crash_at(&self) -> Duration {
        self.evidence.iter().map(|evidence| evidence.at).max().unwrap_or_default()
    }

    /// Returns the time of the crash since `since` that convicted the request, if any: a trial, or
    /// the second crash in which it was alone by chance.
    pub fn convicted_at(&self, since: Duration) -> Option<Duration> {
        let mut alone = 0;
        self.uncleared(since)
            .filter(|evidence| match evidence.kind {
                CrashKind::Trial => true,
                CrashKind::Alone => {
                    alone += 1;
                    alone > 1
                }
                CrashKind::Shared => false,
            })
            .map(|evidence| evidence.at)
            .last()
    }

    /// Returns the number of crashes since `since` that count against the request.
    pub fn crash_count(&self, since: Duration) -> usize {
        self.uncleared(since).count()
    }

    /// Returns whether any crash since `since` counts against the request.
    pub fn is_suspect(&self, since: Duration) -> bool {
        self.uncleared(since).next().is_some()
    }

    /// Returns the crashes since `since` that no success has cleared.
    fn uncleared(&self, since: Duration) -> impl Iterator<Item = &CrashEvidence> {
        self.evidence.iter().filter(move |evidence| !evidence.is_cleared && evidence.at >= since)
    }

    /// Merges evidence of one crash with what is known of that crash, or adds it.
    fn merge_evidence(&mut self, other: &CrashEvidence) {
        match self.evidence.iter_mut().find(|own| own.crash_id == other.crash_id) {
            Some(own) => {
                own.at = own.at.max(other.at);
                own.kind = own.kind.max(other.kind);
                own.is_cleared |= other.is_cleared;
            }
            None => self.evidence.push(*other),
        }
    }
}
