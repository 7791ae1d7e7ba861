//! What one daemon believes of all others.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use sk_model::ProxyId;

use crate::{
    EndpointRecord, Incarnation, MemberDigest, MemberRecord, MemberStatus, MemberSuspicion,
    ServerId, digest::bucket_of, tombstone::TombstoneList,
};

/// Times a daemon answers a record of a later process with its name. A process whose instance's
/// clock went back needs one answer for each older record still about; two processes that run
/// under one name would answer each other for ever, and each answer travels to all.
const MAX_RAISES: u32 = 8;

/// What merging one record did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The record was newer and now holds.
    Newer,
    /// The record was already known.
    Known,
    /// A newer record is known, which the sender should learn.
    Older,
    /// The record spoke ill of this daemon, which answered with a greater one of its own.
    Refuted,
    /// Another process runs under this daemon's name and was answered too often.
    Clash,
}

/// All records, by daemon.
#[derive(Clone, Debug)]
pub struct MemberTable {
    own: ProxyId,
    records: BTreeMap<ProxyId, Arc<MemberRecord>>,
    digest: MemberDigest,
    tombstones: TombstoneList,
    withdrawn: BTreeSet<ServerId>,
    raises: u32,
}

impl MemberTable {
    /// Makes a table that knows only its own daemon.
    pub fn new(record: MemberRecord) -> Self {
        let mut table = Self {
            own: record.proxy.clone(),
            records: BTreeMap::new(),
            digest: MemberDigest::default(),
            tombstones: TombstoneList::default(),
            withdrawn: BTreeSet::new(),
            raises: 0,
        };
        table.insert(record);
        table
    }

    /// Gives this daemon's own record.
    ///
    /// # Panics
    ///
    /// Never: the own record is put in by [`MemberTable::new`] and never removed.
    pub fn own(&self) -> &Arc<MemberRecord> {
        &self.records[&self.own]
    }

    /// Gives all records, in order of the daemons' names.
    pub fn records(&self) -> &BTreeMap<ProxyId, Arc<MemberRecord>> {
        &self.records
    }

    /// Gives the digest of all records that are passed on.
    pub fn digest(&self) -> &MemberDigest {
        &self.digest
    }

    /// Lists the records of some buckets, for a peer whose digest differs in them.
    pub fn records_in(&self, buckets: &[usize]) -> Vec<Arc<MemberRecord>> {
        let is_wanted = |record: &&Arc<MemberRecord>| {
            buckets.contains(&bucket_of(&record.proxy)) && !self.tombstones.is_hidden(&record.proxy)
        };
        self.records.values().filter(is_wanted).cloned().collect()
    }

    /// Merges a record from a peer. Merging is commutative, associative and idempotent.
    pub fn merge(&mut self, record: impl Into<Arc<MemberRecord>>) -> MergeOutcome {
        let record = record.into();
        if record.proxy == self.own {
            return self.merge_own(&record);
        }
        match self.records.get(&record.proxy).map(|held| record.cmp_rank(held)) {
            Some(Ordering::Equal) => MergeOutcome::Known,
            Some(Ordering::Less) => MergeOutcome::Older,
            Some(Ordering::Greater) | None => {
                self.insert(record);
                MergeOutcome::Newer
            }
        }
    }

    /// Answers another observer's word about this daemon with a greater sequence, and tells
    /// whether there was need to.
    pub fn refute(&mut self, word: &MemberSuspicion) -> bool {
        let held = self.own();
        let is_answered = (word.incarnation, word.sequence) < (held.incarnation, held.sequence);
        if word.proxy != self.own || word.is_withdrawn || is_answered {
            return false;
        }
        self.answer(word.incarnation, word.sequence) == MergeOutcome::Refuted
    }

    /// Counts a daemon as gone, where the given record still holds, and tells whether it does.
    pub fn declare_gone(&mut self, proxy: &str, incarnation: Incarnation, sequence: u64) -> bool {
        let is_meant = |record: &&Arc<MemberRecord>| {
            (record.incarnation, record.sequence) == (incarnation, sequence)
                && record.status != MemberStatus::Gone
        };
        let Some(record) = self.records.get(proxy).filter(is_meant) else { return false };
        if record.proxy == self.own {
            return false;
        }
        let record = MemberRecord { status: MemberStatus::Gone, ..MemberRecord::clone(record) };
        self.insert(record);
        true
    }

    /// Drops tombstones that were kept for long enough, and tells how many records went. To be
    /// called every few seconds.
    pub fn expire(&mut self, now: Duration) -> usize {
        let is_gone = |record: &&Arc<MemberRecord>| !record.is_running();
        let gone = self.records.values().filter(is_gone).map(|record| &record.proxy);
        let outcome = self.tombstones.sweep(gone.filter(|proxy| **proxy != self.own), now);
        for proxy in &outcome.hidden {
            self.digest.remove(&self.records[proxy]);
        }
        for proxy in &outcome.dropped {
            self.remove(proxy);
        }
        outcome.dropped.len()
    }

    /// Replaces the backend servers beside this daemon and tells whether that changed anything.
    ///
    /// Servers that were withdrawn stay out until [`MemberTable::readmit_server`].
    pub fn set_endpoints(&mut self, mut endpoints: Vec<EndpointRecord>) -> bool {
        endpoints.retain(|endpoint| !self.withdrawn.contains(&endpoint.server));
        if self.own().endpoints == endpoints {
            return false;
        }
        let sequence = self.own().sequence;
        self.raise(sequence, |record| record.endpoints = endpoints);
        true
    }

    /// Takes back what this daemon said of its backend servers, and tells whether there were any.
    ///
    /// A process that was paused does not know whether its servers still run. Announcing them
    /// from memory would send callers to a server that left meanwhile; so each server has to
    /// announce itself anew, see [`MemberTable::readmit_server`].
    pub fn withdraw_endpoints(&mut self) -> bool {
        let endpoints = self.own().endpoints.clone();
        // Only the last pause counts: the set holds no more than one daemon's servers.
        self.withdrawn.extend(endpoints.iter().map(|endpoint| endpoint.server.clone()));
        self.set_endpoints(Vec::new())
    }

    /// Notes that a backend server announced itself, so that it may be listed again.
    pub fn readmit_server(&mut self, server: &str) {
        self.withdrawn.remove(server);
    }

    /// Sets this daemon's own status and tells whether that changed anything.
    pub fn set_status(&mut self, status: MemberStatus) -> bool {
        if self.own().status == status {
            return false;
        }
        let sequence = self.own().sequence;
        self.raise(sequence, |record| record.status = status);
        true
    }

    // A daemon that was paused may find itself declared gone. Its callers would then be refused
    // for as long as the others believe it; a greater sequence of its own ends that.
    fn merge_own(&mut self, record: &MemberRecord) -> MergeOutcome {
        match record.cmp_rank(self.own()) {
            Ordering::Less | Ordering::Equal => MergeOutcome::Known,
            Ordering::Greater => self.answer(record.incarnation, record.sequence),
        }
    }

    // A greater incarnation under this name is either this instance's process before, which
    // started while the clock was ahead, or another process with the same name. The first is
    // answered once and silent ever after; without the answer nobody would believe this process
    // until its clock had caught up.
    fn answer(&mut self, incarnation: Incarnation, sequence: u64) -> MergeOutcome {
        let held = self.own();
        if incarnation <= held.incarnation {
            self.raise(sequence.max(held.sequence), |_| ());
            return MergeOutcome::Refuted;
        }
        match incarnation.checked_add(1) {
            Some(next) if self.raises < MAX_RAISES => {
                log::warn!("member: {} was seen with a later start; taking {next}.", self.own);
                self.raises += 1;
                self.raise(sequence, |record| record.incarnation = next);
                MergeOutcome::Refuted
            }
            _ => {
                log::error!("member: another process uses the name {}.", self.own);
                MergeOutcome::Clash
            }
        }
    }

    fn raise(&mut self, sequence: u64, change: impl FnOnce(&mut MemberRecord)) {
        let mut record = MemberRecord::clone(self.own());
        record.sequence = sequence.saturating_add(1);
        change(&mut record);
        self.insert(record);
    }

    fn insert(&mut self, record: impl Into<Arc<MemberRecord>>) {
        let record = record.into();
        self.remove(&record.proxy);
        self.digest.add(&record);
        self.records.insert(record.proxy.clone(), record);
    }

    fn remove(&mut self, proxy: &str) {
        let is_hidden = self.tombstones.is_hidden(proxy);
        self.tombstones.forget(proxy);
        if let Some(held) = self.records.remove(proxy).filter(|_| !is_hidden) {
            self.digest.remove(&held);
        }
    }
}
