//! Whole configurations: a root that lists every team's subtree by hash, and the subtrees.
//!
//! The hashes let a daemon verify a configuration that it received from another daemon, and fetch
//! only the subtrees that changed.

use std::{collections::BTreeMap, sync::Arc};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{
    ChangeRecord, ContentHash, SettingBody, SettingPath, SettingWrites, TeamName, Version,
    hash_json,
};

/// All settings of one team.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(transparent)]
pub struct TeamTree {
    /// Settings by path.
    pub settings: BTreeMap<SettingPath, SettingBody>,
}

impl TeamTree {
    /// Hashes the subtree's canonical encoding.
    pub fn hash(&self) -> ContentHash {
        hash_json(self)
    }

    /// Returns a copy of the subtree with the writes applied.
    pub fn with_writes(&self, writes: &SettingWrites) -> Self {
        let mut tree = self.clone();
        for (path, body) in writes {
            match body {
                Some(body) => tree.settings.insert(path.clone(), body.clone()),
                None => tree.settings.remove(path),
            };
        }
        tree
    }
}

/// Reference to one version of a team's subtree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TreeRef {
    /// Hash of the subtree.
    pub hash: ContentHash,
    /// Version that last changed the subtree.
    pub version: Version,
}

/// The root of a configuration, which suffices to verify every subtree.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SnapshotRoot {
    /// Version of the configuration, 0 for the empty configuration before the first change.
    pub version: Version,
    /// Reference to the subtree of each team.
    pub trees: BTreeMap<TeamName, TreeRef>,
    /// The change that created this version. Absent in version 0 only.
    pub change: Option<ChangeRecord>,
}

impl SnapshotRoot {
    /// Hashes the root's canonical encoding.
    pub fn hash(&self) -> ContentHash {
        hash_json(self)
    }
}

/// A whole configuration. Versions share the subtrees that did not change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ConfigSnapshot {
    /// The root.
    pub root: SnapshotRoot,
    /// Subtrees by team; each matches its hash in the root.
    pub trees: BTreeMap<TeamName, Arc<TeamTree>>,
}

impl ConfigSnapshot {
    /// Returns the version of the configuration.
    pub fn version(&self) -> Version {
        self.root.version
    }

    /// Returns whether every subtree is present and matches its hash in the root.
    pub fn is_intact(&self) -> bool {
        let matches = |(team, tree): (&TeamName, &Arc<TeamTree>)| {
            self.root.trees.get(team).is_some_and(|tree_ref| tree_ref.hash == tree.hash())
        };
        self.trees.len() == self.root.trees.len() && self.trees.iter().all(matches)
    }

    /// Returns all settings of all teams, in path order within each team.
    pub fn settings(&self) -> impl Iterator<Item = (&SettingPath, &SettingBody)> {
        self.trees.values().flat_map(|tree| tree.settings.iter())
    }
}
