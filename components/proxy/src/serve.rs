//! Listeners of the request path and their orderly shutdown, during which no request may be lost
//! with an unknown outcome.

use std::{
    convert::Infallible,
    future::Future,
    net::IpAddr,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicU8, Ordering},
    },
    time::Duration,
};

use futures::{
    FutureExt,
    future::{BoxFuture, Either},
};
use http::{HeaderMap, HeaderValue, Request, Response, Version, header};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{conn::auto, graceful::GracefulShutdown},
};
use sk_model::LimitSetting;
use tokio::{net::TcpListener, sync::watch, task::JoinHandle, time::Instant};

use crate::{
    answer::refuse_with_delay,
    body::{CallerBody, ProxyBody, error_chain},
    clock::transit_now,
    context::{ForwardContext, GuardContext},
    entry::is_repeatable,
    forward::forward,
    guard::handle_peer_request,
    lingering::{LingeringStream, ListenerActivity},
    outcome::RefusalKind,
    pipeline::{EarlyService, PipelineBudget, PipelineStream, RequestHead, Turn, TurnBody},
    server_calls::{CallerPeer, is_server_call},
    sockets::probe_accepted,
};

/// Pause after a failed accept, which usually means that no file descriptor is left.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);
/// Time in which a caller may stay idle and then send a whole head, where the configuration sets
/// no limits. Without a bound, connections that send a byte now and then would occupy all file
/// descriptors.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Shortest time between the first refusal and the close of connections. A client that still sends
/// receives the refusal and goes elsewhere. A request that met the close of its connection instead
/// would end with an unknown outcome for its sender, although it did not run.
const MIN_REFUSAL_TIME: Duration = Duration::from_millis(200);
/// Time at the end of a stop in which connections are closed, whether or not requests run ahead of
/// their turn on them.
const CLOSE_TIME: Duration = Duration::from_millis(100);
/// Largest head of a caller's request in bytes, unless the configuration allows more; a larger one is
/// answered with 431.
const ENTRY_HEAD_BYTES: u32 = 32 * 1024;
/// Largest head that a configuration can allow, in bytes. Each connection may hold one in memory.
const MAX_ENTRY_HEAD_BYTES: u32 = 256 * 1024;
/// Bytes of a head for which one line is allowed. The library prepares room for all lines of a head.
const BYTES_PER_LINE: u32 = 128;
/// Largest number of lines in a caller's head.
const MAX_HEAD_LINES: u32 = 1_024;
/// Largest head at the guard in bytes: a caller's, what the entry daemon adds, and the overhead that
/// HTTP/2 counts for each line.
const GUARD_HEAD_BYTES: u32 = MAX_ENTRY_HEAD_BYTES + 128 * 1024;
/// Concurrent requests on one connection of a caller.
const ENTRY_STREAMS: u32 = 256;
/// Concurrent requests from one daemon: all slots and queue places of a server several times over,
/// so that a daemon receives the guard's refusal and does not wait for a stream.
const GUARD_STREAMS: u32 = 1024;
/// Requests on one connection that may be reset before they are accepted. Many callers that share
/// a connection and leave at once exceed the library's default of 20, and the library would then
/// close the connection with all other requests on it. Each takes less than a kilobyte.
const ENTRY_RESETS: usize = 1024;
/// The same for a daemon, which is trusted and carries the callers of a whole instance.
const GUARD_RESETS: usize = 16 * 1024;
/// Bytes in flight of one request's body.
const STREAM_WINDOW: u32 = 256 * 1024;
/// The same for a body from another daemon, which may yet be refused, and behind which short calls
/// to the same instance wait.
const GUARD_STREAM_WINDOW: u32 = 16 * 1024;
/// Bytes of one answer that wait here for the link. The rest waits at the server, whose slot stays
/// taken, so that a full link counts like a full server.
const SEND_BUFFER: usize = 16 * 1024;
/// Bytes in flight of all bodies on one connection.
const CONNECTION_WINDOW: u32 = 2 * 1024 * 1024;

/// How far a listener's shutdown has come; the stored number is zero before the first stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
enum DrainStage {
    /// Accepts all requests, and asks callers to send the next ones elsewhere.
    Leaving = 1,
    /// Accepts only requests that belong to work in flight.
    Refusing = 2,
}

/// Shutdown stage of one listener, read by each of its requests.
#[derive(Debug, Default)]
struct DrainState {
    stage: AtomicU8,
    /// When requests were first refused.
    refused_at: OnceLock<Instant>,
}

impl DrainState {
    /// Enters a stage; a later one already reached stays.
    fn enter(&self, stage: DrainStage) {
        self.stage.fetch_max(stage as u8, Ordering::AcqRel);
    }

    /// Enters the refusing stage and returns when it was first entered.
    fn refuse_new(&self) -> Instant {
        self.enter(DrainStage::Refusing);
        *self.refused_at.get_or_init(Instant::now)
    }

    fn has_reached(&self, stage: DrainStage) -> bool {
        self.stage.load(Ordering::Acquire) >= stage as u8
    }
}

/// How a listener logs connections that fail.
#[derive(Clone, Copy, Debug)]
struct ListenerLog {
    /// Part that the lines name.
    name: &'static str,
    level: log::Level,
}

/// A caller that leaves within a request has a line of its own.
const ENTRY_LOG: ListenerLog = ListenerLog { name: "proxy", level: log::Level::Debug };
/// A failed connection of a daemon ends all answers on it.
const GUARD_LOG: ListenerLog = ListenerLog { name: "guard", level: log::Level::Info };

/// The peer of an accepted connection.
#[derive(Clone, Copy, Debug)]
struct AcceptedPeer {
    address: IpAddr,
    /// When the connection was accepted, on the clock of [`transit_now`].
    accepted_at: Duration,
    /// Whether the peer is on the same instance.
    is_local: bool,
}

impl AcceptedPeer {
    fn caller(&self) -> CallerPeer {
        CallerPeer { address: self.address, is_local: self.is_local }
    }
}

/// Returns whether a request belongs to work in flight, which a listener that stops still accepts.
type InFlightCheck = Arc<dyn Fn(&HeaderMap, CallerPeer) -> bool + Send + Sync>;

/// A running listener.
pub struct ListenerHandle {
    drain_state: Arc<DrainState>,
    activity: Arc<ListenerActivity>,
    /// When the listener stops accepting, the time until which connections wait for requests that
    /// run ahead of their turn.
    stop: watch::Sender<Option<Instant>>,
    task: JoinHandle<()>,
}

impl ListenerHandle {
    /// Continues to accept requests but asks callers to send the next ones elsewhere: answers over
    /// HTTP/1.1 have `Connection: close`. Without this step a caller's next request could meet the
    /// close of its connection.
    pub fn announce_shutdown(&self) {
        self.drain_state.enter(DrainStage::Leaving);
    }

    /// Refuses new requests as not run. Requests that services make for work in flight are still
    /// accepted, because that work could not be finished otherwise.
    pub fn refuse_new(&self) {
        self.drain_state.refuse_new();
    }

    /// Returns what happens on the listener's connections.
    pub fn activity(&self) -> Arc<ListenerActivity> {
        self.activity.clone()
    }

    /// Stops accepting, waits up to `bound` for requests in flight and for the peers to receive
    /// their answers, and returns whether all requests ended.
    pub async fn stop(self, bound: Duration) -> bool {
        let refused_at = self.drain_state.refuse_new();
        let end = Instant::now() + bound;
        let ahead_until = end.checked_sub(CLOSE_TIME.min(bound)).unwrap_or(end);
        let stop = async {
            tokio::time::sleep_until(refused_at + MIN_REFUSAL_TIME).await;
            self.stop.send_replace(Some(ahead_until));
            self.task.await
        };
        tokio::time::timeout(bound, stop).await.is_ok() || self.activity.is_all_sent()
    }
}

/// Serves callers on a listener.
pub fn serve_forward(listener: TcpListener, context: Arc<ForwardContext>) -> ListenerHandle {
    let server = build_server(ENTRY_HEAD_BYTES, ENTRY_STREAMS, ENTRY_RESETS);
    let table = context.table.clone();
    let limits = move || table.load().limits().map_or(USUAL_LIMITS, connection_limits);
    let drain_state = Arc::<DrainState>::default();
    let service = ForwardService { context: context.clone(), drain_state: drain_state.clone() };
    let early = Some((Arc::new(service) as Arc<dyn EarlyService>, Arc::default()));
    let of_servers = context.clone();
    let is_in_flight: InFlightCheck =
        Arc::new(move |headers, peer| is_server_call(&of_servers, headers, peer));
    let shutdown = (drain_state, is_in_flight);
    serve((ENTRY_LOG, listener), (server, limits), shutdown, early, move |request, peer| {
        forward(context.clone(), request.map(Some), peer.caller())
    })
}

/// Runs requests of callers ahead of their turn.
struct ForwardService {
    context: Arc<ForwardContext>,
    drain_state: Arc<DrainState>,
}

impl EarlyService for ForwardService {
    fn is_safe(&self, head: &RequestHead) -> bool {
        let table = self.context.table.load();
        let host = head.host.as_ref().and_then(|host| host.to_str().ok());
        let host = head.uri.authority().map(|authority| authority.as_str()).or(host);
        let route = table.find(host, head.uri.path());
        route.is_some_and(|route| is_repeatable(&head.method, route.setting, head.has_key))
    }

    fn is_open(&self) -> bool {
        !self.drain_state.has_reached(DrainStage::Leaving)
    }

    fn run(
        &self,
        request: Request<CallerBody>,
        caller: CallerPeer,
    ) -> BoxFuture<'static, Response<ProxyBody>> {
        forward(self.context.clone(), request, caller).boxed()
    }
}

/// Serves other daemons on a listener, on behalf of the local backend server.
pub fn serve_guard(listener: TcpListener, context: Arc<GuardContext>) -> ListenerHandle {
    let mut server = build_server(GUARD_HEAD_BYTES, GUARD_STREAMS, GUARD_RESETS).http2_only();
    // The library counts these over the life of a connection. Bodies that cross with an early
    // refusal count too, so a connection between two daemons would break after every thousand
    // refusals.
    server
        .http2()
        .max_local_error_reset_streams(None)
        .max_send_buf_size(SEND_BUFFER)
        .initial_stream_window_size(GUARD_STREAM_WINDOW);
    let is_in_flight: InFlightCheck = Arc::new(|_, _| false);
    let (server, shutdown) = ((server, || USUAL_LIMITS), (Arc::default(), is_in_flight));
    serve((GUARD_LOG, listener), server, shutdown, None, move |request, peer| {
        handle_peer_request(context.clone(), request, peer.accepted_at)
    })
}

/// Limits of one connection.
#[derive(Clone, Copy, Debug)]
struct ConnectionLimits {
    /// How long it may go without a whole head.
    idle: Duration,
    /// Largest head of a request over HTTP/1.1, in bytes.
    head_bytes: u32,
}

/// Limits where the configuration sets none.
const USUAL_LIMITS: ConnectionLimits =
    ConnectionLimits { idle: HEAD_TIMEOUT, head_bytes: ENTRY_HEAD_BYTES };

/// Returns the limits of a caller's connection. The library's timer starts at the end of the previous
/// answer, so it has to cover both times. A connection closed sooner, although its caller may still
/// use it, would fail the next request.
fn connection_limits(limits: &LimitSetting) -> ConnectionLimits {
    let head_bytes = u32::try_from(limits.max_head_bytes).unwrap_or(MAX_ENTRY_HEAD_BYTES);
    ConnectionLimits {
        idle: Duration::from_millis(limits.idle_timeout_ms.saturating_add(limits.head_timeout_ms)),
        head_bytes: head_bytes.clamp(ENTRY_HEAD_BYTES, MAX_ENTRY_HEAD_BYTES),
    }
}

type ServerBuilder = auto::Builder<TokioExecutor>;

/// Creates the HTTP server settings of a listener.
fn build_server(head_bytes: u32, streams: u32, resets: usize) -> ServerBuilder {
    let mut server = auto::Builder::new(TokioExecutor::new());
    server.http1().timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT);
    server
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(head_bytes)
        .max_concurrent_streams(streams)
        .max_pending_accept_reset_streams(resets)
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW);
    server
}

/// What starts requests of a listener ahead of their turn, and the bounds for it.
type EarlyParts = (Arc<dyn EarlyService>, Arc<PipelineBudget>);

/// Accepts connections in a task and passes their requests to `handle`, with the limits that a function
/// returns for each connection.
fn serve<L, H, F>(
    listener: (ListenerLog, TcpListener),
    server: (ServerBuilder, L),
    (drain_state, is_in_flight): (Arc<DrainState>, InFlightCheck),
    early: Option<EarlyParts>,
    handle: H,
) -> ListenerHandle
where
    L: Fn() -> ConnectionLimits + Send + 'static,
    H: Fn(Request<Incoming>, AcceptedPeer) -> F + Clone + Send + 'static,
    F: Future<Output = Response<ProxyBody>> + Send + 'static,
{
    let stop = watch::Sender::new(None);
    let activity = Arc::new(ListenerActivity::default());
    let accept = accept_until_stopped(
        listener,
        server,
        (handle, early),
        (drain_state.clone(), is_in_flight, activity.clone()),
        stop.subscribe(),
    );
    ListenerHandle { drain_state, activity, stop, task: tokio::spawn(accept) }
}

/// Accepts connections until stopped, then waits for the requests in flight.
async fn accept_until_stopped<L, H, F>(
    (listener_log, listener): (ListenerLog, TcpListener),
    (mut server, limits): (ServerBuilder, L),
    (handle, early): (H, Option<EarlyParts>),
    (drain_state, is_in_flight, activity): (Arc<DrainState>, InFlightCheck, Arc<ListenerActivity>),
    mut stopped: watch::Receiver<Option<Instant>>,
) where
    L: Fn() -> ConnectionLimits + Send + 'static,
    H: Fn(Request<Incoming>, AcceptedPeer) -> F + Clone + Send + 'static,
    F: Future<Output = Response<ProxyBody>> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(Option::is_some) => break,
        };
        let (stream, peer) = match accepted {
            Ok((stream, address)) => {
                let address = address.ip();
                let is_own = stream.local_addr().is_ok_and(|own| own.ip() == address);
                let is_local = is_own || address.is_loopback();
                (stream, AcceptedPeer { address, accepted_at: transit_now(), is_local })
            }
            Err(err) => {
                log::warn!("proxy: cannot accept a connection: {err}.");
                tokio::time::sleep(ACCEPT_RETRY).await;
                continue;
            }
        };
        // Small answers must not wait for the peer's delayed acknowledgement.
        let _ = stream.set_nodelay(true);
        probe_accepted(&stream);
        let (handle, drain, drain_state, is_in_flight) =
            (handle.clone(), drain_state.clone(), drain_state.clone(), is_in_flight.clone());
        let stream = LingeringStream::new(stream, activity.clone());
        let (stream, link) = match &early {
            Some((service, budget)) => {
                let parts = (service.clone(), budget.clone());
                let (stream, link) = PipelineStream::pipelined(stream, parts, peer.caller());
                (stream, Some(link))
            }
            None => (PipelineStream::plain(stream), None),
        };
        let service = service_fn(move |request| {
            let turn = link.as_ref().and_then(|link| Turn::begin(link, &request));
            let shutdown = (&drain_state, &is_in_flight);
            let answer = answer_in_turn(&handle, shutdown, (request, turn), peer);
            async move { Ok::<_, Infallible>(answer.await) }
        });
        // Limits may have changed since the previous connection.
        let ConnectionLimits { idle, head_bytes } = limits();
        let lines = (head_bytes / BYTES_PER_LINE).min(MAX_HEAD_LINES);
        server
            .http1()
            .header_read_timeout(idle)
            .max_buf_size(head_bytes as usize)
            .max_headers(lines as usize);
        let connection = server.serve_connection(TokioIo::new(stream), service).into_owned();
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            if let Err(err) = connection.await {
                let draining = drain.has_reached(DrainStage::Leaving);
                let err = error_chain(&*err);
                let ListenerLog { name, level } = listener_log;
                log::log!(level, draining; "{name}: connection from {} failed: {err}.", peer.address);
            }
        });
    }
    drop(listener);
    // The library closes each connection after its current answer, also if requests behind it run.
    let ahead_until = *stopped.borrow();
    if let Some(((_, budget), until)) = early.zip(ahead_until) {
        let _ = tokio::time::timeout_at(until, budget.wait_idle()).await;
    }
    graceful.shutdown().await;
}

/// Handles one request in its turn on its connection, or joins it if it is already running. Refuses
/// it if the listener is shutting down.
fn answer_in_turn<H, F>(
    handle: &H,
    (drain_state, is_in_flight): (&Arc<DrainState>, &InFlightCheck),
    (mut request, mut turn): (Request<Incoming>, Option<Turn>),
    peer: AcceptedPeer,
) -> impl Future<Output = Response<TurnBody>> + Send + use<H, F>
where
    H: Fn(Request<Incoming>, AcceptedPeer) -> F,
    F: Future<Output = Response<ProxyBody>> + Send + 'static,
{
    let is_http1 = request.version() == Version::HTTP_11;
    let is_refused = drain_state.has_reached(DrainStage::Refusing)
        && !is_in_flight(request.headers(), peer.caller());
    if let Some(place) = turn.as_ref().and_then(Turn::place) {
        request.extensions_mut().insert(place);
    }
    let answer = match turn.as_mut().and_then(Turn::take_started) {
        Some(started) => Some(Either::Left(started)),
        None if is_refused => None,
        // Boxed, because the library reserves room for a whole future in each connection, also an
        // idle one.
        None => Some(Either::Right(Box::pin(handle(request, peer)))),
    };
    let drain_state = drain_state.clone();
    async move {
        let mut response = match answer {
            Some(answer) => answer.await,
            None => refuse_with_delay(RefusalKind::Draining, Duration::ZERO),
        };
        let is_last = !turn.as_ref().is_some_and(Turn::has_started_behind);
        if is_http1 && is_last && drain_state.has_reached(DrainStage::Leaving) {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        match turn {
            Some(turn) => turn.end(response),
            None => response.map(TurnBody::without_turn),
        }
    }
}
