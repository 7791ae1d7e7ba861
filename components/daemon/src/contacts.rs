//! Contacts stored in the platform, one object per data centre.
//!
//! A contact is the control address of a daemon, by which a daemon that starts without any other
//! address finds the fleet.

use std::net::SocketAddr;

use async_trait::async_trait;
use sk_spread::{ContactMap, ContactStore, SourceError};
use sk_store::{SharedStore, StoreError, StoredObject};

/// The contact store, kept in the platform.
pub(crate) struct StoreContacts {
    store: SharedStore,
    prefix: String,
}

impl StoreContacts {
    pub(crate) fn new(store: SharedStore, key_prefix: &str) -> Self {
        Self { store, prefix: format!("{key_prefix}contacts/") }
    }
}

#[async_trait]
impl ContactStore for StoreContacts {
    async fn read(&self) -> Result<ContactMap, SourceError> {
        let objects =
            self.store.list(&self.prefix).await.map_err(|err| store_to_source_error(&err))?;
        let entry = |object: &StoredObject| {
            let data_centre = object.key.strip_prefix(&self.prefix)?.to_owned();
            Some((data_centre, parse_addresses(object)?))
        };
        Ok(objects.iter().filter_map(entry).collect())
    }

    async fn write(
        &self,
        data_centre: &str,
        seen: Option<&[SocketAddr]>,
        addresses: &[SocketAddr],
    ) -> Result<(), SourceError> {
        let key = format!("{}{data_centre}", self.prefix);
        let value = serde_json::to_string(addresses)
            .map_err(|err| SourceError { reason: err.to_string() })?;
        let object = self.store.get(&key).await.map_err(|err| store_to_source_error(&err))?;
        let found = object.as_ref().and_then(parse_addresses);
        let written = match object {
            // Another relay wrote in the meantime; overwriting would hide its addresses.
            Some(_) if found.is_some() && found.as_deref() != seen => {
                return Err(SourceError { reason: format!("object {key} has changed") });
            }
            Some(object) => self.store.replace(&key, object.revision, value).await,
            None => self.store.create(&key, value).await,
        };
        written.map(drop).map_err(|err| store_to_source_error(&err))
    }
}

/// Returns the addresses, `None` where the object is malformed and is to be overwritten.
fn parse_addresses(object: &StoredObject) -> Option<Vec<SocketAddr>> {
    serde_json::from_str(&object.value).ok()
}

fn store_to_source_error(err: &StoreError) -> SourceError {
    SourceError { reason: err.to_string() }
}
