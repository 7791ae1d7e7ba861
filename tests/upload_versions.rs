//! Arrival of versions at a daemon whose link is congested by uploads.

mod common;

use std::{
    net::SocketAddr,
    sync::OnceLock,
    time::{Duration, Instant},
};

use bytes::Bytes;
use common::{
    DaemonPlan, MANAGER_TOKEN, TEAM_TOKEN, TestDirectory, TestProcess, call, platform_address,
    read_in_force, render_output,
    requests::{SERVICE, new_client, start_relay, wait_until},
    run_cli, start_daemon_with, start_platform,
};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::tcp::{OwnedReadHalf, OwnedWriteHalf},
    sync::mpsc,
};

/// Capacity of the link.
const LINK_BYTES_PER_S: f64 = 200_000.0;
const UPLOAD_BYTES: usize = 60_000;
const CALLERS: usize = 20;
/// Longest time until a version is in force.
const MAX_IN_FORCE_TIME: Duration = Duration::from_secs(2);

/// Sender of bytes over the link, each with the connection that they belong to.
type LinkQueue = mpsc::UnboundedSender<(Bytes, mpsc::UnboundedSender<Bytes>)>;

/// Starts the link into an instance: one queue of bytes for all connections, of limited rate.
fn start_link() -> LinkQueue {
    let (queue, mut queued) = mpsc::unbounded_channel::<(Bytes, mpsc::UnboundedSender<Bytes>)>();
    tokio::spawn(async move {
        let mut free_at = tokio::time::Instant::now();
        while let Some((bytes, output)) = queued.recv().await {
            let transfer_time = Duration::from_secs_f64(bytes.len() as f64 / LINK_BYTES_PER_S);
            free_at = free_at.max(tokio::time::Instant::now()) + transfer_time;
            tokio::time::sleep_until(free_at).await;
            // The connection may have ended while the bytes were queued.
            let _ = output.send(bytes);
        }
    });
    queue
}

/// Forwards one direction of a connection over the link.
async fn forward(mut input: OwnedReadHalf, mut output: OwnedWriteHalf, link: LinkQueue) {
    let (output_sender, mut arrived) = mpsc::unbounded_channel::<Bytes>();
    tokio::spawn(async move {
        while let Some(bytes) = arrived.recv().await {
            if output.write_all(&bytes).await.is_err() {
                return;
            }
        }
    });
    let mut chunk = [0; 4_096];
    while let Ok(size @ 1..) = input.read(&mut chunk).await {
        let _ = link.send((Bytes::copy_from_slice(&chunk[..size]), output_sender.clone()));
    }
}

/// Relays connections to a target, with the direction into the instance over the link: the requests
/// of inward connections, and the answers to connections that the instance opens.
async fn start_link_relay(
    link: &LinkQueue,
    target: &'static OnceLock<SocketAddr>,
    is_inward: bool,
) -> SocketAddr {
    let link = link.clone();
    start_relay(target, move |near, far| {
        let (near, far) = (near.into_split(), far.into_split());
        let ((slow_in, slow_out), (mut fast_in, mut fast_out)) = match is_inward {
            true => ((near.0, far.1), (far.0, near.1)),
            false => ((far.0, near.1), (near.0, far.1)),
        };
        tokio::spawn(forward(slow_in, slow_out, link.clone()));
        tokio::spawn(async move { tokio::io::copy(&mut fast_in, &mut fast_out).await });
    })
    .await
}

/// Starts a daemon with the addresses of the platform and of its seed, which is empty for none.
fn start_linked(
    directory: &TestDirectory,
    name: &str,
    addresses: [&str; 2],
    listen: &str,
) -> TestProcess {
    let [platform, seed] = addresses;
    let seeds = [seed.to_owned()];
    let seeds = if seed.is_empty() { &[][..] } else { &seeds };
    let plan = DaemonPlan { name, data_centre: "lj1", platform, seeds, extra: "" };
    start_daemon_with(&directory.0, &plan, listen)
}

fn apply(directory: &TestDirectory, ops: &str, revision: &str) {
    let folder = directory.0.join("declared");
    let folder = folder.to_str().expect("path is text");
    let args = ["apply", folder, "--revision", revision, "--author", "ana"];
    let output = run_cli(ops, TEAM_TOKEN, &args);
    assert!(output.status.success(), "{}", render_output(&output));
}

/// Reads the version in force on a daemon.
fn read_version(daemon: &TestProcess) -> u64 {
    let token = format!("Authorization: Bearer {MANAGER_TOKEN}\r\n");
    let answer = call(&daemon.address("ops"), "GET", "/v1/state", &token).expect("a state");
    let state: serde_json::Value = serde_json::from_str(&answer.body).expect("a state in JSON");
    state["version"].as_u64().unwrap_or_default()
}

/// Sends uploads one after the other and returns the number of successes.
async fn send_uploads(entry: String, until: Instant) -> usize {
    let (client, mut served) = (new_client(), 0);
    while Instant::now() < until {
        let request = Request::post(format!("http://{entry}/"));
        let body = Full::from(vec![b'x'; UPLOAD_BYTES]);
        let answer = client.request(request.body(body).expect("a request")).await;
        let Ok(answer) = answer else { continue };
        served += usize::from(answer.status().is_success());
        let _ = answer.into_body().collect().await;
    }
    served
}

/// Guards against versions that arrive late because they queue behind uploads on a congested link.
#[tokio::test(flavor = "multi_thread")]
async fn version_passes() {
    static GUARD: OnceLock<SocketAddr> = OnceLock::new();
    static CONTROL: OnceLock<SocketAddr> = OnceLock::new();
    static PLATFORM: OnceLock<SocketAddr> = OnceLock::new();
    static ENTRY_CONTROL: OnceLock<SocketAddr> = OnceLock::new();
    let set = |target: &OnceLock<SocketAddr>, address: &str| {
        target.set(address.parse().expect("an address")).expect("set once");
    };
    let directory = TestDirectory::new("upload_versions");
    let (platform, link) = (start_platform(), start_link());
    let platform_at = platform_address(&platform);
    set(&PLATFORM, &platform_at);
    let (guard, control) = (
        start_link_relay(&link, &GUARD, true).await,
        start_link_relay(&link, &CONTROL, true).await,
    );
    let linked_platform = start_link_relay(&link, &PLATFORM, false).await.to_string();
    let seed = start_link_relay(&link, &ENTRY_CONTROL, false).await.to_string();
    let listen = format!("advertised_control = \"{seed}\"\n");
    let entry = start_linked(&directory, "daemon0", [&platform_at, ""], &listen);
    set(&ENTRY_CONTROL, &entry.address("control"));
    let listen = format!("advertised_guard = \"{guard}\"\nadvertised_control = \"{control}\"\n");
    let linked = start_linked(&directory, "daemon1", [&linked_platform, &seed], &listen);
    set(&GUARD, &linked.address("guard"));
    set(&CONTROL, &linked.address("control"));
    let ops = entry.address("ops");
    wait_until("the daemons to join", || read_in_force(&ops).1 == 2).await;

    let team = ["team", "ana", "--token-sha256", &sk_ops::hash_token(TEAM_TOKEN)];
    let output = run_cli(&ops, MANAGER_TOKEN, &team);
    assert!(output.status.success(), "{}", render_output(&output));
    directory.write("declared/ana/board.toml", "kind = \"service\"\n");
    let route = format!("kind = \"route\"\nprefix = \"/\"\nservice = \"{SERVICE}\"\n");
    directory.write("declared/ana/routes/all.toml", &route);
    apply(&directory, &ops, "r1");
    let (linked_ops, proxy) = (linked.address("ops"), linked.address("proxy"));
    let args =
        ["--daemon", &linked_ops, "--service", SERVICE, "--server", "one", "--proxy", &proxy];
    let _backend = TestProcess::start(env!("CARGO_BIN_EXE_sk-backend"), &args);
    let proxy = entry.address("proxy");
    wait_until("requests to be served", || {
        call(&proxy, "GET", "/", "").is_ok_and(|answer| answer.status == 200)
    })
    .await;

    let until = Instant::now() + Duration::from_secs(8);
    let uploads: Vec<_> =
        (0..CALLERS).map(|_| tokio::spawn(send_uploads(proxy.clone(), until))).collect();
    tokio::time::sleep(Duration::from_secs(3)).await;
    let mut took = Vec::new();
    for number in 2..=3 {
        let added = format!("kind = \"route\"\nprefix = \"/r{number}\"\nservice = \"{SERVICE}\"\n");
        directory.write(&format!("declared/ana/routes/r{number}.toml"), &added);
        let before = read_version(&entry);
        let began = Instant::now();
        tokio::task::block_in_place(|| apply(&directory, &ops, &format!("r{number}")));
        wait_until("the version", || read_version(&linked) > before).await;
        took.push(began.elapsed());
    }
    let mut served = 0;
    for upload in uploads {
        served += upload.await.expect("an upload");
    }
    println!("in force after {took:?}, {served} uploads served");
    assert!(took.iter().all(|took| *took < MAX_IN_FORCE_TIME), "in force after {took:?}");
    // A lower bound of what the link carries in that time.
    assert!(served >= 15, "{served} uploads served");
}
