//! The ledger as the daemon holds it.

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

/// Most records of one read of history: 125 calls, a sixteenth of what the platform answers in a
/// second. Longer histories are read in several steps.
pub const MAX_HISTORY_RECORDS: usize = 1000;

/// The platform's revision of the head, none before the first commit.
pub(crate) type HeadRevision = Option<Revision>;

/// What was last seen of the head, to save calls. Never trusted without a check.
#[derive(Default)]
struct SeenHead {
    snapshot: ConfigSnapshot,
    revision: HeadRevision,
}

/// Accepts changes and reads configurations, with the platform as the only place that is agreed
/// or kept in. Any number of ledgers on any number of instances may work at once.
pub struct Ledger {
    pub(crate) store: SharedStore,
    pub(crate) settings: LedgerSettings,
    pub(crate) keys: KeySpace,
    seen: Mutex<SeenHead>,
}

impl Ledger {
    /// Makes a ledger over a platform. Makes no call yet.
    pub fn new(store: SharedStore, settings: LedgerSettings) -> Self {
        let keys = KeySpace::new(&settings.key_prefix);
        Self { store, settings, keys, seen: Mutex::default() }
    }

    /// Accepts a change whole, or says why not. The same change id twice gives the same record.
    ///
    /// The caller has checked that whoever asks may write the team's subtree.
    ///
    /// # Errors
    ///
    /// Returns a [`SubmitError`]. Only [`SubmitError::Unknown`] leaves open whether the change is
    /// in force or will be; every other one means that it is not and, unless it is submitted
    /// again, never will be.
    pub async fn submit(
        &self,
        request: &ChangeRequest,
        now: UnixMillis,
    ) -> Result<ChangeRecord, SubmitError> {
        self.commit_change(request, now).await
    }

    /// Looks a change id up. None says that it was not in force at the time of reading; while a
    /// submit of it is still under way or unresolved, it may be later.
    ///
    /// # Errors
    ///
    /// Returns a [`LedgerError`] where the platform is away or its data is corrupt.
    pub async fn outcome(&self, change_id: &str) -> Result<Option<ChangeRecord>, LedgerError> {
        if check_change_id(change_id).is_err() {
            // No change was ever accepted under such an id, and it must not become part of a key.
            return Ok(None);
        }
        let (head, _) = self.read_head().await.map_err(|err| self.name_error(err))?;
        let found = self.find_entry(&head, change_id).await.map_err(|err| self.name_error(err))?;
        Ok(found.map(|entry| entry.record))
    }

    /// Loads the newest snapshot, with the subtrees of `held` whose hashes are still named, and
    /// verifies the hashes of all others.
    ///
    /// # Errors
    ///
    /// Returns a [`LedgerError`] where the platform is away, its data is corrupt, or it holds an
    /// older version than `held`.
    pub async fn load(&self, held: &ConfigSnapshot) -> Result<ConfigSnapshot, LedgerError> {
        let (head, revision) = self.read_head().await.map_err(|err| self.name_error(err))?;
        self.load_head(&head, revision, held).await
    }

    /// Waits until a version newer than `held` exists and loads it; none on timeout. Takes one
    /// watch of the platform where this ledger has seen the head of `held`, else one more.
    ///
    /// # Errors
    ///
    /// Returns a [`LedgerError`] where the platform is away or its data is corrupt.
    pub async fn wait_newer(
        &self,
        held: &ConfigSnapshot,
        timeout: Duration,
    ) -> Result<Option<ConfigSnapshot>, LedgerError> {
        let deadline = tokio::time::Instant::now() + timeout;
        let mut after = self.seen_revision(held.version()).unwrap_or(0);
        loop {
            let left = deadline.saturating_duration_since(tokio::time::Instant::now());
            let watched = self.store.watch(&self.keys.head(), after, left).await;
            let object = watched.map_err(|err| self.name_error(ReadError::Store(err)))?;
            let Some(object) = object else { return Ok(None) };
            after = object.revision;
            let head = self.decode_head(&object).map_err(|err| self.name_error(err))?;
            match head.root.version {
                version if version > held.version() => {
                    return self.load_head(&head, Some(after), held).await.map(Some);
                }
                version if version == held.version() => self.remember(held.clone(), Some(after)),
                // Events may come late, so an older head is no proof of a reset platform.
                _ => {}
            }
        }
    }

    /// Reads records in version order from `from` on, at most `most` and never more than
    /// [`MAX_HISTORY_RECORDS`]. Takes one call for the head and one for each eight records that
    /// have left it.
    ///
    /// # Errors
    ///
    /// Returns a [`LedgerError`] where the platform is away or its data is corrupt.
    pub async fn history(
        &self,
        from: Version,
        most: usize,
    ) -> Result<Vec<ChangeRecord>, LedgerError> {
        let (head, _) = self.read_head().await.map_err(|err| self.name_error(err))?;
        let entries = self.read_entries(&head, from, most.min(MAX_HISTORY_RECORDS)).await;
        let entries = entries.map_err(|err| self.name_error(err))?;
        Ok(entries.into_iter().map(|entry: LedgerEntry| entry.record).collect())
    }

    async fn load_head(
        &self,
        head: &LedgerHead,
        revision: HeadRevision,
        held: &ConfigSnapshot,
    ) -> Result<ConfigSnapshot, LedgerError> {
        check_progress(head, held)?;
        let snapshot = self.read_trees(head, held).await.map_err(|err| self.name_error(err))?;
        self.remember(snapshot.clone(), revision);
        Ok(snapshot)
    }

    /// Keeps a snapshot for its subtrees, unless a newer one is kept already.
    pub(crate) fn remember(&self, snapshot: ConfigSnapshot, revision: HeadRevision) {
        let mut seen = self.seen();
        if snapshot.version() >= seen.snapshot.version() {
            *seen = SeenHead { snapshot, revision };
        }
    }

    /// Gives a subtree seen before, if its hash is the one asked for.
    pub(crate) fn seen_tree(&self, team: &TeamName, hash: &str) -> Option<Arc<TeamTree>> {
        let seen = self.seen();
        let tree_ref = seen.snapshot.root.trees.get(team)?;
        (tree_ref.hash == hash).then(|| seen.snapshot.trees.get(team).cloned())?
    }

    /// Gives the newest version seen. A head read after this call is not older.
    pub(crate) fn seen_version(&self) -> Version {
        self.seen().snapshot.version()
    }

    fn seen_revision(&self, version: Version) -> HeadRevision {
        let seen = self.seen();
        seen.revision.filter(|_| seen.snapshot.version() == version)
    }

    fn seen(&self) -> MutexGuard<'_, SeenHead> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Refuses a head that does not follow from what is held.
///
/// A platform that was reset or restored would otherwise move proxies back, or give two contents
/// to one version. The error keeps them where they are and shows until the platform is mended.
fn check_progress(head: &LedgerHead, held: &ConfigSnapshot) -> Result<(), CorruptData> {
    let version = head.root.version;
    match version.cmp(&held.version()) {
        Ordering::Less => Err(CorruptData::Regressed { found: version, held: held.version() }),
        Ordering::Equal if head.root != held.root => Err(CorruptData::Diverged { version }),
        _ => Ok(()),
    }
}
