//! The way of a change to the head.

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

/// Most conflicting records named to an operator who lost a race. More would not be read.
const MAX_CONFLICTING: usize = 16;

/// Why one try did not accept the change.
enum TryError {
    /// Another try may.
    Retry,
    /// The platform is away; nothing was done in this try.
    Away(StoreError),
    /// No further try will.
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
            err => Self::Away(err),
        }
    }
}

impl From<MalformedChange> for TryError {
    fn from(fault: MalformedChange) -> Self {
        Self::Final(SubmitError::Malformed(fault))
    }
}

/// A change on its way, with what its earlier tries left open.
struct ChangeAttempt<'a> {
    request: &'a ChangeRequest,
    digest: ContentHash,
    now: UnixMillis,
    /// Head revision on which a put was sent whose answer was lost.
    ///
    /// Such a put may have taken effect, and it may still do so later. But it can do so only while
    /// the head has this revision, and revisions are never used twice. So a head that has moved on
    /// settles it: either the head's records have the change, or the put can never land. A head
    /// that has not moved is sent the very same bytes under the very same condition; of the two
    /// puts the platform lets only one through, and both would have made the same record.
    doubt: Option<HeadRevision>,
    /// Hash of the subtree written by an earlier try, which need not be written again.
    kept: Option<ContentHash>,
    /// Version up to which an earlier try found no entry of this change.
    absent_to: Option<Version>,
}

/// What a commit writes.
struct CommitPlan {
    snapshot: ConfigSnapshot,
    tree: Arc<TeamTree>,
    record: ChangeRecord,
    moved: usize,
    head: LedgerHead,
}

impl Ledger {
    pub(crate) async fn commit_change(
        &self,
        request: &ChangeRequest,
        now: UnixMillis,
    ) -> Result<ChangeRecord, SubmitError> {
        check_request(request)?;
        let digest = request_digest(request);
        let (doubt, kept, absent_to) = (None, None, None);
        let mut attempt = ChangeAttempt { request, digest, now, doubt, kept, absent_to };
        let deadline = Instant::now() + self.settings.submit_time;
        let mut retry_after = self.settings.retry_after;
        for number in 0..self.settings.submit_tries.max(1) {
            if number > 0 {
                self.pause(number - 1).await;
            }
            if number > 0 && Instant::now() >= deadline {
                break;
            }
            match self.try_commit(&mut attempt).await {
                Ok(record) => return Ok(record),
                Err(TryError::Retry) => {}
                // With a put in doubt, "not accepted" would be a guess, so the tries go on.
                Err(TryError::Away(err)) if attempt.doubt.is_some() => {
                    retry_after = self.retry_after(&err);
                }
                Err(TryError::Away(err)) => {
                    let retry_after = self.retry_after(&err);
                    return Err(SubmitError::NotAccepted { retry_after });
                }
                Err(TryError::Final(err)) => return Err(attempt.settle(err)),
            }
        }
        Err(attempt.settle(SubmitError::NotAccepted { retry_after }))
    }

    async fn pause(&self, number: u32) {
        // Operators whose commits meet on one head would with equal pauses meet there again.
        let (base, cap) = (self.settings.backoff_base, self.settings.backoff_cap);
        let pause = BackoffSettings { base, cap }.delay(number, &mut rand::rng());
        tokio::time::sleep(pause).await;
    }

    async fn try_commit(&self, attempt: &mut ChangeAttempt<'_>) -> Result<ChangeRecord, TryError> {
        let (head, revision) = self.read_head().await?;
        if let Some(entry) = self.find_again(attempt, &head).await? {
            return attempt.recognise(entry);
        }
        if attempt.doubt.is_some_and(|doubtful| doubtful != revision) {
            attempt.doubt = None;
        }
        let plan = self.plan_commit(attempt, &head, revision).await?;
        self.keep_entries(head.tail.get(..plan.moved).unwrap_or_default()).await?;
        self.keep_tree(attempt, &head, &plan).await?;
        self.put_head(attempt, revision, plan).await
    }

    /// Finds the entry of the change, without a call where an earlier try has looked and all
    /// versions since are in the head's tail.
    async fn find_again(
        &self,
        attempt: &mut ChangeAttempt<'_>,
        head: &LedgerHead,
    ) -> Result<Option<LedgerEntry>, TryError> {
        let change_id = &attempt.request.change_id;
        let found = match attempt.absent_to {
            Some(version) if head.first() <= version + 1 => head.find(change_id).cloned(),
            _ => self.find_entry(head, change_id).await?,
        };
        attempt.absent_to = Some(head.root.version);
        Ok(found)
    }

    async fn plan_commit(
        &self,
        attempt: &ChangeAttempt<'_>,
        head: &LedgerHead,
        revision: HeadRevision,
    ) -> Result<CommitPlan, TryError> {
        let request = attempt.request;
        self.check_base(request, head).await?;
        let mut snapshot = self.read_trees(head, &ConfigSnapshot::default()).await?;
        // A try that loses the race leaves the next one only the subtrees changed since to read.
        self.remember(snapshot.clone(), revision);
        let tree = snapshot.trees.get(&request.team).cloned().unwrap_or_default();
        check_withdrawn(request, &tree)?;
        let tree = Arc::new(tree.with_writes(&request.writes));
        snapshot.trees.insert(request.team.clone(), Arc::clone(&tree));
        let faults = validate_trees(&snapshot.trees);
        if !faults.is_empty() {
            return Err(TryError::Final(SubmitError::Invalid { faults }));
        }
        let record = record_of(request, head.root.version + 1, attempt.now);
        let entry = LedgerEntry { record: record.clone(), digest: attempt.digest.clone() };
        let moved = head.overflow(&self.settings).len();
        let head = head.next(tree.hash(), entry, moved);
        snapshot.root = head.root.clone();
        Ok(CommitPlan { snapshot, tree, record, moved, head })
    }

    /// Refuses a change made on an outdated view of its team's subtree. Without this, the slower
    /// of two operators would undo the other's change without either noticing.
    async fn check_base(&self, request: &ChangeRequest, head: &LedgerHead) -> Result<(), TryError> {
        let (base, newest) = (request.base, head.root.version);
        let changed = head.team_version(&request.team);
        if base > newest {
            return Err(MalformedChange::BaseAhead { base, newest }.into());
        }
        if !head.root.trees.contains_key(&request.team) && head.root.trees.len() >= MAX_TEAMS {
            return Err(MalformedChange::TooManyTeams { team: request.team.clone() }.into());
        }
        if changed <= base {
            return Ok(());
        }
        // The last change of the subtree may have left the tail; it is named all the same.
        let entries = match head.first() {
            first if changed < first => self.read_entries(head, changed, 1).await?,
            _ => head.tail.clone(),
        };
        let conflicts =
            |record: &ChangeRecord| record.team == request.team && record.version > base;
        let records = entries.into_iter().map(|entry| entry.record).filter(conflicts);
        let mut conflicting: Vec<_> = records.collect();
        conflicting.drain(..conflicting.len().saturating_sub(MAX_CONFLICTING));
        Err(TryError::Final(SubmitError::Raced { conflicting }))
    }

    /// Writes the entries that leave the tail, each by its id and all as a chunk of history.
    ///
    /// All of it comes before the commit that drops them from the head, or else an accepted change
    /// could not be found for a while, and never again if this process dies in between. The
    /// content is the same whoever writes it, so that a key already taken is as good as written,
    /// and a write delayed for long harms nothing.
    async fn keep_entries(&self, entries: &[LedgerEntry]) -> Result<(), TryError> {
        let Some(first) = entries.first() else { return Ok(()) };
        for entry in entries {
            self.keep(&self.keys.change(&entry.record.change_id), encode(entry)?).await?;
        }
        self.keep(&self.keys.history(first.record.version), encode(&entries)?).await
    }

    async fn keep_tree(
        &self,
        attempt: &mut ChangeAttempt<'_>,
        head: &LedgerHead,
        plan: &CommitPlan,
    ) -> Result<(), TryError> {
        let value = encode(&*plan.tree)?;
        let hash = content_hash(value.as_bytes());
        let named = head.root.trees.get(&plan.record.team).map(|tree_ref| &tree_ref.hash);
        if named == Some(&hash) || attempt.kept.as_ref() == Some(&hash) {
            return Ok(());
        }
        check_size(&value)?;
        self.keep(&self.keys.tree(&hash), value).await?;
        attempt.kept = Some(hash);
        Ok(())
    }

    async fn keep(&self, key: &str, value: String) -> Result<(), TryError> {
        match self.store.create(key, value).await {
            Ok(_) | Err(StoreError::Conflict { .. }) => Ok(()),
            // Writing it again is harmless, so the outcome need not be looked up.
            Err(StoreError::Unknown { .. }) => Err(TryError::Retry),
            Err(err) => Err(err.into()),
        }
    }

    async fn put_head(
        &self,
        attempt: &mut ChangeAttempt<'_>,
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
                log::info!("ledger: version {version} accepted for team {team}");
                self.remember(plan.snapshot, Some(revision));
                Ok(plan.record)
            }
            // Another commit came first, or an earlier put of this one landed: the next try tells.
            Err(StoreError::Conflict { .. }) => Err(TryError::Retry),
            // An answer out of protocol may follow a write that took effect.
            Err(err @ (StoreError::Unknown { .. } | StoreError::Protocol { .. })) => {
                log::warn!("ledger: commit of {} in doubt: {err}", attempt.request.change_id);
                attempt.doubt = Some(revision);
                Err(TryError::Retry)
            }
            Err(err) => Err(err.into()),
        }
    }
}

impl ChangeAttempt<'_> {
    /// Answers with the change that was accepted under this id.
    ///
    /// It was not there when a put came into doubt, so the head has moved on since and an entry of
    /// other content settles the doubt as well.
    fn recognise(&mut self, entry: LedgerEntry) -> Result<ChangeRecord, TryError> {
        self.doubt = None;
        match entry.digest == self.digest {
            true => Ok(entry.record),
            false => {
                let record = Box::new(entry.record);
                Err(TryError::Final(SubmitError::IdReused { record }))
            }
        }
    }

    /// Turns an answer into "unknown" while a put is in doubt, because any other says that
    /// nothing was done.
    fn settle(&self, err: SubmitError) -> SubmitError {
        match self.doubt {
            Some(_) => SubmitError::Unknown { change_id: self.request.change_id.clone() },
            None => err,
        }
    }
}

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
