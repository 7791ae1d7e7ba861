//! Machines of a small deployment: a daemon process each, and the application server beside it.

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::{BufReader, Write as _},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::util::{Caller, Json, now, read_message, render, sleep_ms, unix_ms, write_answer};

pub const INBOUND: u16 = 18_404;
pub const OUTBOUND: u16 = 18_405;
pub const READY: u16 = 18_400;
pub const CONTROL: u16 = 18_401;
pub const INTERNAL: u16 = 17_320;
pub const APPLICATION: u16 = 18_408;
/// Port of the store, at an address of its own.
pub const STORE: u16 = 18_406;

/// Record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>);

impl Record {
    pub fn create(path: &Path) -> Self {
        Self(Arc::new(Mutex::new(File::create(path).expect("record.txt can be written"))))
    }

    pub fn line(&self, text: &str) {
        let mut file = self.0.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {text}", now());
    }
}

/// Returns a part of the loopback network in which nothing listens on the ports used here.
pub fn free_network() -> u8 {
    // Scenarios that start at the same moment begin to look at different places.
    let from = (unix_ms() + u64::from(std::process::id()) * 37) % 200;
    let is_free = |net: u8| {
        let ports = [INBOUND, OUTBOUND, READY, CONTROL, INTERNAL, APPLICATION, 9464];
        let is_unused = |ip, port| TcpListener::bind((ip, port)).is_ok();
        let ports_free = ports.iter().all(|port| is_unused(Ipv4Addr::new(127, net, 1, 1), *port));
        ports_free && is_unused(Ipv4Addr::new(127, net, 0, 1), STORE)
    };
    (20..=220).map(|step| 20 + ((from + step) % 200) as u8).find(|net| is_free(*net)).unwrap()
}

type SharedChild = Arc<Mutex<Option<Child>>>;

/// All daemons that were started, to end them however a scenario ends.
static CHILDREN: Mutex<Vec<SharedChild>> = Mutex::new(Vec::new());

/// Kills all daemons that were started and still run.
pub fn end_daemons() {
    let children = CHILDREN.lock().unwrap_or_else(std::sync::PoisonError::into_inner).clone();
    for child in children {
        end_child(&child);
    }
}

fn end_child(child: &SharedChild) {
    let child = child.lock().unwrap_or_else(std::sync::PoisonError::into_inner).take();
    if let Some(mut child) = child {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// A machine of the deployment.
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub service: String,
    pub ip: Ipv4Addr,
    folder: PathBuf,
    child: SharedChild,
    starts: AtomicU64,
    fields: Json,
    /// Address on which the other daemons reach it, if that is a link.
    link_ip: Option<Ipv4Addr>,
}

/// What the settings of all machines have in common.
pub struct Site {
    pub net: u8,
    pub folder: PathBuf,
    pub store: SocketAddr,
    pub bounds: Json,
    /// Whether daemons reach each other over links.
    pub has_links: bool,
}

impl Machine {
    pub fn new(site: &Site, index: usize, zone: &str, service: &str) -> Self {
        let ip = Ipv4Addr::new(127, site.net, 1, 1 + index as u8);
        let address = |port: u16| Json::text(&format!("{ip}:{port}"));
        let name = format!("sidecar-{zone}-{index}");
        let fields = Json::map([
            ("node_name", Json::text(&name)),
            ("role", Json::text("daemon")),
            ("machine_class", Json::text("sidecar")),
            ("ip_address", Json::text(&ip.to_string())),
            ("zone", Json::text(zone)),
            ("region", Json::text("review")),
            (
                "listen_addresses",
                Json::map([
                    ("inbound", address(INBOUND)),
                    ("outbound", address(OUTBOUND)),
                    ("ready", address(READY)),
                    ("control_address", address(CONTROL)),
                ]),
            ),
            (
                "internal_port_range",
                Json::List(vec![
                    Json::Number(f64::from(INTERNAL)),
                    Json::Number(f64::from(INTERNAL + 15)),
                ]),
            ),
            ("seed_nodes", Json::List(Vec::new())),
            ("bounds", site.bounds.clone()),
            ("application", address(APPLICATION)),
            ("service", Json::text(service)),
            ("platform", Json::map([("address", Json::text(&site.store.to_string()))])),
        ]);
        let child = SharedChild::default();
        CHILDREN.lock().unwrap().push(child.clone());
        Self {
            name,
            zone: zone.to_owned(),
            service: service.to_owned(),
            ip,
            folder: site.folder.clone(),
            child,
            starts: AtomicU64::new(0),
            fields,
            link_ip: site.has_links.then(|| Ipv4Addr::new(127, site.net, 2, 1 + index as u8)),
        }
    }

    pub fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), port)
    }

    /// Address of the link to a listener.
    pub fn link_at(&self, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.link_ip.unwrap_or(self.ip)), port)
    }

    pub fn process_id(&self) -> Option<u32> {
        self.child.lock().unwrap().as_ref().map(Child::id)
    }

    /// Starts the daemon as the deploy file says, with settings from the deploy file's template.
    pub fn start(&self) {
        let template = fs::read_to_string("deploy/daemon.toml").expect("deploy/daemon.toml");
        let settings = self.folder.join(format!("{}.toml", self.name));
        let mut text = render(&template, &self.fields);
        if let Some(ip) = self.link_ip {
            let links = format!(
                "[listen]\nadvertised_guard = \"{ip}:{INBOUND}\"\nadvertised_control = \"{ip}:{INTERNAL}\""
            );
            text = text.replace("[listen]", &links);
        }
        fs::write(&settings, text).expect("settings are written");
        let number = self.starts.fetch_add(1, Ordering::SeqCst) + 1;
        let log = File::create(self.folder.join(format!("{}-{number}.log", self.name))).unwrap();
        let child = Command::new("target/release/sapphirekeeld")
            .arg(&settings)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("HOME", std::env::var("HOME").unwrap_or_default())
            .env("SAPPHIREKEEL_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("target/release/sapphirekeeld starts");
        *self.child.lock().unwrap() = Some(child);
    }

    /// Kills the daemon with SIGKILL.
    pub fn kill(&self) {
        end_child(&self.child);
    }

    /// Sends another signal to the daemon.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &*self.child.lock().unwrap() {
            let _ =
                Command::new("kill").arg(format!("-{name}")).arg(child.id().to_string()).status();
        }
    }

    pub fn is_ready(&self) -> bool {
        let mut caller = Caller::new(self.at(READY));
        let answer =
            caller.send("GET", "/v1/ready", &[("Host", "ready")], b"", Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Waits until the daemon says that it is ready.
    pub fn wait_ready(&self, seconds: f64) -> bool {
        let end = now() + seconds;
        while now() < end {
            if self.is_ready() {
                return true;
            }
            sleep_ms(50);
        }
        false
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// How an application server behaves.
#[derive(Clone)]
pub struct ServerPlan {
    pub slots: usize,
    /// Milliseconds of work for a request, by its path and attempt.
    pub work_ms: Arc<dyn Fn(&str) -> u64 + Send + Sync>,
    /// Calls that it makes in the course of a request: milliseconds after it began, host and path.
    pub calls: Arc<dyn Fn(&str) -> Vec<(u64, String, String)> + Send + Sync>,
    /// How many servers, the first ones, work on a request whose connection closes. The others drop
    /// it.
    pub keeping: usize,
    /// Share of the requests that it answers with a failure of its own.
    pub failing: f64,
}

/// A request that a server began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: f64,
    pub server: String,
    pub attempt: String,
    /// How it ended: "" while it runs, "answered", "closed" or "exit".
    pub end: String,
}

/// The runs of all servers.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// A call that a server made, with its answer's status; zero if there was none.
#[derive(Clone, Debug)]
pub struct MadeCall {
    pub attempt: String,
    pub status: u16,
    pub reason: String,
}

struct ServerState {
    running: usize,
    open: Vec<TcpStream>,
}

/// One boot of an application server.
pub struct Server {
    pub id: String,
    pub version: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub born: u64,
    outbound: SocketAddr,
    plan: ServerPlan,
    drops_closed: bool,
    runs: Runs,
    pub calls: Arc<Mutex<Vec<MadeCall>>>,
    record: Record,
    state: Mutex<ServerState>,
    freed: Condvar,
    sequence: AtomicU64,
    pub is_leaving: AtomicBool,
    pub has_exited: AtomicBool,
}

impl Server {
    pub fn start(
        machine: &Machine,
        (id, version): (&str, &str),
        drops_closed: bool,
        plan: ServerPlan,
        runs: Runs,
        record: Record,
    ) -> Arc<Self> {
        let address = machine.at(APPLICATION);
        let listener = TcpListener::bind(address).expect("the application's address is free");
        let server = Arc::new(Self {
            id: id.to_owned(),
            version: version.to_owned(),
            service: machine.service.clone(),
            zone: machine.zone.clone(),
            address,
            born: unix_ms(),
            outbound: machine.at(OUTBOUND),
            plan,
            drops_closed,
            runs,
            calls: Arc::default(),
            record,
            state: Mutex::new(ServerState { running: 0, open: Vec::new() }),
            freed: Condvar::new(),
            sequence: AtomicU64::new(0),
            is_leaving: AtomicBool::new(false),
            has_exited: AtomicBool::new(false),
        });
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.has_exited.load(Ordering::SeqCst) {
                    return;
                }
                let _ = stream.set_nodelay(true);
                accepting.state.lock().unwrap().open.push(stream.try_clone().unwrap());
                let server = accepting.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    /// Ends the server: its listener and all its connections are closed.
    pub fn exit(&self) {
        self.has_exited.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        for stream in self.state.lock().unwrap().open.drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        let mut runs = self.runs.lock().unwrap();
        for run in runs.iter_mut().filter(|run| run.server == self.id && run.end.is_empty()) {
            run.end = "exit".to_owned();
        }
    }

    fn serve(self: Arc<Self>, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            if self.has_exited.load(Ordering::SeqCst) {
                return;
            }
            let load = format!("{},0,{}", self.state.lock().unwrap().running, self.plan.slots);
            if request.target() == "/health" {
                let status = if self.is_leaving.load(Ordering::SeqCst) { 503 } else { 200 };
                let headers =
                    [("X-Instance-Id", self.id.as_str()), ("X-Server-Load", load.as_str())];
                if write_answer(&mut writer, status, &headers, b"").is_err() {
                    return;
                }
                continue;
            }
            let attempt = request.header("x-attempt-id").unwrap_or("").to_owned();
            if request.header("x-expected-instance").is_some_and(|expected| expected != self.id) {
                let headers = [("X-Instance-Id", self.id.as_str())];
                if write_answer(&mut writer, 421, &headers, b"").is_err() {
                    return;
                }
                continue;
            }
            if attempt.is_empty() {
                if write_answer(&mut writer, 400, &[("X-Not-Executed", "1")], b"").is_err() {
                    return;
                }
                continue;
            }
            let mut state = self.state.lock().unwrap();
            while state.running >= self.plan.slots {
                state = self.freed.wait(state).unwrap();
            }
            state.running += 1;
            drop(state);
            let index = self.begin(&request.target().to_owned(), &attempt, &request);
            let (status, end) = self.run(request.target(), &attempt, &writer);
            let mut state = self.state.lock().unwrap();
            state.running -= 1;
            drop(state);
            self.freed.notify_one();
            if let Some(run) =
                self.runs.lock().unwrap().get_mut(index).filter(|run| run.end.is_empty())
            {
                run.end = end.to_owned();
            }
            self.record.line(&format!(
                "run-end server={} attempt={attempt} end={end} status={status}",
                self.id
            ));
            if end != "answered" {
                return;
            }
            let headers = [
                ("X-Attempt-Id", attempt.as_str()),
                ("X-Server-Signature", self.id.as_str()),
                ("X-Server-Load", load.as_str()),
            ];
            let body = format!("{} ran {attempt}", self.id);
            if write_answer(&mut writer, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn begin(&self, path: &str, attempt: &str, request: &crate::util::Message) -> usize {
        let header = |name: &str| request.header(name).unwrap_or("-").to_owned();
        let run = Run {
            at: now(),
            server: self.id.clone(),
            attempt: attempt.to_owned(),
            end: String::new(),
        };
        self.record.line(&format!(
            "run server={} attempt={attempt} path={path} caller={} tenant={}",
            self.id,
            header("x-caller-service"),
            header("x-tenant-name")
        ));
        let mut runs = self.runs.lock().unwrap();
        runs.push(run);
        runs.len() - 1
    }

    /// Works on a request and makes its calls. Returns its status and how it ended.
    fn run(self: &Arc<Self>, path: &str, attempt: &str, stream: &TcpStream) -> (u16, &'static str) {
        let begin = now();
        let end = begin + (self.plan.work_ms)(path) as f64 / 1000.0;
        let mut calls = (self.plan.calls)(path);
        calls.reverse();
        let mut status = 200;
        let mut made = 0;
        while now() < end || !calls.is_empty() {
            if self.has_exited.load(Ordering::SeqCst) {
                return (0, "exit");
            }
            if self.drops_closed && is_closed(stream) {
                return (0, "closed");
            }
            let due = calls.last().is_some_and(|call| now() >= begin + call.0 as f64 / 1000.0);
            if !due {
                sleep_ms(5);
                continue;
            }
            let (_, host, path) = calls.pop().expect("a call is due");
            made += 1;
            let id = format!("{attempt}.{made}");
            let headers =
                [("Host", host.as_str()), ("X-Attempt-Id", id.as_str()), ("X-Deadline-Ms", "600")];
            let answer = Caller::new(self.outbound).send(
                "GET",
                &path,
                &headers,
                b"",
                Duration::from_millis(700),
            );
            let (code, reason) = match &answer {
                Ok(answer) => (answer.status(), String::from_utf8_lossy(&answer.body).into_owned()),
                Err(err) => (0, err.to_string()),
            };
            self.record.line(&format!(
                "call server={} attempt={id} path={path} status={code} answer={reason}",
                self.id
            ));
            self.calls.lock().unwrap().push(MadeCall { attempt: id, status: code, reason });
            if code != 200 {
                status = 500;
            }
        }
        if self.drops_closed && is_closed(stream) {
            return (status, "closed");
        }
        let draw = attempt
            .bytes()
            .fold(7_u32, |sum, byte| sum.wrapping_mul(31).wrapping_add(u32::from(byte)));
        if f64::from(draw % 1000) < self.plan.failing * 1000.0 {
            status = 500;
        }
        (status, "answered")
    }

    /// Returns the number and the body of the next status report.
    pub fn next_report(&self, state: &str) -> (u64, String) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = Json::map([
            ("service", Json::text(&self.service)),
            ("address", Json::text(&self.address.to_string())),
            ("zone", Json::text(&self.zone)),
            ("version", Json::text(&self.version)),
            ("slots", Json::Number(self.plan.slots as f64)),
            ("state", Json::text(state)),
            ("warm_up_left", Json::Number(0.0)),
            ("sequence", Json::Number(sequence as f64)),
            ("born", Json::Number(self.born as f64)),
        ]);
        (sequence, body.write())
    }

    /// Sends a status report to an address, and returns the status of the answer.
    pub fn send_report(&self, to: SocketAddr, report: &(u64, String)) -> u16 {
        let path = format!("/v1/servers/{}/heartbeat", self.id);
        let headers = [("Host", "control"), ("Content-Type", "application/json")];
        let body = report.1.as_bytes();
        let answer = Caller::new(to).send("POST", &path, &headers, body, Duration::from_secs(1));
        let status = answer.map_or(0, |answer| answer.status());
        if status != 200 {
            self.record
                .line(&format!("report server={} sequence={} status={status}", self.id, report.0));
        }
        status
    }

    /// Deregisters the server, and returns the status of the answer.
    pub fn deregister(&self, to: SocketAddr) -> u16 {
        self.is_leaving.store(true, Ordering::SeqCst);
        let path = format!("/v1/servers/{}/leave", self.id);
        let headers = [("Host", "control"), ("Content-Type", "application/json")];
        let answer = Caller::new(to).send("POST", &path, &headers, b"", Duration::from_secs(1));
        let status = answer.map_or(0, |answer| answer.status());
        self.record.line(&format!("deregister server={} status={status}", self.id));
        status
    }

    /// Sends reports at the usual interval until the server leaves or exits.
    pub fn keep_reporting(self: &Arc<Self>, to: SocketAddr) {
        let server = self.clone();
        thread::spawn(move || {
            while !server.is_leaving.load(Ordering::SeqCst)
                && !server.has_exited.load(Ordering::SeqCst)
            {
                let report = server.next_report("ready");
                server.send_report(to, &report);
                sleep_ms(1500);
            }
        });
    }
}

/// Returns whether the other side has closed a connection.
pub fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0; 1]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(0) => true,
        Ok(_) => false,
        Err(err) => err.kind() != std::io::ErrorKind::WouldBlock,
    }
}

/// An attempt of a requester and its answer.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub machine: String,
    pub sent: f64,
    /// Zero if the connection ended without an answer.
    pub status: u16,
    pub is_signed: bool,
}

pub type Attempts = Arc<Mutex<Vec<Attempt>>>;

/// Sends one request and notes it.
pub fn ask(
    caller: &mut Caller,
    (machine, id): (&str, &str),
    (method, host, path): (&str, &str, &str),
    (key, budget_ms): (Option<&str>, u64),
    attempts: &Attempts,
    record: &Record,
) -> u16 {
    let bearer = key.map(|key| format!("Bearer {key}"));
    let budget = budget_ms.to_string();
    let mut headers =
        vec![("Host", host), ("X-Attempt-Id", id), ("X-Deadline-Ms", budget.as_str())];
    if let Some(bearer) = &bearer {
        headers.push(("Authorization", bearer));
    }
    let body: &[u8] = if method == "POST" { b"a reservation" } else { b"" };
    let sent = now();
    let answer = caller.send(method, path, &headers, body, Duration::from_millis(budget_ms + 300));
    let (status, reason, is_signed) = match &answer {
        Ok(answer) => (
            answer.status(),
            answer.header("x-sapphirekeel-reason").unwrap_or("").to_owned(),
            answer.header("x-server-signature").is_some(),
        ),
        Err(err) => (0, err.kind().to_string(), false),
    };
    record.line(&format!(
        "request machine={machine} attempt={id} {method} {path} sent={sent:.3} status={status} {reason}"
    ));
    let attempt =
        Attempt { id: id.to_owned(), machine: machine.to_owned(), sent, status, is_signed };
    attempts.lock().unwrap().push(attempt);
    status
}

/// Returns how often each value occurs.
pub fn count_by<T: Ord>(values: impl Iterator<Item = T>) -> BTreeMap<T, usize> {
    let mut counts = BTreeMap::new();
    for value in values {
        *counts.entry(value).or_insert(0) += 1;
    }
    counts
}
