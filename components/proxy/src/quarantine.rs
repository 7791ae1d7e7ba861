//! Quarantine of requests that crash servers, shared by all daemons. Without it, a caller that
//! repeats such a request would crash one server after the other.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use sk_decide::quarantine::{
    CrashReport, Fingerprint, QuarantineSettings, QuarantineTable, QuarantineVerdict, SuspectRecord,
};
use sk_model::unix_time;

use crate::{
    clock::stable_hash,
    gate::InFlightRequest,
    local::{GuardedServer, LocalServerList},
};

/// Time after the first broken connection in which the other connections of a dead server break
/// too. They are on the same instance, so it takes well under a millisecond; the rest allows for a
/// busy machine.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(20);
/// Number of broken connections that, if none is left open, prove a server's end even if another
/// process already accepts in its place.
const MIN_CRASH_BREAKS: usize = 2;

/// Suspect and quarantined requests of the whole fleet, as far as this daemon knows.
pub struct SharedQuarantine {
    table: Mutex<QuarantineTable>,
    /// Whether there is any record, so that the usual request takes no lock.
    has_records: AtomicBool,
    /// Counts changes, so that a sender knows when there are new records.
    revision: AtomicU64,
}

impl Default for SharedQuarantine {
    fn default() -> Self {
        Self::new(QuarantineSettings::default())
    }
}

impl SharedQuarantine {
    /// Creates an empty table.
    pub fn new(settings: QuarantineSettings) -> Self {
        Self {
            table: Mutex::new(QuarantineTable::new(settings)),
            has_records: AtomicBool::new(false),
            revision: AtomicU64::new(0),
        }
    }

    /// Returns all records, for other daemons and for a dump.
    pub fn records(&self) -> Vec<SuspectRecord> {
        self.lock().export()
    }

    /// Returns the records that changed since the last call, to be sent to other daemons.
    pub fn take_changed(&self) -> Vec<SuspectRecord> {
        self.lock().take_changed()
    }

    /// Merges the records of another daemon, in any order and any number of times.
    pub fn merge(&self, records: &[SuspectRecord]) {
        self.change(|table| table.merge(records));
    }

    /// Returns a number that grows with each change, also by [`SharedQuarantine::merge`].
    pub fn revision(&self) -> u64 {
        self.revision.load(Ordering::Acquire)
    }

    /// Returns the number of requests recorded.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Returns whether no request is recorded.
    pub fn is_empty(&self) -> bool {
        !self.has_records.load(Ordering::Acquire)
    }

    /// Decides how a request may run.
    pub(crate) fn classify(&self, fingerprint: Fingerprint) -> QuarantineVerdict {
        match self.is_empty() {
            true => QuarantineVerdict::Clear,
            false => self.lock().classify(fingerprint, unix_time()),
        }
    }

    /// Records that a request ran to its end. Skipped while another thread has the table: a missed
    /// success costs a suspect one more trial, while waiting would delay every request.
    pub(crate) fn record_success(&self, fingerprint: Fingerprint) {
        if let Ok(mut table) = self.table.try_lock() {
            table.record_success(fingerprint, unix_time());
        }
    }

    /// Records a server's crash with the requests that it was running.
    pub(crate) fn record_crash(&self, server: &str, requests: &[InFlightRequest]) {
        let in_flight: Vec<Fingerprint> =
            requests.iter().map(|request| request.fingerprint).collect();
        let report = CrashReport {
            crash_id: stable_hash(&[server.as_bytes()]),
            at: unix_time(),
            in_flight: &in_flight,
            is_trial: requests.iter().all(|request| request.is_trial),
        };
        self.change(|table| table.record_crash(&report));
    }

    /// Applies a change to the table and updates the revision.
    fn change(&self, change: impl FnOnce(&mut QuarantineTable)) {
        let mut table = self.lock();
        table.expire(unix_time());
        change(&mut table);
        self.has_records.store(!table.is_empty(), Ordering::Release);
        self.revision.fetch_add(1, Ordering::AcqRel);
    }

    fn lock(&self) -> MutexGuard<'_, QuarantineTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Checks in the background, after a connection to a server broke or was refused, whether the
/// server died, and if so records the requests it was running as suspects.
///
/// One broken connection alone may be the server's own choice, for example when a handler fails. A
/// server that died accepts no connection, and all its connections break at once.
pub(crate) fn check_for_crash(
    quarantine: Arc<SharedQuarantine>,
    servers: Arc<LocalServerList>,
    server: Arc<GuardedServer>,
) {
    if server.is_retired() || !server.begin_crash_check() {
        return;
    }
    tokio::spawn(async move {
        tokio::time::sleep(CRASH_CHECK_DELAY).await;
        let all_broke =
            server.gate.broken_count() >= MIN_CRASH_BREAKS && server.pool.open_count() == 0;
        if all_broke || !server.pool.is_accepting().await {
            let in_flight = server.gate.take_in_flight();
            log::warn!(
                "guard: server {} crashed while running {} requests; they are suspects now.",
                server.id,
                in_flight.len()
            );
            quarantine.record_crash(&server.id, &in_flight);
            servers.remove(&server.id);
        } else {
            server.gate.forget_broken();
        }
        server.end_crash_check();
    });
}
