//! The configuration a daemon holds.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, PoisonError},
};

use arc_swap::ArcSwap;
use sk_model::{ConfigSnapshot, ProxyId, RejectedVersion, UnixMillis, Version, validate_trees};
use tokio::sync::watch;

/// Earlier snapshots kept as bases for deltas. Subtrees are shared, so each costs one root.
const KEPT_BASES: usize = 16;

/// What the daemon holds and how it came by it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldStatus {
    /// Version in force.
    pub version: Version,
    /// Since when, on this daemon's clock.
    pub since: UnixMillis,
    /// The daemon it came from, or `platform`.
    pub source: ProxyId,
    /// The newest version refused, if newer than the one in force.
    pub rejected: Option<RejectedVersion>,
}

/// What became of an offered snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It is in force now.
    Applied,
    /// The held one is as new or newer.
    NotNewer,
    /// It fails validation and nothing of it is in force.
    Rejected(RejectedVersion),
}

/// The configuration in force, swapped whole, and never for an older one.
pub struct HeldConfig {
    current: ArcSwap<ConfigSnapshot>,
    bases: Mutex<VecDeque<Arc<ConfigSnapshot>>>,
    status: watch::Sender<HeldStatus>,
}

impl Default for HeldConfig {
    fn default() -> Self {
        let status = HeldStatus { version: 0, since: 0, source: ProxyId::new(), rejected: None };
        Self {
            current: ArcSwap::default(),
            bases: Mutex::default(),
            status: watch::Sender::new(status),
        }
    }
}

impl HeldConfig {
    /// Makes one that holds the empty configuration.
    pub fn new() -> Self {
        Self::default()
    }

    /// Gives the configuration in force.
    pub fn current(&self) -> Arc<ConfigSnapshot> {
        self.current.load_full()
    }

    /// Gives the status as of now.
    pub fn status(&self) -> HeldStatus {
        self.status.borrow().clone()
    }

    /// Gives a receiver that wakes on each change of the status.
    pub fn subscribe(&self) -> watch::Receiver<HeldStatus> {
        self.status.subscribe()
    }

    /// Gives an earlier configuration by version, where it is still kept.
    pub fn base(&self, version: Version) -> Option<Arc<ConfigSnapshot>> {
        let bases = self.bases.lock().unwrap_or_else(PoisonError::into_inner);
        bases.iter().find(|base| base.version() == version).cloned()
    }

    /// Puts a snapshot in force if it is newer and valid, whole or not at all.
    pub fn offer(&self, snapshot: ConfigSnapshot, source: &str, now: UnixMillis) -> OfferOutcome {
        // The lock makes the comparison and the swap one step: of two snapshots offered at once
        // by different peers, the older one must not land last.
        let mut bases = self.bases.lock().unwrap_or_else(PoisonError::into_inner);
        let version = snapshot.version();
        if version <= self.current.load().version() {
            return OfferOutcome::NotNewer;
        }
        if let Some(reason) = find_fault(&snapshot) {
            let rejected = RejectedVersion { version, reason };
            self.status.send_modify(|status| status.rejected = Some(rejected.clone()));
            return OfferOutcome::Rejected(rejected);
        }
        let snapshot = Arc::new(snapshot);
        bases.push_back(snapshot.clone());
        if bases.len() > KEPT_BASES {
            bases.pop_front();
        }
        self.current.store(snapshot);
        let keep = |rejected: &RejectedVersion| rejected.version > version;
        self.status.send_modify(|status| {
            let rejected = status.rejected.take().filter(keep);
            *status = HeldStatus { version, since: now, source: source.to_owned(), rejected };
        });
        OfferOutcome::Applied
    }
}

fn find_fault(snapshot: &ConfigSnapshot) -> Option<String> {
    if !snapshot.is_intact() {
        return Some("a subtree is missing or does not match its hash".to_owned());
    }
    validate_trees(&snapshot.trees).first().map(ToString::to_string)
}
