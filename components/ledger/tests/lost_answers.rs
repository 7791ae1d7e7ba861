//! Commits whose answer is lost.

mod common;

use std::sync::Arc;

use common::{
    CallFault::{Delay, LoseAnswer, LoseRequest, None as Fine, Outage, Pause},
    FaultStore, quick_ledger, request, service, value,
};
use sk_ledger::SubmitError;

/// Calls of a first submit before the put of the head: two reads and the subtree.
const BEFORE_PUT: usize = 3;

fn at_put(faults: &[common::CallFault]) -> Vec<common::CallFault> {
    [&[Fine; BEFORE_PUT], faults].concat()
}

/// The platform commits a change, its answer is lost and an outage begins. Told "not accepted",
/// the operator would write the change anew although it is in force; told "accepted" after a lost
/// request, he would rely on what no proxy will ever hold.
#[tokio::test]
async fn outage_after_commit() {
    for (fault, is_in_force) in [(LoseAnswer, true), (LoseRequest, false)] {
        let store = FaultStore::new(&Arc::default());
        let ledger = quick_ledger(&store);
        let change = request("c1", "ana", 0, &[("/one/service", Some(service()))]);
        store.plan(&at_put(&[fault, Outage]));
        let answer = ledger.submit(&change, 1).await;
        assert_eq!(answer, Err(SubmitError::Unknown { change_id: "c1".to_owned() }));
        store.plan(&[]);
        assert_eq!(ledger.outcome("c1").await.expect("up").is_some(), is_in_force);
        assert_eq!(ledger.submit(&change, 2).await.expect("accepted").version, 1);
        assert_eq!(ledger.history(1, 9).await.expect("up").len(), 1);
    }
}

/// A put hangs on its way, its caller gives up and tries again, and then the first one arrives.
/// The change would be in force twice, or undo what another team's operator wrote in between.
#[tokio::test]
async fn late_arrival() {
    let store = FaultStore::new(&Arc::default());
    let ledger = quick_ledger(&store);
    let other = quick_ledger(&FaultStore::new(&store.inner));
    let first = request("c1", "ana", 0, &[("/one/service", Some(service()))]);
    store.plan(&at_put(&[Delay, Pause]));
    let task = tokio::spawn({
        let (ledger, first) = (Arc::clone(&ledger), first.clone());
        async move { ledger.submit(&first, 1).await }
    });
    assert!(!store.settle(&task).await);
    let second = request("c2", "bor", 0, &[("/two/value", Some(value(1)))]);
    assert_eq!(other.submit(&second, 2).await.expect("accepted").version, 1);
    store.resume();
    assert_eq!(task.await.expect("no panic").expect("accepted").version, 2);
    store.arrive().await;
    let history = ledger.history(1, 9).await.expect("up");
    let ids: Vec<_> = history.iter().map(|record| &*record.change_id).collect();
    assert_eq!(ids, ["c2", "c1"]);
}
