//! The suspicions that observers have reported.
//!
//! Suspicions arrive late, repeatedly and out of order. The log keeps the newest of each observer
//! and bounds their number, so that peers cannot fill the memory of a daemon.

use std::{collections::BTreeMap, time::Duration};

use sk_model::ProxyId;

use crate::{MemberRecord, MemberSnapshot, MemberSuspicion};

/// Largest number of suspicions: two for each link of 780 daemons. Memory stays within about 2 MB
/// whatever peers send; a suspicion beyond this number is dropped and not passed on.
const MAX_SUSPICIONS: usize = 8_192;

/// A suspicion with the time of its arrival.
#[derive(Debug)]
struct LoggedSuspicion {
    suspicion: MemberSuspicion,
    logged_at: Duration,
}

/// The newest suspicion of each observer about each daemon.
#[derive(Debug, Default)]
pub(crate) struct SuspicionLog {
    suspicions: BTreeMap<ProxyId, BTreeMap<ProxyId, LoggedSuspicion>>,
    len: usize,
    revision: u64,
}

impl SuspicionLog {
    /// Inserts a suspicion and returns whether it was new.
    pub(crate) fn insert(&mut self, suspicion: MemberSuspicion, now: Duration) -> bool {
        let known = self
            .suspicions
            .get(&suspicion.proxy)
            .and_then(|suspicions| suspicions.get(&suspicion.observer));
        match known {
            Some(known) if known.suspicion.number >= suspicion.number => return false,
            None if self.len >= MAX_SUSPICIONS => return false,
            None => self.len += 1,
            Some(_) => (),
        }
        self.revision += 1;
        let suspicions = self.suspicions.entry(suspicion.proxy.clone()).or_default();
        suspicions
            .insert(suspicion.observer.clone(), LoggedSuspicion { suspicion, logged_at: now });
        true
    }

    /// Removes suspicions older than `ttl`. Withdrawn ones are kept as long as others, so that a
    /// late copy of the suspicion they withdraw is recognised.
    pub(crate) fn expire(&mut self, now: Duration, ttl: Duration) {
        for suspicions in self.suspicions.values_mut() {
            suspicions.retain(|_, logged| now.saturating_sub(logged.logged_at) < ttl);
        }
        self.suspicions.retain(|_, suspicions| !suspicions.is_empty());
        let len = self.suspicions.values().map(BTreeMap::len).sum();
        self.revision += u64::from(len != self.len);
        self.len = len;
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns a number that grows with each change of the log.
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the observers of each suspected daemon, from the suspicions that are valid for the
    /// current records.
    pub(crate) fn observers_by_suspect<'a>(
        &'a self,
        snapshot: &'a MemberSnapshot,
    ) -> BTreeMap<&'a ProxyId, Vec<&'a ProxyId>> {
        let mut observers_by_suspect = BTreeMap::new();
        for (proxy, suspicions) in &self.suspicions {
            let Some(record) = snapshot.get(proxy).filter(|record| record.is_running()) else {
                continue;
            };
            let is_valid =
                |logged: &&LoggedSuspicion| is_valid(&logged.suspicion, record, snapshot);
            let valid_observers =
                suspicions.values().filter(is_valid).map(|logged| &logged.suspicion.observer);
            let observers: Vec<&ProxyId> = valid_observers.collect();
            if !observers.is_empty() {
                observers_by_suspect.insert(proxy, observers);
            }
        }
        observers_by_suspect
    }
}

// A suspicion about an older sequence is refuted: the owner has raised its sequence since.
fn is_valid(suspicion: &MemberSuspicion, record: &MemberRecord, snapshot: &MemberSnapshot) -> bool {
    let is_running =
        snapshot.get(&suspicion.observer).is_some_and(|observer| observer.is_running());
    let is_current =
        (suspicion.incarnation, suspicion.sequence) == (record.incarnation, record.sequence);
    !suspicion.is_withdrawn && is_running && is_current
}
