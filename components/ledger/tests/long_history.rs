//! Records that have moved from the head to history.

mod common;

use std::sync::Arc;

use common::{quick_ledger, request, value};
use sk_ledger::{Ledger, SubmitError};
use sk_store::{CallFault::Pause, FaultStore, ObjectStore};

async fn write_many(ledger: &Ledger, from: u64, count: u64) {
    for number in from..from + count {
        let id = format!("c{number}");
        let change = request(&id, "ana", number - 1, &[("/one/value", Some(value(number)))]);
        assert_eq!(ledger.submit(&change, number).await.expect("accepted").version, number);
    }
}

#[tokio::test]
async fn every_range() {
    let store = FaultStore::new(&Arc::default());
    let ledger = quick_ledger(&store);
    write_many(&ledger, 1, 45).await;
    for from in 0..48_u64 {
        for max_records in [0, 1, 7, 8, 9, 100] {
            let records = ledger.history(from, max_records).await.expect("up");
            let versions: Vec<_> = records.iter().map(|record| record.version).collect();
            let expected: Vec<_> = (from.max(1)..46).take(max_records).collect();
            assert_eq!(versions, expected, "{from} {max_records}");
        }
    }
    let chunks = store.list("sapphirekeel/history/").await.expect("up").len();
    assert_eq!(chunks, 5);
}

#[tokio::test]
async fn old_ids() {
    let ledger = quick_ledger(&FaultStore::new(&Arc::default()));
    write_many(&ledger, 1, 40).await;
    let again = request("c1", "ana", 0, &[("/one/value", Some(value(1)))]);
    assert_eq!(ledger.submit(&again, 99).await.expect("accepted").version, 1);
    let other = request("c1", "ana", 0, &[("/one/value", Some(value(2)))]);
    let reused = ledger.submit(&other, 99).await;
    assert!(matches!(reused, Err(SubmitError::IdReused { record }) if record.version == 1));
    let stale = request("c41", "bor", 0, &[("/one/value", Some(value(2)))]);
    let raced = ledger.submit(&stale, 99).await;
    assert!(matches!(raced, Err(SubmitError::Conflict { conflicting }) if !conflicting.is_empty()));
}

/// A look-up is suspended between its two reads while the record moves from the head to history.
/// Read in the wrong order, both places lack the record, and the operator is told that an accepted
/// change is not in force.
#[tokio::test]
async fn move_during_lookup() {
    let store = FaultStore::new(&Arc::default());
    let ledger = quick_ledger(&store);
    write_many(&ledger, 1, 1).await;
    let reader_store = FaultStore::new(&store.inner);
    let reader = quick_ledger(&reader_store);
    reader_store.plan_faults(&[sk_store::CallFault::None, Pause]);
    let task = tokio::spawn(async move { reader.find_change("c1").await });
    if !reader_store.wait_ended_or_paused(&task).await {
        write_many(&ledger, 2, 30).await;
        reader_store.resume();
    }
    let found = task.await.expect("no panic").expect("up").expect("in force");
    assert_eq!(found.version, 1);
}
