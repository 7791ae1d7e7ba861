//! Measures latency and throughput of requests through two daemons, and of direct calls in the same
//! run for comparison; also the memory of idle connections.

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
    config::{service_path, team_name},
    fleet::{FleetPlan, TestFleet},
    process::ChildProcess,
};

/// Longest wait until the configuration is in force and the service answers.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two requests while waiting for the service.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The load to offer.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Requests a second, with one run for each rate.
    pub rates: Vec<u64>,
    /// Length of each run.
    pub run_time: Duration,
    /// Milliseconds of work that a backend server spends on each request.
    pub work_ms: u64,
    /// Number of backend servers, each beside a daemon of its own.
    pub servers: usize,
}

/// Results of one run.
#[derive(Clone, Debug, Serialize)]
pub struct LoadFigures {
    /// Whether the requests went through two daemons or directly to the server.
    #[serde(rename = "way")]
    pub target_name: &'static str,
    /// Requests offered a second.
    pub offered: u64,
    /// Good answers a second.
    pub good: f64,
    /// Requests refused by daemons or the server.
    pub refused: u64,
    /// Requests that ended without a complete answer.
    pub failed: u64,
    /// Median time of good answers in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the time of good answers in milliseconds.
    pub p99_ms: f64,
    /// Mean number of processor cores that all daemons together use in the run.
    pub daemon_cores: f64,
    /// Resident memory of the entry daemon at the end, in megabytes.
    pub entry_memory: f64,
}

/// Memory that idle connections of callers take at an entry daemon.
#[derive(Clone, Debug, Serialize)]
pub struct ConnectionFigures {
    /// Connections kept open, each after one answered request.
    pub connections: usize,
    /// Resident memory before the first connection, in megabytes.
    pub memory_before: f64,
    /// Resident memory with all of them open, in megabytes.
    pub memory_after: f64,
    /// Bytes of memory for each connection.
    pub bytes_each: f64,
}

/// Client that sends the requests.
type LoadClient = Client<HttpConnector, Empty<Bytes>>;

/// Measures requests through an entry daemon without a server and the daemons of the servers, and
/// direct calls to the servers, at each rate.
///
/// # Errors
///
/// Returns an error when a process fails or when the service does not answer in time.
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
    let version = fleet.create_services().await?.version;
    fleet.wait_in_force(version, READY_TIMEOUT).await?;
    let entry: SocketAddr = fleet.address(0, "proxy")?.parse()?;
    let path = format!("/{}/0", team_name(0));
    wait_until_served(entry, &path).await?;
    let direct: Vec<SocketAddr> = backends
        .iter()
        .map(|backend| {
            backend.printed_address().parse().context("cannot parse the backend server's address")
        })
        .collect::<Result<_, _>>()?;
    let mut figures = Vec::new();
    for rate in &plan.rates {
        let targets = RequestTargets { addresses: direct.clone(), path: path.clone() };
        figures.push(run_load("direct", *rate, plan.run_time, targets, &fleet).await?);
        let targets = RequestTargets { addresses: vec![entry], path: path.clone() };
        figures.push(run_load("two daemons", *rate, plan.run_time, targets, &fleet).await?);
    }
    Ok(figures)
}

/// Starts a backend server's stand-in that announces itself to a daemon.
fn start_backend(daemon: &str, index: usize, work_ms: u64) -> anyhow::Result<ChildProcess> {
    let (server, work, service) = (format!("server{index}"), work_ms.to_string(), service_path(0));
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
    let version = fleet.create_services().await?.version;
    fleet.wait_in_force(version, READY_TIMEOUT).await?;
    let entry: SocketAddr = fleet.address(0, "proxy")?.parse()?;
    let path = format!("/{}/0", team_name(0));
    wait_until_served(entry, &path).await?;
    let memory = || -> anyhow::Result<f64> {
        Ok(fleet.usage()?.first().map_or(0.0, |usage| usage.memory as f64))
    };
    let before = memory()?;
    let mut open_connections = Vec::with_capacity(connections);
    let request = format!("GET {path} HTTP/1.1\r\nHost: measure\r\n\r\n");
    for _ in 0..connections {
        let mut stream = TcpStream::connect(entry).await?;
        stream.write_all(request.as_bytes()).await?;
        let mut head = [0; 1024];
        let count = stream.read(&mut head).await?;
        anyhow::ensure!(head[..count].starts_with(b"HTTP/1.1 200"), "a request was refused");
        open_connections.push(stream);
    }
    let after = memory()?;
    Ok(ConnectionFigures {
        connections,
        memory_before: before / 1e6,
        memory_after: after / 1e6,
        bytes_each: (after - before) / connections as f64,
    })
}

/// Waits until an entry daemon gets good answers for a path.
async fn wait_until_served(entry: SocketAddr, path: &str) -> anyhow::Result<()> {
    let client: LoadClient = Client::builder(TokioExecutor::new()).build_http();
    let begin = Instant::now();
    loop {
        let answer = client.get(format!("http://{entry}{path}").parse()?).await?;
        if answer.status().is_success() {
            return Ok(());
        }
        let status = answer.status();
        anyhow::ensure!(begin.elapsed() < READY_TIMEOUT, "the service still answers {status}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Servers or daemons that get the requests in turn, and the path.
#[derive(Clone)]
struct RequestTargets {
    addresses: Vec<SocketAddr>,
    path: String,
}

/// Requests of a run without a good answer.
#[derive(Default)]
struct ErrorCounts {
    refused: AtomicU64,
    failed: AtomicU64,
}

/// Offers an open load: requests begin at their planned times whether or not earlier ones have
/// ended, and a request's time counts from its planned beginning.
async fn run_load(
    target_name: &'static str,
    rate: u64,
    time: Duration,
    targets: RequestTargets,
    fleet: &TestFleet,
) -> anyhow::Result<LoadFigures> {
    let client: LoadClient = {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Client::builder(TokioExecutor::new()).build(connector)
    };
    let counts = Arc::new(ErrorCounts::default());
    let processor_time = |fleet: &TestFleet| -> anyhow::Result<Duration> {
        Ok(fleet.usage()?.iter().map(|usage| usage.processor_time).sum())
    };
    let before = processor_time(fleet)?;
    let begin = Instant::now();
    let total = rate * time.as_secs();
    let offer = {
        let (counts, runtime) = (counts.clone(), tokio::runtime::Handle::current());
        move || offer_requests(&runtime, &client, &targets, &counts, rate, total)
    };
    // A thread of its own starts requests to some 50 µs; the runtime's timers do to a millisecond
    // only.
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
        target_name,
        offered: rate,
        good: times.len() as f64 / seconds,
        refused: counts.refused.load(Ordering::Relaxed),
        failed: counts.failed.load(Ordering::Relaxed),
        p50_ms: times.value_at_quantile(0.5) as f64 / 1e3,
        p99_ms: times.value_at_quantile(0.99) as f64 / 1e3,
        daemon_cores: (processor_time(fleet)? - before).as_secs_f64() / seconds,
        entry_memory: usage.first().map_or(0.0, |usage| usage.memory as f64 / 1e6),
    })
}

/// Starts each request at its planned time, `rate` a second. Must run on a thread that may sleep.
fn offer_requests(
    runtime: &tokio::runtime::Handle,
    client: &LoadClient,
    targets: &RequestTargets,
    counts: &Arc<ErrorCounts>,
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
        tasks.spawn_on(send_request(client.clone(), uri, due, counts.clone()), runtime);
    }
    Ok(tasks)
}

/// Sends a request and reads the answer. Returns the time since `due` for a good answer, otherwise
/// counts the request as refused or failed.
async fn send_request(
    client: LoadClient,
    uri: http::Uri,
    due: Instant,
    counts: Arc<ErrorCounts>,
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
