//! The configuration a daemon holds.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use arc_swap::ArcSwap;
use sk_model::{ConfigSnapshot, ProxyId, RejectedVersion, UnixMillis, Version, validate_trees};
use tokio::sync::watch;

use crate::marks::{RootMark, root_mark};

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
    /// It is the newest now, and in force as soon as the daemon is ready.
    Applied,
    /// The held one is as new or newer.
    NotNewer,
    /// Another content under the version held. One of the two was never accepted.
    Diverged,
    /// It fails validation and nothing of it is in force.
    Rejected(RejectedVersion),
}

/// Snapshots by age, and the one that waits for readiness.
#[derive(Default)]
struct HeldState {
    bases: VecDeque<Arc<ConfigSnapshot>>,
    newest: Arc<ConfigSnapshot>,
    /// Mark of the newest one's root; heartbeats carry it several times a second.
    newest_mark: RootMark,
    source: ProxyId,
    /// The version refused last.
    refused: Option<(Version, RootMark)>,
}

/// The configuration in force, swapped whole, and never for an older one.
///
/// Until the daemon is ready nothing is in force. A process that returns would otherwise serve
/// whatever a peer gave it first, which may be older than what its predecessor served; callers
/// would see routes move back.
pub struct HeldConfig {
    current: ArcSwap<ConfigSnapshot>,
    state: Mutex<HeldState>,
    status: watch::Sender<HeldStatus>,
    ready: watch::Sender<bool>,
}

impl Default for HeldConfig {
    fn default() -> Self {
        let status = HeldStatus { version: 0, since: 0, source: ProxyId::new(), rejected: None };
        Self {
            current: ArcSwap::default(),
            state: Mutex::default(),
            status: watch::Sender::new(status),
            ready: watch::Sender::new(false),
        }
    }
}

impl HeldConfig {
    /// Makes one that holds the empty configuration and is not ready.
    pub fn new() -> Self {
        Self::default()
    }

    /// Gives the configuration in force: the empty one until the daemon is ready.
    pub fn current(&self) -> Arc<ConfigSnapshot> {
        self.current.load_full()
    }

    /// Gives the newest valid configuration known, in force or waiting for readiness.
    pub fn newest(&self) -> Arc<ConfigSnapshot> {
        self.state().newest.clone()
    }

    /// Gives the newest version with the mark of its root.
    pub(crate) fn newest_mark(&self) -> (Version, RootMark) {
        let state = self.state();
        (state.newest.version(), state.newest_mark)
    }

    /// Gives the status as of now.
    pub fn status(&self) -> HeldStatus {
        self.status.borrow().clone()
    }

    /// Gives a receiver that wakes on each change of the status.
    pub fn subscribe(&self) -> watch::Receiver<HeldStatus> {
        self.status.subscribe()
    }

    /// Tells whether this process may serve: it holds at least the highest version that the
    /// platform or the peers it reached know.
    pub fn is_ready(&self) -> bool {
        *self.ready.borrow()
    }

    /// Gives a receiver that wakes when the daemon becomes ready. It never becomes unready.
    pub fn ready(&self) -> watch::Receiver<bool> {
        self.ready.subscribe()
    }

    /// Puts the newest configuration in force; from now on each newer one is at once.
    pub fn set_ready(&self, now: UnixMillis) {
        let state = self.state();
        if self.is_ready() {
            return;
        }
        if state.newest.version() > 0 {
            self.put_in_force(&state, now);
        }
        self.ready.send_replace(true);
    }

    /// Gives an earlier configuration by version, where it is still kept.
    pub fn base(&self, version: Version) -> Option<Arc<ConfigSnapshot>> {
        self.state().bases.iter().find(|base| base.version() == version).cloned()
    }

    /// Takes a snapshot if it is newer and valid, whole or not at all.
    pub fn offer(&self, snapshot: ConfigSnapshot, source: &str, now: UnixMillis) -> OfferOutcome {
        // The lock makes the comparison and the swap one step: of two snapshots offered at once
        // by different peers, the older one must not land last.
        let mut state = self.state();
        let version = snapshot.version();
        if version == state.newest.version() && snapshot.root != state.newest.root {
            return OfferOutcome::Diverged;
        }
        if version <= state.newest.version() {
            return OfferOutcome::NotNewer;
        }
        if let Some(reason) = find_fault(&snapshot) {
            return OfferOutcome::Rejected(self.refuse(&mut state, &snapshot, reason));
        }
        let snapshot = Arc::new(snapshot);
        state.bases.push_back(snapshot.clone());
        if state.bases.len() > KEPT_BASES {
            state.bases.pop_front();
        }
        state.newest_mark = root_mark(&snapshot.root.hash());
        state.newest = snapshot;
        state.source = source.to_owned();
        if self.is_ready() {
            self.put_in_force(&state, now);
        }
        OfferOutcome::Applied
    }

    /// Tells whether this very version was refused before. Peers that have not met its fault yet
    /// go on offering it; fetching it each time would cost the whole version again and again.
    pub(crate) fn is_refused(&self, version: Version, mark: RootMark) -> bool {
        self.state().refused == Some((version, mark))
    }

    fn refuse(
        &self,
        state: &mut HeldState,
        snapshot: &ConfigSnapshot,
        reason: String,
    ) -> RejectedVersion {
        let version = snapshot.version();
        let rejected = RejectedVersion { version, reason };
        state.refused = Some((version, root_mark(&snapshot.root.hash())));
        self.status.send_if_modified(|status| {
            // Of two refused versions the report names the newer one, in whichever order they came.
            let is_newer = status.rejected.as_ref().is_none_or(|held| held.version < version);
            if is_newer {
                status.rejected = Some(rejected.clone());
            }
            is_newer
        });
        rejected
    }

    fn put_in_force(&self, state: &HeldState, now: UnixMillis) {
        let version = state.newest.version();
        self.current.store(state.newest.clone());
        self.status.send_modify(|status| {
            let rejected = status.rejected.take().filter(|rejected| rejected.version > version);
            *status = HeldStatus { version, since: now, source: state.source.clone(), rejected };
        });
    }

    fn state(&self) -> MutexGuard<'_, HeldState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn find_fault(snapshot: &ConfigSnapshot) -> Option<String> {
    if !snapshot.is_intact() {
        return Some("a subtree is missing or does not match its hash".to_owned());
    }
    validate_trees(&snapshot.trees).first().map(ToString::to_string)
}
