//! Data in the platform that the ledger did not write.

mod common;

use std::sync::Arc;

use common::{quick_ledger, request, service, value};
use sk_ledger::{CorruptData, Ledger, LedgerError, SubmitError};
use sk_model::ConfigSnapshot;
use sk_store::{FakeStore, FaultStore, ObjectStore};

async fn write_two(store: &Arc<FaultStore>) -> Arc<Ledger> {
    let ledger = quick_ledger(store);
    for (base, body) in [(0, service()), (1, value(1))] {
        let id = format!("c{base}");
        let change = request(&id, "ana", base, &[("/one/setting", Some(body))]);
        ledger.submit(&change, 1).await.expect("accepted");
    }
    ledger
}

/// A subtree is edited in the platform by hand. Without a check of its hash, proxies would apply
/// settings that no operator submitted.
#[tokio::test]
async fn edited_subtree() {
    let store = FaultStore::new(&Arc::default());
    write_two(&store).await;
    for tree in store.list("sapphirekeel/trees/").await.expect("up") {
        store.inner.replace(&tree.key, tree.revision, "{}".to_owned()).await.expect("up");
    }
    let reader = quick_ledger(&store);
    let loaded = reader.load(&ConfigSnapshot::default()).await;
    assert!(matches!(loaded, Err(LedgerError::Corrupt(CorruptData::HashMismatch { .. }))));
}

/// The platform is empty after a disaster. Without a check against the known version, version 1
/// would be assigned a second time, and proxies at version 2 would go back or never accept it.
#[tokio::test]
async fn reset_platform() {
    let platform = Arc::new(FakeStore::new());
    let store = FaultStore::new(&platform);
    let ledger = write_two(&store).await;
    let known = ledger.load(&ConfigSnapshot::default()).await.expect("up");
    let head = platform.get("sapphirekeel/head").await.expect("up").expect("a head");
    platform.delete(&head.key, head.revision).await.expect("up");
    let expected = CorruptData::Regressed { found: 0, known: 2 };
    assert_eq!(ledger.load(&known).await, Err(LedgerError::Corrupt(expected.clone())));
    let change = request("c9", "ana", 0, &[("/one/setting", Some(value(1)))]);
    assert_eq!(ledger.submit(&change, 1).await, Err(SubmitError::Corrupt(expected)));
    let other = quick_ledger(&store);
    assert!(matches!(other.load(&known).await, Err(LedgerError::Corrupt(_))));
}
