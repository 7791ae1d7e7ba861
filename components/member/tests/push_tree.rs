//! The tree along which the relay of a data centre distributes configuration.

mod support;

use std::collections::BTreeSet;

use sk_member::{MemberSnapshot, PushTree, push_targets};
use support::{fleet, snapshot_of};

/// Simulates a push from the root; a daemon whose child does not answer sends to the children of
/// that child. Returns the daemons reached and the number of steps.
fn push(
    snapshot: &MemberSnapshot,
    root: &str,
    down: &BTreeSet<String>,
) -> (BTreeSet<String>, usize) {
    let tree = PushTree::new(snapshot, &snapshot[root].data_centre, root, 4);
    let mut reached = BTreeSet::from([root.to_owned()]);
    let mut level = vec![root.to_owned()];
    let mut steps = 0;
    while !level.is_empty() {
        let mut targets: Vec<String> =
            level.iter().flat_map(|proxy| tree.children(proxy)).collect();
        let mut next = Vec::new();
        while let Some(target) = targets.pop() {
            match down.contains(&target) {
                true => targets.extend(tree.replacement_targets(&target)),
                false => assert!(reached.insert(target.clone()), "{target} twice"),
            }
            next.extend(Some(target).filter(|target| !down.contains(target)));
        }
        steps += usize::from(!next.is_empty());
        level = next;
    }
    (reached, steps)
}

#[test]
fn all_reached() {
    let snapshot = snapshot_of(fleet(780));
    let (reached, steps) = push(&snapshot, "proxy-004", &BTreeSet::new());
    let members = snapshot.values().filter(|record| record.data_centre == "dc4");
    assert_eq!(reached.len(), members.count());
    assert!(steps <= 4, "{steps} steps");
    assert_eq!(push_targets(&snapshot, "proxy-004", "proxy-004", 4).len(), 4);
    assert_eq!(push_targets(&snapshot, "nobody", "proxy-004", 4), Vec::<String>::new());
}

// Daemons fail during a push. Those behind them in the tree would wait for the slower repair.
#[test]
fn failed_children_replaced() {
    let snapshot = snapshot_of(fleet(780));
    let tree = PushTree::new(&snapshot, "dc4", "proxy-004", 4);
    let mut down: BTreeSet<String> = tree.children("proxy-004").into_iter().take(2).collect();
    down.extend(down.clone().iter().flat_map(|proxy| tree.children(proxy)).step_by(3));
    let (reached, _) = push(&snapshot, "proxy-004", &down);
    let members = snapshot.values().filter(|record| record.data_centre == "dc4");
    assert_eq!(reached.len(), members.count() - down.len());
}
