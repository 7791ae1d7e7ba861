//! Connections between daemons.

mod common;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use common::{FleetPlan, TestFleet, get, http1, relay};
use futures::future::join_all;
use tokio::sync::watch;

/// Relays connections to a guard, counts them, and closes all of them when told to.
struct GuardRelay {
    address: SocketAddr,
    accepted: Arc<AtomicU32>,
    reset: watch::Sender<()>,
}

impl GuardRelay {
    async fn start(guard: SocketAddr) -> Self {
        let (accepted, reset) = (Arc::<AtomicU32>::default(), watch::Sender::new(()));
        let (count, resets) = (accepted.clone(), reset.clone());
        let address = relay(guard, move |mut near, mut far| {
            count.fetch_add(1, Ordering::Relaxed);
            let mut ended = resets.subscribe();
            async move {
                tokio::select! {
                    _ = tokio::io::copy_bidirectional(&mut near, &mut far) => (),
                    _ = ended.changed() => (),
                }
            }
        })
        .await;
        Self { address, accepted, reset }
    }

    fn accepted(&self) -> u32 {
        self.accepted.load(Ordering::Relaxed)
    }
}

async fn start_relayed() -> (TestFleet, GuardRelay) {
    let mut fleet = TestFleet::start(FleetPlan::new(1)).await;
    let relay = GuardRelay::start(fleet.daemons[1].guard).await;
    fleet.move_guard(1, relay.address);
    (fleet, relay)
}

/// Guards against a burst of first requests opening a connection each.
#[tokio::test(flavor = "multi_thread")]
async fn one_connection() {
    let (fleet, relay) = start_relayed().await;
    let (entry, client) = (fleet.entry(), http1());
    let answers = join_all((0..8).map(|_| get(&client, entry, "/"))).await;
    assert!(answers.iter().all(|answer| answer.status == 200), "{answers:?}");
    assert_eq!(relay.accepted(), 1);
}

/// Guards against requests being lost on a connection that ended while nothing was in flight.
#[tokio::test(flavor = "multi_thread")]
async fn reopened_connection() {
    let (fleet, relay) = start_relayed().await;
    let (entry, client) = (fleet.entry(), http1());
    for round in 1..=5 {
        assert_eq!(get(&client, entry, "/").await.status, 200, "round {round}");
        assert_eq!(relay.accepted(), round);
        relay.reset.send_replace(());
        // Time for the close to arrive.
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}
