//! Acknowledgements of one data centre, gathered at its relays and kept in the platform.

use std::{
    collections::BTreeMap,
    sync::{Mutex, PoisonError},
};

use sk_model::{DataCentre, ProxyAck, ProxyId};
use sk_store::{SharedStore, StoreError};
use thiserror::Error;

/// Tries of one flush before it is left to the next; each failed try means that another relay
/// wrote in between.
const MAX_TRIES: usize = 5;

type AckMap = BTreeMap<ProxyId, ProxyAck>;

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
    #[error("report of {0} is contended")]
    Contended(DataCentre),
}

/// Acknowledgements waiting to be kept.
///
/// Two relays of a data centre may hold the same ones: merging is idempotent, so each may write.
pub struct ReportBook {
    prefix: String,
    pending: Mutex<AckMap>,
}

impl ReportBook {
    /// Makes an empty book whose objects lie under `key_prefix`.
    pub fn new(key_prefix: &str) -> Self {
        Self { prefix: format!("{key_prefix}reports/"), pending: Mutex::default() }
    }

    /// Notes acknowledgements; noting one twice changes nothing.
    pub fn note(&self, acks: Vec<ProxyAck>) {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        for ack in acks {
            merge_ack(&mut pending, ack);
        }
    }

    /// Writes what is pending to the platform, one object per data centre.
    ///
    /// # Errors
    ///
    /// Returns a [`ReportError`]; what was pending is then pending again.
    pub async fn flush(&self, store: &SharedStore) -> Result<(), ReportError> {
        let taken =
            std::mem::take(&mut *self.pending.lock().unwrap_or_else(PoisonError::into_inner));
        let mut groups: BTreeMap<DataCentre, Vec<ProxyAck>> = BTreeMap::new();
        for ack in taken.into_values() {
            groups.entry(ack.data_centre.clone()).or_default().push(ack);
        }
        let mut result = Ok(());
        for (data_centre, acks) in groups {
            if let Err(err) = self.keep(store, &data_centre, &acks).await {
                // Lost acks would leave proxies "pending" for ever although they hold the version.
                self.note(acks);
                result = Err(err);
            }
        }
        result
    }

    async fn keep(
        &self,
        store: &SharedStore,
        data_centre: &DataCentre,
        acks: &[ProxyAck],
    ) -> Result<(), ReportError> {
        let key = format!("{}{data_centre}", self.prefix);
        for _ in 0..MAX_TRIES {
            let object = store.get(&key).await?;
            let mut map = match &object {
                Some(object) => parse_acks(&key, &object.value)?,
                None => AckMap::new(),
            };
            let before = map.clone();
            acks.iter().for_each(|ack| merge_ack(&mut map, ack.clone()));
            if map == before {
                return Ok(());
            }
            let value = serde_json::to_string(&map).map_err(|err| corrupt(&key, &err))?;
            let written = match object {
                Some(object) => store.replace(&key, object.revision, value).await,
                None => store.create(&key, value).await,
            };
            match written {
                Ok(_) => return Ok(()),
                // A lost answer needs no care of its own: merging the same again is harmless.
                Err(StoreError::Conflict { .. } | StoreError::Unknown { .. }) => (),
                Err(err) => return Err(err.into()),
            }
        }
        Err(ReportError::Contended(data_centre.clone()))
    }
}

/// Reads all acknowledgements kept in the platform.
///
/// # Errors
///
/// Returns a [`ReportError`] when the platform is away or an object is not a report.
pub async fn read_acks(
    store: &SharedStore,
    key_prefix: &str,
) -> Result<BTreeMap<ProxyId, ProxyAck>, ReportError> {
    let mut acks = AckMap::new();
    for object in store.list(&format!("{key_prefix}reports/")).await? {
        for ack in parse_acks(&object.key, &object.value)?.into_values() {
            merge_ack(&mut acks, ack);
        }
    }
    Ok(acks)
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

fn parse_acks(key: &str, value: &str) -> Result<AckMap, ReportError> {
    serde_json::from_str(value).map_err(|err| corrupt(key, &err))
}

fn corrupt(key: &str, err: &serde_json::Error) -> ReportError {
    ReportError::Corrupt { key: key.to_owned(), reason: err.to_string() }
}
