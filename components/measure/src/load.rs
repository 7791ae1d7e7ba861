//! Latency and throughput of the request path, beside a direct call in the same run.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use anyhow::Context;
use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::{BodyExt, Empty};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::Serialize;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
};

use crate::{
    config::{service, team},
    fleet::{FleetPlan, TestFleet},
    process::ChildProcess,
};

const WAIT_BOUND: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// What load to offer.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Requests a second, one run each.
    pub rates: Vec<u64>,
    /// Length of each run.
    pub time: Duration,
    /// Milliseconds of work of the backend server.
    pub work_ms: u64,
    /// Backend servers.
    pub servers: usize,
}

/// Figures of one run.
#[derive(Clone, Debug, Serialize)]
pub struct LoadFigures {
    /// Whether the requests went through two daemons or directly to the server.
    pub way: &'static str,
    /// Requests offered a second.
    pub offered: u64,
    /// Good answers a second.
    pub good: f64,
    /// Requests refused by daemons or the server.
    pub refused: u64,
    /// Requests without an answer.
    pub failed: u64,
    /// Times of good answers in milliseconds.
    pub p50_ms: f64,
    /// Times of 99 in 100 good answers in milliseconds.
    pub p99_ms: f64,
    /// Processor time of all daemons in the run, in cores.
    pub daemon_cores: f64,
    /// Resident memory of the entry daemon at the end, in megabytes.
    pub entry_memory: f64,
}

/// What idle connections of callers cost an entry daemon.
#[derive(Clone, Debug, Serialize)]
pub struct ConnectionFigures {
    /// Connections held open, each after one answered request.
    pub connections: usize,
    /// Resident memory before, in megabytes.
    pub memory_before: f64,
    /// Resident memory with all of them open, in megabytes.
    pub memory_after: f64,
    /// Bytes of each connection.
    pub bytes_each: f64,
}

type LoadClient = Client<HttpConnector, Empty<Bytes>>;

/// Measures the request path: an entry daemon without a server, and daemons with one each.
///
/// # Errors
///
/// Returns an error when a process fails.
pub async fn measure_load(plan: &LoadPlan) -> anyhow::Result<Vec<LoadFigures>> {
    let fleet = FleetPlan {
        daemons: plan.servers + 1,
        data_centres: 1,
        settings: "[guard]\nqueue = 64\n".to_owned(),
    };
    let fleet = TestFleet::start(fleet)?;
    let mut backends = Vec::new();
    for index in 1..=plan.servers {
        backends.push(start_backend(&fleet.address(index, "ops")?, index, plan.work_ms)?);
    }
    let version = fleet.fill().await?.version;
    fleet.wait_in_force(version, WAIT_BOUND).await?;
    let entry: SocketAddr = fleet.address(0, "proxy")?.parse()?;
    let path = format!("/{}/0", team(0));
    wait_served(entry, &path).await?;
    let direct: Vec<SocketAddr> = backends
        .iter()
        .map(|backend| backend.last_word().parse().context("backend server's address"))
        .collect::<Result<_, _>>()?;
    let mut figures = Vec::new();
    for rate in &plan.rates {
        let targets = Targets { addresses: direct.clone(), path: path.clone() };
        figures.push(run("direct", *rate, plan.time, targets, &fleet).await?);
        let targets = Targets { addresses: vec![entry], path: path.clone() };
        figures.push(run("two daemons", *rate, plan.time, targets, &fleet).await?);
    }
    Ok(figures)
}

fn start_backend(daemon: &str, index: usize, work_ms: u64) -> anyhow::Result<ChildProcess> {
    let (server, work, service) = (format!("server{index}"), work_ms.to_string(), service(0));
    let args = ["--daemon", daemon, "--service", &service, "--server", &server, "--work-ms", &work];
    ChildProcess::start("sk-backend", &args)
}

/// Measures the memory that callers' idle connections take at an entry daemon.
///
/// # Errors
///
/// Returns an error when a process or a connection fails.
pub async fn measure_connections(connections: usize) -> anyhow::Result<ConnectionFigures> {
    let settings = String::new();
    let fleet = TestFleet::start(FleetPlan { daemons: 2, data_centres: 1, settings })?;
    let _backend = start_backend(&fleet.address(1, "ops")?, 1, 0)?;
    let version = fleet.fill().await?.version;
    fleet.wait_in_force(version, WAIT_BOUND).await?;
    let entry: SocketAddr = fleet.address(0, "proxy")?.parse()?;
    let path = format!("/{}/0", team(0));
    wait_served(entry, &path).await?;
    let memory = || -> anyhow::Result<f64> {
        Ok(fleet.usage()?.first().map_or(0.0, |usage| usage.memory as f64))
    };
    let before = memory()?;
    let mut held = Vec::with_capacity(connections);
    let request = format!("GET {path} HTTP/1.1\r\nHost: measure\r\n\r\n");
    for _ in 0..connections {
        let mut stream = TcpStream::connect(entry).await?;
        stream.write_all(request.as_bytes()).await?;
        let mut head = [0; 1024];
        let count = stream.read(&mut head).await?;
        anyhow::ensure!(head[..count].starts_with(b"HTTP/1.1 200"), "a request was refused");
        held.push(stream);
    }
    let after = memory()?;
    Ok(ConnectionFigures {
        connections,
        memory_before: before / 1e6,
        memory_after: after / 1e6,
        bytes_each: (after - before) / connections as f64,
    })
}

async fn wait_served(entry: SocketAddr, path: &str) -> anyhow::Result<()> {
    let client: LoadClient = Client::builder(TokioExecutor::new()).build_http();
    let begin = Instant::now();
    loop {
        let answer = client.get(format!("http://{entry}{path}").parse()?).await?;
        if answer.status().is_success() {
            return Ok(());
        }
        let status = answer.status();
        anyhow::ensure!(begin.elapsed() < WAIT_BOUND, "the service answers {status}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

#[derive(Clone)]
struct Targets {
    addresses: Vec<SocketAddr>,
    path: String,
}

#[derive(Default)]
struct RunCounts {
    refused: AtomicU64,
    failed: AtomicU64,
}

/// Offers an open load: requests begin at their times whether or not earlier ones have ended, and
/// a request's time counts from when it should have begun.
async fn run(
    way: &'static str,
    rate: u64,
    time: Duration,
    targets: Targets,
    fleet: &TestFleet,
) -> anyhow::Result<LoadFigures> {
    let client: LoadClient = {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Client::builder(TokioExecutor::new()).build(connector)
    };
    let counts = Arc::new(RunCounts::default());
    let used = |fleet: &TestFleet| -> anyhow::Result<Duration> {
        Ok(fleet.usage()?.iter().map(|usage| usage.processor).sum())
    };
    let before = used(fleet)?;
    let begin = Instant::now();
    let total = rate * time.as_secs();
    let offer = {
        let (counts, runtime) = (counts.clone(), tokio::runtime::Handle::current());
        move || offer(&runtime, &client, &targets, &counts, rate, total)
    };
    // A thread of its own keeps time to some 50 µs; the runtime's timers keep it to a millisecond.
    let mut tasks = tokio::task::spawn_blocking(offer).await??;
    let mut times = Histogram::<u64>::new(3)?;
    while let Some(done) = tasks.join_next().await {
        if let Some(time) = done? {
            times.record(time.as_micros() as u64)?;
        }
    }
    let seconds = begin.elapsed().as_secs_f64();
    let usage = fleet.usage()?;
    Ok(LoadFigures {
        way,
        offered: rate,
        good: times.len() as f64 / seconds,
        refused: counts.refused.load(Ordering::Relaxed),
        failed: counts.failed.load(Ordering::Relaxed),
        p50_ms: times.value_at_quantile(0.5) as f64 / 1e3,
        p99_ms: times.value_at_quantile(0.99) as f64 / 1e3,
        daemon_cores: (used(fleet)? - before).as_secs_f64() / seconds,
        entry_memory: usage.first().map_or(0.0, |usage| usage.memory as f64 / 1e6),
    })
}

/// Starts each request when it is due.
fn offer(
    runtime: &tokio::runtime::Handle,
    client: &LoadClient,
    targets: &Targets,
    counts: &Arc<RunCounts>,
    rate: u64,
    total: u64,
) -> anyhow::Result<JoinSet<Option<Duration>>> {
    let mut tasks = JoinSet::new();
    let begin = Instant::now();
    for number in 0..total {
        let due = begin + Duration::from_nanos(number * 1_000_000_000 / rate);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        let address = targets.addresses[number as usize % targets.addresses.len()];
        let uri = format!("http://{address}{}", targets.path).parse()?;
        tasks.spawn_on(request(client.clone(), uri, due, counts.clone()), runtime);
    }
    Ok(tasks)
}

async fn request(
    client: LoadClient,
    uri: http::Uri,
    due: Instant,
    counts: Arc<RunCounts>,
) -> Option<Duration> {
    let request = Request::get(uri).body(Empty::new()).ok()?;
    let answer = async {
        let response = client.request(request).await?;
        let status = response.status();
        response.into_body().collect().await?;
        anyhow::Ok(status)
    };
    match answer.await {
        Ok(status) if status.is_success() => return Some(due.elapsed()),
        Ok(_) => counts.refused.fetch_add(1, Ordering::Relaxed),
        Err(_) => counts.failed.fetch_add(1, Ordering::Relaxed),
    };
    None
}
