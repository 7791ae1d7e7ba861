//! The links of the overlay and its connectivity under faults.

mod support;

use std::{
    collections::{BTreeSet, VecDeque},
    sync::Arc,
};

use rand::{SeedableRng, rngs::StdRng, seq::SliceRandom};
use sk_member::{MemberRecord, OverlayPlan, choose_links};
use support::{fleet, snapshot_of};

/// Returns how many daemons a flood reaches and in how many steps, without the daemons in `down`.
fn flood(plan: &OverlayPlan, from: &str, down: &BTreeSet<String>) -> (usize, usize) {
    let mut reached = BTreeSet::from([from.to_owned()]);
    let mut waiting = VecDeque::from([(from.to_owned(), 0)]);
    let mut steps = 0;
    while let Some((proxy, step)) = waiting.pop_front() {
        steps = step;
        for next in plan.neighbours(&proxy).filter(|next| !down.contains(*next)) {
            if reached.insert(next.clone()) {
                waiting.push_back((next.clone(), step + 1));
            }
        }
    }
    (reached.len(), steps)
}

fn names(records: &[Arc<MemberRecord>]) -> Vec<String> {
    records.iter().map(|record| record.proxy.clone()).collect()
}

// Each link carries heartbeats. Without a bound on the links of a daemon, its control traffic would
// grow with the fleet.
#[test]
fn few_links() {
    for len in [2, 3, 9, 10, 50, 200, 780] {
        let snapshot = snapshot_of(fleet(len));
        let plan = OverlayPlan::new(&snapshot);
        let max_opened = snapshot.keys().map(|proxy| plan.opened_links(proxy).len()).max();
        let max_shared = snapshot.keys().map(|proxy| plan.neighbours(proxy).count()).max();
        let shared: usize = snapshot.keys().map(|proxy| plan.neighbours(proxy).count()).sum();
        println!("{len} daemons: {max_opened:?} opened, {max_shared:?} shared, {shared} ends");
        assert!(max_opened <= Some(10), "{len} daemons");
        assert_eq!(choose_links(&snapshot, "proxy-001"), plan.opened_links("proxy-001"));
    }
}

// A rumor passes one link per step. With long paths, a drain or crash would become known too late.
#[test]
fn small_diameter() {
    let snapshot = snapshot_of(fleet(780));
    let plan = OverlayPlan::new(&snapshot);
    let floods = snapshot.keys().map(|proxy| flood(&plan, proxy, &BTreeSet::new()));
    let floods: Vec<(usize, usize)> = floods.collect();
    let diameter = floods.iter().map(|(_, steps)| *steps).max();
    println!("diameter {diameter:?}");
    assert!(floods.iter().all(|(reached, _)| *reached == 780));
    assert!(diameter <= Some(8), "diameter {diameter:?}");
}

// A data centre loses power or is cut off. If its daemons were the only path between the others,
// drains and crashes would stay unknown on the other side.
#[test]
fn centre_lost() {
    for len in [27, 90, 780] {
        let records = fleet(len);
        let plan = OverlayPlan::new(&snapshot_of(records.clone()));
        for centre in 0..9 {
            let is_lost = |record: &&Arc<MemberRecord>| record.data_centre == format!("dc{centre}");
            let down: Vec<_> = records.iter().filter(is_lost).cloned().collect();
            let down: BTreeSet<String> = names(&down).into_iter().collect();
            let from = names(&records).into_iter().find(|name| !down.contains(name));
            let (reached, _) = flood(&plan, &from.unwrap(), &down);
            assert_eq!(reached, len - down.len(), "{len} daemons without dc{centre}");
        }
    }
}

// One in 10 daemons fails at the same moment, before the others have chosen new links. A daemon
// without a path to the others would use outdated records.
#[test]
fn tenth_lost() {
    let records = fleet(780);
    let plan = OverlayPlan::new(&snapshot_of(records.clone()));
    for seed in 0..100 {
        let mut shuffled = names(&records);
        shuffled.shuffle(&mut StdRng::seed_from_u64(seed));
        let from = shuffled.pop().unwrap();
        let down: BTreeSet<String> = shuffled.into_iter().take(78).collect();
        assert_eq!(flood(&plan, &from, &down).0, 702, "seed {seed}");
    }
}

// The links of a whole region to the others end on few instances. If these were the same for all
// links, two failures would look like a network cut of the region.
#[test]
fn disjoint_bridges() {
    let snapshot = snapshot_of(fleet(780));
    let plan = OverlayPlan::new(&snapshot);
    for centre in (0..9).map(|centre| format!("dc{centre}")) {
        let is_bridge = |proxy: &&String| {
            let is_far = |next: &String| snapshot[next].data_centre != centre;
            snapshot[*proxy].data_centre == centre && plan.neighbours(proxy).any(is_far)
        };
        assert!(snapshot.keys().filter(is_bridge).count() >= 6, "{centre}");
    }
}
