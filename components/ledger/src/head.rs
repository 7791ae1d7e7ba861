//! The head: the root of the configuration and the newest records. Pure data without I/O.

use serde::{Deserialize, Serialize};
use sk_model::{ChangeRecord, ContentHash, SnapshotRoot, TeamName, TreeRef, Version};

use crate::{CorruptData, LedgerSettings};

/// Number of records in one history chunk. Chunks start at versions 1, 9, 17 and so on, so that a
/// reader computes the key of the chunk that holds a version instead of listing the whole history.
pub const CHUNK_RECORDS: usize = 8;
/// Largest number of teams of a fleet: 14 times the 69 of the present one. A thousand teams with
/// the longest names take a third of a platform value.
pub const MAX_TEAMS: usize = 1000;

/// A record with the digest of the request that it was made from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LedgerEntry {
    /// Record of the change.
    pub record: ChangeRecord,
    /// Digest of the whole request, which distinguishes a repeated request from another one with
    /// the same id.
    pub digest: ContentHash,
}

/// Content of the head object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LedgerHead {
    /// Root of the newest configuration.
    pub root: SnapshotRoot,
    /// Newest records, oldest first, up to the version of the root without a gap.
    pub tail: Vec<LedgerEntry>,
}

impl LedgerHead {
    /// Returns the first version in the tail, or one past the newest version if the tail is empty.
    pub fn first_version(&self) -> Version {
        self.tail.first().map_or(self.root.version + 1, |entry| entry.record.version)
    }

    /// Returns the entry of a change in the tail.
    pub fn find(&self, change_id: &str) -> Option<&LedgerEntry> {
        self.tail.iter().rev().find(|entry| entry.record.change_id == change_id)
    }

    /// Returns the entries that have to move to history before the next commit.
    ///
    /// A chunk has a fixed length and a fixed first version, and an accepted record never changes.
    /// All writers that move a chunk, from whatever head, thus write the same bytes under the same
    /// key. One chunk for each commit is enough, because a commit adds one record, and it spreads
    /// the cost over the commits.
    pub fn overflow(&self, settings: &LedgerSettings) -> &[LedgerEntry] {
        let is_long = self.tail.len() >= settings.tail_records.max(CHUNK_RECORDS);
        match self.tail.get(..CHUNK_RECORDS) {
            Some(chunk) if is_long || self.tail_size() >= settings.tail_bytes => chunk,
            _ => &[],
        }
    }

    /// Returns the head that results from committing `entry` after `moved_count` entries have
    /// moved to history.
    pub fn after_commit(
        &self,
        tree_hash: ContentHash,
        entry: LedgerEntry,
        moved_count: usize,
    ) -> Self {
        let record = entry.record.clone();
        let mut root = self.root.clone();
        root.version = record.version;
        let tree_ref = TreeRef { hash: tree_hash, version: record.version };
        root.trees.insert(record.team.clone(), tree_ref);
        root.change = Some(record);
        let remaining = self.tail.iter().skip(moved_count).cloned();
        Self { root, tail: remaining.chain([entry]).collect() }
    }

    /// Returns the version that last changed the subtree of a team, or zero for a team without
    /// one.
    pub fn team_version(&self, team: &TeamName) -> Version {
        self.root.trees.get(team).map_or(0, |tree_ref| tree_ref.version)
    }

    /// Checks that the tail has no gap from the first version of a chunk to the newest version, and
    /// that it ends with the change of the root.
    ///
    /// # Errors
    ///
    /// Returns [`CorruptData::BrokenTail`] otherwise.
    pub fn check(&self) -> Result<(), CorruptData> {
        let version = self.root.version;
        let expected_versions = (self.first_version()..=version).collect::<Vec<_>>();
        let is_gapless = self.tail.iter().map(|entry| entry.record.version).eq(expected_versions);
        let is_aligned = self.tail.is_empty() || is_chunk_start(self.first_version());
        let is_described = self.tail.last().map(|entry| &entry.record) == self.root.change.as_ref();
        match is_gapless && is_aligned && is_described && (version == 0) == self.tail.is_empty() {
            true => Ok(()),
            false => Err(CorruptData::BrokenTail { version }),
        }
    }

    fn tail_size(&self) -> usize {
        let size = |entry: &LedgerEntry| serde_json::to_vec(entry).map_or(0, |bytes| bytes.len());
        self.tail.iter().map(size).sum()
    }
}

/// Returns the first version of the chunk that holds `version`, which is at least 1.
pub(crate) fn chunk_start(version: Version) -> Version {
    let offset = version.saturating_sub(1) % CHUNK_RECORDS as Version;
    version - offset
}

fn is_chunk_start(version: Version) -> bool {
    version > 0 && chunk_start(version) == version
}
