//! The member table as shared by the tasks of one daemon.
//!
//! Control tasks change the table under a lock. Other tasks read immutable snapshots of it, so that
//! requests never wait for control traffic.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
};

use sk_model::ProxyId;
use tokio::sync::watch;

use crate::{FleetKnowledge, FleetRoster, MemberRecord, MemberTable, ReachabilityMarks};

/// Snapshot of the records, by daemon name; cheap to clone.
pub type MemberSnapshot = Arc<BTreeMap<ProxyId, Arc<MemberRecord>>>;

/// The member table behind a lock, with a snapshot whose changes readers can await.
///
/// Only control traffic takes the lock; the request path reads a table built from the snapshot.
pub struct SharedMembers {
    table: Mutex<MemberTable>,
    marks: Mutex<ReachabilityMarks>,
    /// `None` until it has been read.
    roster: Mutex<Option<Arc<FleetRoster>>>,
    /// The last assessment of the fleet.
    assessed: Mutex<Option<Arc<FleetKnowledge>>>,
    snapshot: watch::Sender<MemberSnapshot>,
}

impl SharedMembers {
    /// Creates the table with the record of its own daemon only.
    pub fn new(record: MemberRecord) -> Self {
        let table = MemberTable::new(record);
        let snapshot = watch::Sender::new(Arc::new(table.records().clone()));
        Self {
            table: Mutex::new(table),
            marks: Mutex::default(),
            roster: Mutex::default(),
            assessed: Mutex::default(),
            snapshot,
        }
    }

    /// Applies a change to the table, and publishes a new snapshot if `is_changed` returns true.
    pub fn update<T>(
        &self,
        change: impl FnOnce(&mut MemberTable) -> T,
        is_changed: impl FnOnce(&T) -> bool,
    ) -> T {
        let mut table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        let outcome = change(&mut table);
        if is_changed(&outcome) {
            // Published under the lock, so that snapshots appear in the order of the changes.
            self.snapshot.send_replace(Arc::new(table.records().clone()));
        }
        outcome
    }

    /// Sets the reachability marks of this daemon, and wakes the subscribers.
    pub fn set_marks(&self, marks: ReachabilityMarks) {
        *self.marks.lock().unwrap_or_else(PoisonError::into_inner) = marks;
        // The records are unchanged, but subscribers have to read the marks again.
        self.snapshot.send_modify(|_| ());
    }

    /// Returns the reachability marks of this daemon.
    pub fn marks(&self) -> ReachabilityMarks {
        self.marks.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Sets the names of the daemons that the platform's store has, and wakes the subscribers.
    pub fn set_roster(&self, roster: FleetRoster) {
        let mut held = self.roster.lock().unwrap_or_else(PoisonError::into_inner);
        if held.as_deref() == Some(&roster) {
            return;
        }
        *held = Some(Arc::new(roster));
        drop(held);
        self.snapshot.send_modify(|_| ());
    }

    /// Returns which daemons the fleet has and which of them this one reaches.
    pub fn fleet(&self) -> Arc<FleetKnowledge> {
        let (members, marks) = (self.snapshot(), self.marks());
        let roster = self.roster.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let mut assessed = self.assessed.lock().unwrap_or_else(PoisonError::into_inner);
        match &*assessed {
            Some(known) if known.is_of(&members, &marks, roster.as_ref()) => known.clone(),
            _ => {
                let own = self.own();
                let knowledge =
                    FleetKnowledge::assess(&own.proxy, &members, &marks, roster.as_ref());
                assessed.insert(Arc::new(knowledge)).clone()
            }
        }
    }

    /// Returns the current snapshot of the records.
    pub fn snapshot(&self) -> MemberSnapshot {
        self.snapshot.borrow().clone()
    }

    /// Returns a receiver that is notified of each new snapshot and of each change of the marks.
    pub fn subscribe(&self) -> watch::Receiver<MemberSnapshot> {
        self.snapshot.subscribe()
    }

    /// Returns the record of this daemon.
    pub fn own(&self) -> Arc<MemberRecord> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner).own().clone()
    }
}
