//! Acknowledgements of one data centre, gathered at its relays and kept in the platform.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use serde::{Serialize, de::DeserializeOwned};
use sk_model::{DataCentre, ProxyAck, ProxyId, Version};
use sk_store::{SharedStore, StoreError};
use thiserror::Error;

use crate::change::{InForceTimes, times_key};

/// Tries of one write before it is left to the next flush; each failed try means that another
/// relay wrote in between.
const MAX_TRIES: usize = 5;
/// Versions whose times are kept: thirty days of 280 changes.
const KEPT_VERSIONS: Version = 30 * 280;
/// Versions flushed at once at most, so that a data centre that was cut off for long does not
/// write all it missed in one burst.
const MAX_FLUSHED_VERSIONS: usize = 16;

type AckMap = BTreeMap<ProxyId, ProxyAck>;
type TimesByVersion = BTreeMap<(Version, DataCentre), InForceTimes>;

/// Why reports cannot be read or kept.
#[derive(Clone, Debug, Error)]
pub enum ReportError {
    /// The platform gave nothing.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// An object in the platform is not a report.
    #[error("object {key} is not a report: {reason}")]
    Corrupt {
        /// Key of the object.
        key: String,
        /// What is wrong with it.
        reason: String,
    },
    /// Other relays wrote in between, time and again.
    #[error("object {key} is contended")]
    Contended {
        /// Key of the object.
        key: String,
    },
}

#[derive(Default)]
struct PendingAcks {
    acks: BTreeMap<DataCentre, AckMap>,
    times: TimesByVersion,
}

/// Acknowledgements waiting to be kept.
///
/// Two relays of a data centre may hold the same ones: merging is idempotent, so each may write.
pub struct ReportBook {
    prefix: String,
    pending: Mutex<PendingAcks>,
}

impl ReportBook {
    /// Makes an empty book whose objects lie under `key_prefix`.
    pub fn new(key_prefix: &str) -> Self {
        Self { prefix: report_prefix(key_prefix), pending: Mutex::default() }
    }

    /// Notes acknowledgements; noting one twice changes nothing.
    pub fn note(&self, acks: Vec<ProxyAck>) {
        let mut pending = self.pending();
        for ack in acks {
            if ack.version > 0 {
                let times = pending.times.entry((ack.version, ack.data_centre.clone()));
                merge_time(times.or_default(), &ack.proxy, ack.since);
            }
            let map = pending.acks.entry(ack.data_centre.clone()).or_default();
            merge_ack(map, ack);
        }
    }

    /// Counts the data centres of which something is pending.
    pub fn pending_centres(&self) -> usize {
        self.pending().acks.len()
    }

    /// Writes what is pending to the platform: one object for each data centre, and one for each
    /// version there.
    ///
    /// # Errors
    ///
    /// Returns a [`ReportError`]; what was pending is then pending again.
    pub async fn flush(&self, store: &SharedStore) -> Result<(), ReportError> {
        let acks = std::mem::take(&mut self.pending().acks);
        let mut result = Ok(());
        for (data_centre, acks) in acks {
            if let Err(err) = self.keep_acks(store, &data_centre, &acks).await {
                // Lost acks would leave proxies "pending" for ever although they hold the version.
                self.restore_acks(acks);
                result = Err(err);
            }
        }
        for ((version, data_centre), times) in self.take_times() {
            if let Err(err) = self.keep_times(store, version, &data_centre, &times).await {
                let mut pending = self.pending();
                let held = pending.times.entry((version, data_centre)).or_default();
                times.iter().for_each(|(proxy, since)| merge_time(held, proxy, *since));
                result = Err(err);
            }
        }
        result
    }

    fn pending(&self) -> MutexGuard<'_, PendingAcks> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn restore_acks(&self, acks: AckMap) {
        let mut pending = self.pending();
        for ack in acks.into_values() {
            merge_ack(pending.acks.entry(ack.data_centre.clone()).or_default(), ack);
        }
    }

    /// Takes the newest versions' times; what an outage left beyond the bound goes next time.
    fn take_times(&self) -> TimesByVersion {
        let mut pending = self.pending();
        let skipped = pending.times.len().saturating_sub(MAX_FLUSHED_VERSIONS);
        let first = pending.times.keys().nth(skipped).cloned();
        first.map(|first| pending.times.split_off(&first)).unwrap_or_default()
    }

    async fn keep_acks(
        &self,
        store: &SharedStore,
        data_centre: &DataCentre,
        acks: &AckMap,
    ) -> Result<(), ReportError> {
        let key = format!("{}proxies/{data_centre}", self.prefix);
        let merge = |map: &mut AckMap| {
            acks.values().for_each(|ack| merge_ack(map, ack.clone()));
        };
        update_object(store, &key, merge).await.map(drop)
    }

    async fn keep_times(
        &self,
        store: &SharedStore,
        version: Version,
        data_centre: &DataCentre,
        times: &InForceTimes,
    ) -> Result<(), ReportError> {
        let key = times_key(&self.prefix, version, data_centre);
        let merge = |held: &mut InForceTimes| {
            times.iter().for_each(|(proxy, since)| merge_time(held, proxy, *since));
        };
        let is_new = update_object(store, &key, merge).await?;
        match version.checked_sub(KEPT_VERSIONS).filter(|_| is_new) {
            Some(old) => forget(store, &times_key(&self.prefix, old, data_centre)).await,
            None => Ok(()),
        }
    }
}

/// Merges into an object under a condition on its revision, and tells whether it was created.
async fn update_object<T: Default + Clone + PartialEq + Serialize + DeserializeOwned>(
    store: &SharedStore,
    key: &str,
    merge: impl Fn(&mut T),
) -> Result<bool, ReportError> {
    for _ in 0..MAX_TRIES {
        let object = store.get(key).await?;
        let held: T = match &object {
            Some(object) => parse(key, &object.value)?,
            None => T::default(),
        };
        let mut merged = held.clone();
        merge(&mut merged);
        if merged == held {
            return Ok(false);
        }
        let value = serde_json::to_string(&merged).map_err(|err| corrupt(key, &err))?;
        let written = match &object {
            Some(object) => store.replace(key, object.revision, value).await,
            None => store.create(key, value).await,
        };
        match written {
            Ok(_) => return Ok(object.is_none()),
            // A lost answer needs no care of its own: merging the same again is harmless.
            Err(StoreError::Conflict { .. } | StoreError::Unknown { .. }) => (),
            Err(err) => return Err(err.into()),
        }
    }
    Err(ReportError::Contended { key: key.to_owned() })
}

async fn forget(store: &SharedStore, key: &str) -> Result<(), ReportError> {
    let Some(object) = store.get(key).await? else { return Ok(()) };
    match store.delete(key, object.revision).await {
        // Another relay was quicker.
        Ok(()) | Err(StoreError::Conflict { .. }) => Ok(()),
        Err(err) => Err(err.into()),
    }
}

/// Reads all acknowledgements kept in the platform.
///
/// # Errors
///
/// Returns a [`ReportError`] when the platform is away or an object is not a report.
pub async fn read_acks(store: &SharedStore, key_prefix: &str) -> Result<AckMap, ReportError> {
    let mut acks = AckMap::new();
    for object in store.list(&format!("{}proxies/", report_prefix(key_prefix))).await? {
        for ack in parse::<AckMap>(&object.key, &object.value)?.into_values() {
            merge_ack(&mut acks, ack);
        }
    }
    Ok(acks)
}

/// Reads when each proxy put a version in force.
///
/// # Errors
///
/// Returns a [`ReportError`] when the platform is away or an object is not a report.
pub async fn read_times(
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

/// Keeps the greater of two acks of one proxy. A later process may hold nothing yet, and saying
/// that its predecessor's version is in force would be untrue.
fn merge_ack(acks: &mut AckMap, ack: ProxyAck) {
    let rank = |ack: &ProxyAck| {
        (ack.incarnation, ack.version, ack.rejected.as_ref().map(|rejected| rejected.version))
    };
    let is_newer = acks.get(&ack.proxy).is_none_or(|held| rank(held) < rank(&ack));
    if is_newer {
        acks.insert(ack.proxy.clone(), ack);
    }
}

/// Keeps the first time: a process that restarts comes by the same version once more.
fn merge_time(times: &mut InForceTimes, proxy: &ProxyId, since: u64) {
    let held = times.entry(proxy.clone()).or_insert(since);
    *held = (*held).min(since);
}

fn parse<T: DeserializeOwned>(key: &str, value: &str) -> Result<T, ReportError> {
    serde_json::from_str(value).map_err(|err| corrupt(key, &err))
}

fn corrupt(key: &str, err: &serde_json::Error) -> ReportError {
    ReportError::Corrupt { key: key.to_owned(), reason: err.to_string() }
}
