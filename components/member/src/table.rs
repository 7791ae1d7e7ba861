//! What one daemon believes of all others.

use std::{cmp::Ordering, collections::BTreeMap, sync::Arc};

use sk_model::ProxyId;

use crate::{EndpointRecord, MemberRecord, MemberStatus};

/// What merging one record did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The record was newer and now holds.
    Newer,
    /// The record was already known.
    Known,
    /// A newer record is known, which the sender should learn.
    Older,
    /// The record spoke ill of this daemon, which answered with a greater sequence.
    Refuted,
}

/// All records, by daemon.
#[derive(Clone, Debug)]
pub struct MemberTable {
    own: ProxyId,
    records: BTreeMap<ProxyId, Arc<MemberRecord>>,
}

impl MemberTable {
    /// Makes a table that knows only its own daemon.
    pub fn new(record: MemberRecord) -> Self {
        let own = record.proxy.clone();
        Self { own: own.clone(), records: BTreeMap::from([(own, Arc::new(record))]) }
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

    /// Merges a record from a peer. Merging is idempotent and the order does not matter.
    pub fn merge(&mut self, record: MemberRecord) -> MergeOutcome {
        if record.proxy == self.own {
            return self.merge_own(&record);
        }
        let rank = |held: &Arc<MemberRecord>| record.rank().cmp(&held.rank());
        match self.records.get(&record.proxy).map(rank) {
            Some(Ordering::Equal) => MergeOutcome::Known,
            Some(Ordering::Less) => MergeOutcome::Older,
            Some(Ordering::Greater) | None => {
                self.records.insert(record.proxy.clone(), Arc::new(record));
                MergeOutcome::Newer
            }
        }
    }

    // A daemon that was paused may find itself declared gone. Its callers would then be refused
    // for as long as the others believe it; a greater sequence of its own ends that.
    fn merge_own(&mut self, record: &MemberRecord) -> MergeOutcome {
        let held = self.own();
        if record.rank() <= held.rank() {
            return MergeOutcome::Known;
        }
        // A greater incarnation is another process with this name; both settings cannot be right.
        if record.incarnation > held.incarnation {
            log_clash(record);
            return MergeOutcome::Older;
        }
        let sequence = record.sequence.max(held.sequence);
        self.raise(sequence, |_| ());
        MergeOutcome::Refuted
    }

    /// Replaces the backend servers beside this daemon and tells whether that changed anything.
    pub fn set_endpoints(&mut self, endpoints: Vec<EndpointRecord>) -> bool {
        if self.own().endpoints == endpoints {
            return false;
        }
        let sequence = self.own().sequence;
        self.raise(sequence, |record| record.endpoints = endpoints);
        true
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

    fn raise(&mut self, sequence: u64, change: impl FnOnce(&mut MemberRecord)) {
        let mut record = MemberRecord::clone(self.own());
        record.sequence = sequence + 1;
        change(&mut record);
        self.records.insert(self.own.clone(), Arc::new(record));
    }
}

fn log_clash(record: &MemberRecord) {
    log::error!("member: another process uses the name {}.", record.proxy);
}
