//! Rules of a daemon that hears of no relay, or does not know the orders yet.

mod common;

use std::{collections::BTreeSet, time::Duration};

use common::{SERVICE, member, order, stage_record};
use sk_decide::rollout::{RolloutPhase, RolloutStage};
use sk_rollout::{OrderBook, RelayBeat, SharedRollouts, StageRecord, VersionGroup};
use tokio::time::Instant;

fn beat(sequence: u64) -> RelayBeat {
    let relay = "relay".to_owned();
    RelayBeat { relay, incarnation: 1, sequence, age_ms: 0, read_age_ms: Some(0), is_last: false }
}

fn stage(share_thousandths: u16, phase: RolloutPhase) -> StageRecord {
    stage_record(RolloutStage { phase, share_thousandths, servers: 1 }, 1, &[])
}

fn group(rollouts: &SharedRollouts, version: &str) -> VersionGroup {
    rollouts.view().group_of(SERVICE, version, &BTreeSet::from(["v1", "v2"]))
}

fn share(rollouts: &SharedRollouts) -> f64 {
    let view = rollouts.view();
    view.service(SERVICE).and_then(|view| view.order.as_ref()).map_or(-1.0, |order| order.share)
}

/// A daemon that is cut off does not learn of a roll-back, and would go on sending to a bad version.
#[test]
fn silent_relays() {
    let (rollouts, begin) = (SharedRollouts::new(), Instant::now());
    let members = [member("d1", Some("v1")), member("d2", Some("v2"))];
    rollouts.merge_stage(&stage(50, RolloutPhase::Canary), begin);
    rollouts.merge_book(&OrderBook { position: 9, orders: vec![order(None)] }, begin);
    rollouts.merge_beat(&beat(1), begin);
    for (after_ms, expected) in [(0, 0.05), (2_900, 0.05), (3_100, 0.0), (9_000, 0.0)] {
        rollouts.observe(members.iter(), begin + Duration::from_millis(after_ms));
        assert_eq!(share(&rollouts), expected, "after {after_ms} ms");
    }
    let later = begin + Duration::from_secs(10);
    rollouts.merge_beat(&beat(2), later);
    assert_eq!(share(&rollouts), 0.05);
}

/// Servers of a version that appears must get nothing before the daemon knows whether it belongs to
/// an order, and a store that is down must not hold them back for ever.
#[test]
fn held_back() {
    let (rollouts, begin) = (SharedRollouts::new(), Instant::now());
    let at = |after_ms: u64| begin + Duration::from_millis(after_ms);
    let members = [member("d1", Some("v1")), member("d2", Some("v2"))];
    rollouts.observe(members[..1].iter(), begin);
    rollouts.merge_beat(&beat(1), at(1_000));
    rollouts.observe(members.iter(), at(1_000));
    assert_eq!(group(&rollouts, "v1"), VersionGroup::Open);
    assert_eq!(group(&rollouts, "v2"), VersionGroup::Blocked);
    rollouts.observe(members.iter(), at(9_000));
    assert_eq!(group(&rollouts, "v2"), VersionGroup::Blocked);
    rollouts.observe(members.iter(), at(11_100));
    assert_eq!(group(&rollouts, "v2"), VersionGroup::Open);
    // Orders as of a later time name no target version.
    let rollouts = SharedRollouts::new();
    rollouts.observe(members.iter(), begin);
    assert_eq!(group(&rollouts, "v2"), VersionGroup::Blocked);
    rollouts.merge_beat(&beat(1), at(1_000));
    assert_eq!(group(&rollouts, "v2"), VersionGroup::Open);
}

/// Records arrive over several paths. A daemon that applied them in another order would end with
/// another stage than the rest.
#[test]
fn merged_in_any_order() {
    let stages = [
        stage(50, RolloutPhase::Canary),
        stage(300, RolloutPhase::Growing),
        stage(1000, RolloutPhase::Moving),
    ];
    let now = Instant::now();
    let merge = |order: [usize; 3]| {
        let rollouts = SharedRollouts::new();
        order.iter().for_each(|index| rollouts.merge_stage(&stages[*index], now));
        rollouts.stage(&stages[0].order)
    };
    let expected = merge([0, 1, 2]);
    for order in [[0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]] {
        assert_eq!(merge(order), expected);
    }
    // The same over the wire, and once more to a daemon that knows everything.
    let (sender, receiver) = (SharedRollouts::new(), SharedRollouts::new());
    stages.iter().for_each(|record| sender.merge_stage(record, now));
    sender.merge_book(&OrderBook { position: 9, orders: vec![order(None)] }, now);
    let body = sender.encode_changed().expect("changes");
    assert!(receiver.merge_notice(&body));
    assert_eq!(receiver.stage(&stages[0].order), expected);
    assert_eq!(receiver.orders(), sender.orders());
    let revision = receiver.revision();
    assert!(receiver.merge_notice(&body));
    assert_eq!(receiver.revision(), revision);
    assert!(!receiver.merge_notice(b"[]"));
    assert!(!receiver.merge_notice(b"{\"rollouts\":7}"));
}
