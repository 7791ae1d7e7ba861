//! The commit of a change to the head.
//!
//! A submit reads the head, checks the change against it, and replaces the head under a condition
//! on its revision. It tries again if another commit came first, and resolves writes whose answer
//! was lost before it answers that a change was not accepted.

use std::sync::Arc;

use serde::Serialize;
use sk_decide::backoff::BackoffSettings;
use sk_model::{
    ChangeRecord, ChangeRequest, ConfigSnapshot, ContentHash, TeamTree, UnixMillis, Version,
    content_hash, validate_trees,
};
use sk_store::{MAX_VALUE_BYTES, StoreError};
use tokio::time::Instant;

use crate::{
    CorruptData, Ledger, LedgerEntry, LedgerHead, MAX_TEAMS, MalformedChange, SubmitError,
    check::{check_request, record_of, request_digest},
    error::ReadError,
    ledger::HeadRevision,
};

/// Largest number of conflicting records reported to an operator. More would not be read.
const MAX_CONFLICTING_RECORDS: usize = 16;

/// Reason why one try did not commit the change.
enum TryError {
    /// Another try may succeed.
    Retry,
    /// The platform is unavailable; this try had no effect.
    Unavailable(StoreError),
    /// No further try can succeed.
    Final(SubmitError),
}

impl From<ReadError> for TryError {
    fn from(err: ReadError) -> Self {
        match err {
            ReadError::Store(err) => err.into(),
            ReadError::Corrupt(fault) => Self::Final(SubmitError::Corrupt(fault)),
        }
    }
}

impl From<StoreError> for TryError {
    fn from(err: StoreError) -> Self {
        match err {
            StoreError::TooLarge { size } => {
                Self::Final(SubmitError::TooLarge { size, limit: MAX_VALUE_BYTES })
            }
            err => Self::Unavailable(err),
        }
    }
}

impl From<MalformedChange> for TryError {
    fn from(fault: MalformedChange) -> Self {
        Self::Final(SubmitError::Malformed(fault))
    }
}

/// A change that is being submitted, with what earlier tries left open.
struct PendingChange<'a> {
    request: &'a ChangeRequest,
    digest: ContentHash,
    now: UnixMillis,
    /// Head revision under which a put was sent whose answer was lost.
    ///
    /// Such a put may have taken effect or may still take effect later, but only while the head
    /// has this revision, and revisions are never reused. A changed head therefore resolves it:
    /// either the records of the head contain the change, or the put can never take effect. To an
    /// unchanged head the same bytes are sent under the same condition; the platform accepts only
    /// one of the two puts, and both would create the same record.
    unresolved_put: Option<HeadRevision>,
    /// Hash of the subtree that an earlier try wrote and that need not be written again.
    written_tree: Option<ContentHash>,
    /// Version up to which an earlier try found no entry of this change.
    absent_up_to: Option<Version>,
}

/// The objects that a commit writes.
struct CommitPlan {
    snapshot: ConfigSnapshot,
    tree: Arc<TeamTree>,
    record: ChangeRecord,
    moved_count: usize,
    head: LedgerHead,
}

impl Ledger {
    /// Tries to commit a change until it is accepted, rejected or out of tries.
    pub(crate) async fn commit_change(
        &self,
        request: &ChangeRequest,
        now: UnixMillis,
    ) -> Result<ChangeRecord, SubmitError> {
        check_request(request)?;
        let digest = request_digest(request);
        let (unresolved_put, written_tree, absent_up_to) = (None, None, None);
        let mut pending =
            PendingChange { request, digest, now, unresolved_put, written_tree, absent_up_to };
        let deadline = Instant::now() + self.settings.submit_timeout;
        let mut retry_after = self.settings.retry_after;
        for try_index in 0..self.settings.submit_tries.max(1) {
            if try_index > 0 {
                self.pause(try_index - 1).await;
            }
            if try_index > 0 && Instant::now() >= deadline {
                break;
            }
            match self.try_commit(&mut pending).await {
                Ok(record) => return Ok(record),
                Err(TryError::Retry) => {}
                // While a put is unresolved, "not accepted" could be wrong, so the tries continue.
                Err(TryError::Unavailable(err)) if pending.unresolved_put.is_some() => {
                    retry_after = self.retry_after(&err);
                }
                Err(TryError::Unavailable(err)) => {
                    let retry_after = self.retry_after(&err);
                    return Err(SubmitError::NotAccepted { retry_after });
                }
                Err(TryError::Final(err)) => return Err(pending.final_error(err)),
            }
        }
        Err(pending.final_error(SubmitError::NotAccepted { retry_after }))
    }

    /// Waits for a random delay before the next try.
    async fn pause(&self, try_index: u32) {
        // With equal delays, operators whose commits collide would collide again.
        let (base, cap) = (self.settings.backoff_base, self.settings.backoff_cap);
        let pause = BackoffSettings { base, cap }.delay(try_index, &mut rand::rng());
        tokio::time::sleep(pause).await;
    }

    /// Tries once to commit the change on the current head.
    async fn try_commit(&self, pending: &mut PendingChange<'_>) -> Result<ChangeRecord, TryError> {
        let (head, revision) = self.read_head().await?;
        if let Some(entry) = self.find_own_entry(pending, &head).await? {
            return pending.resolve_with(entry);
        }
        if pending.unresolved_put.is_some_and(|put_revision| put_revision != revision) {
            pending.unresolved_put = None;
        }
        let plan = self.plan_commit(pending, &head, revision).await?;
        self.write_history(head.tail.get(..plan.moved_count).unwrap_or_default()).await?;
        self.write_tree(pending, &head, &plan).await?;
        self.put_head(pending, revision, plan).await
    }

    /// Returns the entry of the change. Needs no call if an earlier try has looked it up and all
    /// later versions are in the tail of the head.
    async fn find_own_entry(
        &self,
        pending: &mut PendingChange<'_>,
        head: &LedgerHead,
    ) -> Result<Option<LedgerEntry>, TryError> {
        let change_id = &pending.request.change_id;
        let found = match pending.absent_up_to {
            Some(version) if head.first_version() <= version + 1 => head.find(change_id).cloned(),
            _ => self.find_entry(head, change_id).await?,
        };
        pending.absent_up_to = Some(head.root.version);
        Ok(found)
    }

    /// Checks the change against the configuration and returns the objects to write.
    async fn plan_commit(
        &self,
        pending: &PendingChange<'_>,
        head: &LedgerHead,
        revision: HeadRevision,
    ) -> Result<CommitPlan, TryError> {
        let request = pending.request;
        self.check_base(request, head).await?;
        let mut snapshot = self.read_trees(head, &ConfigSnapshot::default()).await?;
        // If this try loses against another commit, the next one only reads the subtrees changed
        // since.
        self.cache_snapshot(snapshot.clone(), revision);
        let tree = snapshot.trees.get(&request.team).cloned().unwrap_or_default();
        check_withdrawn(request, &tree)?;
        let tree = Arc::new(tree.with_writes(&request.writes));
        snapshot.trees.insert(request.team.clone(), Arc::clone(&tree));
        let faults = validate_trees(&snapshot.trees);
        if !faults.is_empty() {
            return Err(TryError::Final(SubmitError::Invalid { faults }));
        }
        let record = record_of(request, head.root.version + 1, pending.now);
        let entry = LedgerEntry { record: record.clone(), digest: pending.digest.clone() };
        let moved_count = head.overflow(&self.settings).len();
        let head = head.after_commit(tree.hash(), entry, moved_count);
        snapshot.root = head.root.clone();
        Ok(CommitPlan { snapshot, tree, record, moved_count, head })
    }

    /// Rejects a change that was made on an outdated version of the subtree of its team. Otherwise
    /// the slower of two operators would undo the change of the other unnoticed.
    async fn check_base(&self, request: &ChangeRequest, head: &LedgerHead) -> Result<(), TryError> {
        let (base, newest) = (request.base, head.root.version);
        let last_change = head.team_version(&request.team);
        if base > newest {
            return Err(MalformedChange::BaseAhead { base, newest }.into());
        }
        if !head.root.trees.contains_key(&request.team) && head.root.trees.len() >= MAX_TEAMS {
            return Err(MalformedChange::TooManyTeams { team: request.team.clone() }.into());
        }
        if last_change <= base {
            return Ok(());
        }
        // The last change of the subtree may have left the tail; it is reported nevertheless.
        let entries = match head.first_version() {
            first if last_change < first => self.read_entries(head, last_change, 1).await?,
            _ => head.tail.clone(),
        };
        let is_conflicting =
            |record: &ChangeRecord| record.team == request.team && record.version > base;
        let records = entries.into_iter().map(|entry| entry.record).filter(is_conflicting);
        let mut conflicting: Vec<_> = records.collect();
        conflicting.drain(..conflicting.len().saturating_sub(MAX_CONFLICTING_RECORDS));
        Err(TryError::Final(SubmitError::Conflict { conflicting }))
    }

    /// Writes the entries that leave the tail, each by its id and all together as a history chunk.
    ///
    /// These writes precede the commit that removes the entries from the head. Otherwise an
    /// accepted change could not be found for a while, and never again if this process ended in
    /// between. Every writer writes the same content, so an existing key counts as written, and a
    /// write that takes effect late does no harm.
    async fn write_history(&self, entries: &[LedgerEntry]) -> Result<(), TryError> {
        let Some(first) = entries.first() else { return Ok(()) };
        for entry in entries {
            self.create_immutable(&self.keys.change(&entry.record.change_id), encode(entry)?)
                .await?;
        }
        self.create_immutable(&self.keys.history(first.record.version), encode(&entries)?).await
    }

    /// Writes the changed subtree, unless the head or an earlier try has written it.
    async fn write_tree(
        &self,
        pending: &mut PendingChange<'_>,
        head: &LedgerHead,
        plan: &CommitPlan,
    ) -> Result<(), TryError> {
        let value = encode(&*plan.tree)?;
        let hash = content_hash(value.as_bytes());
        let current_hash = head.root.trees.get(&plan.record.team).map(|tree_ref| &tree_ref.hash);
        if current_hash == Some(&hash) || pending.written_tree.as_ref() == Some(&hash) {
            return Ok(());
        }
        check_size(&value)?;
        self.create_immutable(&self.keys.tree(&hash), value).await?;
        pending.written_tree = Some(hash);
        Ok(())
    }

    /// Writes an object whose content depends on its key alone, so that an existing one is equal.
    async fn create_immutable(&self, key: &str, value: String) -> Result<(), TryError> {
        match self.store.create(key, value).await {
            Ok(_) | Err(StoreError::Conflict { .. }) => Ok(()),
            // Writing it again is harmless, so the outcome need not be looked up.
            Err(StoreError::Unknown { .. }) => Err(TryError::Retry),
            Err(err) => Err(err.into()),
        }
    }

    /// Replaces the head under a condition on its revision, which commits the change.
    async fn put_head(
        &self,
        pending: &mut PendingChange<'_>,
        revision: HeadRevision,
        plan: CommitPlan,
    ) -> Result<ChangeRecord, TryError> {
        let value = encode(&plan.head)?;
        check_size(&value)?;
        let key = self.keys.head();
        let put = match revision {
            Some(expected) => self.store.replace(&key, expected, value).await,
            None => self.store.create(&key, value).await,
        };
        match put {
            Ok(revision) => {
                let (version, team) = (plan.record.version, &plan.record.team);
                log::info!("ledger: accepted version {version} of team {team}");
                self.cache_snapshot(plan.snapshot, Some(revision));
                Ok(plan.record)
            }
            // Another commit came first, or an earlier put of this change took effect: the next
            // try finds out.
            Err(StoreError::Conflict { .. }) => Err(TryError::Retry),
            // An invalid answer may follow a write that took effect.
            Err(err @ (StoreError::Unknown { .. } | StoreError::Protocol { .. })) => {
                log::warn!(
                    "ledger: outcome of the commit of {} is unresolved: {err}",
                    pending.request.change_id
                );
                pending.unresolved_put = Some(revision);
                Err(TryError::Retry)
            }
            Err(err) => Err(err.into()),
        }
    }
}

impl PendingChange<'_> {
    /// Returns the change that was accepted under this id, or an error if its content differs.
    ///
    /// The entry did not exist when a put became unresolved. The head has therefore changed since,
    /// which resolves the put even if the entry has other content.
    fn resolve_with(&mut self, entry: LedgerEntry) -> Result<ChangeRecord, TryError> {
        self.unresolved_put = None;
        match entry.digest == self.digest {
            true => Ok(entry.record),
            false => {
                let record = Box::new(entry.record);
                Err(TryError::Final(SubmitError::IdReused { record }))
            }
        }
    }

    /// Converts an error to "unknown" while a put is unresolved, because any other error means
    /// that the change was not applied.
    fn final_error(&self, err: SubmitError) -> SubmitError {
        match self.unresolved_put {
            Some(_) => SubmitError::Unknown { change_id: self.request.change_id.clone() },
            None => err,
        }
    }
}

/// Checks that all paths to withdraw exist.
fn check_withdrawn(request: &ChangeRequest, tree: &TeamTree) -> Result<(), MalformedChange> {
    let withdrawn = request.writes.iter().filter(|(_, body)| body.is_none());
    let missing = withdrawn.map(|(path, _)| path).find(|path| !tree.settings.contains_key(*path));
    match missing {
        Some(path) => Err(MalformedChange::NothingToWithdraw { path: path.clone() }),
        None => Ok(()),
    }
}

fn check_size(value: &str) -> Result<(), TryError> {
    match value.len() {
        size if size > MAX_VALUE_BYTES => {
            Err(TryError::Final(SubmitError::TooLarge { size, limit: MAX_VALUE_BYTES }))
        }
        _ => Ok(()),
    }
}

fn encode<T: Serialize>(value: &T) -> Result<String, TryError> {
    serde_json::to_string(value).map_err(|err| {
        let fault = CorruptData::Undecodable { key: String::new(), reason: err.to_string() };
        TryError::Final(SubmitError::Corrupt(fault))
    })
}
