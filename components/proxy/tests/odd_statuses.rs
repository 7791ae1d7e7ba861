//! Servers that answer with a status that HTTP does not define.

mod common;

use std::time::Duration;

use common::{FleetPlan, TestFleet, get, http1};
use http::StatusCode;
use sk_member::EndpointStatus;
use sk_proxy::RequestOutcome;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// Returns the status and the outcome that a caller gets where the server answers with `status`.
async fn ask(status: &'static str) -> (StatusCode, Option<RequestOutcome>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 4096]).await;
            let answer = format!("HTTP/1.1 {status} Odd\r\nContent-Length: 2\r\n\r\nok");
            let _ = stream.write_all(answer.as_bytes()).await;
            // A reset would hide the answer.
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
    });
    let plan = FleetPlan { servers: vec![false, false], ..FleetPlan::new(0) };
    let fleet = TestFleet::start(plan).await;
    fleet.announce(1, "server-1", address, EndpointStatus::Ready);
    fleet.rebuild();
    let answer = get(&http1(), fleet.entry(), "/odd").await;
    (answer.status, answer.outcome())
}

/// Guards against answers with a status below 100 or above 599 that reach the caller as the server's.
#[tokio::test(flavor = "multi_thread")]
async fn undefined_status() {
    for status in ["000", "099", "600", "700", "999"] {
        let expected = (StatusCode::BAD_GATEWAY, Some(RequestOutcome::Unknown));
        assert_eq!(ask(status).await, expected, "{status}");
    }
    for status in ["404", "599"] {
        let (passed, outcome) = ask(status).await;
        assert_eq!((passed.as_str(), outcome), (status, Some(RequestOutcome::Ran)));
    }
}
