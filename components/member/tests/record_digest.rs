//! Comparison of the records of two daemons, and the retention of tombstones.

mod support;

use std::{sync::Arc, time::Duration};

use sk_member::{DIGEST_BUCKETS, MemberDigest, MemberRecord, MemberStatus, MemberTable, bucket_of};
use support::{fleet, record};

fn shared(table: &MemberTable) -> Vec<Arc<MemberRecord>> {
    table.records_in(&Vec::from_iter(0..DIGEST_BUCKETS))
}

fn own_table_with(own: &str, len: usize) -> MemberTable {
    let mut table = MemberTable::new(record(own, 1, 0, MemberStatus::Alive));
    fleet(len).into_iter().for_each(|record| _ = table.merge(record));
    table
}

// One record of 780 differs. Only the records of its bucket are sent, and both tables are equal
// afterwards.
#[test]
fn differing_buckets() {
    let mut first = own_table_with("own", 780);
    let mut second = first.clone();
    let changed = record("proxy-100", 2_000, 1, MemberStatus::Alive);
    second.merge(changed.clone());
    let buckets = first.digest().differing_buckets(second.digest());
    assert_eq!(buckets, [bucket_of("proxy-100")]);
    let records = second.records_in(&buckets);
    assert!(records.len() < 60, "{} records", records.len());
    records.into_iter().for_each(|record| _ = first.merge(record));
    assert_eq!(first.digest(), second.digest());
    let sent = MemberDigest::from_buckets(second.digest().buckets().iter().copied());
    assert!(first.digest().differing_buckets(&sent).is_empty());
}

// A daemon that joins merges the records of all buckets of a peer, whatever their status, and has
// the same digest afterwards.
#[test]
fn all_records_shared() {
    let mut table = own_table_with("own", 50);
    table.merge(record("proxy-001", 1_000, 7, MemberStatus::Leaving));
    table.declare_gone("proxy-002", 1_000, 1);
    table.set_status(MemberStatus::Leaving);
    let mut fresh = MemberTable::new(MemberRecord::clone(table.own()));
    shared(&table).into_iter().for_each(|record| _ = fresh.merge(record));
    assert_eq!(fresh.digest(), table.digest());
}

// A daemon is gone, and an old copy of its record arrives late, from a peer that was cut off. The
// tombstone keeps it out. A tombstone that will soon be removed is no longer sent, or daemons that
// removed it would add it again from those that did not.
#[test]
fn tombstone_kept() {
    let minutes = |minutes: u64| Duration::from_secs(minutes * 60);
    let mut table = own_table_with("own", 50);
    let late = table.records()["proxy-002"].clone();
    table.declare_gone("proxy-002", 1_000, 1);
    table.expire_tombstones(minutes(0));
    assert_eq!(table.expire_tombstones(minutes(11)), 0);
    assert!(shared(&table).iter().all(|record| record.proxy != "proxy-002"));
    let digest = table.digest().clone();
    table.merge(late.clone());
    assert_eq!(table.records()["proxy-002"].status, MemberStatus::Gone);
    assert_eq!(table.digest(), &digest);
    assert_eq!(table.expire_tombstones(minutes(61)), 1);
    assert!(!table.records().contains_key("proxy-002"));
    assert_eq!(table.digest(), &digest, "removing a withheld record leaves the digest unchanged");
}

// Instances are replaced under new names every day. Without a bound, their tombstones would fill
// the memory.
#[test]
fn tombstones_bounded() {
    let mut table = own_table_with("own", 0);
    for index in 0..3_000 {
        table.merge(record(&format!("old-{index}"), 1, 0, MemberStatus::Gone));
        table.expire_tombstones(Duration::from_secs(index));
    }
    assert!(table.records().len() <= 1_025, "{} records", table.records().len());
}

// A process was paused, and its backend server may have ended. Only a heartbeat of the server
// restores it, also if the process still lists it from memory.
#[test]
fn endpoints_withdrawn() {
    let listed = vec![support::endpoint("server-1")];
    let mut table = own_table_with("own", 0);
    assert!(table.set_endpoints(listed.clone()));
    let sequence = table.own().sequence;
    assert!(table.withdraw_endpoints());
    assert!(table.own().sequence > sequence);
    assert!(!table.set_endpoints(listed.clone()));
    assert!(table.own().endpoints.is_empty());
    table.readmit_server("server-1");
    assert!(table.set_endpoints(listed));
    assert_eq!(table.own().endpoints.len(), 1);
}
