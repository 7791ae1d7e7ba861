//! Requests that a link between daemons delivers late.

mod common;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use common::{FleetPlan, TestFleet, http1, relay, send};
use sk_proxy::DEADLINE_HEADER;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time::Instant,
};

/// Relays bytes to a guard, each chunk delayed by `delay_ms`; the opposite direction is not
/// delayed.
async fn relay_slow_chunks(guard: SocketAddr, delay_ms: Arc<AtomicU64>) -> SocketAddr {
    relay(guard, move |near, far| {
        let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
        tokio::spawn(carry(far_in, near_out, Arc::default()));
        carry(near_in, far_out, delay_ms.clone())
    })
    .await
}

async fn carry(mut input: OwnedReadHalf, mut output: OwnedWriteHalf, delay_ms: Arc<AtomicU64>) {
    let mut chunk = vec![0; 16 * 1024];
    while let Ok(size @ 1..) = input.read(&mut chunk).await {
        tokio::time::sleep(Duration::from_millis(delay_ms.load(Ordering::Relaxed))).await;
        if output.write_all(&chunk[..size]).await.is_err() {
            return;
        }
    }
}

/// Relays bytes to a guard, all delayed by the same time; the opposite direction is not delayed.
async fn relay_delayed(guard: SocketAddr, delay: Duration) -> SocketAddr {
    relay(guard, move |near, far| {
        let ((mut near_in, near_out), (far_in, mut far_out)) =
            (near.into_split(), far.into_split());
        let (chunks, mut due) = tokio::sync::mpsc::unbounded_channel::<(Instant, Vec<u8>)>();
        tokio::spawn(async move {
            let mut chunk = vec![0; 16 * 1024];
            while let Ok(size @ 1..) = near_in.read(&mut chunk).await {
                let _ = chunks.send((Instant::now() + delay, chunk[..size].to_vec()));
            }
        });
        tokio::spawn(carry(far_in, near_out, Arc::default()));
        async move {
            while let Some((at, chunk)) = due.recv().await {
                tokio::time::sleep_until(at).await;
                if far_out.write_all(&chunk).await.is_err() {
                    return;
                }
            }
        }
    })
    .await
}

/// Guards against a server working for a caller that is gone. The link between two daemons has
/// more bytes queued than it carries in a call's time: the call arrives after its caller gave up,
/// and the reset waits behind it. Meanwhile other requests would wait for the server.
#[tokio::test(flavor = "multi_thread")]
async fn caller_gone() {
    let mut fleet = TestFleet::start(FleetPlan::new(1)).await;
    let delay_ms = Arc::<AtomicU64>::default();
    let guard = relay_slow_chunks(fleet.daemons[1].guard, delay_ms.clone()).await;
    fleet.move_guard(1, guard);
    let (entry, client) = (fleet.entry(), http1());
    for _ in 0..3 {
        assert_eq!(send(&client, entry, "GET", "/?tag=early", &[], "").await.status, 200);
    }
    delay_ms.store(700, Ordering::Relaxed);
    let answer = send(&client, entry, "GET", "/?tag=late", &[(DEADLINE_HEADER, "400")], "").await;
    assert!(answer.status.is_server_error(), "{answer:?}");
    // Longer than the transit takes.
    tokio::time::sleep(Duration::from_millis(1500)).await;
    assert_eq!(fleet.runs("late"), 0, "no caller waits for it");
    delay_ms.store(0, Ordering::Relaxed);
    assert_eq!(send(&client, entry, "GET", "/?tag=after", &[], "").await.status, 200);
}

/// Guards against the first call between two daemons being run for a caller that is gone: the
/// guard knows no earlier call to compare its transit time with.
#[tokio::test(flavor = "multi_thread")]
async fn first_call_late() {
    let mut fleet = TestFleet::start(FleetPlan::new(1)).await;
    let guard = relay_delayed(fleet.daemons[1].guard, Duration::from_millis(1_200)).await;
    fleet.move_guard(1, guard);
    let (entry, client) = (fleet.entry(), http1());
    let answer = send(&client, entry, "GET", "/?tag=late", &[(DEADLINE_HEADER, "400")], "").await;
    assert!(answer.status.is_server_error(), "{answer:?}");
    // Longer than the transit takes.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    assert_eq!(fleet.runs("late"), 0, "no caller waits for it");
}

/// Relays bytes to a guard over a link that is full from the opening of each connection on: the
/// guard accepts it late, and all that follows is delayed by `delay_ms`. The opposite direction is
/// not delayed.
async fn relay_full_link(guard: SocketAddr, delay_ms: Arc<AtomicU64>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("local port");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let delay_ms = delay_ms.clone();
            tokio::spawn(async move {
                let (mut near_in, near_out) = near.into_split();
                let delay = || Duration::from_millis(delay_ms.load(Ordering::Relaxed));
                tokio::time::sleep(delay()).await;
                let far = TcpStream::connect(guard).await.expect("the guard listens");
                let (far_in, mut far_out) = far.into_split();
                tokio::spawn(carry(far_in, near_out, Arc::default()));
                let (chunks, mut due) = tokio::sync::mpsc::unbounded_channel();
                tokio::spawn(async move {
                    while let Some((at, chunk)) = due.recv().await {
                        tokio::time::sleep_until(at).await;
                        let chunk: Vec<u8> = chunk;
                        if far_out.write_all(&chunk).await.is_err() {
                            return;
                        }
                    }
                });
                let mut chunk = vec![0; 16 * 1024];
                while let Ok(size @ 1..) = near_in.read(&mut chunk).await {
                    let _ = chunks.send((Instant::now() + delay(), chunk[..size].to_vec()));
                }
            });
        }
    });
    address
}

/// Guards against a call being run half a second after its deadline, where a link has been full
/// since its daemons started: the fastest message that the guard knows was slow itself, and what
/// all messages have lost on the way is not seen.
#[tokio::test(flavor = "multi_thread")]
async fn full_since_start() {
    let mut fleet = TestFleet::start(FleetPlan::new(1)).await;
    let delay_ms = Arc::new(AtomicU64::new(500));
    let guard = relay_full_link(fleet.daemons[1].guard, delay_ms.clone()).await;
    fleet.move_guard(1, guard);
    let (entry, client) = (fleet.entry(), http1());
    assert_eq!(send(&client, entry, "GET", "/?tag=early", &[], "").await.status, 200);
    // Longer than the opening of the connection counts as a measure of the link.
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    delay_ms.store(1_000, Ordering::Relaxed);
    let answer = send(&client, entry, "GET", "/?tag=late", &[(DEADLINE_HEADER, "540")], "").await;
    assert!(answer.status.is_server_error(), "{answer:?}");
    // Longer than the transit takes.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(fleet.runs("late"), 0, "no caller waits for it");
    delay_ms.store(0, Ordering::Relaxed);
    assert_eq!(send(&client, entry, "GET", "/?tag=after", &[], "").await.status, 200);
}
