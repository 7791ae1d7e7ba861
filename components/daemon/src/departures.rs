//! Departures of local backend servers, stored in the platform, one object per daemon.
//!
//! A departure is acknowledged only after it is stored. A daemon that starts again would otherwise
//! take a late heartbeat of a server that has left for that of a running one.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use sk_logs::OutageLog;
use sk_member::ServerBoot;
use sk_store::{Revision, SharedStore, StoreError};
use tokio::{
    sync::{Mutex, watch},
    time::timeout,
};

use crate::port::DaemonPort;

/// Largest number of boots stored, those that changed last. A heartbeat is seconds late at most.
const MAX_BOOTS: usize = 64;
/// Largest number of attempts of one write, which is repeated after a lost answer.
const MAX_WRITE_ATTEMPTS: usize = 3;
/// Time for which a departure waits for the write of another one, and after which no further
/// attempt is made. Servers wait a second for an acknowledgement, then they repeat the departure.
const WRITE_TIME: Duration = Duration::from_secs(1);
/// Time for which the first word of a server waits until the daemon knows which servers have left.
/// Servers wait a second for an acknowledgement.
const RESTORE_WAIT: Duration = Duration::from_millis(300);
/// Pauses between attempts to read the object at the start of a daemon, the first and the longest.
const READ_PAUSES: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

/// The stored boots of the local backend servers that have left, and of their successors under the
/// same names.
pub(crate) struct DepartureStore {
    store: SharedStore,
    key: String,
    /// `None` until the object is read, and after a write whose outcome is unknown.
    object: Mutex<Option<BootObject>>,
    /// Whether the daemon knows what its earlier processes have stored.
    is_restored: watch::Sender<bool>,
}

/// The object of one daemon.
#[derive(Clone, Debug, Default)]
struct BootObject {
    /// `None` if the store has no such object.
    revision: Option<Revision>,
    /// In the order of their last changes.
    boots: Vec<ServerBoot>,
}

impl DepartureStore {
    /// Makes the store of the daemon `proxy`.
    pub(crate) fn new(store: SharedStore, key_prefix: &str, proxy: &str) -> Self {
        Self {
            store,
            key: format!("{key_prefix}departures/{proxy}"),
            object: Mutex::default(),
            is_restored: watch::Sender::new(false),
        }
    }

    /// Waits until the daemon knows what its earlier processes have stored, for at most
    /// [`RESTORE_WAIT`], and returns whether it does.
    pub(crate) async fn wait_until_restored(&self) -> bool {
        let mut is_restored = self.is_restored.subscribe();
        // The sender lives as long as this store, so the wait cannot fail.
        timeout(RESTORE_WAIT, is_restored.wait_for(|is_restored| *is_restored)).await.is_ok()
    }

    /// Stores a boot unless the store already has it or a later one of the same name.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if it is not known to be stored.
    pub(crate) async fn record(&self, boot: &ServerBoot) -> Result<(), StoreError> {
        let end = Instant::now() + WRITE_TIME;
        let busy = |_| StoreError::Unavailable { reason: "another write is pending".to_owned() };
        let mut object = timeout(WRITE_TIME, self.object.lock()).await.map_err(busy)?;
        let mut attempts = 0;
        loop {
            attempts += 1;
            // The object stays unknown if the write fails.
            let known = match object.take() {
                Some(known) => known,
                None => self.read().await?,
            };
            if known.covers(boot) {
                *object = Some(known);
                return Ok(());
            }
            match self.write(known, boot).await {
                Ok(written) => {
                    *object = Some(written);
                    return Ok(());
                }
                Err(StoreError::Conflict { .. } | StoreError::Unknown { .. })
                    if attempts < MAX_WRITE_ATTEMPTS && Instant::now() < end => {}
                Err(err) => return Err(err),
            }
        }
    }

    /// Returns whether the store has an earlier boot of the same name, as far as is known here.
    pub(crate) fn has_earlier(&self, boot: &ServerBoot) -> bool {
        let Ok(object) = self.object.try_lock() else { return false };
        let is_earlier =
            |known: &ServerBoot| known.name == boot.name && known.started_at < boot.started_at;
        object.as_ref().is_some_and(|object| object.boots.iter().any(is_earlier))
    }

    /// Reads the object. One that another writer has overwritten counts as empty and is replaced.
    async fn read(&self) -> Result<BootObject, StoreError> {
        let Some(object) = self.store.get(&self.key).await? else {
            return Ok(BootObject::default());
        };
        let boots = serde_json::from_str(&object.value).unwrap_or_else(|err| {
            log::warn!("daemon: object {} is malformed: {err}.", self.key);
            Vec::new()
        });
        Ok(BootObject { revision: Some(object.revision), boots })
    }

    /// Writes an object with one more boot.
    async fn write(
        &self,
        mut object: BootObject,
        boot: &ServerBoot,
    ) -> Result<BootObject, StoreError> {
        object.boots.retain(|known| known.name != boot.name);
        object.boots.push(boot.clone());
        let surplus = object.boots.len().saturating_sub(MAX_BOOTS);
        object.boots.drain(..surplus);
        let value = serde_json::to_string(&object.boots)
            .map_err(|err| StoreError::Protocol { reason: err.to_string() })?;
        let revision = match object.revision {
            Some(revision) => self.store.replace(&self.key, revision, value).await?,
            None => self.store.create(&self.key, value).await?,
        };
        Ok(BootObject { revision: Some(revision), ..object })
    }
}

impl BootObject {
    /// Returns whether the object has a boot or a later one of the same name.
    fn covers(&self, boot: &ServerBoot) -> bool {
        self.boots.iter().any(|known| known.name == boot.name && boot.is_covered_by(known))
    }
}

/// Reads what earlier processes of this daemon have stored, until the store answers.
pub(crate) async fn restore_departures(port: Arc<DaemonPort>) {
    let outage = OutageLog::new("daemon", "the store of departures");
    let departures = &port.departures;
    let mut pause = READ_PAUSES.0;
    loop {
        match departures.read().await {
            Ok(object) => {
                outage.record_success();
                port.restore_boots(&object.boots);
                departures.object.lock().await.get_or_insert(object);
                departures.is_restored.send_replace(true);
                return;
            }
            Err(err) => outage.record_failure(&err),
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(READ_PAUSES.1);
    }
}
