//! At most one attempt of a key is ever granted, whatever faults the platform has.

use std::{collections::BTreeMap, sync::Arc};

use proptest::prelude::*;
use sk_claim::{ClaimClient, ClaimSettings, ClaimVerdict, claim_key};
use sk_store::{CallFault, FakeStore, FaultStore, SharedStore};
use tokio::task::JoinSet;

fn settings() -> ClaimSettings {
    // Few partitions and short tails, so that writers collide and chunks are written.
    ClaimSettings { partitions: 2, tail_claims: 4, ..ClaimSettings::default() }
}

#[derive(Clone, Debug)]
enum Step {
    /// Concurrent attempts on keys, each at one of three daemons.
    Attempts(Vec<(usize, u8)>),
    /// Faults of the next writes.
    Faults(Vec<CallFault>),
    /// The platform becomes unavailable or available again.
    Outage(bool),
    /// A daemon restarts and loses its cache.
    Restart(usize),
}

fn fault() -> impl Strategy<Value = CallFault> {
    prop_oneof![
        Just(CallFault::None),
        Just(CallFault::LoseAnswer),
        Just(CallFault::LoseRequest),
        (0..40_u64).prop_map(CallFault::DelayByMs),
    ]
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => prop::collection::vec((0..3_usize, 0..12_u8), 1..8).prop_map(Step::Attempts),
        2 => prop::collection::vec(fault(), 1..6).prop_map(Step::Faults),
        1 => any::<bool>().prop_map(Step::Outage),
        1 => (0..3_usize).prop_map(Step::Restart),
    ];
    prop::collection::vec(step, 1..40)
}

/// Runs the steps and returns the number of grants by key.
async fn count_grants(steps: Vec<Step>) -> BTreeMap<u8, u32> {
    let fault_store = FaultStore::new_interleaved();
    let store: SharedStore = fault_store.clone();
    let client = || Arc::new(ClaimClient::new(store.clone(), settings()));
    let mut clients = [client(), client(), client()];
    let (mut grants, mut attempt) = (BTreeMap::new(), 0);
    for step in steps {
        match step {
            Step::Outage(is_down) => fault_store.inner.set_outage(is_down),
            Step::Restart(daemon) => clients[daemon] = client(),
            Step::Faults(faults) => fault_store.plan_faults_before(&faults),
            Step::Attempts(attempts) => {
                let mut tasks = JoinSet::new();
                for (daemon, key) in attempts {
                    attempt += 1;
                    let (client, attempt) = (clients[daemon].clone(), attempt);
                    tasks.spawn(async move {
                        let verdict =
                            client.claim(&claim_key("/a/b", &key.to_string()), attempt).await;
                        if verdict == Ok(ClaimVerdict::Granted) {
                            client.record_status(
                                &claim_key("/a/b", &key.to_string()),
                                attempt,
                                200,
                            );
                        }
                        (key, verdict)
                    });
                }
                while let Some(done) = tasks.join_next().await {
                    if let (key, Ok(ClaimVerdict::Granted)) = done.expect("attempt ends") {
                        *grants.entry(key).or_default() += 1;
                    }
                }
            }
        }
    }
    grants
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    // Answers of the platform are lost, daemons restart and race each other, and callers resend
    // the same key through any of them. A second grant would reach a user as a second treatment
    // confirmation or food reservation.
    #[test]
    fn one_grant(steps in steps()) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true)
            .build().expect("runtime");
        let grants = runtime.block_on(count_grants(steps));
        prop_assert!(grants.values().all(|count| *count <= 1), "{grants:?}");
    }
}

// A naive daemon reads whether the key exists, writes it if not, and tries again if the answer is
// lost. Two daemons that read at the same moment both find nothing, and both run the request.
#[tokio::test(start_paused = true)]
async fn naive_runs_twice() {
    let store: SharedStore = Arc::new(FakeStore::new());
    let is_free = async || store.get("key").await.expect("platform is up").is_none();
    let (first, second) = (is_free().await, is_free().await);
    assert!(first && second, "both naive daemons believe that they may run the request");

    let client = ClaimClient::new(store.clone(), settings());
    let other = ClaimClient::new(store, settings());
    let key = claim_key("/a/b", "one");
    let (first, second) = tokio::join!(client.claim(&key, 1), other.claim(&key, 2));
    let granted = [first, second].into_iter().filter(|v| *v == Ok(ClaimVerdict::Granted));
    assert_eq!(granted.count(), 1);
}

// The request of a caller ran, its answer was lost, and the caller resends it through another
// daemon. The caller must learn that it ran, and with which status, instead of being served again.
#[tokio::test(start_paused = true)]
async fn resend_gets_status() {
    let store: SharedStore = Arc::new(FakeStore::new());
    let (client, other) =
        (ClaimClient::new(store.clone(), settings()), ClaimClient::new(store, settings()));
    let key = claim_key("/a/b", "one");
    assert_eq!(client.claim(&key, 1).await, Ok(ClaimVerdict::Granted));
    assert_eq!(other.claim(&key, 2).await, Ok(ClaimVerdict::AlreadyClaimed));
    client.record_status(&key, 1, 201);
    // One instance commits its operations in order: once this one is answered, the outcome is
    // recorded.
    assert_eq!(client.claim(&key, 3).await, Ok(ClaimVerdict::AlreadyRan(201)));
    assert_eq!(other.claim(&key, 4).await, Ok(ClaimVerdict::AlreadyRan(201)));
}

// A guard claims a request and then has to refuse it. If the claim remained, the next try of the
// caller would be answered with "unknown" for an hour although nothing ran.
#[tokio::test(start_paused = true)]
async fn claim_released() {
    let store: SharedStore = Arc::new(FakeStore::new());
    let client = ClaimClient::new(store, settings());
    let key = claim_key("/a/b", "one");
    assert_eq!(client.claim(&key, 1).await, Ok(ClaimVerdict::Granted));
    client.release(&key, 1).await;
    assert_eq!(client.claim(&key, 2).await, Ok(ClaimVerdict::Granted));
}

// The platform is unavailable. Running the request without a claim could run it twice, so it is
// refused and the caller is told to retry.
#[tokio::test(start_paused = true)]
async fn platform_unavailable() {
    let fake = Arc::new(FakeStore::new());
    let store: SharedStore = fake.clone();
    fake.set_outage(true);
    let client = ClaimClient::new(store, settings());
    let key = claim_key("/a/b", "one");
    assert!(client.claim(&key, 1).await.is_err());
    fake.set_outage(false);
    assert_eq!(client.claim(&key, 2).await, Ok(ClaimVerdict::Granted));
}
