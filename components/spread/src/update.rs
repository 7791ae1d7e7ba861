//! A version as what changed since a base.

use std::{collections::BTreeMap, sync::Arc};

use sk_model::{
    ChangeRecord, ConfigSnapshot, ContentHash, SettingWrites, SnapshotRoot, TeamName, TeamTree,
    TreeRef, Version,
};
use thiserror::Error;

/// The content of one subtree in an update.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TreeContent {
    /// The whole subtree.
    Whole(TeamTree),
    /// Writes on top of the base's subtree.
    Writes(SettingWrites),
}

/// One subtree that changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TreeUpdate {
    /// Hash and version of the subtree.
    pub tree_ref: TreeRef,
    /// How to come by it.
    pub content: TreeContent,
}

/// A version as what changed since a base version; base zero carries the whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigUpdate {
    /// The version.
    pub version: Version,
    /// The version it builds on.
    pub base: Version,
    /// Hash of the resulting root.
    pub root_hash: ContentHash,
    /// The change that made the version.
    pub change: Option<ChangeRecord>,
    /// Subtrees that differ from the base.
    pub trees: BTreeMap<TeamName, TreeUpdate>,
}

/// Why an update cannot be applied.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum UpdateFault {
    /// The receiver does not hold the base.
    #[error("base {base} is not held")]
    MissingBase {
        /// The base version.
        base: Version,
    },
    /// The result does not match the hash that the update names.
    #[error("version {version} does not match its hash")]
    HashMismatch {
        /// The version.
        version: Version,
    },
}

/// Makes the update that leads from `base` to `newest`. The empty snapshot as base gives the whole.
pub fn make_update(base: &ConfigSnapshot, newest: &ConfigSnapshot) -> ConfigUpdate {
    let is_changed =
        |(team, tree_ref): &(&TeamName, &TreeRef)| base.root.trees.get(*team) != Some(*tree_ref);
    let update = |(team, tree_ref): (&TeamName, &TreeRef)| {
        let tree = newest.trees.get(team).cloned().unwrap_or_default();
        let content = tree_content(base.trees.get(team), &tree);
        (team.clone(), TreeUpdate { tree_ref: tree_ref.clone(), content })
    };
    ConfigUpdate {
        version: newest.version(),
        base: base.version(),
        root_hash: newest.root.hash(),
        change: newest.root.change.clone(),
        trees: newest.root.trees.iter().filter(is_changed).map(update).collect(),
    }
}

fn tree_content(base: Option<&Arc<TeamTree>>, tree: &TeamTree) -> TreeContent {
    let Some(base) = base else {
        return TreeContent::Whole(tree.clone());
    };
    let mut writes = SettingWrites::new();
    for (path, body) in &tree.settings {
        if base.settings.get(path) != Some(body) {
            writes.insert(path.clone(), Some(body.clone()));
        }
    }
    for path in base.settings.keys().filter(|path| !tree.settings.contains_key(*path)) {
        writes.insert(path.clone(), None);
    }
    match writes.len() < tree.settings.len() {
        true => TreeContent::Writes(writes),
        false => TreeContent::Whole(tree.clone()),
    }
}

/// Applies an update to its base and verifies the result against the hashes.
///
/// # Errors
///
/// Returns an [`UpdateFault`] when the base is another one or a hash does not match.
pub fn apply_update(
    base: &ConfigSnapshot,
    update: ConfigUpdate,
) -> Result<ConfigSnapshot, UpdateFault> {
    if update.base != base.version() {
        return Err(UpdateFault::MissingBase { base: update.base });
    }
    let mut snapshot = ConfigSnapshot {
        root: SnapshotRoot {
            version: update.version,
            trees: base.root.trees.clone(),
            change: update.change,
        },
        trees: base.trees.clone(),
    };
    for (team, tree_update) in update.trees {
        let tree = match tree_update.content {
            TreeContent::Whole(tree) => tree,
            TreeContent::Writes(writes) => {
                base.trees.get(&team).cloned().unwrap_or_default().with_writes(&writes)
            }
        };
        snapshot.root.trees.insert(team.clone(), tree_update.tree_ref);
        snapshot.trees.insert(team, Arc::new(tree));
    }
    match snapshot.root.hash() == update.root_hash && snapshot.is_intact() {
        true => Ok(snapshot),
        false => Err(UpdateFault::HashMismatch { version: update.version }),
    }
}
