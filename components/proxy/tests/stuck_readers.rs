//! Readers of large answers that stop reading and keep their connections open.

mod common;

use std::{net::SocketAddr, time::Duration};

use common::{FleetPlan, TestFleet, relay, send_unread};
use tokio::time::Instant;

const DEADLINE: Duration = Duration::from_secs(1);
/// Time after the request by which everything that it occupied must be free: its deadline, the
/// grace for its body, and a margin.
const FREE_BY: Duration = Duration::from_secs(6);
const SIZE: usize = 8_000_000;

async fn start() -> TestFleet {
    TestFleet::start(FleetPlan { deadline: DEADLINE, ..FleetPlan::new(1) }).await
}

/// Returns how long a request occupied its server's slot; at most about [`FREE_BY`].
async fn time_occupied(fleet: &TestFleet, sent_at: Instant) -> Duration {
    let states = || fleet.daemons[1].servers.guard_states().into_values();
    while states().all(|state| state.running == [0, 0]) {
        assert!(sent_at.elapsed() < DEADLINE, "the request does not run");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    while states().any(|state| state.running != [0, 0]) && sent_at.elapsed() < FREE_BY {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    sent_at.elapsed()
}

/// Asks for a large answer, does not read it, and checks that its slot is free in time.
async fn assert_freed(fleet: &TestFleet) {
    let sent_at = Instant::now();
    let caller = send_unread(fleet.entry(), &format!("/?size={SIZE}")).await;
    let took = time_occupied(fleet, sent_at).await;
    println!("the slot was free after {took:?}");
    assert!(took < FREE_BY, "the slot is still taken after {took:?}");
    drop(caller);
}

/// Guards against a caller that stops reading occupying a server's slot past its deadline.
#[tokio::test(flavor = "multi_thread")]
async fn caller_stuck() {
    let fleet = start().await;
    assert_freed(&fleet).await;
}

/// Relays bytes to a guard, until it has relayed the first bytes of the answers.
async fn relay_stuck(guard: SocketAddr) -> SocketAddr {
    relay(guard, |near, far| async move {
        let ((mut near_in, mut near_out), (mut far_in, mut far_out)) =
            (near.into_split(), far.into_split());
        let mut first = tokio::io::AsyncReadExt::take(&mut far_in, 4_000);
        tokio::select! {
            _ = tokio::io::copy(&mut near_in, &mut far_out) => (),
            _ = tokio::io::copy(&mut first, &mut near_out) => (),
        }
        // Both connections stay open.
        std::future::pending::<()>().await;
    })
    .await
}

/// Guards against the same failure by a daemon of entry that stops reading: the guard's part, which
/// must not depend on a reset by the other daemon.
#[tokio::test(flavor = "multi_thread")]
async fn entry_stuck() {
    let mut fleet = start().await;
    let relay = relay_stuck(fleet.daemons[1].guard).await;
    fleet.move_guard(1, relay);
    assert_freed(&fleet).await;
}
