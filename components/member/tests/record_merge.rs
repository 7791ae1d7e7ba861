//! Merging of records about daemons.

mod support;

use std::{collections::BTreeMap, sync::Arc};

use proptest::{prelude::*, test_runner::RngSeed};
use sk_member::{MemberRecord, MemberStatus, MemberSuspicion, MemberTable, MergeOutcome};
use support::{endpoint, record};

fn own_table() -> MemberTable {
    MemberTable::new(record("own", 1, 0, MemberStatus::Alive))
}

fn any_record() -> impl Strategy<Value = MemberRecord> {
    let status = prop_oneof![
        Just(MemberStatus::Alive),
        Just(MemberStatus::Suspect),
        Just(MemberStatus::Leaving),
        Just(MemberStatus::Gone),
    ];
    (0..4_u8, 1..3_u64, 0..3_u64, status, 0..2_u8).prop_map(
        |(proxy, incarnation, sequence, status, server)| MemberRecord {
            endpoints: vec![endpoint(&format!("server-{server}"))],
            ..record(&format!("proxy-{proxy}"), incarnation, sequence, status)
        },
    )
}

/// Returns records, and the same records in another order with some of them twice.
fn two_orders() -> impl Strategy<Value = (Vec<MemberRecord>, Vec<MemberRecord>)> {
    prop::collection::vec(any_record(), 1..30).prop_flat_map(|records| {
        let doubled = [records.clone(), records[..records.len() / 2].to_vec()].concat();
        (Just(records), Just(doubled).prop_shuffle())
    })
}

fn merged(records: &[MemberRecord]) -> MemberTable {
    let mut table = own_table();
    for record in records {
        table.merge(record.clone());
    }
    table
}

/// Keeps the record that arrived last, as a naive implementation does.
fn keep_last_arrived(records: &[MemberRecord]) -> BTreeMap<String, Arc<MemberRecord>> {
    let named = records.iter().map(|record| (record.proxy.clone(), Arc::new(record.clone())));
    named.collect()
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(5), ..Default::default() })]

    // Records arrive over several paths, in any order and more than once. If the order mattered,
    // two daemons with the same records would send work to different servers.
    #[test]
    fn any_order((first, second) in two_orders()) {
        let (first, second) = (merged(&first), merged(&second));
        prop_assert_eq!(first.records(), second.records());
        prop_assert_eq!(first.digest(), second.digest());
    }

    // Two daemons compare and merge their records. Grouping must not matter either.
    #[test]
    fn any_grouping((first, second) in two_orders()) {
        let mut table = merged(&first);
        for record in merged(&second).records().values() {
            table.merge(record.clone());
        }
        let second = merged(&second);
        prop_assert_eq!(table.records(), second.records());
    }

    // A record of a lower rank must never replace one of a higher rank, or a late copy would undo
    // a drain.
    #[test]
    fn rank_grows(records in prop::collection::vec(any_record(), 1..30)) {
        let mut table = own_table();
        for record in records {
            let rank = |table: &MemberTable| table.records().get(&record.proxy).map(|r| r.rank());
            let before = rank(&table);
            let outcome = table.merge(record.clone());
            prop_assert!(rank(&table) >= before);
            prop_assert!(rank(&table) >= Some(record.rank()));
            prop_assert!(table.merge(record.clone()) != MergeOutcome::Newer, "twice");
            let is_kept = *table.records()[&record.proxy] == record;
            prop_assert!(is_kept || outcome != MergeOutcome::Newer);
        }
    }
}

// Keeping the record that arrived last makes the result depend on the order of arrival.
#[test]
fn naive_differs() {
    let old = record("a", 1, 0, MemberStatus::Alive);
    let new = record("a", 1, 1, MemberStatus::Leaving);
    let orders = [[old.clone(), new.clone()], [new, old]];
    assert_ne!(keep_last_arrived(&orders[0]), keep_last_arrived(&orders[1]));
    assert_eq!(merged(&orders[0]).records(), merged(&orders[1]).records());
}

#[test]
fn newer_wins() {
    let mut table = MemberTable::new(record("a", 1, 0, MemberStatus::Alive));
    assert_eq!(table.merge(record("b", 5, 2, MemberStatus::Alive)), MergeOutcome::Newer);
    assert_eq!(table.merge(record("b", 5, 1, MemberStatus::Gone)), MergeOutcome::Older);
    assert_eq!(table.merge(record("b", 5, 2, MemberStatus::Gone)), MergeOutcome::Newer);
    assert_eq!(table.merge(record("b", 6, 0, MemberStatus::Alive)), MergeOutcome::Newer);
}

// A daemon is paused for longer than the others wait for it. Until it refutes its removal, its
// callers are refused although it runs.
#[test]
fn gone_refuted() {
    let mut table = MemberTable::new(record("a", 1, 0, MemberStatus::Alive));
    assert_eq!(table.merge(record("a", 1, 0, MemberStatus::Gone)), MergeOutcome::Refuted);
    assert!(table.own().rank() > record("a", 1, 0, MemberStatus::Gone).rank());
    assert_eq!(table.own().status, MemberStatus::Alive);
}

// An instance restarts with its clock set back. The others know a later incarnation and ignore its
// records, until it learns that and raises its own incarnation.
#[test]
fn clock_back() {
    let mut table = MemberTable::new(record("a", 5_000, 1, MemberStatus::Alive));
    let before = record("a", 9_000, 40, MemberStatus::Gone);
    assert_eq!(table.merge(before.clone()), MergeOutcome::Refuted);
    assert_eq!(table.own().incarnation, 9_001);
    let mut other = own_table();
    other.merge(before.clone());
    assert_eq!(other.merge(table.own().clone()), MergeOutcome::Newer);
    // Late copies of the record of the old process have no effect any more.
    assert_eq!(table.merge(before.clone()), MergeOutcome::Known);
    assert_eq!(other.merge(before), MergeOutcome::Older);
}

// Two instances have the same name. Each would outrank the other without end, and every new record
// is sent to the whole fleet.
#[test]
fn name_clash() {
    let mut first = MemberTable::new(record("a", 1_000, 1, MemberStatus::Alive));
    let mut second = MemberTable::new(record("a", 2_000, 1, MemberStatus::Alive));
    let mut refutations = 0;
    for _ in 0..100 {
        refutations += usize::from(first.merge(second.own().clone()) == MergeOutcome::Refuted);
        refutations += usize::from(second.merge(first.own().clone()) == MergeOutcome::Refuted);
    }
    assert!(refutations <= 16, "{refutations} refutations");
    assert_eq!(first.merge(second.own().clone()), MergeOutcome::NameConflict);
}

// A suspicion reaches the daemon that it is about, which runs.
#[test]
fn suspicion_refuted() {
    let mut table = MemberTable::new(record("a", 1, 4, MemberStatus::Alive));
    let suspicion = |sequence, is_withdrawn| MemberSuspicion {
        proxy: "a".to_owned(),
        incarnation: 1,
        sequence,
        observer: "b".to_owned(),
        number: 1,
        is_withdrawn,
    };
    assert!(!table.refute(&suspicion(4, true)));
    assert!(!table.refute(&suspicion(3, false)), "refuted before");
    assert!(table.refute(&suspicion(4, false)));
    assert_eq!(table.own().sequence, 5);
    assert!(!table.refute(&MemberSuspicion { proxy: "c".to_owned(), ..suspicion(9, false) }));
}

// Only the current record of another daemon can be declared gone, and only a new process or a
// greater sequence replaces it.
#[test]
fn gone_declared() {
    let mut table = own_table();
    table.merge(record("b", 5, 2, MemberStatus::Alive));
    assert!(!table.declare_gone("b", 5, 1), "about an older record");
    assert!(!table.declare_gone("own", 1, 0), "about itself");
    assert!(table.declare_gone("b", 5, 2));
    assert!(!table.declare_gone("b", 5, 2), "twice");
    assert_eq!(table.merge(record("b", 5, 2, MemberStatus::Leaving)), MergeOutcome::Older);
    assert_eq!(table.merge(record("b", 6, 0, MemberStatus::Alive)), MergeOutcome::Newer);
}
