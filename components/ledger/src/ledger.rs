//! The operations of the ledger: accepting changes, and reading configurations and their history.

use std::{
    cmp::Ordering,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use sk_model::{
    ChangeRecord, ChangeRequest, ConfigSnapshot, TeamName, TeamTree, UnixMillis, Version,
};
use sk_store::{Revision, SharedStore};

use crate::{
    CorruptData, LedgerEntry, LedgerError, LedgerHead, LedgerSettings, SubmitError,
    check::check_change_id, error::ReadError, keys::KeySpace,
};

/// Largest number of records in one read of history: 125 calls, a sixteenth of what the platform
/// answers in one second. Longer histories are read in several steps.
pub const MAX_HISTORY_RECORDS: usize = 1000;

/// Revision of the head in the platform, or `None` before the first commit.
pub(crate) type HeadRevision = Option<Revision>;

/// The last known head and its subtrees, cached to save calls. It is never used without a check
/// against the platform.
#[derive(Default)]
struct CachedHead {
    snapshot: ConfigSnapshot,
    revision: HeadRevision,
}

/// Accepts changes and reads configurations. All shared state is in the platform, so any number of
/// ledgers may work on any number of instances at the same time.
pub struct Ledger {
    pub(crate) store: SharedStore,
    pub(crate) settings: LedgerSettings,
    pub(crate) keys: KeySpace,
    cached: Mutex<CachedHead>,
}

impl Ledger {
    /// Creates a ledger on a platform. Makes no call yet.
    pub fn new(store: SharedStore, settings: LedgerSettings) -> Self {
        let keys = KeySpace::new(&settings.key_prefix);
        Self { store, settings, keys, cached: Mutex::default() }
    }

    /// Accepts a change completely or rejects it. Submitting the same change again returns the
    /// same record.
    ///
    /// The caller has verified that the operator may write to the subtree of the team.
    ///
    /// # Errors
    ///
    /// Returns a [`SubmitError`]. Only [`SubmitError::Unknown`] leaves open whether the change is
    /// or will be in force; every other error means that it is not, and that it will not be unless
    /// it is submitted again.
    pub async fn submit(
        &self,
        request: &ChangeRequest,
        now: UnixMillis,
    ) -> Result<ChangeRecord, SubmitError> {
        self.commit_change(request, now).await
    }

    /// Returns the record of a change by its id. `None` means that the change was not in force at
    /// the time of the read; while a submit of it is running or unresolved, it may be in force
    /// later.
    ///
    /// # Errors
    ///
    /// Returns a [`LedgerError`] if the platform is unavailable or its data is corrupt.
    pub async fn find_change(&self, change_id: &str) -> Result<Option<ChangeRecord>, LedgerError> {
        if check_change_id(change_id).is_err() {
            // No change was ever accepted under such an id, which must not become part of a key.
            return Ok(None);
        }
        let (head, _) = self.read_head().await.map_err(|err| self.to_ledger_error(err))?;
        let found =
            self.find_entry(&head, change_id).await.map_err(|err| self.to_ledger_error(err))?;
        Ok(found.map(|entry| entry.record))
    }

    /// Loads the newest snapshot. Subtrees of `known` that are unchanged are reused, and the
    /// hashes of all others are verified.
    ///
    /// # Errors
    ///
    /// Returns a [`LedgerError`] if the platform is unavailable, its data is corrupt, or its
    /// version is older than that of `known`.
    pub async fn load(&self, known: &ConfigSnapshot) -> Result<ConfigSnapshot, LedgerError> {
        let (head, revision) = self.read_head().await.map_err(|err| self.to_ledger_error(err))?;
        self.load_head(&head, revision, known).await
    }

    /// Waits until a version newer than `known` exists and loads it. Returns `None` after
    /// `timeout`. Takes one watch of the platform if this ledger has read the head of `known`, and
    /// one more otherwise.
    ///
    /// # Errors
    ///
    /// Returns a [`LedgerError`] if the platform is unavailable or its data is corrupt.
    pub async fn wait_newer(
        &self,
        known: &ConfigSnapshot,
        timeout: Duration,
    ) -> Result<Option<ConfigSnapshot>, LedgerError> {
        let deadline = tokio::time::Instant::now() + timeout;
        let mut after = self.cached_revision(known.version()).unwrap_or(0);
        loop {
            let remaining = deadline.saturating_duration_since(tokio::time::Instant::now());
            let watched = self.store.watch(&self.keys.head(), after, remaining).await;
            let object = watched.map_err(|err| self.to_ledger_error(ReadError::Store(err)))?;
            let Some(object) = object else { return Ok(None) };
            after = object.revision;
            let head = self.decode_head(&object).map_err(|err| self.to_ledger_error(err))?;
            match head.root.version {
                version if version > known.version() => {
                    return self.load_head(&head, Some(after), known).await.map(Some);
                }
                version if version == known.version() => {
                    self.cache_snapshot(known.clone(), Some(after))
                }
                // Events may arrive late, so an older head does not prove that the platform was
                // reset.
                _ => {}
            }
        }
    }

    /// Returns the records from version `from` on in the order of their versions, at most
    /// `max_records` and never more than [`MAX_HISTORY_RECORDS`]. Takes one call for the head and
    /// one for each 8 records that have left it.
    ///
    /// # Errors
    ///
    /// Returns a [`LedgerError`] if the platform is unavailable or its data is corrupt.
    pub async fn history(
        &self,
        from: Version,
        max_records: usize,
    ) -> Result<Vec<ChangeRecord>, LedgerError> {
        let (head, _) = self.read_head().await.map_err(|err| self.to_ledger_error(err))?;
        let entries = self.read_entries(&head, from, max_records.min(MAX_HISTORY_RECORDS)).await;
        let entries = entries.map_err(|err| self.to_ledger_error(err))?;
        Ok(entries.into_iter().map(|entry: LedgerEntry| entry.record).collect())
    }

    /// Loads and caches the snapshot of a head.
    async fn load_head(
        &self,
        head: &LedgerHead,
        revision: HeadRevision,
        known: &ConfigSnapshot,
    ) -> Result<ConfigSnapshot, LedgerError> {
        check_progress(head, known)?;
        let snapshot =
            self.read_trees(head, known).await.map_err(|err| self.to_ledger_error(err))?;
        self.cache_snapshot(snapshot.clone(), revision);
        Ok(snapshot)
    }

    /// Caches a snapshot, unless a newer one is cached already.
    pub(crate) fn cache_snapshot(&self, snapshot: ConfigSnapshot, revision: HeadRevision) {
        let mut cached = self.lock_cached();
        if snapshot.version() >= cached.snapshot.version() {
            *cached = CachedHead { snapshot, revision };
        }
    }

    /// Returns a cached subtree if it has the wanted hash.
    pub(crate) fn cached_tree(&self, team: &TeamName, hash: &str) -> Option<Arc<TeamTree>> {
        let cached = self.lock_cached();
        let tree_ref = cached.snapshot.root.trees.get(team)?;
        (tree_ref.hash == hash).then(|| cached.snapshot.trees.get(team).cloned())?
    }

    /// Returns the newest cached version. A head read after this call is not older.
    pub(crate) fn cached_version(&self) -> Version {
        self.lock_cached().snapshot.version()
    }

    /// Returns the revision of the head with the given version, if that head is cached.
    fn cached_revision(&self, version: Version) -> HeadRevision {
        let cached = self.lock_cached();
        cached.revision.filter(|_| cached.snapshot.version() == version)
    }

    fn lock_cached(&self) -> MutexGuard<'_, CachedHead> {
        self.cached.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Rejects a head that does not follow from the known snapshot.
///
/// A platform that was reset or restored would otherwise move proxies back to an older version, or
/// assign two contents to one version. The error keeps the proxies at their version and is
/// reported until the platform is repaired.
fn check_progress(head: &LedgerHead, known: &ConfigSnapshot) -> Result<(), CorruptData> {
    let version = head.root.version;
    match version.cmp(&known.version()) {
        Ordering::Less => Err(CorruptData::Regressed { found: version, known: known.version() }),
        Ordering::Equal if head.root != known.root => Err(CorruptData::Diverged { version }),
        _ => Ok(()),
    }
}
