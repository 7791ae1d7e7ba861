//! Handling of faults of links, regions and processes, compared with a naive implementation.

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
const SETTLE_TIME: Duration = Duration::from_secs(3);

fn network<P: FakePolicy>() -> FakeNetwork<P> {
    let mut network = FakeNetwork::new(&fleet(SIZE));
    network.run(SETTLE_TIME);
    network
}

fn in_rack(proxy: &str) -> bool {
    ["proxy-001", "proxy-010", "proxy-019", "proxy-028"].contains(&proxy)
}

fn in_region(proxy: &str, region: usize) -> bool {
    let index: usize = proxy["proxy-".len()..].parse().unwrap();
    index % 9 / 3 == region
}

/// Breaks one link of proxy-010 in one direction, and returns the largest number of daemons that
/// stopped using proxy-010 within 30 s.
fn break_link<P: FakePolicy>() -> usize {
    let mut network = network::<P>();
    assert!(network.nodes["proxy-010"].neighbours().contains(&"proxy-019".to_owned()));
    network.is_cut = |from, to| (from, to) == ("proxy-010", "proxy-019");
    let mut max_gone = 0;
    for _ in 0..60 {
        network.run(Duration::from_millis(500));
        let usable = network.count("proxy-010", FakeBelief::Usable);
        max_gone = max_gone.max(SIZE - 1 - usable);
    }
    max_gone
}

// One link breaks in one direction, as when the connection table of an instance is full, so that
// one observer hears nothing. A server that runs well must not lose all its work because of a
// single observer.
#[test]
fn single_observer() {
    assert_eq!(break_link::<MemberNode>(), 0);
    assert!(break_link::<NaiveNode>() > SIZE / 2, "the naive implementation passes too");
}

/// Cuts off region 0 for 20 s, and returns how many records the two sides lost of each other.
fn cut_region<P: FakePolicy>(network: &mut FakeNetwork<P>) -> usize {
    network.is_cut = |from, to| in_region(from, 0) != in_region(to, 0);
    network.run(Duration::from_secs(20));
    let names: Vec<String> = network.nodes.keys().cloned().collect();
    names.iter().map(|name| network.count(name, FakeBelief::Gone)).sum()
}

fn usable_pairs<P: FakePolicy>(network: &FakeNetwork<P>) -> usize {
    network.nodes.keys().map(|name| network.count(name, FakeBelief::Usable)).sum()
}

// The link between two regions fails. Each side needs the records of the other as soon as the link
// is back; until then, new work sent there would only wait for a timeout.
#[test]
fn region_cut() {
    let mut ours = network::<MemberNode>();
    assert_eq!(cut_region(&mut ours), 0);
    let is_avoided = |name: &String, far: &String| {
        in_region(name, 0) == in_region(far, 0)
            || ours.nodes[name].belief(far) == FakeBelief::Avoided
    };
    for name in ours.nodes.keys() {
        let missed: Vec<_> = ours.nodes.keys().filter(|far| !is_avoided(name, far)).collect();
        assert!(missed.is_empty(), "{name} does not mark {missed:?}");
    }
    // Changes made during the cut are known soon after it ends.
    ours.nodes.get_mut("proxy-000").unwrap().drain();
    ours.nodes.get_mut("proxy-003").unwrap().drain();
    ours.run(Duration::from_secs(2));
    ours.is_cut = |_, _| false;
    let all = SIZE * (SIZE - 1) - 2 * (SIZE - 1);
    let time = ours.run_until(Duration::from_secs(5), |net| usable_pairs(net) == all);
    println!("connected again after {time:?}");

    let mut naive = network::<NaiveNode>();
    assert!(cut_region(&mut naive) > 0, "the naive implementation passes too");
}

/// Pauses proxy-010 for 10 s, during which proxy-020 leaves for good. Returns how many daemons use
/// proxy-020 at some time in the 10 s after the pause, and how many still miss proxy-010.
fn pause_daemon<P: FakePolicy>(network: &mut FakeNetwork<P>) -> (usize, usize) {
    network.paused.insert("proxy-010".to_owned());
    network.run(Duration::from_secs(5));
    network.crash("proxy-020", true);
    network.run(Duration::from_secs(5));
    assert_eq!(
        network.count("proxy-020", FakeBelief::Usable),
        1,
        "every daemon but the paused one knows"
    );
    network.paused.clear();
    let mut revived = 0;
    for _ in 0..20 {
        network.run(Duration::from_millis(500));
        let other_nodes = network.nodes.iter().filter(|(name, _)| *name != "proxy-010");
        let uses_departed = |node: &P| node.belief("proxy-020") == FakeBelief::Usable;
        revived = revived.max(other_nodes.filter(|(_, node)| uses_departed(node)).count());
    }
    (revived, SIZE - 2 - network.count("proxy-010", FakeBelief::Usable))
}

// An instance is paused for 10 s and resumes with outdated records: every neighbour seems silent
// to it, and a daemon that left meanwhile seems alive. Its callers would be sent to a server that
// has left, and it would wrongly declare other daemons gone.
#[test]
fn paused_daemon() {
    let mut ours = network::<MemberNode>();
    assert_eq!(pause_daemon(&mut ours), (0, 0));
    let resumed = &ours.nodes["proxy-010"];
    assert!(resumed.suspected.is_empty(), "suspected {:?}", resumed.suspected);
    // Its server has to announce itself again, both locally and in the records of other daemons.
    for (name, node) in &ours.nodes {
        assert!(node.table.records()["proxy-010"].endpoints.is_empty(), "{name}");
    }

    let mut naive = network::<NaiveNode>();
    let (revived, missing) = pause_daemon(&mut naive);
    assert!(revived > 0 && missing > 0, "the naive implementation passes too: {revived} {missing}");
}

// A whole data centre loses power at once. No daemon is left in it to report that, and its records
// must not be used.
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

// All processes end together and restart with the address of one other daemon. Until they know
// each other again, calls between services find no server.
#[test]
fn fleet_restart() {
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

// The instances of one rack, 4 of 10 in a data centre, are cut off together and return. Each of
// them hears none of the others, and none of their suspicions may remove a running daemon.
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
        assert_eq!(usable_pairs(&network), all, "a daemon is lost again after the cut");
    }
}
