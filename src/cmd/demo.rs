//! Runs a small fleet on loopback and shows how changes spread over it. Platform, daemons and
//! backend servers run within this process.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::PathBuf,
    time::{Duration, Instant},
};

use anyhow::{Context, ensure};
use http_body_util::{BodyExt, Empty};
use hyper::body::Bytes;
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use sk_daemon::{DaemonHandle, start_daemon};
use sk_model::{
    ChangeRecord, ChangeRequest, SettingBody, SettingPath, diff_settings, parse_declaration,
};
use sk_ops::{StateDump, TeamRecord, hash_token};
use sk_report::FleetReport;
use sk_settings::{LoopbackSettings, parse_settings, render_loopback_settings};
use sk_standin::{
    BackendHandle, BackendOptions, PlatformHandle, PlatformOptions, start_backend, start_platform,
};

use super::{CmdOutcome, report::render_report};
use crate::{cli::DemoArgs, client::OpsClient, diff::render_writes};

const MANAGER_TOKEN: &str = "demo manager";
const PEER_SECRET: &str = "secret of the demo";
const TEAM_TOKEN: &str = "demo team";
const TEAM: &str = "ledvica";
/// Longest wait for one condition. Even a loaded machine needs only a part of it.
const WAIT_BOUND: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Name, data centre and local service of each daemon.
const DAEMONS: [(&str, &str, Option<&str>); 3] = [
    ("lj1-board-1", "lj1", Some("/ledvica/queue-board")),
    ("lj1-records-1", "lj1", Some("/ledvica/treatment-records")),
    ("lj2-board-1", "lj2", Some("/ledvica/queue-board")),
];

/// Paths and declarations of the first change.
const FIRST_SETTINGS: [(&str, &str); 4] = [
    (
        "/ledvica/queue-board",
        include_str!("../../examples/declarations/first/ledvica/queue-board.toml"),
    ),
    (
        "/ledvica/treatment-records",
        include_str!("../../examples/declarations/first/ledvica/treatment-records.toml"),
    ),
    (
        "/ledvica/routes/board",
        include_str!("../../examples/declarations/first/ledvica/routes/board.toml"),
    ),
    (
        "/ledvica/routes/treatments",
        include_str!("../../examples/declarations/first/ledvica/routes/treatments.toml"),
    ),
];

/// Path and declaration of the second change.
const SECOND_SETTING: (&str, &str) = (
    "/ledvica/routes/holdover",
    include_str!("../../examples/declarations/second/ledvica/routes/holdover.toml"),
);

struct DemoFleet {
    platform: PlatformHandle,
    daemons: Vec<DaemonHandle>,
    backends: Vec<BackendHandle>,
}

/// Runs the demo, and stops the fleet also if a step fails.
pub async fn run(args: &DemoArgs) -> anyhow::Result<CmdOutcome> {
    let fleet = start_fleet().await?;
    let shown = show_changes(&fleet).await;
    if shown.is_ok() && !args.once {
        println!("\nCtrl-C stops the demo.");
        tokio::signal::ctrl_c().await?;
    }
    let stopped = stop_fleet(fleet).await;
    match shown.and(stopped) {
        Ok(()) => Ok(CmdOutcome::Done),
        Err(err) => {
            eprintln!("demo failed: {err:#}");
            Ok(CmdOutcome::Refused)
        }
    }
}

async fn start_fleet() -> anyhow::Result<DemoFleet> {
    let platform = start_platform(&PlatformOptions::default())?;
    let (mut daemons, mut backends) = (Vec::new(), Vec::new());
    let mut seeds = Vec::new();
    for (name, data_centre, service) in DAEMONS {
        let text = render_loopback_settings(&LoopbackSettings {
            name,
            data_centre,
            region: "slovenia",
            platform: &platform.address().to_string(),
            seeds: &seeds,
            secret: PEER_SECRET,
            manager_sha256: &hash_token(MANAGER_TOKEN),
            extra: "",
        });
        let settings = parse_settings(&PathBuf::from("demo"), &text)?;
        let daemon = start_daemon(&settings).await?;
        seeds.push(daemon.addresses().control.to_string());
        if let Some(service) = service {
            backends.push(start_server(name, service, daemon.addresses().ops).await?);
        }
        daemons.push(daemon);
    }
    Ok(DemoFleet { platform, daemons, backends })
}

async fn start_server(
    name: &str,
    service: &str,
    daemon: SocketAddr,
) -> anyhow::Result<BackendHandle> {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let options = BackendOptions::new(address, daemon, service, &format!("{name}-server"));
    start_backend(options).await
}

/// Applies two changes, and prints for each the diff, the report and a request that it routes.
async fn show_changes(fleet: &DemoFleet) -> anyhow::Result<()> {
    println!("platform      {}", fleet.platform.address());
    for ((name, ..), daemon) in DAEMONS.iter().zip(&fleet.daemons) {
        let addresses = daemon.addresses();
        println!("{name:<13} callers {}, operators {}", addresses.proxy, addresses.ops);
    }
    let daemon = fleet.daemons[0].addresses().ops.to_string();
    let manager = OpsClient::new(daemon.clone(), MANAGER_TOKEN.to_owned());
    let operator = OpsClient::new(daemon, TEAM_TOKEN.to_owned());
    let team = TeamRecord { token_sha256: hash_token(TEAM_TOKEN) };
    manager.put(&format!("/v1/teams/{TEAM}"), &team).await?;

    wait_members(&manager).await?;
    let mut declared = BTreeMap::new();
    for (path, text) in FIRST_SETTINGS {
        declared.insert(path.to_owned(), parse_declaration(text)?);
    }
    let record = apply(&operator, &BTreeMap::new(), &declared, 0).await?;
    let report = wait_in_force(&manager, &record).await?;
    print!("\n{}", render_report(&report));

    // The second data centre has no server of the treatment records.
    let entry = fleet.daemons[2].addresses().proxy;
    println!(
        "\nGET /treatments/7 at {entry}\n{}",
        wait_served(entry, "/treatments/7").await?.trim()
    );

    let before = read_control_bytes(fleet).await?;
    let accepted = declared.clone();
    declared.insert(SECOND_SETTING.0.to_owned(), parse_declaration(SECOND_SETTING.1)?);
    let record = apply(&operator, &accepted, &declared, record.version).await?;
    let report = wait_in_force(&manager, &record).await?;
    print!("\n{}", render_report(&report));
    let after = read_control_bytes(fleet).await?;
    println!("\ncontrol bytes sent by all daemons meanwhile: {}", after - before);
    println!("GET /holdover/7 at {entry}\n{}", wait_served(entry, "/holdover/7").await?.trim());
    Ok(())
}

async fn apply(
    operator: &OpsClient,
    accepted: &BTreeMap<SettingPath, SettingBody>,
    declared: &BTreeMap<SettingPath, SettingBody>,
    base: u64,
) -> anyhow::Result<ChangeRecord> {
    let writes = diff_settings(accepted, declared);
    print!("\n{}", render_writes(accepted, base, &writes));
    let request = ChangeRequest {
        change_id: format!("demo-{}", base + 1),
        team: TEAM.to_owned(),
        author: "demo".to_owned(),
        revision: format!("r{}", base + 1),
        base,
        writes,
    };
    Ok(operator.post("/v1/changes", &request).await?)
}

/// Waits until the first daemon knows all 3, so that the reports cover the whole fleet.
async fn wait_members(manager: &OpsClient) -> anyhow::Result<()> {
    let begin = Instant::now();
    loop {
        let report: FleetReport = manager.get("/v1/report").await?;
        if report.total == DAEMONS.len() {
            return Ok(());
        }
        ensure!(begin.elapsed() < WAIT_BOUND, "only {} daemons have joined", report.total);
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until a change is in force on all proxies.
async fn wait_in_force(manager: &OpsClient, record: &ChangeRecord) -> anyhow::Result<FleetReport> {
    let begin = Instant::now();
    loop {
        let report: FleetReport = manager.get("/v1/report").await?;
        if report.version >= record.version && report.in_force == report.total {
            return Ok(report);
        }
        let (in_force, total) = (report.in_force, report.total);
        ensure!(begin.elapsed() < WAIT_BOUND, "in force only on {in_force} of {total}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Requests a path at the daemon with this proxy address until the answer is a success, and returns
/// its body.
async fn wait_served(entry: SocketAddr, path: &str) -> anyhow::Result<String> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let begin = Instant::now();
    loop {
        let response = client.get(format!("http://{entry}{path}").parse()?).await?;
        let status = response.status();
        let body = response.into_body().collect().await?.to_bytes();
        if status.is_success() {
            return Ok(String::from_utf8_lossy(&body).into_owned());
        }
        ensure!(begin.elapsed() < WAIT_BOUND, "{path} answered {status}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Sums the control bytes that all daemons have sent so far.
async fn read_control_bytes(fleet: &DemoFleet) -> anyhow::Result<u64> {
    let mut sum = 0;
    for daemon in &fleet.daemons {
        let client = OpsClient::new(daemon.addresses().ops.to_string(), String::new());
        sum += client.get::<StateDump>("/v1/state").await?.control_sent;
    }
    Ok(sum)
}

async fn stop_fleet(fleet: DemoFleet) -> anyhow::Result<()> {
    for backend in fleet.backends {
        backend.stop().await;
    }
    let mut is_clean = true;
    for daemon in fleet.daemons {
        is_clean &= daemon.stop().await;
    }
    ensure!(is_clean, "a daemon cut off requests");
    fleet.platform.stop().await.context("platform")
}
