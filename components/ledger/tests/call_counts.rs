//! The number of platform calls for accepting and loading.

mod common;

use std::{sync::Arc, time::Duration};

use common::{quick_ledger, request, service, value};
use sk_ledger::{Ledger, LedgerSettings};
use sk_model::ConfigSnapshot;
use sk_store::{FakeStore, FaultStore};

const TEAMS: usize = 69;

#[tokio::test]
async fn calls_per_change() {
    let store = FaultStore::new(&Arc::default());
    let ledger = Ledger::new(store.clone(), LedgerSettings::default());
    for team in 0..TEAMS {
        let (id, path) = (format!("t{team}"), format!("/team{team}/service"));
        ledger.submit(&request(&id, "ana", 0, &[(&path, Some(service()))]), 1).await.expect("in");
    }
    store.take_counts();
    let reader = Ledger::new(store.clone(), LedgerSettings::default());
    let known = reader.load(&ConfigSnapshot::default()).await.expect("up");
    assert_eq!(store.take_counts(), (1 + TEAMS, 0), "load with nothing known");
    let change = request("c1", "ana", 1, &[("/team0/service", None)]);
    ledger.submit(&change, 1).await.expect("accepted");
    assert_eq!(store.take_counts(), (2, 2), "accept on a ledger that has read the head");
    let known =
        reader.wait_newer(&known, Duration::from_secs(9)).await.expect("up").expect("newer");
    assert_eq!(store.take_counts(), (2, 0), "a watch and the changed subtree");
    reader.load(&known).await.expect("up");
    assert_eq!(store.take_counts(), (1, 0), "load with everything known");
    for number in 0..800_u64 {
        let (id, path) = (format!("n{number}"), "/team1/value");
        let base = known.version() + number;
        let change = request(&id, "ana", base, &[(path, Some(value(number)))]);
        ledger.submit(&change, 1).await.expect("accepted");
    }
    let (reads, writes) = store.take_counts();
    // The first 58 changes fill the tail; after that each change takes 2 writes and an eighth of 8
    // + 1 more.
    assert_eq!((reads, writes), (1600, 1600 + 93 * 9));
}

/// All teams submit at the same moment through as many daemons, and each commit outdates all
/// others. Without jitter and enough tries, some operators would be rejected although nothing is
/// wrong with their changes.
#[tokio::test]
async fn all_teams_at_once() {
    let platform = Arc::new(FakeStore::new());
    let latency = Duration::from_millis(2);
    let began = std::time::Instant::now();
    let tasks = (0..TEAMS).map(|team| {
        let store = FaultStore::with_latency(&platform, latency);
        let ledger = Ledger::new(store.clone(), LedgerSettings::default());
        let (id, path) = (format!("t{team}"), format!("/team{team}/service"));
        let change = request(&id, "ana", 0, &[(&path, Some(service()))]);
        tokio::spawn(async move { (ledger.submit(&change, 1).await, store.take_counts()) })
    });
    let (mut reads, mut writes) = (0, 0);
    for task in tasks.collect::<Vec<_>>() {
        let (answer, counts) = task.await.expect("no panic");
        answer.expect("accepted");
        reads += counts.0;
        writes += counts.1;
    }
    println!("{TEAMS} at once: {reads} reads, {writes} writes, {:?}", began.elapsed());
    let ledger = quick_ledger(&FaultStore::new(&platform));
    assert_eq!(ledger.history(1, 99).await.expect("up").len(), TEAMS);
}
