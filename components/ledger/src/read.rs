//! Reads of the objects of the ledger. Heads are checked for gaps, subtrees against their hashes
//! and history chunks for their versions, so that damaged data is reported and never applied.

use std::{sync::Arc, time::Duration};

use futures::{FutureExt, StreamExt, TryStreamExt, future::BoxFuture, stream};
use serde::de::DeserializeOwned;
use sk_model::{ConfigSnapshot, TeamName, TeamTree, TreeRef, Version, content_hash};
use sk_store::{StoreError, StoredObject};

use crate::{
    CHUNK_RECORDS, CorruptData, Ledger, LedgerEntry, LedgerError, LedgerHead, error::ReadError,
    head::chunk_start, ledger::HeadRevision,
};

/// Number of subtrees read concurrently. 8 reduce a cold start with 69 teams from 69 round trips
/// to 9, and a hundred daemons that start together still stay within the connection limit of the
/// platform.
const CONCURRENT_READS: usize = 8;

impl Ledger {
    /// Reads the head, which is empty before the first commit.
    ///
    /// A head older than one read before this call means that the platform was reset or restored.
    /// Committing on it would assign versions a second time, which proxies would never accept.
    pub(crate) async fn read_head(&self) -> Result<(LedgerHead, HeadRevision), ReadError> {
        let known = self.cached_version();
        let object = self.store.get(&self.keys.head()).await.map_err(ReadError::Store)?;
        let head = object.as_ref().map(|object| self.decode_head(object)).transpose()?;
        let head = head.unwrap_or_default();
        match head.root.version {
            found if found < known => Err(CorruptData::Regressed { found, known }.into()),
            _ => Ok((head, object.map(|object| object.revision))),
        }
    }

    pub(crate) fn decode_head(&self, object: &StoredObject) -> Result<LedgerHead, ReadError> {
        let head: LedgerHead = decode(object)?;
        head.check()?;
        Ok(head)
    }

    /// Returns the entry of a change that was in force when `head` was read.
    ///
    /// The order of the reads ensures that `None` is true. An entry leaves the tail only in a
    /// commit that follows the write of the entry under `changes/`. An entry missing from this
    /// head was therefore either written there before the head was read, where the second read
    /// finds it, or was not in force. In the opposite order an entry could move between the two
    /// reads and be missed by both: an accepted change would be reported as not accepted.
    pub(crate) async fn find_entry(
        &self,
        head: &LedgerHead,
        change_id: &str,
    ) -> Result<Option<LedgerEntry>, ReadError> {
        if let Some(entry) = head.find(change_id) {
            return Ok(Some(entry.clone()));
        }
        let object = self.store.get(&self.keys.change(change_id)).await;
        object.map_err(ReadError::Store)?.map(|object| decode(&object)).transpose()
    }

    /// Reads all subtrees that a head refers to. Subtrees in `known` and cached ones need no call
    /// to the platform.
    pub(crate) async fn read_trees(
        &self,
        head: &LedgerHead,
        known: &ConfigSnapshot,
    ) -> Result<ConfigSnapshot, ReadError> {
        let read = |(team, tree_ref)| self.find_tree(known, team, tree_ref).boxed();
        let reads: Vec<BoxFuture<'_, _>> = head.root.trees.iter().map(read).collect();
        let trees = stream::iter(reads).buffered(CONCURRENT_READS).try_collect().await?;
        Ok(ConfigSnapshot { root: head.root.clone(), trees })
    }

    /// Returns the subtree of a team from memory, or reads it from the platform.
    async fn find_tree(
        &self,
        known: &ConfigSnapshot,
        team: &TeamName,
        tree_ref: &TreeRef,
    ) -> Result<(TeamName, Arc<TeamTree>), ReadError> {
        let reused = known_tree(known, team, tree_ref);
        let tree = match reused.or_else(|| self.cached_tree(team, &tree_ref.hash)) {
            Some(tree) => tree,
            None => self.read_tree(tree_ref).await?,
        };
        Ok((team.clone(), tree))
    }

    /// Reads a subtree and verifies its hash.
    async fn read_tree(&self, tree_ref: &TreeRef) -> Result<Arc<TeamTree>, ReadError> {
        let object = self.read_required(&self.keys.tree(&tree_ref.hash)).await?;
        if content_hash(object.value.as_bytes()) != tree_ref.hash {
            return Err(CorruptData::HashMismatch { key: object.key }.into());
        }
        decode(&object).map(Arc::new)
    }

    /// Returns at most `max_records` entries in the order of their versions, first from history and
    /// then from the tail of the head.
    pub(crate) async fn read_entries(
        &self,
        head: &LedgerHead,
        from: Version,
        max_records: usize,
    ) -> Result<Vec<LedgerEntry>, ReadError> {
        let mut entries = Vec::new();
        let from = from.max(1);
        let mut start = chunk_start(from);
        while start < head.first_version() && entries.len() < max_records {
            let chunk = self.read_chunk(start).await?;
            entries.extend(chunk.into_iter().filter(|entry| entry.record.version >= from));
            start += CHUNK_RECORDS as Version;
        }
        let tail = head.tail.iter().filter(|entry| entry.record.version >= from);
        entries.extend(tail.cloned());
        entries.truncate(max_records);
        Ok(entries)
    }

    /// Reads the history chunk that starts at version `start`, and verifies its versions.
    async fn read_chunk(&self, start: Version) -> Result<Vec<LedgerEntry>, ReadError> {
        let object = self.read_required(&self.keys.history(start)).await?;
        let chunk: Vec<LedgerEntry> = decode(&object)?;
        let expected = start..start + CHUNK_RECORDS as Version;
        if !chunk.iter().map(|entry| entry.record.version).eq(expected) {
            let reason = "the versions do not belong to this chunk".to_owned();
            return Err(CorruptData::Undecodable { key: object.key, reason }.into());
        }
        Ok(chunk)
    }

    /// Reads an object whose absence means that the data is corrupt.
    async fn read_required(&self, key: &str) -> Result<StoredObject, ReadError> {
        let object = self.store.get(key).await.map_err(ReadError::Store)?;
        object.ok_or_else(|| CorruptData::Missing { key: key.to_owned() }.into())
    }

    /// Converts a read error to the error of operations that only read.
    pub(crate) fn to_ledger_error(&self, err: ReadError) -> LedgerError {
        match err {
            ReadError::Corrupt(fault) => LedgerError::Corrupt(fault),
            ReadError::Store(err) => {
                LedgerError::Unavailable { retry_after: self.retry_after(&err) }
            }
        }
    }

    /// Returns the time after which to retry: the one that the platform asks for, or the setting.
    pub(crate) fn retry_after(&self, err: &StoreError) -> Duration {
        match err {
            StoreError::Throttled { retry_after } => *retry_after,
            _ => self.settings.retry_after,
        }
    }
}

/// Returns the subtree of a team from a known snapshot if it has the wanted hash.
fn known_tree(
    known: &ConfigSnapshot,
    team: &TeamName,
    tree_ref: &TreeRef,
) -> Option<Arc<TeamTree>> {
    let known_ref = known.root.trees.get(team).filter(|known_ref| known_ref.hash == tree_ref.hash);
    known_ref.and_then(|_| known.trees.get(team).cloned())
}

fn decode<T: DeserializeOwned>(object: &StoredObject) -> Result<T, ReadError> {
    serde_json::from_str(&object.value).map_err(|err| {
        let key = object.key.clone();
        CorruptData::Undecodable { key, reason: err.to_string() }.into()
    })
}
