//! The table shared by the parts of one daemon.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
};

use sk_model::ProxyId;
use tokio::sync::watch;

use crate::{MemberMarks, MemberRecord, MemberTable};

/// Records at one moment, cheap to share.
pub type MemberView = Arc<BTreeMap<ProxyId, Arc<MemberRecord>>>;

/// The member table behind a lock, with a view that readers can wait on.
///
/// Only control traffic takes the lock; the request path reads a table built from the view.
pub struct MemberBoard {
    table: Mutex<MemberTable>,
    marks: Mutex<MemberMarks>,
    view: watch::Sender<MemberView>,
}

impl MemberBoard {
    /// Makes a board that knows only its own daemon.
    pub fn new(record: MemberRecord) -> Self {
        let table = MemberTable::new(record);
        let view = watch::Sender::new(Arc::new(table.records().clone()));
        Self { table: Mutex::new(table), marks: Mutex::default(), view }
    }

    /// Applies a change to the table and publishes the view where `is_changed` says so.
    pub fn update<T>(
        &self,
        change: impl FnOnce(&mut MemberTable) -> T,
        is_changed: impl FnOnce(&T) -> bool,
    ) -> T {
        let mut table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        let outcome = change(&mut table);
        if is_changed(&outcome) {
            // Sent under the lock, so that views are published in the order of the changes.
            self.view.send_replace(Arc::new(table.records().clone()));
        }
        outcome
    }

    /// Sets what this daemon alone believes of others, and wakes those who wait on the view.
    pub fn set_marks(&self, marks: MemberMarks) {
        *self.marks.lock().unwrap_or_else(PoisonError::into_inner) = marks;
        // The records are the same: nothing is published but the wish to look again.
        self.view.send_modify(|_| ());
    }

    /// Gives what this daemon alone believes of others.
    pub fn marks(&self) -> MemberMarks {
        self.marks.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Gives the records as of now.
    pub fn view(&self) -> MemberView {
        self.view.borrow().clone()
    }

    /// Gives a receiver that wakes on each change of the view.
    pub fn subscribe(&self) -> watch::Receiver<MemberView> {
        self.view.subscribe()
    }

    /// Gives this daemon's own record.
    pub fn own(&self) -> Arc<MemberRecord> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner).own().clone()
    }
}
