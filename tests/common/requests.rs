//! A small fleet for tests of requests. Each daemon has a local backend server, except the first,
//! which is the entry for callers.

use std::{
    net::SocketAddr,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request, StatusCode};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};

use super::{
    DaemonPlan, MANAGER_TOKEN, TEAM_TOKEN, TestDirectory, TestProcess, call, platform_address,
    read_in_force, render_output, run_cli, start_daemon_with, start_platform, wait_for,
};

pub const SERVICE: &str = "/ana/board";
const DECLARATIONS: [(&str, &str); 4] = [
    ("board", "kind = \"service\"\n"),
    ("routes/all", "kind = \"route\"\nprefix = \"/\"\nservice = \"/ana/board\"\n"),
    (
        "routes/documents",
        "kind = \"route\"\nprefix = \"/documents\"\nservice = \"/ana/board\"\nclass = \"long\"\nrepeatable = true\n",
    ),
    (
        "routes/short",
        "kind = \"route\"\nprefix = \"/short\"\nservice = \"/ana/board\"\ndeadline_ms = 1000\n",
    ),
];

pub type TestClient = Client<HttpConnector, Full<Bytes>>;

/// A fleet whose daemons and servers are found by index; the server of daemon 1 has index 1.
pub struct RequestFleet {
    /// Daemons by index; `None` once a test has taken one.
    pub daemons: Vec<Option<TestProcess>>,
    /// Servers by the index of their daemon.
    pub backends: Vec<Option<TestProcess>>,
    pub platform: TestProcess,
    directory: TestDirectory,
    /// Settings of each daemon's `guard` table in TOML.
    guard: &'static str,
}

impl RequestFleet {
    /// Starts an entry daemon without a server and `servers` daemons with one, and applies the
    /// routes. Returns when callers can reach all servers.
    pub fn start(name: &str, servers: usize) -> Self {
        Self::start_with(name, servers, "")
    }

    /// Starts the same fleet with further settings in the daemons' `guard` table.
    pub fn start_with(name: &str, servers: usize, guard: &'static str) -> Self {
        let directory = TestDirectory::new(name);
        let platform = start_platform();
        let (daemons, backends) = (Vec::new(), Vec::new());
        let mut fleet = Self { daemons, backends, platform, directory, guard };
        for index in 0..=servers {
            fleet.add_daemon(&format!("daemon{index}"));
        }
        wait_for("the daemons to join", || read_in_force(&fleet.ops(0)).1 == servers + 1);
        fleet.apply();
        wait_for("routes", || read_in_force(&fleet.ops(0)) == (servers + 1, servers + 1));
        for index in 1..=servers {
            fleet.start_server(index, &format!("server{index}"));
        }
        for index in 1..=servers {
            fleet.wait_served(&format!("server{index}"));
        }
        fleet
    }

    /// Starts one more daemon, without a server.
    pub fn add_daemon(&mut self, name: &str) {
        self.add_daemon_with(name, "");
    }

    /// Starts one more daemon with further settings in its `listen` table.
    pub fn add_daemon_with(&mut self, name: &str, listen: &str) {
        let running = self.daemons.iter().flatten();
        let seeds: Vec<String> = running.map(|daemon| daemon.address("control")).collect();
        let platform = platform_address(&self.platform);
        let extra = &format!("[guard]\nannounce_ttl_ms = 1500\n{}", self.guard);
        let plan =
            DaemonPlan { name, data_centre: "lj1", platform: &platform, seeds: &seeds, extra };
        self.daemons.push(Some(start_daemon_with(&self.directory.0, &plan, listen)));
        self.backends.push(None);
    }

    /// Starts a server beside a daemon.
    pub fn start_server(&mut self, daemon: usize, server: &str) {
        let (ops, proxy) = (self.ops(daemon), self.entry(daemon));
        let args = ["--daemon", &ops, "--service", SERVICE, "--server", server, "--proxy", &proxy];
        let backend = TestProcess::start(env!("CARGO_BIN_EXE_sk-backend"), &args);
        self.backends[daemon] = Some(backend);
    }

    /// Creates the team and applies the declarations.
    fn apply(&self) {
        let ops = self.ops(0);
        let hash = sk_ops::hash_token(TEAM_TOKEN);
        let output = run_cli(&ops, MANAGER_TOKEN, &["team", "ana", "--token-sha256", &hash]);
        assert!(output.status.success(), "{}", render_output(&output));
        for (name, text) in DECLARATIONS {
            self.directory.write(&format!("declared/ana/{name}.toml"), text);
        }
        let folder = self.directory.0.join("declared");
        let folder = folder.to_str().expect("path is text");
        let args = ["apply", folder, "--revision", "r1", "--author", "ana"];
        let output = run_cli(&ops, TEAM_TOKEN, &args);
        assert!(output.status.success(), "{}", render_output(&output));
    }

    /// Applies the same declarations and a number of further routes.
    pub fn apply_more(&self, routes: usize) {
        for number in 0..routes {
            let text =
                format!("kind = \"route\"\nprefix = \"/m{number}\"\nservice = \"{SERVICE}\"\n");
            self.directory.write(&format!("declared/ana/routes/m{number}.toml"), &text);
        }
        let folder = self.directory.0.join("declared");
        let folder = folder.to_str().expect("path is text");
        let args = ["apply", folder, "--revision", "r2", "--author", "ana"];
        let output = run_cli(&self.ops(0), TEAM_TOKEN, &args);
        assert!(output.status.success(), "{}", render_output(&output));
    }

    pub fn daemon(&self, index: usize) -> &TestProcess {
        self.daemons[index].as_ref().expect("daemon runs")
    }

    pub fn backend(&self, index: usize) -> &TestProcess {
        self.backends[index].as_ref().expect("server runs")
    }

    /// Returns a daemon's ops address.
    pub fn ops(&self, index: usize) -> String {
        self.daemon(index).address("ops")
    }

    /// Returns the address at which a daemon accepts callers.
    pub fn entry(&self, index: usize) -> String {
        self.daemon(index).address("proxy")
    }

    /// Waits until requests through the first daemon reach a server.
    pub fn wait_served(&self, server: &str) {
        let entry = self.entry(0);
        wait_for("requests to reach the server", || {
            let answer = call(&entry, "GET", "/whose", "");
            answer.is_ok_and(|answer| answer.body.contains(&format!("\"{server}\"")))
        });
    }

    /// Returns the counts of a running server.
    pub fn counts(&self, index: usize) -> sk_standin::BackendCounts {
        let address = self.backend(index).ready_line.trim_start_matches("backend ").to_owned();
        let answer = call(&address, "GET", "/counts", "").expect("server answers");
        serde_json::from_str(&answer.body).expect("counts")
    }

    /// Counts how often the running servers have begun a tagged request.
    pub fn count_runs(&self, tag: &str) -> u64 {
        let running = (0..self.backends.len()).filter(|index| self.backends[*index].is_some());
        running.map(|index| self.counts(index).runs.get(tag).copied().unwrap_or(0)).sum()
    }
}

/// Relays connections to a target and returns the relay's address. Each connection accepted once
/// the target is set is given to `forward` with a new one to the target; `forward` copies the
/// bytes.
pub async fn start_relay(
    target: &'static OnceLock<SocketAddr>,
    forward: impl Fn(TcpStream, TcpStream) + Send + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let Some(target) = target.get() else { continue };
            let Ok(far) = TcpStream::connect(target).await else { continue };
            forward(near, far);
        }
    });
    address
}

/// An answer, with an error in place of the body if that was cut off.
#[derive(Debug)]
pub struct TestAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Result<Bytes, hyper::Error>,
}

impl TestAnswer {
    /// Returns the outcome that the proxy reports in its header.
    pub fn outcome(&self) -> &str {
        self.header("x-sapphirekeel-outcome")
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
    }
}

/// Creates a client with connections of its own.
pub fn new_client() -> TestClient {
    Client::builder(TokioExecutor::new()).build_http()
}

/// Sends a request. An error means that no head of an answer arrived.
pub async fn send_request(
    client: &TestClient,
    entry: &str,
    method: &str,
    path: &str,
) -> Result<TestAnswer, hyper_util::client::legacy::Error> {
    let request = Request::builder().method(method).uri(format!("http://{entry}{path}"));
    let request = request.body(Full::from("body")).expect("a request");
    let (parts, body) = client.request(request).await?.into_parts();
    let body = body.collect().await.map(|body| body.to_bytes());
    Ok(TestAnswer { status: parts.status, headers: parts.headers, body })
}

/// Callers that send one request after the other until they are stopped.
pub struct RequestLoad {
    is_stopped: Arc<AtomicBool>,
    sent: Arc<AtomicU64>,
    callers: Vec<JoinHandle<Vec<String>>>,
}

impl RequestLoad {
    /// Starts callers at an entry. Each request has a unique tag.
    pub fn start(entry: &str, callers: usize, method: &'static str, path: &'static str) -> Self {
        let (is_stopped, sent) = (Arc::<AtomicBool>::default(), Arc::<AtomicU64>::default());
        let call = |caller: usize| {
            let (entry, is_stopped, sent) = (entry.to_owned(), is_stopped.clone(), sent.clone());
            tokio::spawn(async move {
                let (client, mut failures) = (new_client(), Vec::new());
                while !is_stopped.load(Ordering::SeqCst) {
                    let tag = sent.fetch_add(1, Ordering::SeqCst);
                    let path = format!("{path}tag={caller}-{tag}");
                    let answer = send_request(&client, &entry, method, &path).await;
                    let is_success = answer
                        .as_ref()
                        .is_ok_and(|answer| answer.status.is_success() && answer.body.is_ok());
                    if !is_success {
                        failures.push(format!("{path}: {answer:?}"));
                    }
                }
                failures
            })
        };
        let callers = (0..callers).map(call).collect();
        Self { is_stopped, sent, callers }
    }

    /// Returns the number of requests begun so far.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::SeqCst)
    }

    /// Ends the load and returns a description of each request without a complete success.
    pub async fn stop(self) -> Vec<String> {
        self.is_stopped.store(true, Ordering::SeqCst);
        let mut failures = Vec::new();
        for caller in self.callers {
            failures.extend(caller.await.expect("caller ends"));
        }
        failures
    }
}

/// Waits until a condition is met, without blocking the callers on the same runtime.
pub async fn wait_until(what: &str, mut is_met: impl FnMut() -> bool) {
    let begin = std::time::Instant::now();
    while !tokio::task::block_in_place(&mut is_met) {
        assert!(begin.elapsed() < super::WAIT_BOUND, "timed out waiting for {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
