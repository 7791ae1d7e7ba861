//! Starts the processes of a small fleet for a test, calls them and ends them with the test.

#![allow(dead_code)] // No test file uses all of it.

pub mod deployment;
pub mod requests;

use std::{
    collections::BTreeMap,
    fs,
    io::{BufRead, BufReader, Read},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Output, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU8, Ordering},
        mpsc,
    },
    thread::JoinHandle,
    time::{Duration, Instant},
};

use sk_settings::{LoopbackSettings, render_loopback_settings};

/// Longest wait for one condition. An idle machine needs a small part of it.
pub const WAIT_BOUND: Duration = Duration::from_secs(60);
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);
pub const MANAGER_TOKEN: &str = "test manager";
pub const TEAM_TOKEN: &str = "test team";

/// A process that prints one line with its addresses when it is ready. Dropping it kills it.
pub struct TestProcess {
    child: Child,
    /// The line that the process prints when it is ready.
    pub ready_line: String,
    /// All other lines printed so far, as a thread reads them.
    printed: Arc<Mutex<String>>,
    reader: Option<JoinHandle<()>>,
}

impl TestProcess {
    /// Starts a program and waits until it is ready.
    pub fn start(program: &str, args: &[&str]) -> Self {
        let mut child = Command::new(program)
            .args(args)
            .stdout(Stdio::piped())
            .stderr(Stdio::inherit())
            .spawn()
            .expect("program starts");
        let stdout = child.stdout.take().expect("stdout is piped");
        let printed = Arc::<Mutex<String>>::default();
        let (sender, receiver) = mpsc::channel();
        let lines = printed.clone();
        let reader = std::thread::spawn(move || {
            let mut sender = Some(sender);
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                // Log lines are JSON objects; the first line of another form is the ready line.
                match sender.take_if(|_| !line.starts_with('{')) {
                    Some(sender) => sender.send(line).expect("the test waits for the line"),
                    None => {
                        let mut lines = lines.lock().expect("no reader panics");
                        lines.push_str(&line);
                        lines.push('\n');
                    }
                }
            }
        });
        let ready_line = receiver.recv_timeout(WAIT_BOUND);
        let ready_line =
            ready_line.unwrap_or_else(|_| panic!("{program} ended before it was ready"));
        Self { child, ready_line, printed, reader: Some(reader) }
    }

    /// Returns the address printed as `name=ADDRESS` in the ready line.
    pub fn address(&self, name: &str) -> String {
        let words = self.ready_line.split(' ');
        let found = words.filter_map(|word| word.split_once('=')).find(|(key, _)| *key == name);
        found.expect("address is printed").1.to_owned()
    }

    /// Sends a signal, given as an option of `kill`, such as `-TERM`.
    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args([signal, &pid]).status().expect("kill runs");
        assert!(status.success());
    }

    /// Suspends the process with SIGSTOP and waits until all of its threads have stopped.
    pub fn pause(&self) {
        self.signal("-STOP");
        let tasks = format!("/proc/{}/task", self.child.id());
        let is_stopped = |task: std::io::Result<fs::DirEntry>| {
            let stat = fs::read_to_string(task.expect("a thread").path().join("stat"));
            stat.is_ok_and(|stat| {
                stat.rsplit(") ").next().is_some_and(|rest| rest.starts_with('T'))
            })
        };
        wait_for("all threads to stop", || {
            fs::read_dir(&tasks).expect("threads are listed").all(is_stopped)
        });
    }

    /// Waits until the process has exited and returns its status and all that it printed, except
    /// the ready line.
    pub fn join(mut self) -> (ExitStatus, String) {
        let begin = Instant::now();
        let status = loop {
            if let Some(status) = self.child.try_wait().expect("process can be waited for") {
                break status;
            }
            assert!(begin.elapsed() < WAIT_BOUND, "process does not end");
            std::thread::sleep(POLL_INTERVAL);
        };
        if let Some(reader) = self.reader.take() {
            reader.join().expect("the reader ends with the process");
        }
        (status, self.printed())
    }

    /// Returns what the process has printed so far, except the ready line.
    pub fn printed(&self) -> String {
        self.printed.lock().expect("no reader panics").clone()
    }

    /// Returns the exit status, or `None` while the process runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("process can be waited for")
    }

    /// Requests a graceful shutdown and waits for the exit.
    pub fn terminate(self) -> (ExitStatus, String) {
        self.signal("-TERM");
        self.join()
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        // Ends only this child, and only if it still runs.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn start_platform() -> TestProcess {
    TestProcess::start(env!("CARGO_BIN_EXE_sk-platform"), &[])
}

/// Returns the address `IP:PORT` of a platform's process.
pub fn platform_address(platform: &TestProcess) -> String {
    platform.ready_line.trim_start_matches("platform ").to_owned()
}

/// Settings that a test chooses for one daemon.
pub struct DaemonPlan<'a> {
    pub name: &'a str,
    pub data_centre: &'a str,
    pub platform: &'a str,
    /// Control addresses of the daemons to join.
    pub seeds: &'a [String],
    /// Further settings in TOML.
    pub extra: &'a str,
}

pub fn start_daemon(directory: &Path, plan: &DaemonPlan<'_>) -> TestProcess {
    start_daemon_with(directory, plan, "")
}

/// Starts a daemon with further settings in its `listen` table.
pub fn start_daemon_with(directory: &Path, plan: &DaemonPlan<'_>, listen: &str) -> TestProcess {
    let text = render_loopback_settings(&LoopbackSettings {
        name: plan.name,
        data_centre: plan.data_centre,
        region: "slovenia",
        platform: plan.platform,
        seeds: plan.seeds,
        // Tests run at the same time and use the same names for their daemons. With a common
        // secret, a daemon that reuses the port of another test's dead daemon would join that
        // fleet, where two processes claim each name until one is ignored and its server gets no
        // requests.
        secret: &format!("secret of the fleet in {}", directory.display()),
        manager_sha256: &sk_ops::hash_token(MANAGER_TOKEN),
        extra: plan.extra,
    });
    let text = text.replace("[listen]\n", &format!("[listen]\n{listen}"));
    let file = directory.join(format!("{}.toml", plan.name));
    fs::write(&file, text).expect("settings can be written");
    TestProcess::start(env!("CARGO_BIN_EXE_sapphirekeeld"), &[file.to_str().expect("path")])
}

pub fn start_backend(daemon: &str, service: &str, server: &str) -> TestProcess {
    let args = ["--daemon", daemon, "--service", service, "--server", server];
    TestProcess::start(env!("CARGO_BIN_EXE_sk-backend"), &args)
}

/// A temporary directory of one test, removed when dropped.
pub struct TestDirectory(pub PathBuf);

impl TestDirectory {
    pub fn new(name: &str) -> Self {
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).expect("directory can be made");
        Self(path)
    }

    /// Writes a file and creates its parent directories.
    pub fn write(&self, name: &str, text: &str) {
        let file = self.0.join(name);
        fs::create_dir_all(file.parent().expect("file in a directory")).expect("directory");
        fs::write(file, text).expect("file can be written");
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Port of control traffic of daemons that start again, below those that the system gives out.
const CONTROL_PORT: u16 = 7_600;

/// A daemon of a fleet that runs on the platform.
pub struct PlatformDaemon<'a> {
    pub name: &'a str,
    pub service: &'a str,
    /// Server beside it.
    pub server: Option<SocketAddr>,
    pub control: SocketAddr,
    pub store: SocketAddr,
    /// Settings of its guard.
    pub guard: &'a str,
    /// Whether no process of it ran before.
    pub first_start: bool,
}

/// Starts a daemon that runs on the platform, with its settings in a directory.
pub fn start_platform_daemon(
    directory: &TestDirectory,
    daemon: &PlatformDaemon<'_>,
) -> TestProcess {
    let PlatformDaemon { name, service, server, control, store, guard, first_start } = daemon;
    let server = server.map(|address| format!("server = \"{address}\"")).unwrap_or_default();
    let text = format!(
        r#"
        [instance]
        name = "{name}"
        data_centre = "a"
        region = "r"
        service = "{service}"
        first_start = {first_start}
        {server}
        [listen]
        proxy = "127.0.0.1:0"
        guard = "127.0.0.1:0"
        control = "{control}"
        ops = "127.0.0.1:0"
        [platform]
        address = "{store}"
        form = "objects"
        timeout_ms = 1000
        [peers]
        secret = "fleet in {folder}"
        [placing]
        order = "soonest"
        [guard]
        {guard}
        "#,
        folder = directory.0.display(),
    );
    let file = format!("{name}.toml");
    directory.write(&file, &text);
    let file = directory.0.join(file);
    let (program, file) = (env!("CARGO_BIN_EXE_sapphirekeeld"), file.to_str().expect("path"));
    tokio::task::block_in_place(|| TestProcess::start(program, &[file]))
}

/// Returns an address of loopback that no other test uses. A daemon that starts again listens at its
/// address of before, which must not be one that the system gives out to others meanwhile.
pub fn own_address() -> SocketAddr {
    static COUNT: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    SocketAddr::from(([127, high.max(1), low, count], CONTROL_PORT))
}

/// Runs the operators' command line against a daemon's ops address.
pub fn run_cli(daemon: &str, token: &str, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sapphirekeel"))
        .args(["--daemon", daemon, "--token", token])
        .args(args)
        .env("SAPPHIREKEEL_MANAGER_TOKEN", MANAGER_TOKEN)
        .output()
        .expect("command line runs")
}

/// Renders a command's output and exit code for a golden file.
pub fn render_output(output: &Output) -> String {
    let code = output.status.code().map_or("signal".to_owned(), |code| code.to_string());
    let (out, err) =
        (String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
    format!("{out}{err}exit {code}\n")
}

/// Waits until a condition is met.
pub fn wait_for(what: &str, mut is_met: impl FnMut() -> bool) {
    let begin = Instant::now();
    while !is_met() {
        assert!(begin.elapsed() < WAIT_BOUND, "timed out waiting for {what}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// An answer to a caller's request.
#[derive(Debug)]
pub struct CallAnswer {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

/// Sends one request on a new connection.
pub fn call(address: &str, method: &str, path: &str, headers: &str) -> std::io::Result<CallAnswer> {
    call_with(address, method, path, headers, "")
}

/// Sends one request with a JSON body.
pub fn call_with_body(
    address: &str,
    method: &str,
    path: &str,
    body: &str,
) -> std::io::Result<CallAnswer> {
    call_with(address, method, path, "", body)
}

/// Sends one request with headers, each ending in CRLF, and a JSON body.
pub fn call_with(
    address: &str,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
) -> std::io::Result<CallAnswer> {
    use std::io::Write;
    let mut stream = std::net::TcpStream::connect(address)?;
    stream.set_read_timeout(Some(WAIT_BOUND))?;
    write!(stream, "{method} {path} HTTP/1.1\r\nHost: test\r\nConnection: close\r\n")?;
    write!(stream, "Content-Type: application/json\r\n{headers}")?;
    write!(stream, "Content-Length: {}\r\n\r\n{body}", body.len())?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let malformed = || std::io::Error::from(std::io::ErrorKind::InvalidData);
    let status = line.split(' ').nth(1).and_then(|code| code.parse().ok());
    let status = status.ok_or_else(malformed)?;
    let mut headers = BTreeMap::new();
    loop {
        line.clear();
        reader.read_line(&mut line)?;
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let mut body = String::new();
    reader.read_to_string(&mut body)?;
    Ok(CallAnswer { status, headers, body })
}

/// Returns on how many proxies the newest version is in force, and how many there are.
pub fn read_in_force(daemon: &str) -> (usize, usize) {
    let output = run_cli(daemon, MANAGER_TOKEN, &["--json", "report"]);
    let report: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
    let count = |name: &str| report[name].as_u64().unwrap_or(0) as usize;
    (count("in_force"), count("total"))
}

/// Returns whether a word is a UTC time with milliseconds, such as 2026-12-03T08:15:00.123Z.
pub fn is_utc(word: &str) -> bool {
    const PATTERN: &str = "0000-00-00T00:00:00.000Z";
    let is_match = |(letter, pattern): (char, char)| match pattern {
        '0' => letter.is_ascii_digit(),
        pattern => letter == pattern,
    };
    word.len() == PATTERN.len() && word.chars().zip(PATTERN.chars()).all(is_match)
}
