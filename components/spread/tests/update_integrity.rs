//! Updates compared with whole configurations, and deliveries in any order.

mod common;

use std::sync::Arc;

use common::make_snapshot;
use proptest::{prelude::*, test_runner::TestRunner};
use sk_model::{ConfigSnapshot, Version};
use sk_spread::{
    ConfigHolder, ConfigUpdate, OfferOutcome, TreeContent, apply_update, make_tree_update,
    make_update, tree_hashes,
};

const TEAMS: [&str; 3] = ["board", "records", "shop"];
const NAMES: [&str; 3] = ["a", "b", "c"];

type Values = Vec<(usize, usize, u8)>;

fn snapshot_of(version: Version, values: &Values) -> ConfigSnapshot {
    let texts: Vec<String> = values.iter().map(|(_, _, text)| text.to_string()).collect();
    let named = values.iter().zip(&texts);
    let named = named.map(|((team, name, _), text)| (TEAMS[*team], NAMES[*name], text.as_str()));
    make_snapshot(version, &named.collect::<Vec<_>>())
}

fn values() -> impl Strategy<Value = Values> {
    prop::collection::vec((0..TEAMS.len(), 0..NAMES.len(), 0..4_u8), 0..8)
}

/// Versions of one history; the first one is empty.
fn history() -> impl Strategy<Value = Vec<Arc<ConfigSnapshot>>> {
    prop::collection::vec(values(), 2..8).prop_map(|versions| {
        let whole = |(index, values): (usize, &Values)| snapshot_of(index as Version + 1, values);
        let versions = versions.iter().enumerate().map(whole);
        [ConfigSnapshot::default()].into_iter().chain(versions).map(Arc::new).collect()
    })
}

proptest! {
    #[test]
    fn delta_equals_whole(history in history(), from in any::<prop::sample::Index>()) {
        let newest = history.last().expect("a version");
        let base = from.get(&history);
        prop_assert_eq!(&apply_update(base, make_update(base, newest)).expect("applies"), &**newest);
        let whole = make_update(&ConfigSnapshot::default(), newest);
        prop_assert_eq!(&apply_update(base, whole).expect("applies"), &**newest);
        let trees = make_tree_update(&tree_hashes(base), newest);
        prop_assert_eq!(&apply_update(base, trees).expect("applies"), &**newest);
    }

    #[test]
    fn other_base_is_rejected(history in history(), from in any::<prop::sample::Index>()) {
        let newest = history.last().expect("a version");
        let base = from.get(&history);
        for held in &history {
            if let Ok(snapshot) = apply_update(held, make_update(base, newest)) {
                prop_assert_eq!(&snapshot, &**newest);
            }
        }
    }
}

/// Applies any update to any held version without checks.
fn apply_naively(held: &ConfigSnapshot, update: &ConfigUpdate) -> ConfigSnapshot {
    let mut snapshot = held.clone();
    snapshot.root.version = update.version;
    for (team, tree) in &update.trees {
        let base = held.trees.get(team).cloned().unwrap_or_default();
        let content = match &tree.content {
            TreeContent::Whole(tree) => Arc::new(tree.clone()),
            TreeContent::Writes(writes) => Arc::new(base.with_writes(writes)),
            TreeContent::Unchanged => base,
        };
        snapshot.root.trees.insert(team.clone(), tree.tree_ref.clone());
        snapshot.trees.insert(team.clone(), content);
    }
    snapshot
}

/// Returns whether the held version went back, or is none that was ever accepted.
fn is_broken(history: &[Arc<ConfigSnapshot>], before: Version, held: &ConfigSnapshot) -> bool {
    let accepted = &history[held.version() as usize];
    held.version() < before || held.trees != accepted.trees
}

/// Guards against updates that overtake each other, arrive twice or not at all. A proxy that put
/// in force whatever arrives would return to old routes or hold a mixture of two versions; a
/// caller would see a route that nobody accepted.
#[test]
fn any_delivery_order() {
    let naive_faults = std::cell::Cell::new(0);
    let mut runner = TestRunner::deterministic();
    let deliveries =
        prop::collection::vec(any::<(prop::sample::Index, prop::sample::Index)>(), 1..24);
    runner
        .run(&(history(), deliveries), |(history, deliveries)| {
            let holder = ConfigHolder::new();
            holder.set_ready(0);
            let mut naive = ConfigSnapshot::default();
            let mut is_naive_broken = false;
            for (first, second) in deliveries {
                let (first, second) = (first.index(history.len()), second.index(history.len()));
                let (base, newest) = (&history[first.min(second)], &history[first.max(second)]);
                let update = make_update(base, newest);
                let before = naive.version();
                naive = apply_naively(&naive, &update);
                is_naive_broken |= is_broken(&history, before, &naive);
                let current = holder.current();
                if let Ok(snapshot) = apply_update(&current, update) {
                    holder.offer(snapshot, "peer", 0);
                }
                prop_assert!(!is_broken(&history, current.version(), &holder.current()));
            }
            naive_faults.set(naive_faults.get() + usize::from(is_naive_broken));
            Ok(())
        })
        .expect("no delivery breaks what is held");
    assert!(naive_faults.get() > 0, "the naive version must fail on the same deliveries");
}

/// Guards against a restarted process that serves an old version from one peer before it gets the
/// newest from another: its callers would go back to routes that its predecessor had left.
#[test]
fn nothing_before_ready() {
    let holder = ConfigHolder::new();
    assert_eq!(holder.offer(common::numbered(4), "late peer", 1), OfferOutcome::Applied);
    assert_eq!((holder.current().version(), holder.newest().version()), (0, 4));
    assert_eq!(holder.offer(common::numbered(6), "peer", 2), OfferOutcome::Applied);
    holder.set_ready(3);
    let status = holder.status();
    assert_eq!((status.version, status.since, status.source.as_str()), (6, 3, "peer"));
    assert_eq!(holder.offer(common::numbered(5), "late peer", 4), OfferOutcome::NotNewer);
}

#[test]
fn other_content_is_diverged() {
    let holder = ConfigHolder::new();
    holder.set_ready(0);
    holder.offer(common::numbered(2), "peer", 1);
    let other = make_snapshot(2, &[("board", "a", "other")]);
    assert_eq!(holder.offer(other, "peer", 2), OfferOutcome::Diverged);
    assert_eq!(*holder.current(), common::numbered(2));
}
