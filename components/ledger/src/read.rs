//! Reads of the ledger's objects.

use std::{sync::Arc, time::Duration};

use futures::{FutureExt, StreamExt, TryStreamExt, future::BoxFuture, stream};
use serde::de::DeserializeOwned;
use sk_model::{ConfigSnapshot, TeamName, TeamTree, TreeRef, Version, content_hash};
use sk_store::{StoreError, StoredObject};

use crate::{
    CHUNK_RECORDS, CorruptData, Ledger, LedgerEntry, LedgerError, LedgerHead, error::ReadError,
    head::chunk_start, ledger::HeadRevision,
};

/// Subtrees read at once. Eight bring a cold start with 69 teams from 69 round trips to nine, and
/// a hundred daemons that start together still stay within the platform's connections.
const CONCURRENT_READS: usize = 8;

impl Ledger {
    /// Reads the head, empty before the first commit.
    ///
    /// A head older than one seen before the call means that the platform was reset or restored.
    /// Committing on it would give out versions a second time, which proxies would never take.
    pub(crate) async fn read_head(&self) -> Result<(LedgerHead, HeadRevision), ReadError> {
        let held = self.seen_version();
        let object = self.store.get(&self.keys.head()).await.map_err(ReadError::Store)?;
        let head = object.as_ref().map(|object| self.decode_head(object)).transpose()?;
        let head = head.unwrap_or_default();
        match head.root.version {
            found if found < held => Err(CorruptData::Regressed { found, held }.into()),
            _ => Ok((head, object.map(|object| object.revision))),
        }
    }

    pub(crate) fn decode_head(&self, object: &StoredObject) -> Result<LedgerHead, ReadError> {
        let head: LedgerHead = decode(object)?;
        head.check()?;
        Ok(head)
    }

    /// Finds the entry of a change that was in force when `head` was read.
    ///
    /// The order is what makes "none" true. An entry leaves the tail only in a commit that comes
    /// after the entry was written under `changes/`. So an entry that this head does not have was
    /// either written there before the head was read, where the read that follows finds it, or it
    /// was not in force. The other way round, an entry could move between the two reads and be
    /// missed by both: an accepted change would be reported as not accepted.
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

    /// Reads all subtrees a head names, those of `held` and those seen before without a call.
    pub(crate) async fn read_trees(
        &self,
        head: &LedgerHead,
        held: &ConfigSnapshot,
    ) -> Result<ConfigSnapshot, ReadError> {
        let read = |(team, tree_ref)| self.find_tree(held, team, tree_ref).boxed();
        let reads: Vec<BoxFuture<'_, _>> = head.root.trees.iter().map(read).collect();
        let trees = stream::iter(reads).buffered(CONCURRENT_READS).try_collect().await?;
        Ok(ConfigSnapshot { root: head.root.clone(), trees })
    }

    async fn find_tree(
        &self,
        held: &ConfigSnapshot,
        team: &TeamName,
        tree_ref: &TreeRef,
    ) -> Result<(TeamName, Arc<TeamTree>), ReadError> {
        let known = held_tree(held, team, tree_ref);
        let tree = match known.or_else(|| self.seen_tree(team, &tree_ref.hash)) {
            Some(tree) => tree,
            None => self.read_tree(tree_ref).await?,
        };
        Ok((team.clone(), tree))
    }

    async fn read_tree(&self, tree_ref: &TreeRef) -> Result<Arc<TeamTree>, ReadError> {
        let object = self.read_needed(&self.keys.tree(&tree_ref.hash)).await?;
        if content_hash(object.value.as_bytes()) != tree_ref.hash {
            return Err(CorruptData::HashMismatch { key: object.key }.into());
        }
        decode(&object).map(Arc::new)
    }

    /// Reads entries in version order, first from history, then from the head's tail.
    pub(crate) async fn read_entries(
        &self,
        head: &LedgerHead,
        from: Version,
        most: usize,
    ) -> Result<Vec<LedgerEntry>, ReadError> {
        let mut entries = Vec::new();
        let from = from.max(1);
        let mut start = chunk_start(from);
        while start < head.first() && entries.len() < most {
            let chunk = self.read_chunk(start).await?;
            entries.extend(chunk.into_iter().filter(|entry| entry.record.version >= from));
            start += CHUNK_RECORDS as Version;
        }
        let tail = head.tail.iter().filter(|entry| entry.record.version >= from);
        entries.extend(tail.cloned());
        entries.truncate(most);
        Ok(entries)
    }

    async fn read_chunk(&self, start: Version) -> Result<Vec<LedgerEntry>, ReadError> {
        let object = self.read_needed(&self.keys.history(start)).await?;
        let chunk: Vec<LedgerEntry> = decode(&object)?;
        let expected = start..start + CHUNK_RECORDS as Version;
        if !chunk.iter().map(|entry| entry.record.version).eq(expected) {
            let reason = "versions are not those of the chunk".to_owned();
            return Err(CorruptData::Undecodable { key: object.key, reason }.into());
        }
        Ok(chunk)
    }

    async fn read_needed(&self, key: &str) -> Result<StoredObject, ReadError> {
        let object = self.store.get(key).await.map_err(ReadError::Store)?;
        object.ok_or_else(|| CorruptData::Missing { key: key.to_owned() }.into())
    }

    /// Names a failed read for those who only read.
    pub(crate) fn name_error(&self, err: ReadError) -> LedgerError {
        match err {
            ReadError::Corrupt(fault) => LedgerError::Corrupt(fault),
            ReadError::Store(err) => {
                LedgerError::Unavailable { retry_after: self.retry_after(&err) }
            }
        }
    }

    /// Gives when to come back: what the platform says, else the setting.
    pub(crate) fn retry_after(&self, err: &StoreError) -> Duration {
        match err {
            StoreError::Throttled { retry_after } => *retry_after,
            _ => self.settings.retry_after,
        }
    }
}

fn held_tree(held: &ConfigSnapshot, team: &TeamName, tree_ref: &TreeRef) -> Option<Arc<TeamTree>> {
    let named = held.root.trees.get(team).filter(|named| named.hash == tree_ref.hash);
    named.and_then(|_| held.trees.get(team).cloned())
}

fn decode<T: DeserializeOwned>(object: &StoredObject) -> Result<T, ReadError> {
    serde_json::from_str(&object.value).map_err(|err| {
        let key = object.key.clone();
        CorruptData::Undecodable { key, reason: err.to_string() }.into()
    })
}
