//! How fast news of one daemon reach all others, in the size of the fleet.

mod support;

use std::time::Duration;

use sk_member::{MemberRecord, MemberStatus};
use support::{
    fleet,
    network::{FakeBelief, FakeNetwork, FakePolicy},
    node::MemberNode,
    record,
};

const BOUND: Duration = Duration::from_secs(3);
const SIZE: usize = 780;

// Servers drain and restart 41 times a day, and instances die. Until a daemon knows, it sends new
// work to a server that refuses it or is not there.
#[test]
fn known_everywhere() {
    let mut network: FakeNetwork<MemberNode> = FakeNetwork::new(&fleet(SIZE));
    network.run(Duration::from_millis(500));
    let most_sent = |network: &mut FakeNetwork<MemberNode>| {
        let most = network.sent.values().max().copied().unwrap_or_default();
        network.sent.clear();
        most
    };
    most_sent(&mut network);

    network.nodes.get_mut("proxy-100").unwrap().drain();
    let is_drained = |net: &FakeNetwork<_>| net.count("proxy-100", FakeBelief::Avoided) == SIZE - 1;
    let drain = network.run_until(BOUND, is_drained);
    println!("drain: {drain:?}, at most {} messages sent by one", most_sent(&mut network));

    network.crash("proxy-200", true);
    let is_avoided = |net: &FakeNetwork<_>| net.count("proxy-200", FakeBelief::Usable) == 0;
    let crash = network.run_until(BOUND, is_avoided);
    let is_gone = |net: &FakeNetwork<_>| net.count("proxy-200", FakeBelief::Gone) == SIZE - 1;
    let gone = crash + network.run_until(BOUND, is_gone);
    println!("reset: {crash:?}, gone: {gone:?}, {} messages", most_sent(&mut network));

    let own = MemberRecord {
        data_centre: "dc2".to_owned(),
        region: "region0".to_owned(),
        ..record("proxy-200", 2_000, 1, MemberStatus::Alive)
    };
    network.join(own, "proxy-002");
    let is_back = |net: &FakeNetwork<MemberNode>| {
        net.nodes.values().all(|node| node.incarnation("proxy-200") == 2_000)
    };
    let restart = network.run_until(BOUND, is_back);
    println!("restart: {restart:?}, {} messages", most_sent(&mut network));

    network.crash("proxy-300", false);
    let is_avoided = |net: &FakeNetwork<_>| net.count("proxy-300", FakeBelief::Usable) == 0;
    let crash = network.run_until(BOUND, is_avoided);
    let is_gone = |net: &FakeNetwork<_>| net.count("proxy-300", FakeBelief::Gone) == SIZE - 1;
    let gone = crash + network.run_until(BOUND, is_gone);
    println!("silent: {crash:?}, gone: {gone:?}, {} messages", most_sent(&mut network));
    assert!(gone <= BOUND, "{gone:?}");
}
