//! The configuration that a daemon holds: the version in force, and the newest valid version, which
//! waits until the daemon is ready. Versions are swapped as a whole and never replaced by an older
//! one, so that routes never move back and never mix two versions.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use sk_model::{ConfigSnapshot, ProxyId, RejectedVersion, UnixMillis, Version, validate_trees};
use tokio::sync::watch;

use crate::{
    hash_prefix::{RootHashPrefix, root_hash_prefix},
    kept_bases::KeptBases,
};

/// The version in force and where it came from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigStatus {
    /// Version in force.
    pub version: Version,
    /// When the version came into force, on this daemon's clock.
    pub since: UnixMillis,
    /// The daemon that the version came from, or `platform`.
    pub source: ProxyId,
    /// The newest rejected version, if it is newer than the one in force.
    pub rejected: Option<RejectedVersion>,
}

/// Result of offering a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The snapshot is the newest one now, and in force as soon as the daemon is ready.
    Applied,
    /// The held version is as new or newer.
    NotNewer,
    /// The snapshot has different content under the held version; one of the two was never
    /// accepted.
    Diverged,
    /// The snapshot fails validation, and no part of it is in force.
    Rejected(RejectedVersion),
}

/// Which snapshots a holder accepts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SnapshotCheck {
    /// Those that are intact and valid.
    #[default]
    Valid,
    /// All that are intact. For a source that accepts only valid configurations itself: whatever
    /// else this daemon finds odd in one must not keep the rest of it out of force.
    Intact,
}

/// The newest snapshot, which may wait for readiness, and earlier ones.
#[derive(Default)]
struct HolderState {
    bases: KeptBases,
    newest: Arc<ConfigSnapshot>,
    /// Hash prefix of the newest root, kept because heartbeats send it several times a second.
    newest_prefix: RootHashPrefix,
    source: ProxyId,
    /// Version and root hash prefix of the last rejected snapshot.
    last_rejected: Option<(Version, RootHashPrefix)>,
}

/// The configuration in force, swapped as a whole and never for an older one.
///
/// Nothing is in force until the daemon is ready. A restarted process would otherwise serve the
/// first version that a peer sends, which may be older than the one its predecessor served, and
/// callers would see routes move back.
pub struct ConfigHolder {
    check: SnapshotCheck,
    current: ArcSwap<ConfigSnapshot>,
    state: Mutex<HolderState>,
    status: watch::Sender<ConfigStatus>,
    ready: watch::Sender<bool>,
}

impl Default for ConfigHolder {
    fn default() -> Self {
        let status = ConfigStatus { version: 0, since: 0, source: ProxyId::new(), rejected: None };
        Self {
            check: SnapshotCheck::default(),
            current: ArcSwap::default(),
            state: Mutex::default(),
            status: watch::Sender::new(status),
            ready: watch::Sender::new(false),
        }
    }
}

impl ConfigHolder {
    /// Creates a holder of the empty configuration that is not ready.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates such a holder that accepts the snapshots that pass a check.
    pub fn with_check(check: SnapshotCheck) -> Self {
        Self { check, ..Self::default() }
    }

    /// Returns the configuration in force: the empty one until the daemon is ready.
    pub fn current(&self) -> Arc<ConfigSnapshot> {
        self.current.load_full()
    }

    /// Returns the newest valid configuration, in force or waiting for readiness.
    pub fn newest(&self) -> Arc<ConfigSnapshot> {
        self.state().newest.clone()
    }

    /// Returns the newest version and the hash prefix of its root.
    pub(crate) fn newest_id(&self) -> (Version, RootHashPrefix) {
        let state = self.state();
        (state.newest.version(), state.newest_prefix)
    }

    /// Returns the current status.
    pub fn status(&self) -> ConfigStatus {
        self.status.borrow().clone()
    }

    /// Returns a receiver that is notified of each change of the status.
    pub fn subscribe(&self) -> watch::Receiver<ConfigStatus> {
        self.status.subscribe()
    }

    /// Returns whether this process may serve: it holds at least the highest version that the
    /// platform or the peers it reached know.
    pub fn is_ready(&self) -> bool {
        *self.ready.borrow()
    }

    /// Returns a receiver that is notified when the daemon becomes ready. Readiness is never
    /// withdrawn.
    pub fn ready(&self) -> watch::Receiver<bool> {
        self.ready.subscribe()
    }

    /// Puts the newest configuration in force at `now`; later ones come into force as they arrive.
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

    /// Returns the newest configuration or an earlier one by version, if it is still kept.
    pub fn base(&self, version: Version) -> Option<Arc<ConfigSnapshot>> {
        let state = self.state();
        match state.newest.version() {
            newest if newest == version => Some(state.newest.clone()),
            _ => state.bases.find(version, &state.newest),
        }
    }

    /// Accepts a snapshot as a whole if it is newer and passes the check, and rejects it as a whole
    /// otherwise.
    pub fn offer(&self, snapshot: ConfigSnapshot, source: &str, now: UnixMillis) -> OfferOutcome {
        // The lock makes comparison and swap one step: of two snapshots offered at once by
        // different peers, the older one must not be stored last.
        let mut state = self.state();
        let version = snapshot.version();
        if version == state.newest.version() && snapshot.root != state.newest.root {
            return OfferOutcome::Diverged;
        }
        if version <= state.newest.version() {
            return OfferOutcome::NotNewer;
        }
        if let Some(reason) = find_error(&snapshot, self.check) {
            return OfferOutcome::Rejected(self.reject(&mut state, &snapshot, reason));
        }
        let snapshot = Arc::new(snapshot);
        let replaced = std::mem::replace(&mut state.newest, snapshot.clone());
        state.bases.push(&replaced, &snapshot);
        state.newest_prefix = root_hash_prefix(&snapshot.root.hash());
        state.source = source.to_owned();
        if self.is_ready() {
            self.put_in_force(&state, now);
        }
        OfferOutcome::Applied
    }

    /// Returns whether this very version was rejected before. Peers that have not detected its
    /// fault yet go on offering it, and each fetch would transfer the whole version again.
    pub(crate) fn was_rejected(&self, version: Version, hash_prefix: RootHashPrefix) -> bool {
        self.state().last_rejected == Some((version, hash_prefix))
    }

    /// Records a rejected version in the status, and for [`was_rejected`](Self::was_rejected).
    fn reject(
        &self,
        state: &mut HolderState,
        snapshot: &ConfigSnapshot,
        reason: String,
    ) -> RejectedVersion {
        let version = snapshot.version();
        let rejected = RejectedVersion { version, reason };
        state.last_rejected = Some((version, root_hash_prefix(&snapshot.root.hash())));
        self.status.send_if_modified(|status| {
            // The report names the newest rejected version, in whichever order they arrive.
            let is_newer = status.rejected.as_ref().is_none_or(|known| known.version < version);
            if is_newer {
                status.rejected = Some(rejected.clone());
            }
            is_newer
        });
        rejected
    }

    /// Swaps the newest configuration in and publishes the status.
    fn put_in_force(&self, state: &HolderState, now: UnixMillis) {
        let version = state.newest.version();
        self.current.store(state.newest.clone());
        self.status.send_modify(|status| {
            let rejected = status.rejected.take().filter(|rejected| rejected.version > version);
            *status = ConfigStatus { version, since: now, source: state.source.clone(), rejected };
        });
    }

    fn state(&self) -> MutexGuard<'_, HolderState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the first reason why a snapshot does not pass a check.
fn find_error(snapshot: &ConfigSnapshot, check: SnapshotCheck) -> Option<String> {
    if !snapshot.is_intact() {
        return Some("a subtree is missing or does not match its hash".to_owned());
    }
    match check {
        SnapshotCheck::Valid => validate_trees(&snapshot.trees).first().map(ToString::to_string),
        SnapshotCheck::Intact => None,
    }
}
