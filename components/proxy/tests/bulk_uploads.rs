//! Large request bodies in transit between daemons.

mod common;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use common::{FleetPlan, TestFleet, get, http1, relay, send};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::tcp::{OwnedReadHalf, OwnedWriteHalf},
    sync::Mutex,
};

const BODY_BYTES: usize = 200_000;
const BYTES_PER_S: usize = 200_000;
const CHUNK_BYTES: usize = 2_048;

/// A link to a guard that carries [`BYTES_PER_S`] towards it, and counts the bytes.
struct GuardLink {
    address: SocketAddr,
    carried: Arc<AtomicUsize>,
}

impl GuardLink {
    async fn start(guard: SocketAddr) -> Self {
        let (carried, link) = (Arc::<AtomicUsize>::default(), Arc::new(Mutex::new(())));
        let count = carried.clone();
        let address = relay(guard, move |near, far| {
            let ((near_in, mut near_out), (mut far_in, far_out)) =
                (near.into_split(), far.into_split());
            tokio::spawn(async move { tokio::io::copy(&mut far_in, &mut near_out).await });
            carry(near_in, far_out, count.clone(), link.clone())
        })
        .await;
        Self { address, carried }
    }
}

/// Copies bytes at the speed of the link, which the connections on it share.
async fn carry(
    mut input: OwnedReadHalf,
    mut output: OwnedWriteHalf,
    carried: Arc<AtomicUsize>,
    link: Arc<Mutex<()>>,
) {
    let mut chunk = [0; CHUNK_BYTES];
    while let Ok(size @ 1..) = input.read(&mut chunk).await {
        let occupied = link.lock().await;
        tokio::time::sleep(Duration::from_secs_f64(size as f64 / BYTES_PER_S as f64)).await;
        drop(occupied);
        carried.fetch_add(size, Ordering::Relaxed);
        if output.write_all(&chunk[..size]).await.is_err() {
            return;
        }
    }
}

async fn start_linked() -> (TestFleet, GuardLink) {
    let mut fleet = TestFleet::start(FleetPlan::new(1)).await;
    let link = GuardLink::start(fleet.daemons[1].guard).await;
    fleet.move_guard(1, link.address);
    (fleet, link)
}

fn body() -> Bytes {
    Bytes::from(vec![b'x'; BODY_BYTES])
}

/// Guards against short calls waiting behind whole uploads to the same daemon.
#[tokio::test(flavor = "multi_thread")]
async fn short_call_passes() {
    let (fleet, _link) = start_linked().await;
    let (entry, client) = (fleet.entry(), http1());
    assert_eq!(get(&client, entry, "/").await.status, 200);
    let uploads: Vec<_> = (0..5)
        .map(|_| {
            let client = client.clone();
            tokio::spawn(async move { send(&client, entry, "POST", "/", &[], body()).await })
        })
        .collect();
    // The link takes a second for each upload.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let began = Instant::now();
    assert_eq!(get(&client, entry, "/").await.status, 200);
    let took = began.elapsed();
    for upload in uploads {
        assert_eq!(upload.await.expect("an upload").status, 200);
    }
    assert!(took < Duration::from_millis(1_500), "a short call took {took:?}");
}

/// Guards against a refused upload being carried completely to the guard that refuses it.
#[tokio::test(flavor = "multi_thread")]
async fn refused_early() {
    let (fleet, link) = start_linked().await;
    let (entry, client) = (fleet.entry(), http1());
    assert_eq!(get(&client, entry, "/").await.status, 200);
    fleet.daemons[1].servers.refuse_queued();
    let before = link.carried.load(Ordering::Relaxed);
    assert_eq!(send(&client, entry, "POST", "/", &[], body()).await.status, 503);
    // Time for the bytes in transit to arrive.
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let carried = link.carried.load(Ordering::Relaxed) - before;
    assert!(carried < BODY_BYTES / 5, "{carried} bytes of a refused upload");
}
