//! The request paths of several daemons and their backend servers, in one process.

#![allow(dead_code)] // Each test file uses a part of it.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use sk_member::{EndpointRecord, EndpointStatus, MemberRecord, MemberStatus};
use sk_model::{
    ConfigSnapshot, RouteSetting, ServiceSetting, SettingBody, SnapshotRoot, TeamTree, WorkClass,
    WorkspaceSetting,
};
use sk_proxy::{
    AllowanceGate, CallProofs, ClaimGate, DrainClock, FailedCalls, ForwardContext, GuardContext,
    GuardToken, ListenerHandle, LocalServer, LocalServerList, NativeHeaders, PeerClient,
    ProxyCounters, RefusalKind, RefusedRequests, RequestOutcome, RouteTable, RunningRequests,
    ServerLimits, SharedQuarantine, SharedTable, TableOwner, TableTuning, serve_forward,
    serve_guard, time_since_start,
};
use sk_standin::{BackendHandle, BackendOptions, start_backend};
use tokio::net::{TcpListener, TcpStream};

pub const WAIT_BOUND: Duration = Duration::from_secs(30);
pub const MAX_BODY_BYTES: u64 = 1024 * 1024;
pub const SERVICE: &str = "/team/service";
const SECRET: &str = "secret of the test fleet";

pub type TestClient = Client<HttpConnector, Full<Bytes>>;

/// Settings of a test's fleet.
pub struct FleetPlan {
    /// Whether each daemon has a backend server, in order.
    pub servers: Vec<bool>,
    pub slots: u32,
    pub work: Duration,
    pub deadline: Duration,
    /// Response-time goal of all routes.
    pub goal: Option<Duration>,
    pub limits: ServerLimits,
    pub claims: Option<Arc<dyn ClaimGate>>,
    pub allowances: Option<Arc<dyn AllowanceGate>>,
    pub workspaces: Vec<WorkspaceSetting>,
    pub tuning: TableTuning,
}

impl FleetPlan {
    /// Creates the plan of one entry daemon without a server and `servers` daemons with one.
    pub fn new(servers: usize) -> Self {
        let servers = std::iter::once(false).chain(std::iter::repeat_n(true, servers));
        Self {
            servers: servers.collect(),
            slots: 12,
            work: Duration::from_millis(1),
            deadline: Duration::from_secs(10),
            goal: None,
            limits: ServerLimits::default(),
            claims: None,
            allowances: None,
            workspaces: Vec::new(),
            tuning: TableTuning::default(),
        }
    }
}

pub struct TestDaemon {
    pub name: String,
    pub entry: SocketAddr,
    pub guard: SocketAddr,
    pub forward_handle: Option<ListenerHandle>,
    pub guard_handle: Option<ListenerHandle>,
    pub servers: Arc<LocalServerList>,
    pub table: SharedTable,
    pub quarantine: Arc<SharedQuarantine>,
    pub counters: Arc<ProxyCounters>,
    pub drain: Arc<DrainClock>,
    pub proofs: CallProofs,
}

pub struct TestFleet {
    pub daemons: Vec<TestDaemon>,
    pub backends: Vec<BackendHandle>,
    plan: FleetPlan,
    snapshot: ConfigSnapshot,
}

impl TestFleet {
    pub async fn start(plan: FleetPlan) -> Self {
        let snapshot = make_snapshot(plan.deadline, plan.goal, &plan.workspaces);
        let mut fleet = Self { daemons: Vec::new(), backends: Vec::new(), plan, snapshot };
        for index in 0..fleet.plan.servers.len() {
            let daemon = start_daemon(index, &fleet.plan).await;
            fleet.daemons.push(daemon);
            if fleet.plan.servers[index] {
                fleet.start_server(index, &format!("server-{index}")).await;
            }
        }
        fleet.rebuild();
        fleet
    }

    /// Starts a server beside a daemon and returns the server's index.
    pub async fn start_server(&mut self, daemon: usize, server: &str) -> usize {
        let local = SocketAddr::from(([127, 0, 0, 1], 0));
        let entry = self.daemons[daemon].entry;
        let options = BackendOptions {
            slots: self.plan.slots,
            work_time: self.plan.work,
            proxy: Some(entry),
            // Announced by the test, not over HTTP.
            announce_interval: Duration::from_secs(3600),
            ..BackendOptions::new(local, local, SERVICE, server)
        };
        let backend = start_backend(options).await.expect("stand-in starts");
        self.announce(daemon, server, backend.address(), EndpointStatus::Ready);
        self.backends.push(backend);
        self.backends.len() - 1
    }

    pub fn announce(
        &self,
        daemon: usize,
        server: &str,
        address: SocketAddr,
        status: EndpointStatus,
    ) {
        let (service, server) = (SERVICE.to_owned(), server.to_owned());
        let endpoint = EndpointRecord {
            service,
            server,
            slots: self.plan.slots,
            status,
            version: String::new(),
        };
        let last_announced_at = Instant::now();
        self.daemons[daemon].servers.announce(LocalServer {
            name: endpoint.server.clone(),
            endpoint,
            address,
            last_announced_at,
            warm_up: None,
            was_running: false,
        });
    }

    /// Rebuilds the tables of all daemons from the current members.
    pub fn rebuild(&self) {
        let members: Vec<MemberRecord> = self.daemons.iter().map(TestDaemon::record).collect();
        for daemon in &self.daemons {
            let owner = TableOwner {
                proxy: daemon.name.clone(),
                data_centre: "lj1".to_owned(),
                region: "slovenia".to_owned(),
                tuning: self.plan.tuning,
            };
            let before = daemon.table.load_full();
            let now = time_since_start();
            let table = RouteTable::build(&before, &self.snapshot, members.iter(), &owner, now);
            daemon.table.store(Arc::new(table));
        }
    }

    /// Changes the address at which the other daemons reach a daemon's guard.
    pub fn move_guard(&mut self, daemon: usize, guard: SocketAddr) {
        self.daemons[daemon].guard = guard;
        self.rebuild();
    }

    pub fn entry(&self) -> SocketAddr {
        self.daemons[0].entry
    }

    /// Returns how often the servers began a tagged request.
    pub fn runs(&self, tag: &str) -> u64 {
        self.backends.iter().map(|server| *server.counts().runs.get(tag).unwrap_or(&0)).sum()
    }

    pub fn served(&self) -> u64 {
        self.backends.iter().map(BackendHandle::served_count).sum()
    }
}

/// Accepts connections for `target` and passes each, with a new one to the target, to `carry`,
/// which copies bytes between them.
pub async fn relay<F>(
    target: SocketAddr,
    carry: impl Fn(TcpStream, TcpStream) -> F + Send + 'static,
) -> SocketAddr
where
    F: Future<Output = ()> + Send + 'static,
{
    let listener = bind().await;
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let far = TcpStream::connect(target).await.expect("the target listens");
            tokio::spawn(carry(near, far));
        }
    });
    address
}

impl TestDaemon {
    fn record(&self) -> MemberRecord {
        MemberRecord {
            proxy: self.name.clone(),
            incarnation: 1,
            sequence: 1,
            status: MemberStatus::Alive,
            data_centre: "lj1".to_owned(),
            region: "slovenia".to_owned(),
            control: self.guard,
            guard: self.guard,
            endpoints: self.servers.endpoints(),
        }
    }
}

async fn start_daemon(index: usize, plan: &FleetPlan) -> TestDaemon {
    let (forward_listener, guard_listener) = (bind().await, bind().await);
    let address = |listener: &TcpListener| listener.local_addr().expect("address");
    let (entry, guard) = (address(&forward_listener), address(&guard_listener));
    let (table, counters) = (SharedTable::default(), Arc::<ProxyCounters>::default());
    let drain = Arc::<DrainClock>::default();
    let guard_context = Arc::new(GuardContext {
        failed_calls: FailedCalls::default(),
        running: RunningRequests::default(),
        proofs: CallProofs::new("a secret of the tests", "d1"),
        transit_clocks: Default::default(),
        open_requests: Arc::default(),
        drain_clock: drain.clone(),
        rollouts: Arc::default(),
        servers: Arc::new(LocalServerList::new(plan.limits)),
        token: GuardToken::new(SECRET),
        quarantine: Arc::default(),
        claims: plan.claims.clone(),
        counters: counters.clone(),
        headers: Arc::new(NativeHeaders),
    });
    let forward_context = ForwardContext {
        table: table.clone(),
        peers: PeerClient::new(guard_context.token.clone()),
        guard_context: guard_context.clone(),
        counters: counters.clone(),
        max_body_bytes: MAX_BODY_BYTES,
        refused: RefusedRequests::default(),
        headers: Arc::new(NativeHeaders),
        local_service: Arc::default(),
        config_age: Arc::new(|| Some(Duration::ZERO)),
        max_key_age: None,
        recall: None,
        allowances: plan.allowances.clone(),
    };
    TestDaemon {
        name: format!("daemon-{index}"),
        entry,
        guard,
        forward_handle: Some(serve_forward(forward_listener, Arc::new(forward_context))),
        servers: guard_context.servers.clone(),
        quarantine: guard_context.quarantine.clone(),
        proofs: guard_context.proofs.clone(),
        guard_handle: Some(serve_guard(guard_listener, guard_context)),
        table,
        counters,
        drain,
    }
}

async fn bind() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.expect("local port")
}

fn make_snapshot(
    deadline: Duration,
    goal: Option<Duration>,
    workspaces: &[WorkspaceSetting],
) -> ConfigSnapshot {
    let millis = |time: Duration| u64::try_from(time.as_millis()).expect("a short time");
    let (deadline_ms, goal_ms) = (millis(deadline), goal.map(millis));
    let route = |prefix: &str, repeatable, class| {
        SettingBody::Route(RouteSetting {
            repeatable,
            class,
            deadline_ms,
            goal_ms,
            ..RouteSetting::new(prefix, SERVICE)
        })
    };
    let service = SettingBody::Service(ServiceSetting::default());
    let mut settings = BTreeMap::from([
        (SERVICE.to_owned(), service),
        ("/team/routes/all".to_owned(), route("/", false, WorkClass::Short)),
        ("/team/routes/again".to_owned(), route("/again", true, WorkClass::Short)),
        ("/team/routes/documents".to_owned(), route("/documents", false, WorkClass::Long)),
    ]);
    settings.extend(workspaces.iter().map(|workspace| {
        let body = SettingBody::Workspace(workspace.clone());
        (format!("/team/workspaces/{}", workspace.name), body)
    }));
    let trees = BTreeMap::from([("team".to_owned(), Arc::new(TeamTree { settings }))]);
    let root = SnapshotRoot { version: 1, ..SnapshotRoot::default() };
    ConfigSnapshot { root, trees }
}

/// An answer, with the error of its body if it was cut.
#[derive(Debug)]
pub struct TestAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Result<Bytes, hyper::Error>,
}

impl TestAnswer {
    pub fn outcome(&self) -> Option<RequestOutcome> {
        RequestOutcome::read(&self.headers)
    }

    pub fn reason(&self) -> Option<RefusalKind> {
        RefusalKind::read(&self.headers)
    }

    pub fn json(&self) -> serde_json::Value {
        let body = self.body.as_ref().expect("a whole body");
        serde_json::from_slice(body).expect("an answer of the stand-in")
    }
}

pub fn http1() -> TestClient {
    Client::builder(TokioExecutor::new()).build_http()
}

pub fn http2() -> TestClient {
    Client::builder(TokioExecutor::new()).http2_only(true).build_http()
}

pub async fn send(
    client: &TestClient,
    entry: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> TestAnswer {
    let mut request = Request::builder().method(method).uri(format!("http://{entry}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(body.into())).expect("a request");
    let response = client.request(request).await.expect("a head");
    let (parts, body) = response.into_parts();
    let body = body.collect().await.map(|body| body.to_bytes());
    TestAnswer { status: parts.status, headers: parts.headers, body }
}

pub async fn get(client: &TestClient, entry: SocketAddr, path: &str) -> TestAnswer {
    send(client, entry, "GET", path, &[], "").await
}

/// Waits until a condition holds.
pub async fn wait_for(what: &str, mut is_met: impl FnMut() -> bool) {
    let begin = Instant::now();
    while !is_met() {
        assert!(begin.elapsed() < WAIT_BOUND, "timed out waiting for {what}");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Sends a request over a connection of its own and never reads the answer.
pub async fn send_unread(entry: SocketAddr, path: &str) -> TcpStream {
    use tokio::io::AsyncWriteExt;
    let mut stream = TcpStream::connect(entry).await.expect("a connection");
    let head = format!("GET {path} HTTP/1.1\r\nHost: test\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("the head is sent");
    stream
}
