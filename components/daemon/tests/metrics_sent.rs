//! Metrics arrive at their receiver, and an unavailable receiver does not affect the daemon.

use std::{
    collections::BTreeSet,
    net::{SocketAddr, UdpSocket},
    path::Path,
    time::{Duration, Instant},
};

use expect_test::expect;
use sk_daemon::{DaemonHandle, start_daemon};
use sk_settings::parse_settings;

/// Longest wait for a datagram; the first comes at the start.
const WAIT_BOUND: Duration = Duration::from_secs(30);

/// Starts a daemon without a platform, because metrics must not depend on it.
async fn start(metrics: &str) -> DaemonHandle {
    let text = format!(
        r#"
[instance]
name = "lj1-board-1"
data_centre = "lj1"
region = "slovenia"

[listen]
proxy = "127.0.0.1:0"
guard = "127.0.0.1:0"
control = "127.0.0.1:0"
ops = "127.0.0.1:0"

[platform]
address = "127.0.0.1:1"

[peers]
secret = "secret of the test"

[guard]
drain_ms = 1000

{metrics}
"#
    );
    let settings = parse_settings(Path::new("daemon.toml"), &text).expect("valid settings");
    start_daemon(&settings).await.expect("daemon starts")
}

fn metrics_at(address: SocketAddr) -> String {
    format!("[metrics]\naddress = \"{address}\"\n")
}

/// Returns `name|kind|tags` of a statsd line, without the value.
fn shape(line: &str) -> Option<String> {
    let (name, rest) = line.split_once(':')?;
    let (value, kind) = rest.split_once('|')?;
    value.parse::<u64>().ok()?;
    Some(format!("{name}|{kind}"))
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_sent() {
    let receiver = UdpSocket::bind("127.0.0.1:0").expect("socket");
    receiver.set_read_timeout(Some(WAIT_BOUND)).expect("timeout");
    let daemon = start(&metrics_at(receiver.local_addr().expect("address"))).await;
    let shapes = tokio::task::spawn_blocking(move || {
        let (mut shapes, mut datagram) = (BTreeSet::new(), [0; 2000]);
        while !shapes.iter().any(|shape: &String| shape.contains("cut_answers")) {
            let size = receiver.recv(&mut datagram).expect("a datagram in time");
            assert!(size <= 1_400, "datagram of {size} bytes");
            let text = String::from_utf8(datagram[..size].to_vec()).expect("text");
            shapes.extend(text.lines().map(|line| shape(line).expect("a statsd line")));
        }
        shapes.into_iter().collect::<Vec<_>>().join("\n") + "\n"
    });
    expect![[r#"
        sapphirekeel.config.rejecting|g|#proxy:lj1-board-1,data_centre:lj1
        sapphirekeel.config.version|g|#proxy:lj1-board-1,data_centre:lj1
        sapphirekeel.control.received_bytes|c|#proxy:lj1-board-1,data_centre:lj1
        sapphirekeel.control.sent_bytes|c|#proxy:lj1-board-1,data_centre:lj1
        sapphirekeel.members.alive|g|#proxy:lj1-board-1,data_centre:lj1
        sapphirekeel.members.gone|g|#proxy:lj1-board-1,data_centre:lj1
        sapphirekeel.members.leaving|g|#proxy:lj1-board-1,data_centre:lj1
        sapphirekeel.members.suspect|g|#proxy:lj1-board-1,data_centre:lj1
        sapphirekeel.quarantine.refused|g|#proxy:lj1-board-1,data_centre:lj1
        sapphirekeel.quarantine.suspects|g|#proxy:lj1-board-1,data_centre:lj1
        sapphirekeel.requests.cut_answers|c|#proxy:lj1-board-1,data_centre:lj1
        sapphirekeel.requests.in_flight|g|#proxy:lj1-board-1,data_centre:lj1
        sapphirekeel.requests.not_run|c|#proxy:lj1-board-1,data_centre:lj1
        sapphirekeel.requests.ran|c|#proxy:lj1-board-1,data_centre:lj1
        sapphirekeel.requests.retries_denied|c|#proxy:lj1-board-1,data_centre:lj1
        sapphirekeel.requests.retries|c|#proxy:lj1-board-1,data_centre:lj1
        sapphirekeel.requests.unknown|c|#proxy:lj1-board-1,data_centre:lj1
        sapphirekeel.servers.draining|g|#proxy:lj1-board-1,data_centre:lj1
        sapphirekeel.servers.ready|g|#proxy:lj1-board-1,data_centre:lj1
    "#]]
    .assert_eq(&shapes.await.expect("receiver"));
    assert!(daemon.stop().await);
}

#[tokio::test(flavor = "multi_thread")]
async fn receiver_unavailable() {
    // No process receives the datagrams. A daemon that waited for the receiver would not stop in
    // time.
    let receiver = UdpSocket::bind("127.0.0.1:0").expect("socket");
    let address = receiver.local_addr().expect("address");
    drop(receiver);
    for metrics in [metrics_at(address), String::new()] {
        let daemon = start(&metrics).await;
        let start_time = Instant::now();
        assert!(daemon.stop().await);
        assert!(start_time.elapsed() < WAIT_BOUND);
    }
}
