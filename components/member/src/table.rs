//! The records of all daemons as known to one daemon.
//!
//! Merging is commutative, associative and idempotent, so that all daemons end with the same
//! records. A daemon that finds itself reported as gone refutes this, because its callers would
//! otherwise be refused although it runs.

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

/// Largest number of times a daemon raises its incarnation above that of a record of a later
/// process with its name. A process whose clock was set back needs one raise for each older record
/// still in circulation; two processes that run under one name would outrank each other without
/// end, and each raise is sent to all daemons.
const MAX_INCARNATION_RAISES: u32 = 8;

/// Result of merging one record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The record was newer and replaced the known one.
    Newer,
    /// The record was already known.
    Known,
    /// A newer record is already known; the sender should learn it.
    Older,
    /// The record outranked the one of this daemon, which refuted it with a greater one.
    Refuted,
    /// Another process uses the name of this daemon, and was outranked too often.
    NameConflict,
}

/// The records of all daemons, by name.
#[derive(Clone, Debug)]
pub struct MemberTable {
    own: ProxyId,
    records: BTreeMap<ProxyId, Arc<MemberRecord>>,
    digest: MemberDigest,
    tombstones: TombstoneList,
    withdrawn_servers: BTreeSet<ServerId>,
    incarnation_raises: u32,
}

impl MemberTable {
    /// Creates a table with the record of its own daemon only.
    pub fn new(record: MemberRecord) -> Self {
        let mut table = Self {
            own: record.proxy.clone(),
            records: BTreeMap::new(),
            digest: MemberDigest::default(),
            tombstones: TombstoneList::default(),
            withdrawn_servers: BTreeSet::new(),
            incarnation_raises: 0,
        };
        table.insert(record);
        table
    }

    /// Returns the record of this daemon.
    ///
    /// # Panics
    ///
    /// Never: [`MemberTable::new`] inserts the own record, and it is never removed.
    pub fn own(&self) -> &Arc<MemberRecord> {
        &self.records[&self.own]
    }

    /// Returns all records in order of the daemon names.
    pub fn records(&self) -> &BTreeMap<ProxyId, Arc<MemberRecord>> {
        &self.records
    }

    /// Returns the digest of all records that are sent to other daemons.
    pub fn digest(&self) -> &MemberDigest {
        &self.digest
    }

    /// Returns the records of some buckets, for a peer whose digest differs in them.
    pub fn records_in(&self, buckets: &[usize]) -> Vec<Arc<MemberRecord>> {
        let is_requested = |record: &&Arc<MemberRecord>| {
            buckets.contains(&bucket_of(&record.proxy))
                && !self.tombstones.is_withheld(&record.proxy)
        };
        self.records.values().filter(is_requested).cloned().collect()
    }

    /// Merges a record from a peer. Merging is commutative, associative and idempotent.
    pub fn merge(&mut self, record: impl Into<Arc<MemberRecord>>) -> MergeOutcome {
        let record = record.into();
        if record.proxy == self.own {
            return self.merge_own(&record);
        }
        match self.records.get(&record.proxy).map(|known| record.cmp_rank(known)) {
            Some(Ordering::Equal) => MergeOutcome::Known,
            Some(Ordering::Less) => MergeOutcome::Older,
            Some(Ordering::Greater) | None => {
                self.insert(record);
                MergeOutcome::Newer
            }
        }
    }

    /// Refutes a suspicion about this daemon by raising its sequence, and returns whether that was
    /// necessary.
    pub fn refute(&mut self, suspicion: &MemberSuspicion) -> bool {
        let own_record = self.own();
        let is_refuted = (suspicion.incarnation, suspicion.sequence)
            < (own_record.incarnation, own_record.sequence);
        if suspicion.proxy != self.own || suspicion.is_withdrawn || is_refuted {
            return false;
        }
        self.outrank(suspicion.incarnation, suspicion.sequence) == MergeOutcome::Refuted
    }

    /// Sets the status of a daemon to gone if the given record is still current, and returns
    /// whether it was.
    pub fn declare_gone(&mut self, proxy: &str, incarnation: Incarnation, sequence: u64) -> bool {
        let is_current = |record: &&Arc<MemberRecord>| {
            (record.incarnation, record.sequence) == (incarnation, sequence)
                && record.status != MemberStatus::Gone
        };
        let Some(record) = self.records.get(proxy).filter(is_current) else { return false };
        if record.proxy == self.own {
            return false;
        }
        let record = MemberRecord { status: MemberStatus::Gone, ..MemberRecord::clone(record) };
        self.insert(record);
        true
    }

    /// Removes expired tombstones and returns their number. It has to be called every few seconds.
    pub fn expire_tombstones(&mut self, now: Duration) -> usize {
        let is_gone = |record: &&Arc<MemberRecord>| !record.is_running();
        let gone = self.records.values().filter(is_gone).map(|record| &record.proxy);
        let outcome = self.tombstones.sweep(gone.filter(|proxy| **proxy != self.own), now);
        for proxy in &outcome.withheld {
            self.digest.remove(&self.records[proxy]);
        }
        for proxy in &outcome.expired {
            self.remove(proxy);
        }
        outcome.expired.len()
    }

    /// Replaces the backend servers of this daemon and returns whether they changed.
    ///
    /// Withdrawn servers are left out until [`MemberTable::readmit_server`] is called for them.
    pub fn set_endpoints(&mut self, mut endpoints: Vec<EndpointRecord>) -> bool {
        endpoints.retain(|endpoint| !self.withdrawn_servers.contains(&endpoint.server));
        if self.own().endpoints == endpoints {
            return false;
        }
        let sequence = self.own().sequence;
        self.update_own(sequence, |record| record.endpoints = endpoints);
        true
    }

    /// Withdraws the backend servers of this daemon and returns whether there were any.
    ///
    /// A process that was paused does not know whether its servers still run. Announcing them from
    /// memory would send callers to a server that left meanwhile. Each server therefore has to
    /// announce itself again, see [`MemberTable::readmit_server`].
    pub fn withdraw_endpoints(&mut self) -> bool {
        let endpoints = self.own().endpoints.clone();
        // Each pause adds at most the servers that are listed. A server that never announces itself
        // again stays in the set until this daemon ends.
        self.withdrawn_servers.extend(endpoints.iter().map(|endpoint| endpoint.server.clone()));
        self.set_endpoints(Vec::new())
    }

    /// Allows a withdrawn backend server to be listed again after it announced itself.
    pub fn readmit_server(&mut self, server: &str) {
        self.withdrawn_servers.remove(server);
    }

    /// Sets the status of this daemon and returns whether it changed.
    pub fn set_status(&mut self, status: MemberStatus) -> bool {
        if self.own().status == status {
            return false;
        }
        let sequence = self.own().sequence;
        self.update_own(sequence, |record| record.status = status);
        true
    }

    // A daemon that was paused may find itself declared gone. Its callers would be refused for as
    // long as the others believe this; a greater sequence of its own ends it.
    fn merge_own(&mut self, record: &MemberRecord) -> MergeOutcome {
        match record.cmp_rank(self.own()) {
            Ordering::Less | Ordering::Equal => MergeOutcome::Known,
            Ordering::Greater => self.outrank(record.incarnation, record.sequence),
        }
    }

    // A greater incarnation under this name belongs either to the previous process of this
    // instance, which started while the clock was ahead, or to another process with the same name.
    // The first is outranked once and does not return; without outranking it, nobody would accept
    // records of this process until its clock had caught up.
    fn outrank(&mut self, incarnation: Incarnation, sequence: u64) -> MergeOutcome {
        let own_record = self.own();
        if incarnation <= own_record.incarnation {
            self.update_own(sequence.max(own_record.sequence), |_| ());
            return MergeOutcome::Refuted;
        }
        match incarnation.checked_add(1) {
            Some(next) if self.incarnation_raises < MAX_INCARNATION_RAISES => {
                log::warn!(
                    "member: {} is known with a later incarnation; raising the own one to {next}.",
                    self.own
                );
                self.incarnation_raises += 1;
                self.update_own(sequence, |record| record.incarnation = next);
                MergeOutcome::Refuted
            }
            _ => {
                log::error!("member: another process uses the daemon name {}.", self.own);
                MergeOutcome::NameConflict
            }
        }
    }

    /// Replaces the own record by a changed copy whose sequence is one above the given one.
    fn update_own(&mut self, sequence: u64, change: impl FnOnce(&mut MemberRecord)) {
        let mut record = MemberRecord::clone(self.own());
        record.sequence = sequence.saturating_add(1);
        change(&mut record);
        self.insert(record);
    }

    /// Replaces the record of a daemon and updates the digest.
    fn insert(&mut self, record: impl Into<Arc<MemberRecord>>) {
        let record = record.into();
        self.remove(&record.proxy);
        self.digest.add(&record);
        self.records.insert(record.proxy.clone(), record);
    }

    /// Removes the record of a daemon. A withheld tombstone has already left the digest.
    fn remove(&mut self, proxy: &str) {
        let is_withheld = self.tombstones.is_withheld(proxy);
        self.tombstones.remove(proxy);
        if let Some(removed) = self.records.remove(proxy).filter(|_| !is_withheld) {
            self.digest.remove(&removed);
        }
    }
}
