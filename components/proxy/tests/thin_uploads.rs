//! Uploads over a link between daemons that is thin but moves all the time.

mod common;

use std::{net::SocketAddr, time::Duration};

use common::{FleetPlan, TestAnswer, TestFleet, http1, send};
use futures::future::join_all;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpSocket, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
};

/// Bytes that the link takes from a sender at a time.
const LINK_CHUNK: usize = 1_024;

/// Relays connections to a guard. Towards the guard they carry `bytes_per_s`, and the sender may
/// be ahead by the receive buffer of `buffer` bytes.
async fn relay_thin(guard: SocketAddr, buffer: u32, bytes_per_s: u32) -> SocketAddr {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(buffer).expect("a small buffer");
    // The loopback's packets are longer than the buffer.
    socket2::SockRef::from(&socket).set_tcp_mss(1_400).expect("short packets");
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
    let address = socket.local_addr().expect("an address");
    let listener = socket.listen(64).expect("a listener");
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let far = TcpStream::connect(guard).await.expect("the guard listens");
            let _ = far.set_nodelay(true);
            let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
            tokio::spawn(carry(near_in, far_out, bytes_per_s));
            tokio::spawn(carry(far_in, near_out, u32::MAX));
        }
    });
    address
}

async fn carry(mut input: OwnedReadHalf, mut output: OwnedWriteHalf, bytes_per_s: u32) {
    let mut chunk = vec![0; LINK_CHUNK];
    let mut passed = 0;
    while let Ok(size @ 1..) = input.read(&mut chunk).await {
        passed += size;
        if output.write_all(&chunk[..size]).await.is_err() {
            break;
        }
        let time = size as f64 / f64::from(bytes_per_s);
        tokio::time::sleep(Duration::from_secs_f64(time)).await;
    }
    println!("link at {bytes_per_s} bytes/s: ended after {passed} bytes");
}

/// Uploads bodies at once and returns the answers that are no success.
async fn upload(buffer: u32, bytes_per_s: u32, bodies: usize, size: usize) -> Vec<TestAnswer> {
    let deadline = Duration::from_secs(60);
    let mut fleet = TestFleet::start(FleetPlan { deadline, ..FleetPlan::new(1) }).await;
    let guard = relay_thin(fleet.daemons[1].guard, buffer, bytes_per_s).await;
    fleet.move_guard(1, guard);
    let entry = fleet.entry();
    let upload = |number: usize| async move {
        let path = format!("/echo?tag=u{number}");
        send(&http1(), entry, "POST", &path, &[], vec![b'u'; size]).await
    };
    let answers = join_all((0..bodies).map(upload)).await;
    for (number, answer) in answers.iter().enumerate() {
        let (status, reason) = (answer.status, answer.reason());
        println!("upload {number}: {status}, {reason:?}, whole {}", answer.body.is_ok());
    }
    answers.into_iter().filter(|answer| answer.status != 200 || answer.body.is_err()).collect()
}

/// Guards against a connection between daemons that the entry gives up although the link carries
/// its uploads: windows shorter than the bytes that wait count as no progress.
#[tokio::test(flavor = "multi_thread")]
async fn upload_windows() {
    let failed = upload(2 * 1024, 15_000, 6, 30_000).await;
    assert!(failed.is_empty(), "{} of 6 failed: {failed:?}", failed.len());
}

/// Guards against a connection between daemons that the entry gives up because its ping waits
/// behind its uploads: nothing is read meanwhile, so that a ping is due.
#[tokio::test(flavor = "multi_thread")]
async fn ping_behind_uploads() {
    let failed = upload(32 * 1024, 40_000, 12, 60_000).await;
    assert!(failed.is_empty(), "{} of 12 failed: {failed:?}", failed.len());
}
