//! Acknowledgements of a data centre, gathered by its relays and stored in the platform.
//!
//! Several relays may write the same acknowledgements. Merging is idempotent and every write is
//! conditional on the revision, so no acknowledgement is lost or reverted.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use serde::{Serialize, de::DeserializeOwned};
use sk_model::{DataCentre, ProxyAck, ProxyId, Version};
use sk_store::{SharedStore, StoreError};
use thiserror::Error;

use crate::change::{InForceTimes, times_key};

/// Largest number of tries of one write before it is left to the next flush; each failed try means
/// that another relay wrote in between.
const MAX_WRITE_TRIES: usize = 5;
/// Number of versions whose times are kept: thirty days with 280 changes each.
const KEPT_VERSIONS: Version = 30 * 280;
/// Largest number of versions written in one flush, so that a data centre that was cut off for
/// long does not write everything it missed in one burst.
const MAX_FLUSHED_VERSIONS: usize = 16;
/// Age of a copy that the store may come back from, several times that of the users' platform.
const MAX_COPY_AGE: Duration = Duration::from_secs(60);

/// Acknowledgements by proxy.
type AckMap = BTreeMap<ProxyId, ProxyAck>;
/// Times at which proxies put a version in force, by version and data centre.
type TimesByVersion = BTreeMap<(Version, DataCentre), InForceTimes>;

/// Reason why reports cannot be read or stored.
#[derive(Clone, Debug, Error)]
pub enum ReportError {
    /// The platform failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// An object in the platform is not a report.
    #[error("object {key} is not a report: {reason}")]
    Corrupt {
        /// Key of the object.
        key: String,
        /// Error of the decoder or encoder.
        reason: String,
    },
    /// Other relays wrote the object before each try.
    #[error("object {key} was changed by other relays before each try")]
    Contended {
        /// Key of the object.
        key: String,
    },
}

/// Acknowledgements and times that are not stored yet.
#[derive(Default)]
struct PendingAcks {
    acks: BTreeMap<DataCentre, AckMap>,
    times: TimesByVersion,
}

/// Data that was stored lately, in the order of writing.
#[derive(Default)]
struct WrittenData {
    /// [`ObjectStore::restore_count`](sk_store::ObjectStore::restore_count) at the last flush.
    restore_count: u64,
    acks: VecDeque<(Instant, ProxyAck)>,
    times: VecDeque<(Instant, (Version, DataCentre), InForceTimes)>,
}

/// Acknowledgements that wait to be stored.
///
/// Two relays of a data centre may have the same acknowledgements. Merging is idempotent, so each
/// of them may write.
pub struct AckBuffer {
    prefix: String,
    pending: Mutex<PendingAcks>,
    written: Mutex<WrittenData>,
}

impl AckBuffer {
    /// Creates an empty buffer whose objects are stored under `key_prefix`.
    pub fn new(key_prefix: &str) -> Self {
        Self {
            prefix: report_prefix(key_prefix),
            pending: Mutex::default(),
            written: Mutex::default(),
        }
    }

    /// Adds acknowledgements; adding one twice has no effect.
    pub fn add(&self, acks: Vec<ProxyAck>) {
        let mut pending = self.pending();
        for ack in acks {
            if ack.version > 0 {
                let times = pending.times.entry((ack.version, ack.data_centre.clone()));
                merge_time(times.or_default(), &ack.proxy, ack.since);
            }
            let centre_acks = pending.acks.entry(ack.data_centre.clone()).or_default();
            merge_ack(centre_acks, ack);
        }
    }

    /// Returns the number of data centres with pending acknowledgements.
    pub fn pending_data_centres(&self) -> usize {
        self.pending().acks.len()
    }

    /// Writes the pending data to the platform: one object for each data centre, and one for each
    /// version there. If the platform has come back from an older copy, what was written shortly
    /// before is written again.
    ///
    /// # Errors
    ///
    /// Returns a [`ReportError`]; the data that was not written is pending again.
    pub async fn flush(&self, store: &SharedStore) -> Result<(), ReportError> {
        self.restore_written(store.restore_count());
        let acks = std::mem::take(&mut self.pending().acks);
        let mut result = Ok(());
        for (data_centre, acks) in acks {
            match self.write_acks(store, &data_centre, &acks).await {
                Ok(()) => self.written().record_acks(acks),
                Err(err) => {
                    // Lost acknowledgements would leave proxies "pending" for ever although they
                    // have the version.
                    self.restore_acks(acks.into_values());
                    result = Err(err);
                }
            }
        }
        for ((version, data_centre), times) in self.take_times() {
            match self.write_times(store, version, &data_centre, &times).await {
                Ok(()) => self.written().record_times((version, data_centre), times),
                Err(err) => {
                    self.restore_times((version, data_centre), &times);
                    result = Err(err);
                }
            }
        }
        result
    }

    fn pending(&self) -> MutexGuard<'_, PendingAcks> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn written(&self) -> MutexGuard<'_, WrittenData> {
        self.written.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes what was written lately pending again, if the store has lost what it acknowledged.
    fn restore_written(&self, restore_count: u64) {
        let (acks, times) = {
            let mut written = self.written();
            if written.restore_count == restore_count {
                return;
            }
            written.restore_count = restore_count;
            written.forget_old(Instant::now());
            (std::mem::take(&mut written.acks), std::mem::take(&mut written.times))
        };
        log::info!(
            acks = acks.len(), versions = times.len();
            "report: the store has come back from an older copy; writing the last reports again."
        );
        self.restore_acks(acks.into_iter().map(|(_, ack)| ack));
        times.iter().for_each(|(_, key, times)| self.restore_times(key.clone(), times));
    }

    /// Makes acknowledgements pending again.
    fn restore_acks(&self, acks: impl Iterator<Item = ProxyAck>) {
        let mut pending = self.pending();
        for ack in acks {
            merge_ack(pending.acks.entry(ack.data_centre.clone()).or_default(), ack);
        }
    }

    /// Makes the times of a version in a data centre pending again.
    fn restore_times(&self, key: (Version, DataCentre), times: &InForceTimes) {
        let mut pending = self.pending();
        let pending_times = pending.times.entry(key).or_default();
        times.iter().for_each(|(proxy, since)| merge_time(pending_times, proxy, *since));
    }

    /// Removes and returns the times of the newest versions. Those beyond the bound, as after an
    /// outage, are left to the next flush.
    fn take_times(&self) -> TimesByVersion {
        let mut pending = self.pending();
        let skipped = pending.times.len().saturating_sub(MAX_FLUSHED_VERSIONS);
        let first = pending.times.keys().nth(skipped).cloned();
        first.map(|first| pending.times.split_off(&first)).unwrap_or_default()
    }

    /// Merges acknowledgements into the object of a data centre.
    async fn write_acks(
        &self,
        store: &SharedStore,
        data_centre: &DataCentre,
        acks: &AckMap,
    ) -> Result<(), ReportError> {
        let key = format!("{}proxies/{data_centre}", self.prefix);
        let merge = |centre_acks: &mut AckMap| {
            acks.values().for_each(|ack| merge_ack(centre_acks, ack.clone()));
        };
        update_object(store, &key, merge).await.map(drop)
    }

    /// Merges times into the object of a version in a data centre. The first write of a version
    /// deletes the object that leaves the retention.
    async fn write_times(
        &self,
        store: &SharedStore,
        version: Version,
        data_centre: &DataCentre,
        times: &InForceTimes,
    ) -> Result<(), ReportError> {
        let key = times_key(&self.prefix, version, data_centre);
        let merge = |stored: &mut InForceTimes| {
            times.iter().for_each(|(proxy, since)| merge_time(stored, proxy, *since));
        };
        let is_new = update_object(store, &key, merge).await?;
        match version.checked_sub(KEPT_VERSIONS).filter(|_| is_new) {
            Some(old) => delete_object(store, &times_key(&self.prefix, old, data_centre)).await,
            None => Ok(()),
        }
    }
}

impl WrittenData {
    fn record_acks(&mut self, acks: AckMap) {
        let now = Instant::now();
        self.forget_old(now);
        self.acks.extend(acks.into_values().map(|ack| (now, ack)));
    }

    fn record_times(&mut self, key: (Version, DataCentre), times: InForceTimes) {
        let now = Instant::now();
        self.forget_old(now);
        self.times.push_back((now, key, times));
    }

    /// Forgets what no copy of the store can lack any more.
    fn forget_old(&mut self, now: Instant) {
        let is_old = |at: &Instant| now.saturating_duration_since(*at) > MAX_COPY_AGE;
        while self.acks.front().is_some_and(|(at, _)| is_old(at)) {
            self.acks.pop_front();
        }
        while self.times.front().is_some_and(|(at, ..)| is_old(at)) {
            self.times.pop_front();
        }
    }
}

/// Merges data into an object under a condition on its revision, and returns whether the object
/// was created.
async fn update_object<T: Default + Clone + PartialEq + Serialize + DeserializeOwned>(
    store: &SharedStore,
    key: &str,
    merge: impl Fn(&mut T),
) -> Result<bool, ReportError> {
    for _ in 0..MAX_WRITE_TRIES {
        let object = store.get(key).await?;
        let stored: T = match &object {
            Some(object) => parse(key, &object.value)?,
            None => T::default(),
        };
        let mut merged = stored.clone();
        merge(&mut merged);
        if merged == stored {
            return Ok(false);
        }
        let value = serde_json::to_string(&merged).map_err(|err| corrupt_object(key, &err))?;
        let written = match &object {
            Some(object) => store.replace(key, object.revision, value).await,
            None => store.create(key, value).await,
        };
        match written {
            Ok(_) => return Ok(object.is_none()),
            // A lost answer needs no handling of its own: merging the same data again is harmless.
            Err(StoreError::Conflict { .. } | StoreError::Unknown { .. }) => (),
            Err(err) => return Err(err.into()),
        }
    }
    Err(ReportError::Contended { key: key.to_owned() })
}

async fn delete_object(store: &SharedStore, key: &str) -> Result<(), ReportError> {
    let Some(object) = store.get(key).await? else { return Ok(()) };
    match store.delete(key, object.revision).await {
        // Another relay has deleted it already.
        Ok(()) | Err(StoreError::Conflict { .. }) => Ok(()),
        Err(err) => Err(err.into()),
    }
}

/// Returns all acknowledgements stored in the platform.
///
/// # Errors
///
/// Returns a [`ReportError`] if the platform is unavailable or an object is not a report.
pub async fn read_acks(store: &SharedStore, key_prefix: &str) -> Result<AckMap, ReportError> {
    let mut acks = AckMap::new();
    for object in store.list(&format!("{}proxies/", report_prefix(key_prefix))).await? {
        for ack in parse::<AckMap>(&object.key, &object.value)?.into_values() {
            merge_ack(&mut acks, ack);
        }
    }
    Ok(acks)
}

/// Returns the time at which each proxy put a version in force.
///
/// # Errors
///
/// Returns a [`ReportError`] if the platform is unavailable or an object is not a report.
pub async fn read_in_force_times(
    store: &SharedStore,
    key_prefix: &str,
    version: Version,
) -> Result<InForceTimes, ReportError> {
    let mut times = InForceTimes::new();
    for object in store.list(&times_key(&report_prefix(key_prefix), version, "")).await? {
        for (proxy, since) in parse::<InForceTimes>(&object.key, &object.value)? {
            merge_time(&mut times, &proxy, since);
        }
    }
    Ok(times)
}

fn report_prefix(key_prefix: &str) -> String {
    format!("{key_prefix}reports/")
}

/// Keeps the greater of two acknowledgements of one proxy. A later process may have no version
/// yet, and reporting the version of its predecessor as in force would be wrong.
fn merge_ack(acks: &mut AckMap, ack: ProxyAck) {
    let rank = |ack: &ProxyAck| {
        (ack.incarnation, ack.version, ack.rejected.as_ref().map(|rejected| rejected.version))
    };
    let is_newer = acks.get(&ack.proxy).is_none_or(|stored| rank(stored) < rank(&ack));
    if is_newer {
        acks.insert(ack.proxy.clone(), ack);
    }
}

/// Keeps the earliest time: a restarted process puts the same version in force once more.
fn merge_time(times: &mut InForceTimes, proxy: &ProxyId, since: u64) {
    let earliest = times.entry(proxy.clone()).or_insert(since);
    *earliest = (*earliest).min(since);
}

fn parse<T: DeserializeOwned>(key: &str, value: &str) -> Result<T, ReportError> {
    serde_json::from_str(value).map_err(|err| corrupt_object(key, &err))
}

fn corrupt_object(key: &str, err: &serde_json::Error) -> ReportError {
    ReportError::Corrupt { key: key.to_owned(), reason: err.to_string() }
}
