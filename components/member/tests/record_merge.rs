//! Merging records about daemons.

use std::net::SocketAddr;

use sk_member::{MemberRecord, MemberStatus, MemberTable, MergeOutcome};

fn record(proxy: &str, incarnation: u64, sequence: u64, status: MemberStatus) -> MemberRecord {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    MemberRecord {
        proxy: proxy.to_owned(),
        incarnation,
        sequence,
        status,
        data_centre: "lj1".to_owned(),
        region: "slovenia".to_owned(),
        control: address,
        guard: address,
        endpoints: Vec::new(),
    }
}

#[test]
fn newer_wins() {
    let mut table = MemberTable::new(record("a", 1, 0, MemberStatus::Alive));
    assert_eq!(table.merge(record("b", 5, 2, MemberStatus::Alive)), MergeOutcome::Newer);
    assert_eq!(table.merge(record("b", 5, 1, MemberStatus::Gone)), MergeOutcome::Older);
    assert_eq!(table.merge(record("b", 5, 2, MemberStatus::Gone)), MergeOutcome::Newer);
    assert_eq!(table.merge(record("b", 6, 0, MemberStatus::Alive)), MergeOutcome::Newer);
}

// A daemon is paused for longer than the others wait for it, and wakes. Until it contradicts
// them, its callers see refusals although it runs.
#[test]
fn gone_refuted() {
    let mut table = MemberTable::new(record("a", 1, 0, MemberStatus::Alive));
    assert_eq!(table.merge(record("a", 1, 0, MemberStatus::Gone)), MergeOutcome::Refuted);
    assert!(table.own().rank() > record("a", 1, 0, MemberStatus::Gone).rank());
    assert_eq!(table.own().status, MemberStatus::Alive);
}
