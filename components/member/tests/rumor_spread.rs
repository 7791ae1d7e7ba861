//! Time until a change of one daemon is known to all others, at the size of the fleet.

mod support;

use std::time::Duration;

use sk_member::{MemberRecord, MemberStatus};
use support::{
    fleet,
    network::{FakeBelief, FakeNetwork, FakePolicy},
    node::MemberNode,
    record,
};

const MAX_SPREAD_TIME: Duration = Duration::from_secs(3);
const SIZE: usize = 780;

type MemberNetwork = FakeNetwork<MemberNode>;

/// Prints how long a change took to spread, and the largest number of messages that one daemon
/// sent for it.
fn report(change: &str, time: Duration, network: &mut MemberNetwork) {
    let max_sent = std::mem::take(&mut network.sent).into_values().max();
    println!("{change}: {time:?}, at most {max_sent:?} messages sent by one");
}

/// Ends a process and returns the time until all others count it as gone.
fn crash(network: &mut MemberNetwork, proxy: &str, is_reset: bool) -> Duration {
    network.crash(proxy, is_reset);
    let is_gone = |net: &MemberNetwork| net.count(proxy, FakeBelief::Gone) == SIZE - 1;
    network.run_until(MAX_SPREAD_TIME, is_gone)
}

// Servers drain and restart 41 times a day, and instances fail. Until a daemon knows this, it
// sends new work to a server that refuses it or no longer exists.
#[test]
fn known_everywhere() {
    let mut network = MemberNetwork::new(&fleet(SIZE));
    network.run(Duration::from_millis(500));
    network.sent.clear();

    network.nodes.get_mut("proxy-100").unwrap().drain();
    let is_drained = |net: &MemberNetwork| net.count("proxy-100", FakeBelief::Avoided) == SIZE - 1;
    let drain = network.run_until(MAX_SPREAD_TIME, is_drained);
    report("drain", drain, &mut network);

    let reset = crash(&mut network, "proxy-200", true);
    report("reset", reset, &mut network);

    let own = MemberRecord {
        data_centre: "dc2".to_owned(),
        region: "region0".to_owned(),
        ..record("proxy-200", 2_000, 1, MemberStatus::Alive)
    };
    network.join(own, "proxy-002");
    let is_back =
        |net: &MemberNetwork| net.nodes.values().all(|node| node.incarnation("proxy-200") == 2_000);
    let restart = network.run_until(MAX_SPREAD_TIME, is_back);
    report("restart", restart, &mut network);

    let silent = crash(&mut network, "proxy-300", false);
    report("silent", silent, &mut network);
}
