//! Commits whose answer is lost.

mod common;

use std::sync::Arc;

use common::{quick_ledger, request, service, value};
use sk_ledger::SubmitError;
use sk_model::{ChangeRecord, ChangeRequest};
use sk_store::{
    CallFault::{DelayUntilDelivered, LoseAnswer, LoseRequest, None as Fine, Outage, Pause},
    FaultStore,
};

/// Number of calls of a first submit before the put of the head: two reads and the subtree.
const BEFORE_PUT: usize = 3;

fn at_put(faults: &[sk_store::CallFault]) -> Vec<sk_store::CallFault> {
    [&[Fine; BEFORE_PUT], faults].concat()
}

/// The platform commits a change, its answer is lost, and an outage begins. After "not accepted"
/// the operator would submit the change anew although it is in force; after "accepted" for a lost
/// request, the operator would rely on a change that no proxy ever gets.
#[tokio::test]
async fn outage_after_commit() {
    for (fault, is_in_force) in [(LoseAnswer, true), (LoseRequest, false)] {
        let store = FaultStore::new(&Arc::default());
        let ledger = quick_ledger(&store);
        let change = request("c1", "ana", 0, &[("/one/service", Some(service()))]);
        store.plan_faults(&at_put(&[fault, Outage]));
        let answer = ledger.submit(&change, 1).await;
        assert_eq!(answer, Err(SubmitError::Unknown { change_id: "c1".to_owned() }));
        store.plan_faults(&[]);
        assert_eq!(ledger.find_change("c1").await.expect("up").is_some(), is_in_force);
        assert_eq!(ledger.submit(&change, 2).await.expect("accepted").version, 1);
        assert_eq!(ledger.history(1, 9).await.expect("up").len(), 1);
    }
}

/// Suspends a submit of `c1` after its put, which `fault` disturbs, while `meanwhile` is accepted.
async fn submit_around(
    fault: sk_store::CallFault,
    meanwhile: &[ChangeRequest],
) -> (Arc<FaultStore>, Result<ChangeRecord, SubmitError>) {
    let store = FaultStore::new(&Arc::default());
    let ledger = quick_ledger(&store);
    let other = quick_ledger(&FaultStore::new(&store.inner));
    let change = request("c1", "ana", 0, &[("/one/service", Some(service()))]);
    store.plan_faults(&at_put(&[fault, Pause]));
    let task = tokio::spawn(async move { ledger.submit(&change, 1).await });
    assert!(!store.wait_ended_or_paused(&task).await);
    for (request, version) in meanwhile.iter().zip(1..) {
        assert_eq!(other.submit(request, 2).await.expect("accepted").version, version);
    }
    store.resume();
    (store, task.await.expect("no panic"))
}

/// A put is delayed, its caller gives up and tries again, and then the first put arrives. Without a
/// condition on its revision, the change would be in force twice, or would undo what the operator
/// of another team wrote in between.
#[tokio::test]
async fn late_arrival() {
    let second = request("c2", "bor", 0, &[("/two/value", Some(value(1)))]);
    let (store, answer) = submit_around(DelayUntilDelivered, &[second]).await;
    assert_eq!(answer.expect("accepted").version, 2);
    store.deliver_delayed().await;
    let history = quick_ledger(&store).history(1, 9).await.expect("up");
    let ids: Vec<_> = history.iter().map(|record| &*record.change_id).collect();
    assert_eq!(ids, ["c2", "c1"]);
}

/// A put is lost and another change is committed, so that the lost one can never take effect. If
/// the answer were "unknown", the operator would have to ask again although the outcome is known.
#[tokio::test]
async fn resolved_by_others() {
    let writes = [("/one/service", Some(service()))];
    let (_, answer) = submit_around(LoseRequest, &[request("c2", "bor", 0, &writes)]).await;
    assert!(matches!(answer, Err(SubmitError::Conflict { conflicting }) if conflicting.len() == 1));
    let (_, answer) = submit_around(LoseRequest, &[request("c1", "bor", 0, &writes)]).await;
    assert!(matches!(answer, Err(SubmitError::IdReused { .. })));
}

/// A caller sends the same change through two daemons. One is suspended at its put while the other
/// accepts the change and its record moves to history. Without another look-up of the change, the
/// suspended one would report a conflict although the change is in force.
#[tokio::test]
async fn moved_between_tries() {
    let change = request("c1", "ana", 0, &[("/one/service", Some(service()))]);
    let others = (1..9_u64).map(|number| {
        let body = Some(value(number));
        request(&format!("o{number}"), "bor", number, &[("/two/value", body)])
    });
    let meanwhile: Vec<_> = [change].into_iter().chain(others).collect();
    let (_, answer) = submit_around(LoseRequest, &meanwhile).await;
    assert_eq!(answer.expect("accepted").version, 1);
}
