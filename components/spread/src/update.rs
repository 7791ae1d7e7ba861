//! Updates: a version encoded as its difference from a base version. Applying one verifies the
//! result against its hashes, so that an update on the wrong base or damaged in transit never
//! comes into force.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use sk_model::{
    ChangeRecord, ConfigSnapshot, ContentHash, SettingWrites, TeamName, TeamTree, TreeRef, Version,
};
use thiserror::Error;

/// Hash of each subtree, by team.
pub type TreeHashes = BTreeMap<TeamName, ContentHash>;

/// The content of one subtree in an update.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TreeContent {
    /// The whole subtree.
    Whole(TeamTree),
    /// Writes to apply to the base's subtree.
    Writes(SettingWrites),
    /// The receiver already has this subtree, as its hash shows.
    Unchanged,
}

/// One subtree that differs from the base.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TreeUpdate {
    /// Hash and version of the subtree.
    pub tree_ref: TreeRef,
    /// The content, or how to derive it.
    pub content: TreeContent,
}

/// A version as its difference from a base version; base zero means the whole version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigUpdate {
    /// The version that the update leads to.
    pub version: Version,
    /// The version that it builds on.
    pub base: Version,
    /// Hash of the resulting root.
    pub root_hash: ContentHash,
    /// The change that made the version.
    pub change: Option<ChangeRecord>,
    /// Subtrees that differ from the base.
    pub trees: BTreeMap<TeamName, TreeUpdate>,
    /// Subtrees of the base that the version no longer has.
    pub removed: BTreeSet<TeamName>,
}

/// Why an update cannot be applied.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum UpdateFault {
    /// The receiver does not hold the base.
    #[error("base {base} is not held")]
    MissingBase {
        /// The base version of the update.
        base: Version,
    },
    /// The result does not match the hash that the update names.
    #[error("version {version} does not match its hash")]
    HashMismatch {
        /// The version that the update names.
        version: Version,
    },
}

/// Makes the update that leads from `base` to `newest`. An empty snapshot as `base` yields the
/// whole version.
pub fn make_update(base: &ConfigSnapshot, newest: &ConfigSnapshot) -> ConfigUpdate {
    let is_changed =
        |(team, tree_ref): &(&TeamName, &TreeRef)| base.root.trees.get(*team) != Some(*tree_ref);
    let is_removed = |team: &&TeamName| !newest.root.trees.contains_key(*team);
    let update = |(team, tree_ref): (&TeamName, &TreeRef)| {
        let tree = newest.trees.get(team).cloned().unwrap_or_default();
        let content = make_tree_content(base.trees.get(team), &tree);
        (team.clone(), TreeUpdate { tree_ref: tree_ref.clone(), content })
    };
    ConfigUpdate {
        version: newest.version(),
        base: base.version(),
        root_hash: newest.root.hash(),
        change: newest.root.change.clone(),
        trees: newest.root.trees.iter().filter(is_changed).map(update).collect(),
        removed: base.root.trees.keys().filter(is_removed).cloned().collect(),
    }
}

/// Makes the update for a receiver whose base is not kept here and that sent the hashes of its
/// subtrees: subtrees that match are left out, the others are whole.
pub fn make_tree_update(held: &TreeHashes, newest: &ConfigSnapshot) -> ConfigUpdate {
    let mut update = make_update(&ConfigSnapshot::default(), newest);
    for (team, tree) in &mut update.trees {
        if held.get(team) == Some(&tree.tree_ref.hash) {
            tree.content = TreeContent::Unchanged;
        }
    }
    update
}

/// Returns the hashes of a configuration's subtrees.
pub fn tree_hashes(snapshot: &ConfigSnapshot) -> TreeHashes {
    let hash = |(team, tree_ref): (&TeamName, &TreeRef)| (team.clone(), tree_ref.hash.clone());
    snapshot.root.trees.iter().map(hash).collect()
}

/// Returns the writes that lead from `base` to `tree`, or the whole subtree if it has no more
/// settings than there are writes.
fn make_tree_content(base: Option<&Arc<TeamTree>>, tree: &TeamTree) -> TreeContent {
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

/// Applies an update to the held snapshot and verifies the result against the hashes.
///
/// `held` must be the base that the update names; with base zero only its subtrees are used.
///
/// # Errors
///
/// Returns an [`UpdateFault`] if the base is a different one or a hash does not match.
pub fn apply_update(
    held: &ConfigSnapshot,
    update: ConfigUpdate,
) -> Result<ConfigSnapshot, UpdateFault> {
    if update.base != 0 && update.base != held.version() {
        return Err(UpdateFault::MissingBase { base: update.base });
    }
    let mut snapshot = if update.base == 0 { ConfigSnapshot::default() } else { held.clone() };
    snapshot.root.version = update.version;
    snapshot.root.change = update.change;
    for team in &update.removed {
        snapshot.root.trees.remove(team);
        snapshot.trees.remove(team);
    }
    for (team, tree_update) in update.trees {
        let base = held.trees.get(&team).cloned().unwrap_or_default();
        let tree = match tree_update.content {
            TreeContent::Whole(tree) => Arc::new(tree),
            TreeContent::Writes(writes) => Arc::new(base.with_writes(&writes)),
            TreeContent::Unchanged => base,
        };
        snapshot.root.trees.insert(team.clone(), tree_update.tree_ref);
        snapshot.trees.insert(team, tree);
    }
    // A sender with another history under the same version numbers, or damage in transit, is only
    // detectable here. No part of such an update may come into force.
    match snapshot.root.hash() == update.root_hash && snapshot.is_intact() {
        true => Ok(snapshot),
        false => Err(UpdateFault::HashMismatch { version: update.version }),
    }
}
