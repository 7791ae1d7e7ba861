//! The platform that a daemon runs on: its store, its configuration source and its headers.
//!
//! The rest of the daemon is the same on every platform; the settings select one here.

use std::{sync::Arc, time::Duration};

use sk_adapter::{
    ObjectClient, PlatformHeaders, PlatformOrders, PlatformSource, PlatformStore, service_path,
};
use sk_ledger::Ledger;
use sk_model::ServiceName;
use sk_proxy::{HeaderTranslation, NativeHeaders};
use sk_rollout::OrderSource;
use sk_settings::{PlatformKind, PlatformSettings};
use sk_spread::ConfigSource;
use sk_store::{HttpStore, SharedStore};

use crate::source::LedgerSource;

/// The platform as the daemon's parts use it.
pub(crate) struct PlatformAdapter {
    form: PlatformKind,
    /// Store of everything that must outlast the fleet's processes.
    pub(crate) store: SharedStore,
    /// Reads and writes the headers of callers and backend servers.
    pub(crate) headers: Arc<dyn HeaderTranslation>,
    /// Configuration that is not written by this fleet, `None` on Sapphirekeel's own platform.
    external: Option<Arc<dyn ConfigSource>>,
    /// Orders to move traffic to other versions, `None` on Sapphirekeel's own platform.
    pub(crate) orders: Option<Arc<dyn OrderSource>>,
}

impl PlatformAdapter {
    /// Creates the platform that the settings select. Nothing is connected yet.
    pub(crate) fn new(settings: &PlatformSettings) -> Self {
        let timeout = Duration::from_millis(settings.timeout_ms);
        let address = settings.address.to_string();
        match settings.form {
            PlatformKind::Own => Self {
                form: settings.form,
                store: Arc::new(HttpStore::new(&address, timeout)),
                headers: Arc::new(NativeHeaders),
                external: None,
                orders: None,
            },
            PlatformKind::Objects => {
                let client = ObjectClient::new(&address, timeout);
                Self {
                    form: settings.form,
                    store: Arc::new(PlatformStore::new(client.clone())),
                    headers: Arc::new(PlatformHeaders),
                    external: Some(Arc::new(PlatformSource::new(client.clone()))),
                    orders: Some(Arc::new(PlatformOrders::new(client))),
                }
            }
        }
    }

    /// Returns whether the configuration is not written by this fleet.
    pub(crate) fn is_external(&self) -> bool {
        self.external.is_some()
    }

    /// Returns the source of configuration versions.
    pub(crate) fn source(&self, ledger: &Arc<Ledger>) -> Arc<dyn ConfigSource> {
        match &self.external {
            Some(source) => source.clone(),
            None => Arc::new(LedgerSource { ledger: ledger.clone() }),
        }
    }

    /// Returns the path of the service setting for a service as the platform names it.
    pub(crate) fn service_path(&self, service: &str) -> ServiceName {
        match self.form {
            PlatformKind::Own => service.to_owned(),
            PlatformKind::Objects => service_path(service),
        }
    }
}
