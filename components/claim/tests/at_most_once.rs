//! At most one attempt of a key is ever granted, whatever the platform does.

use std::{collections::BTreeMap, sync::Arc};

use proptest::prelude::*;
use sk_claim::{ClaimBook, ClaimSettings, ClaimVerdict, claim_key};
use sk_store::{CallFault, FakeStore, FaultStore, SharedStore};
use tokio::task::JoinSet;

fn settings() -> ClaimSettings {
    // Few partitions and short tails, so that writers meet and chunks come about.
    ClaimSettings { partitions: 2, tail_claims: 4, ..ClaimSettings::default() }
}

#[derive(Clone, Debug)]
enum Step {
    /// Attempts on keys, each at one of three daemons, all at once.
    Attempts(Vec<(usize, u8)>),
    /// Fates of the next writes.
    Fates(Vec<CallFault>),
    /// The platform goes away or comes back.
    Outage(bool),
    /// A daemon restarts and forgets everything.
    Restart(usize),
}

fn fate() -> impl Strategy<Value = CallFault> {
    prop_oneof![
        Just(CallFault::None),
        Just(CallFault::LoseAnswer),
        Just(CallFault::LoseRequest),
        (0..40_u64).prop_map(CallFault::LateBy),
    ]
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => prop::collection::vec((0..3_usize, 0..12_u8), 1..8).prop_map(Step::Attempts),
        2 => prop::collection::vec(fate(), 1..6).prop_map(Step::Fates),
        1 => any::<bool>().prop_map(Step::Outage),
        1 => (0..3_usize).prop_map(Step::Restart),
    ];
    prop::collection::vec(step, 1..40)
}

/// Counts grants by key over a whole sequence.
async fn count_grants(steps: Vec<Step>) -> BTreeMap<u8, u32> {
    let unruly = FaultStore::interleaved();
    let store: SharedStore = unruly.clone();
    let book = || Arc::new(ClaimBook::new(store.clone(), settings()));
    let mut books = [book(), book(), book()];
    let (mut grants, mut attempt) = (BTreeMap::new(), 0);
    for step in steps {
        match step {
            Step::Outage(is_down) => unruly.inner.set_down(is_down),
            Step::Restart(daemon) => books[daemon] = book(),
            Step::Fates(fates) => unruly.plan_more(&fates),
            Step::Attempts(attempts) => {
                let mut tasks = JoinSet::new();
                for (daemon, key) in attempts {
                    attempt += 1;
                    let (book, attempt) = (books[daemon].clone(), attempt);
                    tasks.spawn(async move {
                        let verdict =
                            book.claim(&claim_key("/a/b", &key.to_string()), attempt).await;
                        if verdict == Ok(ClaimVerdict::Granted) {
                            book.ran(&claim_key("/a/b", &key.to_string()), attempt, 200);
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

    // Answers of the platform are lost, daemons restart and race each other, and callers send the
    // same key again through any of them. A user would notice a second grant as a second
    // treatment confirmation or food reservation.
    #[test]
    fn one_grant(steps in steps()) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true)
            .build().expect("runtime");
        let grants = runtime.block_on(count_grants(steps));
        prop_assert!(grants.values().all(|count| *count <= 1), "{grants:?}");
    }
}

// A naive daemon reads whether the key is there, writes it if not, and tries again when the
// answer is lost. Two daemons that read at the same moment both find nothing, and both run.
#[tokio::test(start_paused = true)]
async fn naive_runs_twice() {
    let store: SharedStore = Arc::new(FakeStore::new());
    let is_free = async || store.get("key").await.expect("platform is up").is_none();
    let (first, second) = (is_free().await, is_free().await);
    assert!(first && second, "both naive daemons believe that they may run the request");

    let book = ClaimBook::new(store.clone(), settings());
    let other = ClaimBook::new(store, settings());
    let key = claim_key("/a/b", "one");
    let (first, second) = tokio::join!(book.claim(&key, 1), other.claim(&key, 2));
    let granted = [first, second].into_iter().filter(|v| *v == Ok(ClaimVerdict::Granted));
    assert_eq!(granted.count(), 1);
}

// A caller's request ran, its answer was lost on the way, and the caller sends it again through
// another daemon. It must learn that it ran and how, instead of being served again.
#[tokio::test(start_paused = true)]
async fn resend_learns() {
    let store: SharedStore = Arc::new(FakeStore::new());
    let (book, other) =
        (ClaimBook::new(store.clone(), settings()), ClaimBook::new(store, settings()));
    let key = claim_key("/a/b", "one");
    assert_eq!(book.claim(&key, 1).await, Ok(ClaimVerdict::Granted));
    assert_eq!(other.claim(&key, 2).await, Ok(ClaimVerdict::AlreadyClaimed));
    book.ran(&key, 1, 201);
    // Of one book, wishes are committed in order: once this is answered, the outcome is kept.
    assert_eq!(book.claim(&key, 3).await, Ok(ClaimVerdict::AlreadyRan(201)));
    assert_eq!(other.claim(&key, 4).await, Ok(ClaimVerdict::AlreadyRan(201)));
}

// A guard claims a request and then has to refuse it. If the claim stood, the caller's next try
// would be answered "unknown" for an hour although nothing ran.
#[tokio::test(start_paused = true)]
async fn given_back() {
    let store: SharedStore = Arc::new(FakeStore::new());
    let book = ClaimBook::new(store, settings());
    let key = claim_key("/a/b", "one");
    assert_eq!(book.claim(&key, 1).await, Ok(ClaimVerdict::Granted));
    book.give_back(&key, 1).await;
    assert_eq!(book.claim(&key, 2).await, Ok(ClaimVerdict::Granted));
}

// The platform is away. Running the request without a claim could run it twice, so that it is
// refused and the caller told to come back.
#[tokio::test(start_paused = true)]
async fn platform_away() {
    let fake = Arc::new(FakeStore::new());
    let store: SharedStore = fake.clone();
    fake.set_down(true);
    let book = ClaimBook::new(store, settings());
    let key = claim_key("/a/b", "one");
    assert!(book.claim(&key, 1).await.is_err());
    fake.set_down(false);
    assert_eq!(book.claim(&key, 2).await, Ok(ClaimVerdict::Granted));
}
