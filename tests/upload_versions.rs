//! Versions on their way to a daemon whose link is full of uploads.

mod common;

use std::{
    net::SocketAddr,
    sync::OnceLock,
    time::{Duration, Instant},
};

use bytes::Bytes;
use common::{
    DaemonPlan, MANAGER_TOKEN, TEAM_TOKEN, TestDirectory, TestProcess, call, in_force, operate,
    platform_address, render,
    requests::{SERVICE, client, relay, wait_until},
    start_daemon_at, start_platform,
};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::tcp::{OwnedReadHalf, OwnedWriteHalf},
    sync::mpsc,
};

const BYTES_PER_S: f64 = 200_000.0;
const UPLOAD_BYTES: usize = 60_000;
const CALLERS: usize = 20;
/// Time in which a version has to be in force.
const FORCE_BOUND: Duration = Duration::from_secs(2);

type LinkQueue = mpsc::UnboundedSender<(Bytes, mpsc::UnboundedSender<Bytes>)>;

/// Starts the way into an instance: one queue of bytes for all connections.
fn start_link() -> LinkQueue {
    let (queue, mut queued) = mpsc::unbounded_channel::<(Bytes, mpsc::UnboundedSender<Bytes>)>();
    tokio::spawn(async move {
        let mut free_at = tokio::time::Instant::now();
        while let Some((bytes, output)) = queued.recv().await {
            let carry = Duration::from_secs_f64(bytes.len() as f64 / BYTES_PER_S);
            free_at = free_at.max(tokio::time::Instant::now()) + carry;
            tokio::time::sleep_until(free_at).await;
            // The connection may have ended meanwhile.
            let _ = output.send(bytes);
        }
    });
    queue
}

/// Carries one direction of a connection over the link.
async fn carry(mut input: OwnedReadHalf, mut output: OwnedWriteHalf, link: LinkQueue) {
    let (arrive, mut arrived) = mpsc::unbounded_channel::<Bytes>();
    tokio::spawn(async move {
        while let Some(bytes) = arrived.recv().await {
            if output.write_all(&bytes).await.is_err() {
                return;
            }
        }
    });
    let mut chunk = [0; 4_096];
    while let Ok(size @ 1..) = input.read(&mut chunk).await {
        let _ = link.send((Bytes::copy_from_slice(&chunk[..size]), arrive.clone()));
    }
}

/// Relays connections to a target; those that come from outside are slowed towards it, and those that
/// the instance opens are slowed on their way back.
async fn thin_relay(
    link: &LinkQueue,
    target: &'static OnceLock<SocketAddr>,
    is_inward: bool,
) -> SocketAddr {
    let link = link.clone();
    relay(target, move |near, far| {
        let (near, far) = (near.into_split(), far.into_split());
        let ((slow_in, slow_out), (mut fast_in, mut fast_out)) = match is_inward {
            true => ((near.0, far.1), (far.0, near.1)),
            false => ((far.0, near.1), (near.0, far.1)),
        };
        tokio::spawn(carry(slow_in, slow_out, link.clone()));
        tokio::spawn(async move { tokio::io::copy(&mut fast_in, &mut fast_out).await });
    })
    .await
}

fn start_thin(directory: &TestDirectory, name: &str, ways: [&str; 2], listen: &str) -> TestProcess {
    let [platform, seed] = ways;
    let seeds = [seed.to_owned()];
    let seeds = if seed.is_empty() { &[][..] } else { &seeds };
    let plan = DaemonPlan { name, data_centre: "lj1", platform, seeds, extra: "" };
    start_daemon_at(&directory.0, &plan, listen)
}

fn apply(directory: &TestDirectory, ops: &str, revision: &str) {
    let folder = directory.0.join("declared");
    let folder = folder.to_str().expect("path is text");
    let args = ["apply", folder, "--revision", revision, "--author", "ana"];
    let output = operate(ops, TEAM_TOKEN, &args);
    assert!(output.status.success(), "{}", render(&output));
}

fn version(daemon: &TestProcess) -> u64 {
    let token = format!("Authorization: Bearer {MANAGER_TOKEN}\r\n");
    let answer = call(&daemon.address("ops"), "GET", "/v1/state", &token).expect("a state");
    let state: serde_json::Value = serde_json::from_str(&answer.body).expect("a state in JSON");
    state["version"].as_u64().unwrap_or_default()
}

async fn upload_on(entry: String, until: Instant) -> usize {
    let (client, mut served) = (client(), 0);
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

/// Guards against versions that come late since they stand behind uploads on a full link.
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
    let (guard, control) =
        (thin_relay(&link, &GUARD, true).await, thin_relay(&link, &CONTROL, true).await);
    let thin_platform = thin_relay(&link, &PLATFORM, false).await.to_string();
    let seed = thin_relay(&link, &ENTRY_CONTROL, false).await.to_string();
    let listen = format!("advertised_control = \"{seed}\"\n");
    let entry = start_thin(&directory, "daemon0", [&platform_at, ""], &listen);
    set(&ENTRY_CONTROL, &entry.address("control"));
    let listen = format!("advertised_guard = \"{guard}\"\nadvertised_control = \"{control}\"\n");
    let thin = start_thin(&directory, "daemon1", [&thin_platform, &seed], &listen);
    set(&GUARD, &thin.address("guard"));
    set(&CONTROL, &thin.address("control"));
    let ops = entry.address("ops");
    wait_until("the daemons to meet", || in_force(&ops).1 == 2).await;

    let team = ["team", "ana", "--token-sha256", &sk_ops::hash_token(TEAM_TOKEN)];
    let output = operate(&ops, MANAGER_TOKEN, &team);
    assert!(output.status.success(), "{}", render(&output));
    directory.write("declared/ana/board.toml", "kind = \"service\"\n");
    let route = format!("kind = \"route\"\nprefix = \"/\"\nservice = \"{SERVICE}\"\n");
    directory.write("declared/ana/routes/all.toml", &route);
    apply(&directory, &ops, "r1");
    let (thin_ops, proxy) = (thin.address("ops"), thin.address("proxy"));
    let args = ["--daemon", &thin_ops, "--service", SERVICE, "--server", "one", "--proxy", &proxy];
    let _backend = TestProcess::start(env!("CARGO_BIN_EXE_sk-backend"), &args);
    let proxy = entry.address("proxy");
    wait_until("requests to be served", || {
        call(&proxy, "GET", "/", "").is_ok_and(|answer| answer.status == 200)
    })
    .await;

    let until = Instant::now() + Duration::from_secs(8);
    let uploads: Vec<_> =
        (0..CALLERS).map(|_| tokio::spawn(upload_on(proxy.clone(), until))).collect();
    tokio::time::sleep(Duration::from_secs(3)).await;
    let mut took = Vec::new();
    for number in 2..=3 {
        let added = format!("kind = \"route\"\nprefix = \"/r{number}\"\nservice = \"{SERVICE}\"\n");
        directory.write(&format!("declared/ana/routes/r{number}.toml"), &added);
        let before = version(&entry);
        let began = Instant::now();
        tokio::task::block_in_place(|| apply(&directory, &ops, &format!("r{number}")));
        wait_until("the version", || version(&thin) > before).await;
        took.push(began.elapsed());
    }
    let mut served = 0;
    for upload in uploads {
        served += upload.await.expect("an upload");
    }
    println!("in force after {took:?}, {served} uploads served");
    assert!(took.iter().all(|took| *took < FORCE_BOUND), "in force after {took:?}");
    // What the link carries in that time.
    assert!(served >= 15, "{served} uploads served");
}
