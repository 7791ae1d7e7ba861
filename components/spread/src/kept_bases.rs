//! Earlier versions of the configuration, kept as bases for deltas.
//!
//! One team's subtree can hold the whole configuration. Kept whole, sixteen versions of two thousand
//! settings took over half of the memory of a daemon on a small instance, so each version is kept as
//! what differs from the next one.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use sk_model::{
    ConfigSnapshot, SettingWrites, SnapshotRoot, TeamName, TeamTree, Version, diff_settings,
};

/// Number of earlier versions kept.
const MAX_KEPT_BASES: usize = 16;

/// How a team's subtree differs from that of the next version.
#[derive(Clone, Debug)]
enum TreeChange {
    /// Writes that turn the next version's subtree into this one.
    Writes(SettingWrites),
    /// The whole subtree, which the next version lacks.
    Whole(Arc<TeamTree>),
}

/// An earlier version, relative to the next one. Teams without a change have the same subtree in
/// both.
#[derive(Clone, Debug)]
struct KeptBase {
    root: SnapshotRoot,
    changes: BTreeMap<TeamName, TreeChange>,
}

/// The versions before the newest one, the oldest first.
#[derive(Debug, Default)]
pub(crate) struct KeptBases {
    bases: VecDeque<KeptBase>,
}

impl KeptBases {
    /// Keeps the version that `newer` replaces as the newest one. The empty configuration before the
    /// first version is not kept.
    pub(crate) fn push(&mut self, replaced: &ConfigSnapshot, newer: &ConfigSnapshot) {
        if replaced.version() == 0 {
            return;
        }
        let changes = replaced.trees.iter().filter_map(|(team, tree)| {
            let change = match newer.trees.get(team) {
                Some(other) if Arc::ptr_eq(other, tree) => return None,
                Some(other) => TreeChange::Writes(diff_settings(&other.settings, &tree.settings)),
                None => TreeChange::Whole(tree.clone()),
            };
            Some((team.clone(), change))
        });
        self.bases.push_back(KeptBase { root: replaced.root.clone(), changes: changes.collect() });
        if self.bases.len() > MAX_KEPT_BASES {
            self.bases.pop_front();
        }
    }

    /// Returns an earlier version, restored from the newest one; `None` if it is not kept.
    pub(crate) fn find(
        &self,
        version: Version,
        newest: &ConfigSnapshot,
    ) -> Option<Arc<ConfigSnapshot>> {
        let index = self.bases.iter().position(|base| base.root.version == version)?;
        let mut trees = newest.trees.clone();
        for base in self.bases.iter().skip(index).rev() {
            trees.retain(|team, _| base.root.trees.contains_key(team));
            for (team, change) in &base.changes {
                let tree = match change {
                    TreeChange::Whole(tree) => tree.clone(),
                    TreeChange::Writes(writes) => Arc::new(trees.get(team)?.with_writes(writes)),
                };
                trees.insert(team.clone(), tree);
            }
        }
        let root = self.bases[index].root.clone();
        Some(Arc::new(ConfigSnapshot { root, trees }))
    }
}
