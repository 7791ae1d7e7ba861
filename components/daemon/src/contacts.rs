//! Lists stored in the platform, one object per data centre: the contacts and the roster.
//!
//! A contact is the control address of a daemon, by which a daemon that starts without any other
//! address finds the fleet. The roster names all daemons.

use std::{collections::BTreeMap, marker::PhantomData, net::SocketAddr};

use async_trait::async_trait;
use serde::{Serialize, de::DeserializeOwned};
use sk_model::{DataCentre, ProxyId};
use sk_spread::{ContactMap, ContactStore, RosterMap, RosterStore, SourceError};
use sk_store::{SharedStore, StoreError, StoredObject};

/// Lists of the data centres, kept in the platform.
pub(crate) struct CentreLists<T> {
    store: SharedStore,
    prefix: String,
    item: PhantomData<fn() -> T>,
}

impl<T: Serialize + DeserializeOwned + PartialEq> CentreLists<T> {
    /// Creates the store of the lists under `name`.
    pub(crate) fn new(store: SharedStore, key_prefix: &str, name: &str) -> Self {
        Self { store, prefix: format!("{key_prefix}{name}/"), item: PhantomData }
    }

    async fn read_all(&self) -> Result<BTreeMap<DataCentre, Vec<T>>, SourceError> {
        let objects =
            self.store.list(&self.prefix).await.map_err(|err| store_to_source_error(&err))?;
        let entry = |object: &StoredObject| {
            let data_centre = object.key.strip_prefix(&self.prefix)?.to_owned();
            Some((data_centre, parse_list(object)?))
        };
        Ok(objects.iter().filter_map(entry).collect())
    }

    async fn replace(
        &self,
        data_centre: &str,
        seen: Option<&[T]>,
        list: &[T],
    ) -> Result<(), SourceError> {
        let key = format!("{}{data_centre}", self.prefix);
        let value =
            serde_json::to_string(list).map_err(|err| SourceError { reason: err.to_string() })?;
        let object = self.store.get(&key).await.map_err(|err| store_to_source_error(&err))?;
        let found: Option<Vec<T>> = object.as_ref().and_then(parse_list);
        let written = match object {
            // Another relay wrote in the meantime; overwriting would hide its entries.
            Some(_) if found.is_some() && found.as_deref() != seen => {
                return Err(SourceError { reason: format!("object {key} has changed") });
            }
            Some(object) => self.store.replace(&key, object.revision, value).await,
            None => self.store.create(&key, value).await,
        };
        written.map(drop).map_err(|err| store_to_source_error(&err))
    }
}

#[async_trait]
impl ContactStore for CentreLists<SocketAddr> {
    async fn read(&self) -> Result<ContactMap, SourceError> {
        self.read_all().await
    }

    async fn write(
        &self,
        data_centre: &str,
        seen: Option<&[SocketAddr]>,
        addresses: &[SocketAddr],
    ) -> Result<(), SourceError> {
        self.replace(data_centre, seen, addresses).await
    }
}

#[async_trait]
impl RosterStore for CentreLists<ProxyId> {
    async fn read(&self) -> Result<RosterMap, SourceError> {
        self.read_all().await
    }

    async fn write(
        &self,
        data_centre: &str,
        seen: Option<&[ProxyId]>,
        names: &[ProxyId],
    ) -> Result<(), SourceError> {
        self.replace(data_centre, seen, names).await
    }
}

/// Returns the list, `None` where the object is malformed and is to be overwritten.
fn parse_list<T: DeserializeOwned>(object: &StoredObject) -> Option<Vec<T>> {
    serde_json::from_str(&object.value).ok()
}

fn store_to_source_error(err: &StoreError) -> SourceError {
    SourceError { reason: err.to_string() }
}
