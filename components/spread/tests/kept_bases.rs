//! Earlier versions are kept as bases for deltas.

use std::{collections::BTreeMap, sync::Arc};

use proptest::prelude::*;
use sk_model::{
    ConfigSnapshot, SettingBody, SnapshotRoot, TeamTree, TreeRef, ValueSetting, Version,
};
use sk_spread::{ConfigHolder, OfferOutcome};

/// Values of the settings of two teams; a team without settings has no subtree.
type TeamValues = [BTreeMap<u8, u8>; 2];

fn snapshot(version: Version, teams: &TeamValues) -> ConfigSnapshot {
    let root = SnapshotRoot { version, ..SnapshotRoot::default() };
    let mut snapshot = ConfigSnapshot { root, ..ConfigSnapshot::default() };
    for (index, values) in teams.iter().enumerate().filter(|(_, values)| !values.is_empty()) {
        let team = format!("team{index}");
        let setting = |(key, text): (&u8, &u8)| {
            let body = SettingBody::Value(ValueSetting { text: text.to_string() });
            (format!("/{team}/value{key}"), body)
        };
        let tree = TeamTree { settings: values.iter().map(setting).collect() };
        snapshot.root.trees.insert(team.clone(), TreeRef { hash: tree.hash(), version });
        snapshot.trees.insert(team, Arc::new(tree));
    }
    snapshot
}

fn teams() -> impl Strategy<Value = TeamValues> {
    let values = || prop::collection::btree_map(0..4u8, 0..3u8, 0..4);
    [values(), values()]
}

proptest! {
    // Guards against a base that differs from the version it stands for: every delta from it would
    // be rejected by its receiver, which then fetches the whole configuration.
    #[test]
    fn restored_whole(history in prop::collection::vec(teams(), 1..24)) {
        let holder = ConfigHolder::new();
        let versions: Vec<ConfigSnapshot> = history
            .iter()
            .enumerate()
            .map(|(index, teams)| snapshot(index as Version + 1, teams))
            .collect();
        for version in &versions {
            let outcome = holder.offer(version.clone(), "platform", 0);
            prop_assert_eq!(outcome, OfferOutcome::Applied);
        }
        let kept = versions.iter().rev().take(17);
        for version in kept {
            let base = holder.base(version.version());
            prop_assert_eq!(base.as_deref(), Some(version));
        }
        if let Some(dropped) = versions.iter().rev().nth(17) {
            prop_assert_eq!(holder.base(dropped.version()), None);
        }
    }
}
