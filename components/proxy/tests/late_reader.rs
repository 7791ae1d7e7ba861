//! A backend server that reads the body of a request late.

mod common;

use std::{net::SocketAddr, time::Duration};

use common::{FleetPlan, TestFleet, http1, send};
use sk_member::EndpointStatus;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

const BODY_BYTES: usize = 900_000;
/// Time for which the server does other work before it reads the body, shorter than the deadline.
const PAUSE: Duration = Duration::from_secs(4);

/// Starts a server that reads the body of each request after a pause and then answers.
async fn start_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream));
        }
    });
    address
}

async fn serve(mut stream: TcpStream) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let Ok(byte) = stream.read_u8().await else { return };
        head.push(byte);
    }
    tokio::time::sleep(PAUSE).await;
    let mut body = vec![0; BODY_BYTES];
    let end = stream.read_exact(&mut body).await;
    println!("the server has read the body: {end:?}");
    if end.is_ok() {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").await;
        let _ = stream.read_u8().await;
    }
}

/// Guards against a request that is broken off while its server is at work: a server that has no
/// time to read counts as one that has gone.
#[tokio::test(flavor = "multi_thread")]
async fn body_read_late() {
    let fleet = TestFleet::start(FleetPlan::new(1)).await;
    fleet.announce(1, "late", start_server().await, EndpointStatus::Ready);
    fleet.rebuild();
    let answer = send(&http1(), fleet.entry(), "POST", "/", &[], vec![b'u'; BODY_BYTES]).await;
    assert_eq!(answer.status, 200, "{answer:?}");
}
