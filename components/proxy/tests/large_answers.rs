//! Large answers that share an instance's link.

mod common;

use std::time::Duration;

use common::{FleetPlan, TestFleet, get, http1, send_unread};

/// Guards against callers that stop reading large documents, for example because their screen is
/// switched off, blocking the link for others. Callers that read must get their documents, and
/// short requests their answers.
#[tokio::test(flavor = "multi_thread")]
async fn readers_served() {
    let fleet = TestFleet::start(FleetPlan::new(1)).await;
    let entry = fleet.entry();
    let mut stopped = Vec::new();
    for _ in 0..3 {
        stopped.push(send_unread(entry, "/?size=8000000").await);
    }
    // Long enough for the stopped ones to fill their buffers.
    tokio::time::sleep(Duration::from_millis(200)).await;
    let read = async {
        for _ in 0..4 {
            let answer = get(&http1(), entry, "/?size=400000").await;
            let size = answer.body.map(|body| body.len()).expect("a whole body");
            assert_eq!((answer.status.as_u16(), size), (200, 400_000));
        }
        assert_eq!(get(&http1(), entry, "/").await.status, 200);
    };
    tokio::time::timeout(Duration::from_secs(5), read).await.expect("readers are served in time");
    drop(stopped);
}
