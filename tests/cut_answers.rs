//! Answers whose head has reached the caller while a daemon on their path stops, restarts or
//! changes. Each must arrive whole, because its server has sent it whole.

mod common;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use common::{
    read_in_force,
    requests::{RequestFleet, TestClient, new_client, wait_until},
};
use http_body_util::{BodyExt, Full};
use hyper::{Request, body::Incoming};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpSocket, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::mpsc,
    time::Instant,
};

/// Time of a whole stop in the tests, with room for a slow link.
const STOP_TIMES: &str = "leave_ms = 200\ndrain_ms = 8000\n";
/// Bytes that the link takes from a sender at a time.
const LINK_CHUNK: usize = 1_024;
/// Time for which a link stands still, much shorter than the time after which a connection without
/// progress is given up.
const HOLD: Duration = Duration::from_millis(600);
/// How far a link may catch up after late wake-ups.
const PACE_SLACK: Duration = Duration::from_millis(20);
/// Payload of a packet. The loopback's is longer than the receive buffers, and a receiver announces
/// no window that is shorter than a packet.
const LINK_PACKET: u32 = 1_400;
/// Receive buffer of a link, small enough that most of an answer waits in its sender's buffers.
const LINK_BUFFER: u32 = 8 * 1024;
/// The smallest that the kernel allows: windows are shorter than what the sender has ready.
const LEAST_BUFFER: u32 = 2 * 1024;
/// Begin of a connection over HTTP/2, with empty settings.
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";
/// Window of a caller over HTTP/2.
const HTTP2_WINDOW: u32 = 32 * 1024;
/// Time of a whole stop in which a thin link carries a part of what callers ask for.
const SHORT_STOP_TIMES: &str = "leave_ms = 2600\ndrain_ms = 2900\n";
/// Documents that callers ask for within a stop, and the time between two of them.
const DOCUMENTS: usize = 24;
const DOCUMENT_INTERVAL: Duration = Duration::from_millis(90);
/// Answers at once on one connection between daemons.
const ANSWERS: usize = 12;
/// The same of answers that the link carries one after the other.
const LARGE_ANSWERS: usize = 6;
/// Routes that a large change adds.
const ADDED_ROUTES: usize = 960;
const SOCKETS_INTERVAL: Duration = Duration::from_millis(2);

/// One direction of a link.
#[derive(Default)]
struct LinkDirection {
    /// Capacity; zero for no limit.
    bytes_per_s: AtomicU64,
    delay_ms: AtomicU64,
    /// Bytes after which it stands still for [`HOLD`]; zero for never.
    hold_after: AtomicU64,
}

/// A link between callers or daemons and one listener.
#[derive(Clone)]
struct TestLink {
    /// Receive buffer towards the listener.
    buffer: u32,
    /// Towards the listener.
    inward: Arc<LinkDirection>,
    /// From the listener.
    outward: Arc<LinkDirection>,
}

impl TestLink {
    fn new(buffer: u32) -> Self {
        Self { buffer, inward: Arc::default(), outward: Arc::default() }
    }

    /// Relays connections to a target.
    async fn start(&self, target: &'static OnceLock<SocketAddr>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let link = self.clone();
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let Some(target) = target.get() else { continue };
                let socket = TcpSocket::new_v4().expect("a socket");
                socket.set_recv_buffer_size(link.buffer).expect("a small buffer");
                SockRef::from(&socket).set_tcp_mss(LINK_PACKET).expect("short packets");
                let Ok(far) = socket.connect(*target).await else { continue };
                let _ = far.set_nodelay(true);
                let ((near_in, near_out), (far_in, far_out)) =
                    (near.into_split(), far.into_split());
                tokio::spawn(carry("inward", near_in, far_out, link.inward.clone()));
                tokio::spawn(carry("outward", far_in, near_out, link.outward.clone()));
            }
        });
        address
    }
}

/// Carries bytes in one direction at its capacity and delay, and prints how it ended.
async fn carry(
    name: &'static str,
    mut input: OwnedReadHalf,
    mut output: OwnedWriteHalf,
    direction: Arc<LinkDirection>,
) {
    let (chunks, mut due) = mpsc::unbounded_channel::<(Instant, Vec<u8>)>();
    tokio::spawn(async move {
        while let Some((at, chunk)) = due.recv().await {
            tokio::time::sleep_until(at).await;
            if output.write_all(&chunk).await.is_err() {
                return;
            }
        }
    });
    let (mut chunk, mut passed) = (vec![0; LINK_CHUNK], 0_u64);
    let mut free_at = Instant::now();
    let end = loop {
        let size = match input.read(&mut chunk).await {
            Ok(0) => break "closed".to_owned(),
            Ok(size) => size,
            Err(err) => break err.to_string(),
        };
        let bytes = chunk[..size].to_vec();
        let size = size as u64;
        passed += size;
        let delay = Duration::from_millis(direction.delay_ms.load(Ordering::SeqCst));
        if chunks.send((Instant::now() + delay, bytes)).is_err() {
            break "receiver left".to_owned();
        }
        let hold_after = direction.hold_after.load(Ordering::SeqCst);
        if hold_after > 0 && (passed - size..passed).contains(&hold_after) {
            println!("{} link {name}: stands still after {passed} bytes", now());
            tokio::time::sleep(HOLD).await;
        }
        let capacity = direction.bytes_per_s.load(Ordering::SeqCst);
        if capacity > 0 {
            // Counted on, so that late wake-ups do not add up.
            let transfer_time = Duration::from_secs_f64(size as f64 / capacity as f64);
            free_at = free_at.max(Instant::now() - PACE_SLACK) + transfer_time;
            tokio::time::sleep_until(free_at).await;
        }
    };
    println!("{} link {name}: {end} after {passed} bytes", now());
}

/// Returns the time in the form of the daemons' log lines.
fn now() -> String {
    humantime::format_rfc3339_millis(std::time::SystemTime::now()).to_string()
}

/// An entry daemon, and a daemon with a server behind a link.
struct LinkedFleet {
    fleet: RequestFleet,
    link: TestLink,
}

impl LinkedFleet {
    async fn start(name: &str) -> Self {
        Self::start_with(name, LINK_BUFFER).await
    }

    /// Starts the same fleet with another receive buffer of the link.
    async fn start_with(name: &str, buffer: u32) -> Self {
        Self::start_timed(name, buffer, STOP_TIMES).await
    }

    /// Starts the same fleet with other times of a stop.
    async fn start_timed(name: &str, buffer: u32, stop_times: &'static str) -> Self {
        let target: &'static OnceLock<SocketAddr> = Box::leak(Box::default());
        let link = TestLink::new(buffer);
        let relay = link.start(target).await;
        let mut fleet = RequestFleet::start_with(name, 0, stop_times);
        fleet.add_daemon_with("daemon1", &format!("advertised_guard = \"{relay}\"\n"));
        let address = fleet.daemon(1).address("guard");
        target.set(address.parse().expect("an address")).expect("set once");
        wait_until("the daemons to join", || read_in_force(&fleet.ops(0)) == (2, 2)).await;
        fleet.start_server(1, "server1");
        tokio::task::block_in_place(|| fleet.wait_served("server1"));
        Self { fleet, link }
    }

    /// Stops a daemon, reads the rest of an answer and prints the daemon's part in it.
    async fn stop_and_read(
        mut self,
        daemon: usize,
        body: Incoming,
    ) -> Result<usize, (usize, hyper::Error)> {
        let leaving = self.fleet.daemons[daemon].take().expect("daemon");
        let listener = if daemon == 0 { "proxy" } else { "guard" };
        let sockets = tokio::spawn(watch_sockets(leaving.address(listener)));
        println!("{} SIGTERM of daemon {daemon}", now());
        leaving.signal("-TERM");
        let read = read_body(body).await;
        let (status, log) = tokio::task::block_in_place(|| leaving.join());
        println!("{} daemon {daemon} has exited: {status}", now());
        sockets.abort();
        self.print_logs(&log);
        read
    }

    /// Prints what the daemons logged about answers and connections.
    fn print_logs(&self, stopped: &str) {
        let running = self.fleet.daemons.iter().flatten().map(|daemon| daemon.printed());
        for (name, log) in running.chain([stopped.to_owned()]).enumerate() {
            let lines = log.lines().filter(|line| {
                let words = ["answer", "connection", "stop", "left", "draining", "server "];
                words.iter().any(|word| line.contains(word))
            });
            lines.for_each(|line| println!("daemon {name}: {line}"));
        }
    }
}

/// Prints each change of state of the connections accepted at an address, with the bytes that the
/// kernel still had to send before the change. The states are the kernel's: 01 established, 04 and
/// 05 closed here, 08 closed by the peer, and none once the socket is gone.
async fn watch_sockets(address: String) {
    let port = address.rsplit(':').next().and_then(|port| port.parse::<u16>().ok());
    let local = format!("0100007F:{:04X}", port.expect("a port"));
    let mut before = BTreeMap::<String, [String; 2]>::new();
    loop {
        let table = std::fs::read_to_string("/proc/net/tcp").expect("a table of sockets");
        let mut current = BTreeMap::new();
        for line in table.lines().skip(1) {
            let fields: Vec<&str> = line.split_whitespace().collect();
            let [_, near, far, state, queues, ..] = fields[..] else { continue };
            if near == local && state != "0A" {
                current.insert(far.to_owned(), [state.to_owned(), queues.to_owned()]);
            }
        }
        for (far, [state, queues]) in &before {
            let next = current.get(far).map_or("none", |[next, _]| next);
            if next != state {
                println!("{} socket to {far}: {state} -> {next}, queues {queues}", now());
            }
        }
        before = current;
        tokio::time::sleep(SOCKETS_INTERVAL).await;
    }
}

/// Sends a request and returns the body of its answer, of which only the head has been read.
async fn open_answer(entry: &str, path: &str) -> Incoming {
    open_answer_with(&new_client(), entry, path).await
}

/// Does the same with a client.
async fn open_answer_with(client: &TestClient, entry: &str, path: &str) -> Incoming {
    let builder = Request::get(format!("http://{entry}{path}"));
    println!("{} caller sends {path}", now());
    let answer = client.request(builder.body(Full::default()).expect("a request")).await;
    let answer = answer.expect("a head");
    assert_eq!(answer.status(), 200);
    println!("{} caller has the head", now());
    answer.into_body()
}

/// Reads a body and returns its bytes, or how many came before it was cut.
async fn read_body(mut body: Incoming) -> Result<usize, (usize, hyper::Error)> {
    let mut passed = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|err| (passed, err));
        if frame.is_err() {
            println!("{} caller's answer is cut after {passed} bytes", now());
        }
        passed += frame?.into_data().map_or(0, |data: Bytes| data.len());
    }
    println!("{} caller has {passed} bytes", now());
    Ok(passed)
}

/// Stops the daemon behind the link within an answer and returns how the answer ended.
async fn stop_within(linked: LinkedFleet, path: &str) -> Result<usize, (usize, hyper::Error)> {
    let body = open_answer(&linked.fleet.entry(0), path).await;
    linked.stop_and_read(1, body).await
}

/// Guards against a stop that does not wait for the part of an answer that the guard has taken from
/// its server but may not send yet: each window update is late, though none as late as the time
/// after which a peer counts as gone.
#[tokio::test(flavor = "multi_thread")]
async fn windows_late() {
    let linked = LinkedFleet::start("windows_late").await;
    linked.link.inward.delay_ms.store(800, Ordering::SeqCst);
    let read = stop_within(linked, "/?size=90000").await;
    assert_eq!(read.expect("a whole answer"), 90_000);
}

/// Guards against the same failure with an answer of known length, which the guard takes from its
/// server in longer parts.
#[tokio::test(flavor = "multi_thread")]
async fn long_parts() {
    let linked = LinkedFleet::start("long_parts").await;
    linked.link.inward.delay_ms.store(500, Ordering::SeqCst);
    let read = stop_within(linked, "/?size=90000&has_length=true").await;
    assert_eq!(read.expect("a whole answer"), 90_000);
}

/// Guards against the same failure while another daemon keeps its connection open in silence, so
/// that the stop does not wait for the connections.
#[tokio::test(flavor = "multi_thread")]
async fn silent_neighbour() {
    let linked = LinkedFleet::start("silent_neighbour").await;
    let guard = linked.fleet.daemon(1).address("guard");
    let mut neighbour = TcpStream::connect(guard).await.expect("the guard listens");
    neighbour.write_all(HTTP2_PREFACE).await.expect("sent");
    linked.link.inward.delay_ms.store(800, Ordering::SeqCst);
    let read = stop_within(linked, "/?size=90000").await;
    drop(neighbour);
    assert_eq!(read.expect("a whole answer"), 90_000);
}

/// Guards against a connection that its guard closes as soon as the kernel has the last bytes: a
/// window update that arrives then makes the kernel discard them.
#[tokio::test(flavor = "multi_thread")]
async fn closed_on_updates() {
    let linked = LinkedFleet::start("closed_on_updates").await;
    linked.link.outward.bytes_per_s.store(140_000, Ordering::SeqCst);
    let entry = linked.fleet.entry(0);
    let read = |number: usize| {
        let (entry, path) = (entry.clone(), format!("/?size=30000&tag=a{number}"));
        tokio::spawn(async move { read_body(open_answer(&entry, &path).await).await })
    };
    let reads: Vec<_> = (1..ANSWERS).map(read).collect();
    let body = open_answer(&entry, "/?size=30000&tag=a0").await;
    let mut cut: Vec<_> = linked.stop_and_read(1, body).await.err().into_iter().collect();
    for read in reads {
        cut.extend(read.await.expect("the reader ends").err());
    }
    assert!(cut.is_empty(), "{} of {ANSWERS} are cut: {cut:?}", cut.len());
}

/// Guards against a connection between daemons that is given up although its link carries bytes all
/// the time: the receiver's window is closed again and again.
#[tokio::test(flavor = "multi_thread")]
async fn moving_link() {
    let linked = LinkedFleet::start_with("moving_link", 4 * LINK_BUFFER).await;
    linked.link.outward.bytes_per_s.store(70_000, Ordering::SeqCst);
    let (client, entry) = (new_client(), linked.fleet.entry(0));
    let mut reads = Vec::new();
    for number in 0..LARGE_ANSWERS {
        let path = format!("/?size=90000&tag=a{number}");
        reads.push(tokio::spawn(read_body(open_answer_with(&client, &entry, &path).await)));
    }
    let mut cut = Vec::new();
    for read in reads {
        cut.extend(read.await.expect("the reader ends").err());
    }
    linked.print_logs("");
    assert!(cut.is_empty(), "{} of {LARGE_ANSWERS} are cut: {cut:?}", cut.len());
}

/// Guards against a connection between daemons that its guard gives up although a thin link carries
/// its bytes: windows shorter than the bytes that wait count as no progress.
#[tokio::test(flavor = "multi_thread")]
async fn short_windows() {
    let linked = LinkedFleet::start_with("short_windows", LEAST_BUFFER).await;
    linked.link.outward.bytes_per_s.store(15_000, Ordering::SeqCst);
    let body = open_answer(&linked.fleet.entry(0), "/?size=90000").await;
    let read = read_body(body).await;
    linked.print_logs("");
    assert_eq!(read.expect("a whole answer"), 90_000);
}

/// Guards against the same at the connection of a caller.
#[tokio::test(flavor = "multi_thread")]
async fn short_windows_caller() {
    let linked = LinkedFleet::start("short_windows_caller").await;
    let target: &'static OnceLock<SocketAddr> = Box::leak(Box::default());
    target.set(linked.fleet.entry(0).parse().expect("an address")).expect("set once");
    let callers_link = TestLink::new(LEAST_BUFFER);
    callers_link.outward.bytes_per_s.store(15_000, Ordering::SeqCst);
    let entry = callers_link.start(target).await.to_string();
    let read = read_body(open_answer(&entry, "/?size=90000").await).await;
    linked.print_logs("");
    assert_eq!(read.expect("a whole answer"), 90_000);
}

/// Guards against answers that are cut because a link stands still for a while.
#[tokio::test(flavor = "multi_thread")]
async fn link_pauses() {
    let linked = LinkedFleet::start("link_pauses").await;
    linked.link.outward.bytes_per_s.store(50_000, Ordering::SeqCst);
    let read = tokio::spawn(read_body(open_answer(&linked.fleet.entry(0), "/?size=90000").await));
    tokio::time::sleep(Duration::from_millis(500)).await;
    // One chunk takes this long.
    linked.link.outward.bytes_per_s.store(LINK_CHUNK as u64 / 4, Ordering::SeqCst);
    tokio::time::sleep(Duration::from_millis(200)).await;
    linked.link.outward.bytes_per_s.store(50_000, Ordering::SeqCst);
    let read = read.await.expect("the reader ends");
    linked.print_logs("");
    assert_eq!(read.expect("a whole answer"), 90_000);
}

/// Guards against a stop that does not wait for the answers of a server that has ended and is no
/// longer listed: it had sent its answers, of which the link has carried a part.
#[tokio::test(flavor = "multi_thread")]
async fn ended_server() {
    let read = stop_after_server("ended_server", 400_000, false).await;
    assert_eq!(read.expect("a whole answer"), 400_000);
}

/// Guards against the same failure where another process has taken the server's place.
#[tokio::test(flavor = "multi_thread")]
async fn replaced_server() {
    let read = stop_after_server("replaced_server", 250_000, true).await;
    assert_eq!(read.expect("a whole answer"), 250_000);
}

/// Ends the server within an answer, then stops its daemon, and returns how the answer ended.
async fn stop_after_server(
    name: &str,
    size: usize,
    is_replaced: bool,
) -> Result<usize, (usize, hyper::Error)> {
    let mut linked = LinkedFleet::start_with(name, 8 * LINK_BUFFER).await;
    linked.link.outward.bytes_per_s.store(100_000, Ordering::SeqCst);
    let body = open_answer(&linked.fleet.entry(0), &format!("/?size={size}")).await;
    let server = linked.fleet.backends[1].take().expect("server");
    let (status, _) = tokio::task::block_in_place(|| server.terminate());
    println!("{} server has exited: {status}", now());
    if is_replaced {
        linked.fleet.start_server(1, "server2");
    }
    linked.stop_and_read(1, body).await
}

/// Guards against an entry daemon that ends its process, or closes the connection of a caller,
/// before a thin link has carried the last bytes of an answer.
#[tokio::test(flavor = "multi_thread")]
async fn entry_exits() {
    let read = stop_entry_within("entry_exits", &new_client(), 25_000).await;
    assert_eq!(read.expect("a whole answer"), 90_000);
}

/// Guards against the same failure over HTTP/2, where the caller sends window updates to the end.
#[tokio::test(flavor = "multi_thread")]
async fn entry_exits_http2() {
    let mut builder = Client::builder(TokioExecutor::new());
    builder.http2_only(true).http2_initial_stream_window_size(HTTP2_WINDOW);
    let read = stop_entry_within("entry_exits_http2", &builder.build_http(), 50_000).await;
    assert_eq!(read.expect("a whole answer"), 90_000);
}

/// Guards against a guard that starts more documents than its link carries before the entry daemon
/// that asks for them ends: their heads reach the callers, and their bodies are cut.
#[tokio::test(flavor = "multi_thread")]
async fn documents_within_stop() {
    ask_within_stop("documents_within_stop", 0).await;
}

/// Guards against the same failure at a guard that ends itself.
#[tokio::test(flavor = "multi_thread")]
async fn documents_at_leaving() {
    ask_within_stop("documents_at_leaving", 1).await;
}

/// Stops a daemon and asks for more documents than the link carries until its end.
async fn ask_within_stop(name: &str, daemon: usize) {
    let mut linked = LinkedFleet::start_timed(name, 8 * LINK_BUFFER, SHORT_STOP_TIMES).await;
    linked.link.outward.bytes_per_s.store(300_000, Ordering::SeqCst);
    let (client, entry) = (new_client(), linked.fleet.entry(0));
    let leaving = linked.fleet.daemons[daemon].take().expect("daemon");
    println!("{} SIGTERM of daemon {daemon}", now());
    leaving.signal("-TERM");
    let mut reads = Vec::new();
    for number in 0..DOCUMENTS {
        let url = format!("http://{entry}/documents?size=150000&has_length=true&tag=d{number}");
        let (client, request) = (client.clone(), Request::get(url).body(Full::default()));
        reads.push(tokio::spawn(async move {
            let answer = client.request(request.expect("a request")).await.expect("a head");
            let status = answer.status().as_u16();
            println!("{} caller has the head of document {number}: {status}", now());
            (status, read_body(answer.into_body()).await)
        }));
        tokio::time::sleep(DOCUMENT_INTERVAL).await;
    }
    let (mut whole, mut cut) = (0, Vec::new());
    for read in reads {
        match read.await.expect("the reader ends") {
            (200, Ok(_)) => whole += 1,
            (200, Err(err)) => cut.push(err),
            (status, read) => assert!(status == 503 && read.is_ok(), "{status}: {read:?}"),
        }
    }
    let (status, log) = tokio::task::block_in_place(|| leaving.join());
    println!("{} daemon {daemon} has exited: {status}", now());
    linked.print_logs(&log);
    assert!(cut.is_empty(), "{} of {DOCUMENTS} are cut, {whole} whole: {cut:?}", cut.len());
    assert!(whole > 0, "the link carries some");
}

/// Stops the entry daemon within an answer that a thin link carries to its caller.
async fn stop_entry_within(
    name: &str,
    client: &TestClient,
    bytes_per_s: u64,
) -> Result<usize, (usize, hyper::Error)> {
    let linked = LinkedFleet::start(name).await;
    let target: &'static OnceLock<SocketAddr> = Box::leak(Box::default());
    target.set(linked.fleet.entry(0).parse().expect("an address")).expect("set once");
    let callers_link = TestLink::new(LINK_BUFFER);
    callers_link.outward.bytes_per_s.store(bytes_per_s, Ordering::SeqCst);
    callers_link.outward.hold_after.store(65_000, Ordering::SeqCst);
    let entry = callers_link.start(target).await.to_string();
    let body = open_answer_with(client, &entry, "/?size=90000").await;
    linked.stop_and_read(0, body).await
}

/// Guards against answers that end with the table or the settings under which they began: many
/// routes are added, and both daemons read their settings again.
#[tokio::test(flavor = "multi_thread")]
async fn configuration_changes() {
    let linked = LinkedFleet::start("configuration_changes").await;
    linked.link.outward.bytes_per_s.store(30_000, Ordering::SeqCst);
    let body = open_answer(&linked.fleet.entry(0), "/?size=90000").await;
    let read = tokio::spawn(read_body(body));
    for daemon in 0..2 {
        linked.fleet.daemon(daemon).signal("-HUP");
    }
    tokio::task::block_in_place(|| linked.fleet.apply_more(ADDED_ROUTES));
    println!("{} routes are applied", now());
    let read = read.await.expect("the reader ends");
    wait_until("the routes", || read_in_force(&linked.fleet.ops(0)) == (2, 2)).await;
    println!("{} routes are in force", now());
    linked.print_logs("");
    assert_eq!(read.expect("a whole answer"), 90_000);
}
