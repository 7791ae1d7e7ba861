//! Which platform a daemon stands on: its store, its configuration and its words.

use std::{sync::Arc, time::Duration};

use sk_adapter::{ObjectApi, PlatformSource, PlatformStore, PlatformWords, service_path};
use sk_ledger::Ledger;
use sk_model::ServiceName;
use sk_proxy::{OwnWords, RequestWords};
use sk_settings::{PlatformForm, PlatformSettings};
use sk_spread::ConfigSource;
use sk_store::{HttpStore, SharedStore};

use crate::source::LedgerSource;

/// The platform as the daemon's parts meet it.
pub(crate) struct PlatformBorder {
    form: PlatformForm,
    /// Where what must last is kept.
    pub(crate) store: SharedStore,
    /// Headers of callers and backend servers.
    pub(crate) words: Arc<dyn RequestWords>,
    /// Versions by another writer than this fleet.
    external: Option<Arc<dyn ConfigSource>>,
}

impl PlatformBorder {
    /// Makes the border that the settings name. Nothing is connected yet.
    pub(crate) fn new(settings: &PlatformSettings) -> Self {
        let timeout = Duration::from_millis(settings.timeout_ms);
        let address = settings.address.to_string();
        match settings.form {
            PlatformForm::Own => Self {
                form: settings.form,
                store: Arc::new(HttpStore::new(&address, timeout)),
                words: Arc::new(OwnWords),
                external: None,
            },
            PlatformForm::Objects => {
                let api = ObjectApi::new(&address, timeout);
                Self {
                    form: settings.form,
                    store: Arc::new(PlatformStore::new(api.clone())),
                    words: Arc::new(PlatformWords),
                    external: Some(Arc::new(PlatformSource::new(api))),
                }
            }
        }
    }

    /// Tells whether another writer than this fleet accepts configurations.
    pub(crate) fn is_external(&self) -> bool {
        self.external.is_some()
    }

    /// Gives where versions come from.
    pub(crate) fn source(&self, ledger: &Arc<Ledger>) -> Arc<dyn ConfigSource> {
        match &self.external {
            Some(source) => source.clone(),
            None => Arc::new(LedgerSource { ledger: ledger.clone() }),
        }
    }

    /// Gives the path of a service that the platform names.
    pub(crate) fn service_path(&self, service: &str) -> ServiceName {
        match self.form {
            PlatformForm::Own => service.to_owned(),
            PlatformForm::Objects => service_path(service),
        }
    }
}
