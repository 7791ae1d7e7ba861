//! The head: the configuration's root and the newest records. Pure data, no I/O.

use serde::{Deserialize, Serialize};
use sk_model::{ChangeRecord, ContentHash, SnapshotRoot, TeamName, TreeRef, Version};

use crate::{CorruptData, LedgerSettings};

/// Records of one chunk of history. Chunks begin at versions 1, 9, 17 and so on, so that a
/// reader computes the key that holds a version instead of listing all of history.
pub const CHUNK_RECORDS: usize = 8;
/// Most teams of a fleet: fourteen times today's. A thousand with the longest names take a third
/// of a platform value.
pub const MAX_TEAMS: usize = 1000;

/// A record with the digest of the request it came from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LedgerEntry {
    /// The record.
    pub record: ChangeRecord,
    /// Digest of the whole request, which tells a repeated id from a reused one.
    pub digest: ContentHash,
}

/// Content of the head object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LedgerHead {
    /// Root of the newest configuration.
    pub root: SnapshotRoot,
    /// Newest records, oldest first, up to the root's version without a gap.
    pub tail: Vec<LedgerEntry>,
}

impl LedgerHead {
    /// Gives the first version that the tail holds; one past the newest for an empty tail.
    pub fn first(&self) -> Version {
        self.tail.first().map_or(self.root.version + 1, |entry| entry.record.version)
    }

    /// Finds a change in the tail.
    pub fn find(&self, change_id: &str) -> Option<&LedgerEntry> {
        self.tail.iter().rev().find(|entry| entry.record.change_id == change_id)
    }

    /// Gives the entries that have to move to history before the next commit.
    ///
    /// A chunk has a fixed length and begins at a fixed version, and an accepted record never
    /// changes. So all who ever move a chunk, from whatever head, write the same bytes under the
    /// same key. One chunk a commit keeps up, because a commit adds one record, and it spreads the
    /// cost over the commits.
    pub fn overflow(&self, settings: &LedgerSettings) -> &[LedgerEntry] {
        let is_long = self.tail.len() >= settings.tail_records.max(CHUNK_RECORDS);
        match self.tail.get(..CHUNK_RECORDS) {
            Some(chunk) if is_long || self.tail_size() >= settings.tail_bytes => chunk,
            _ => &[],
        }
    }

    /// Gives the head that follows when `entry` is committed and `moved` entries are in history.
    pub fn next(&self, tree_hash: ContentHash, entry: LedgerEntry, moved: usize) -> Self {
        let record = entry.record.clone();
        let mut root = self.root.clone();
        root.version = record.version;
        let tree_ref = TreeRef { hash: tree_hash, version: record.version };
        root.trees.insert(record.team.clone(), tree_ref);
        root.change = Some(record);
        let kept = self.tail.iter().skip(moved).cloned();
        Self { root, tail: kept.chain([entry]).collect() }
    }

    /// Gives the version that last changed a team's subtree, zero for a team without one.
    pub fn team_version(&self, team: &TeamName) -> Version {
        self.root.trees.get(team).map_or(0, |tree_ref| tree_ref.version)
    }

    /// Checks that the tail runs without a gap from a chunk's first version to the newest.
    ///
    /// # Errors
    ///
    /// Returns [`CorruptData::BrokenTail`] otherwise.
    pub fn check(&self) -> Result<(), CorruptData> {
        let version = self.root.version;
        let expected = (self.first()..=version).collect::<Vec<_>>();
        let is_joined = self.tail.iter().map(|entry| entry.record.version).eq(expected);
        let is_aligned = self.tail.is_empty() || is_chunk_start(self.first());
        let is_described = self.tail.last().map(|entry| &entry.record) == self.root.change.as_ref();
        match is_joined && is_aligned && is_described && (version == 0) == self.tail.is_empty() {
            true => Ok(()),
            false => Err(CorruptData::BrokenTail { version }),
        }
    }

    fn tail_size(&self) -> usize {
        let size = |entry: &LedgerEntry| serde_json::to_vec(entry).map_or(0, |bytes| bytes.len());
        self.tail.iter().map(size).sum()
    }
}

/// Gives the first version of the chunk that holds a version from 1 on.
pub(crate) fn chunk_start(version: Version) -> Version {
    let offset = version.saturating_sub(1) % CHUNK_RECORDS as Version;
    version - offset
}

fn is_chunk_start(version: Version) -> bool {
    version > 0 && chunk_start(version) == version
}
