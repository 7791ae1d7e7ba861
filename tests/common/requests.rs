//! A small fleet for tests of requests: daemons with a backend server beside each but the first, by
//! which callers enter.

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
    DaemonPlan, MANAGER_TOKEN, TEAM_TOKEN, TestDirectory, TestProcess, call, in_force, operate,
    platform_address, render, start_daemon_at, start_platform, wait_for,
};

pub const SERVICE: &str = "/ana/board";
const DECLARATIONS: [(&str, &str); 3] = [
    ("board", "kind = \"service\"\n"),
    ("routes/all", "kind = \"route\"\nprefix = \"/\"\nservice = \"/ana/board\"\n"),
    (
        "routes/short",
        "kind = \"route\"\nprefix = \"/short\"\nservice = \"/ana/board\"\ndeadline_ms = 1000\n",
    ),
];

pub type TestClient = Client<HttpConnector, Full<Bytes>>;

pub struct RequestFleet {
    pub daemons: Vec<Option<TestProcess>>,
    pub backends: Vec<Option<TestProcess>>,
    pub platform: TestProcess,
    directory: TestDirectory,
    guard: &'static str,
}

impl RequestFleet {
    /// Starts an entry without a server and `servers` daemons with one, and applies the routes.
    pub fn start(name: &str, servers: usize) -> Self {
        Self::start_with(name, servers, "")
    }

    /// Starts the same with settings of the guard.
    pub fn start_with(name: &str, servers: usize, guard: &'static str) -> Self {
        let directory = TestDirectory::new(name);
        let platform = start_platform();
        let (daemons, backends) = (Vec::new(), Vec::new());
        let mut fleet = Self { daemons, backends, platform, directory, guard };
        for index in 0..=servers {
            fleet.add_daemon(&format!("daemon{index}"));
        }
        wait_for("the daemons to meet", || in_force(&fleet.ops(0)).1 == servers + 1);
        fleet.apply();
        wait_for("routes", || in_force(&fleet.ops(0)) == (servers + 1, servers + 1));
        for index in 1..=servers {
            fleet.start_server(index, &format!("server{index}"));
        }
        for index in 1..=servers {
            fleet.wait_served(&format!("server{index}"));
        }
        fleet
    }

    pub fn add_daemon(&mut self, name: &str) {
        self.add_daemon_at(name, "");
    }

    /// Adds a daemon with further settings of its listeners.
    pub fn add_daemon_at(&mut self, name: &str, listen: &str) {
        let running = self.daemons.iter().flatten();
        let seeds: Vec<String> = running.map(|daemon| daemon.address("control")).collect();
        let platform = platform_address(&self.platform);
        let extra = &format!("[guard]\nannounce_ttl_ms = 1500\n{}", self.guard);
        let plan =
            DaemonPlan { name, data_centre: "lj1", platform: &platform, seeds: &seeds, extra };
        self.daemons.push(Some(start_daemon_at(&self.directory.0, &plan, listen)));
        self.backends.push(None);
    }

    pub fn start_server(&mut self, daemon: usize, server: &str) {
        let (ops, proxy) = (self.ops(daemon), self.entry(daemon));
        let args = ["--daemon", &ops, "--service", SERVICE, "--server", server, "--proxy", &proxy];
        let backend = TestProcess::start(env!("CARGO_BIN_EXE_sk-backend"), &args);
        self.backends[daemon] = Some(backend);
    }

    fn apply(&self) {
        let ops = self.ops(0);
        let hash = sk_ops::hash_token(TEAM_TOKEN);
        let output = operate(&ops, MANAGER_TOKEN, &["team", "ana", "--token-sha256", &hash]);
        assert!(output.status.success(), "{}", render(&output));
        for (name, text) in DECLARATIONS {
            self.directory.write(&format!("declared/ana/{name}.toml"), text);
        }
        let folder = self.directory.0.join("declared");
        let folder = folder.to_str().expect("path is text");
        let args = ["apply", folder, "--revision", "r1", "--author", "ana"];
        let output = operate(&ops, TEAM_TOKEN, &args);
        assert!(output.status.success(), "{}", render(&output));
    }

    pub fn daemon(&self, index: usize) -> &TestProcess {
        self.daemons[index].as_ref().expect("daemon runs")
    }

    pub fn backend(&self, index: usize) -> &TestProcess {
        self.backends[index].as_ref().expect("server runs")
    }

    pub fn ops(&self, index: usize) -> String {
        self.daemon(index).address("ops")
    }

    pub fn entry(&self, index: usize) -> String {
        self.daemon(index).address("proxy")
    }

    /// Waits until requests by the first daemon reach a server.
    pub fn wait_served(&self, server: &str) {
        let entry = self.entry(0);
        wait_for("requests to reach the server", || {
            let answer = call(&entry, "GET", "/whose", "");
            answer.is_ok_and(|answer| answer.body.contains(&format!("\"{server}\"")))
        });
    }

    /// Gives the counts of a server that runs.
    pub fn counts(&self, index: usize) -> sk_standin::BackendCounts {
        let address = self.backend(index).ready.trim_start_matches("backend ").to_owned();
        let answer = call(&address, "GET", "/counts", "").expect("server answers");
        serde_json::from_str(&answer.body).expect("counts")
    }

    /// Counts how often a tagged request was begun by the servers that run.
    pub fn runs(&self, tag: &str) -> u64 {
        let running = (0..self.backends.len()).filter(|index| self.backends[*index].is_some());
        running.map(|index| self.counts(index).runs.get(tag).copied().unwrap_or(0)).sum()
    }
}

/// Accepts connections for a target, once it is set, and hands each, with one to there, to `carry`,
/// which is to pass bytes on between them.
pub async fn relay(
    target: &'static OnceLock<SocketAddr>,
    carry: impl Fn(TcpStream, TcpStream) + Send + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let Some(target) = target.get() else { continue };
            let Ok(far) = TcpStream::connect(target).await else { continue };
            carry(near, far);
        }
    });
    address
}

/// An answer, with the error that its body ended in if it was cut.
#[derive(Debug)]
pub struct WholeAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Result<Bytes, hyper::Error>,
}

impl WholeAnswer {
    pub fn outcome(&self) -> &str {
        self.header("x-sapphirekeel-outcome")
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
    }
}

pub fn client() -> TestClient {
    Client::builder(TokioExecutor::new()).build_http()
}

/// Makes a request. An error means that no head of an answer came.
pub async fn request(
    client: &TestClient,
    entry: &str,
    method: &str,
    path: &str,
) -> Result<WholeAnswer, hyper_util::client::legacy::Error> {
    let request = Request::builder().method(method).uri(format!("http://{entry}{path}"));
    let request = request.body(Full::from("body")).expect("a request");
    let (parts, body) = client.request(request).await?.into_parts();
    let body = body.collect().await.map(|body| body.to_bytes());
    Ok(WholeAnswer { status: parts.status, headers: parts.headers, body })
}

/// Callers that send one request after the other until told to stop.
pub struct RequestLoad {
    is_over: Arc<AtomicBool>,
    sent: Arc<AtomicU64>,
    callers: Vec<JoinHandle<Vec<String>>>,
}

impl RequestLoad {
    /// Starts callers at an entry. Each request has a tag of its own.
    pub fn start(entry: &str, callers: usize, method: &'static str, path: &'static str) -> Self {
        let (is_over, sent) = (Arc::<AtomicBool>::default(), Arc::<AtomicU64>::default());
        let call = |caller: usize| {
            let (entry, is_over, sent) = (entry.to_owned(), is_over.clone(), sent.clone());
            tokio::spawn(async move {
                let (client, mut failures) = (client(), Vec::new());
                while !is_over.load(Ordering::SeqCst) {
                    let tag = sent.fetch_add(1, Ordering::SeqCst);
                    let path = format!("{path}tag={caller}-{tag}");
                    let answer = request(&client, &entry, method, &path).await;
                    let is_good = answer
                        .as_ref()
                        .is_ok_and(|answer| answer.status.is_success() && answer.body.is_ok());
                    if !is_good {
                        failures.push(format!("{path}: {answer:?}"));
                    }
                }
                failures
            })
        };
        let callers = (0..callers).map(call).collect();
        Self { is_over, sent, callers }
    }

    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::SeqCst)
    }

    /// Ends the load and gives the requests that were not answered well.
    pub async fn stop(self) -> Vec<String> {
        self.is_over.store(true, Ordering::SeqCst);
        let mut failures = Vec::new();
        for caller in self.callers {
            failures.extend(caller.await.expect("caller ends"));
        }
        failures
    }
}

/// Waits for a condition without holding up the callers.
pub async fn wait_until(what: &str, mut is_met: impl FnMut() -> bool) {
    let begin = std::time::Instant::now();
    while !tokio::task::block_in_place(&mut is_met) {
        assert!(begin.elapsed() < super::WAIT_BOUND, "waited in vain for {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
