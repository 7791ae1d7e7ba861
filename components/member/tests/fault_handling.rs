//! Faults of links, regions and processes, beside the naive version.

mod support;

use std::time::Duration;

use sk_member::MemberRecord;
use support::{
    fleet,
    naive::NaiveNode,
    network::{FakeBelief, FakeNetwork, FakePolicy},
    node::MemberNode,
};

const SIZE: usize = 90;
const SETTLE: Duration = Duration::from_secs(3);

fn network<P: FakePolicy>() -> FakeNetwork<P> {
    let mut network = FakeNetwork::new(&fleet(SIZE));
    network.run(SETTLE);
    network
}

fn in_rack(proxy: &str) -> bool {
    ["proxy-001", "proxy-010", "proxy-019", "proxy-028"].contains(&proxy)
}

fn in_region(proxy: &str, region: usize) -> bool {
    let index: usize = proxy["proxy-".len()..].parse().unwrap();
    index % 9 / 3 == region
}

/// Breaks one link of proxy-010 in one direction and counts who gave up proxy-010 in 30 s.
fn break_link<P: FakePolicy>() -> usize {
    let mut network = network::<P>();
    assert!(network.nodes["proxy-010"].neighbours().contains(&"proxy-019".to_owned()));
    network.is_cut = |from, to| (from, to) == ("proxy-010", "proxy-019");
    let mut most_gone = 0;
    for _ in 0..60 {
        network.run(Duration::from_millis(500));
        let usable = network.count("proxy-010", FakeBelief::Usable);
        most_gone = most_gone.max(SIZE - 1 - usable);
    }
    most_gone
}

// One link breaks in one direction, as when an instance's connection table is full: its observer
// hears nothing. A server that runs well would lose all its work on the word of that one.
#[test]
fn single_observer() {
    assert_eq!(break_link::<MemberNode>(), 0);
    assert!(break_link::<NaiveNode>() > SIZE / 2, "naive holds too");
}

/// Cuts region 0 off for 20 s, and gives how many records the two sides lost of each other.
fn cut_region<P: FakePolicy>(network: &mut FakeNetwork<P>) -> usize {
    network.is_cut = |from, to| in_region(from, 0) != in_region(to, 0);
    network.run(Duration::from_secs(20));
    let names: Vec<String> = network.nodes.keys().cloned().collect();
    names.iter().map(|name| network.count(name, FakeBelief::Gone)).sum()
}

fn usable_pairs<P: FakePolicy>(network: &FakeNetwork<P>) -> usize {
    network.nodes.keys().map(|name| network.count(name, FakeBelief::Usable)).sum()
}

// The link between two regions fails. Each side still needs the other's records the moment it is
// back; until then, new work sent there would only wait for a timeout.
#[test]
fn region_cut() {
    let mut ours = network::<MemberNode>();
    assert_eq!(cut_region(&mut ours), 0);
    let is_marked = |name: &String, far: &String| {
        in_region(name, 0) == in_region(far, 0)
            || ours.nodes[name].belief(far) == FakeBelief::Avoided
    };
    for name in ours.nodes.keys() {
        let missed: Vec<_> = ours.nodes.keys().filter(|far| !is_marked(name, far)).collect();
        assert!(missed.is_empty(), "{name} does not mark {missed:?}");
    }
    // What changed during the cut is known soon after it.
    ours.nodes.get_mut("proxy-000").unwrap().drain();
    ours.nodes.get_mut("proxy-003").unwrap().drain();
    ours.run(Duration::from_secs(2));
    ours.is_cut = |_, _| false;
    let all = SIZE * (SIZE - 1) - 2 * (SIZE - 1);
    let healed = ours.run_until(Duration::from_secs(5), |net| usable_pairs(net) == all);
    println!("healed after {healed:?}");

    let mut naive = network::<NaiveNode>();
    assert!(cut_region(&mut naive) > 0, "naive holds too");
}

/// Pauses proxy-010 for 10 s, in which proxy-020 leaves for good, and gives how many believe in
/// proxy-020 at some time in the 10 s after it wakes, and how many still miss proxy-010.
fn pause_daemon<P: FakePolicy>(network: &mut FakeNetwork<P>) -> (usize, usize) {
    network.paused.insert("proxy-010".to_owned());
    network.run(Duration::from_secs(5));
    network.crash("proxy-020", true);
    network.run(Duration::from_secs(5));
    assert_eq!(network.count("proxy-020", FakeBelief::Usable), 1, "all but the paused one know");
    network.paused.clear();
    let mut revived = 0;
    for _ in 0..20 {
        network.run(Duration::from_millis(500));
        let believers = network.nodes.iter().filter(|(name, _)| *name != "proxy-010");
        let is_believer = |node: &P| node.belief("proxy-020") == FakeBelief::Usable;
        revived = revived.max(believers.filter(|(_, node)| is_believer(node)).count());
    }
    (revived, SIZE - 2 - network.count("proxy-010", FakeBelief::Usable))
}

// An instance stands still for 10 s and wakes with its old beliefs: every neighbour looks silent
// to it, and a daemon that left meanwhile looks alive. Its callers would be sent to a server that
// is gone, and everyone's to servers that it wrongly calls gone.
#[test]
fn paused_daemon() {
    let mut ours = network::<MemberNode>();
    assert_eq!(pause_daemon(&mut ours), (0, 0));
    let woken = &ours.nodes["proxy-010"];
    assert!(woken.accused.is_empty(), "accused {:?}", woken.accused);
    // Its server has to announce itself again, here and in what the others know.
    for (name, node) in &ours.nodes {
        assert!(node.table.records()["proxy-010"].endpoints.is_empty(), "{name}");
    }

    let mut naive = network::<NaiveNode>();
    let (revived, missing) = pause_daemon(&mut naive);
    assert!(revived > 0 && missing > 0, "naive holds too: {revived} {missing}");
}

// A whole data centre loses its power at once. Nobody in it is left to say so, and its records
// must not be taken for usable.
#[test]
fn centre_down() {
    let mut network = network::<MemberNode>();
    let lost: Vec<String> = (4..SIZE).step_by(9).map(|index| format!("proxy-{index:03}")).collect();
    lost.iter().for_each(|proxy| network.crash(proxy, false));
    let is_avoided = |net: &FakeNetwork<MemberNode>| {
        lost.iter().all(|proxy| net.count(proxy, FakeBelief::Avoided) == SIZE - lost.len())
    };
    let time = network.run_until(Duration::from_secs(3), is_avoided);
    println!("known after {time:?}");
    for proxy in (0..SIZE).map(|index| format!("proxy-{index:03}")) {
        let is_lost = lost.contains(&proxy);
        assert!(is_lost || network.count(&proxy, FakeBelief::Avoided) == 0, "{proxy}");
    }
}

// All processes die together and come back knowing one address. Until they know each other again,
// calls between services find no server.
#[test]
fn herd_restart() {
    let mut network = network::<MemberNode>();
    let records = fleet(SIZE);
    records.iter().for_each(|record| network.crash(&record.proxy, true));
    network.sent.clear();
    for record in &records {
        let record = MemberRecord { incarnation: 2_000, ..MemberRecord::clone(record) };
        let contact = if record.proxy == "proxy-000" { "proxy-001" } else { "proxy-000" };
        network.join(record, contact);
    }
    let all = SIZE * (SIZE - 1);
    let time = network.run_until(Duration::from_secs(11), |net| usable_pairs(net) == all);
    println!("known after {time:?}, {:?} messages", network.sent.values().max());
}

// The instances of one rack, four of ten in a data centre, are cut off together and come back.
// Each of them heard none of the others, and none of their words may remove one that runs.
#[test]
fn rack_cut() {
    let mut network = network::<MemberNode>();
    network.is_cut = |from, to| in_rack(from) != in_rack(to);
    network.run(Duration::from_secs(10));
    for name in network.nodes.keys().filter(|name| !in_rack(name)) {
        let removed = network.count(name, FakeBelief::Gone);
        assert_eq!(removed, 0, "the rack removed {name}");
    }
    network.is_cut = |_, _| false;
    let all = SIZE * (SIZE - 1);
    let time = network.run_until(Duration::from_secs(5), |net| usable_pairs(net) == all);
    println!("rack back after {time:?}");
    for _ in 0..100 {
        network.run(Duration::from_millis(100));
        assert_eq!(usable_pairs(&network), all, "flaps after it healed");
    }
}
