//! Waiting for a version newer than the known one.

mod common;

use std::{sync::Arc, time::Duration};

use common::{quick_ledger, request, value};
use sk_model::ConfigSnapshot;
use sk_store::FaultStore;

#[tokio::test]
async fn wakes_waiters() {
    let store = FaultStore::new(&Arc::default());
    let writer = quick_ledger(&store);
    let mut known = ConfigSnapshot::default();
    for version in 1..=20_u64 {
        let waiter = quick_ledger(&FaultStore::new(&store.inner));
        let before = known.clone();
        let task =
            tokio::spawn(async move { waiter.wait_newer(&before, Duration::from_secs(30)).await });
        tokio::task::yield_now().await;
        assert!(!task.is_finished(), "nothing newer than {}", known.version());
        let change = request(
            &format!("c{version}"),
            "ana",
            version - 1,
            &[("/one/value", Some(value(version)))],
        );
        writer.submit(&change, version).await.expect("accepted");
        known = task.await.expect("no panic").expect("up").expect("newer");
        assert!(known.is_intact());
        assert_eq!(known.version(), version);
    }
    assert_eq!(writer.wait_newer(&known, Duration::ZERO).await, Ok(None));
}
