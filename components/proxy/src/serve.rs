//! Listeners of the request path.

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

use http::{HeaderValue, Request, Response, Version, header};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{conn::auto, graceful::GracefulShutdown},
};
use sk_model::LimitSetting;
use tokio::{net::TcpListener, sync::watch, task::JoinHandle, time::Instant};

use crate::{
    answer::refuse_until,
    body::ProxyBody,
    clock::trip_now,
    context::{ForwardContext, GuardContext},
    forward::forward,
    guard::guard,
    headers::is_nested,
    outcome::RefusalKind,
    sockets::watch_accepted,
};

/// Pause after a failed accept, which usually means that no file descriptor is left.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);
/// Time for a caller to stay idle and then to send a whole head, where the configuration sets no
/// limits. Without a bound, connections that send a byte now and then would hold all file
/// descriptors.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between the first refusal and the end of connections. Whoever still sends hears of the
/// refusal and goes elsewhere. A request that met the end of its connection instead would be lost
/// with an outcome that its sender cannot know, although it did not run.
const REFUSE_TIME: Duration = Duration::from_millis(200);
/// Largest head of a caller's request; a larger one is answered with 431.
const ENTRY_HEAD_BYTES: u32 = 32 * 1024;
/// Largest head at the guard: a caller's and what the daemon of entry adds.
const GUARD_HEAD_BYTES: u32 = 64 * 1024;
/// Requests at once on one connection of a caller.
const ENTRY_STREAMS: u32 = 256;
/// Requests at once from one daemon: all slots and queue places of a server several times over, so
/// that the guard's refusal, not a wait for a stream, is what a daemon gets.
const GUARD_STREAMS: u32 = 1024;
/// Requests on one connection whose sender left before they were looked at. A herd of leaving
/// callers, who share a connection, passes the library's default of 20 at once, and it would then
/// end the connection with all other requests on it. Each takes less than a kilobyte.
const ENTRY_RESETS: usize = 1024;
/// The same for a daemon, which is trusted and brings the callers of a whole instance.
const GUARD_RESETS: usize = 16 * 1024;
/// Bytes in flight of one request's body.
const STREAM_WINDOW: u32 = 256 * 1024;
/// The same for a body that another daemon sends, which may yet be refused, and which short calls to the
/// same instance stand behind.
const GUARD_STREAM_WINDOW: u32 = 16 * 1024;
/// Bytes of one answer that wait here for the link. The rest waits at the server, whose slot stays
/// taken, so that a link that is full counts like a full server.
const SEND_BUFFER: usize = 16 * 1024;
/// Bytes in flight of all bodies on one connection.
const CONNECTION_WINDOW: u32 = 2 * 1024 * 1024;

/// How far a listener has come on its way out; zero before the first of these.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
enum DrainStage {
    /// Takes all, and asks callers to go elsewhere with the next.
    Leaving = 1,
    /// Takes only what belongs to work in flight.
    Refusing = 2,
}

/// The stage of one listener, read by each of its requests.
#[derive(Debug, Default)]
struct DrainSwitch {
    stage: AtomicU8,
    /// When requests were first refused.
    refused_at: OnceLock<Instant>,
}

impl DrainSwitch {
    fn set(&self, stage: DrainStage) {
        self.stage.fetch_max(stage as u8, Ordering::AcqRel);
    }

    fn refuse_new(&self) -> Instant {
        self.set(DrainStage::Refusing);
        *self.refused_at.get_or_init(Instant::now)
    }

    fn has_reached(&self, stage: DrainStage) -> bool {
        self.stage.load(Ordering::Acquire) >= stage as u8
    }
}

/// The other end of a connection.
#[derive(Clone, Copy, Debug)]
struct AcceptedPeer {
    address: IpAddr,
    /// When it was accepted, on the clock that trips are measured by.
    accepted_at: Duration,
}

/// A running listener.
pub struct ServeHandle {
    switch: Arc<DrainSwitch>,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl ServeHandle {
    /// Goes on taking requests but asks callers to send the next ones elsewhere: answers over
    /// HTTP/1.1 say `Connection: close`. Without this step a caller's next request could meet the
    /// end of its connection.
    pub fn leave(&self) {
        self.switch.set(DrainStage::Leaving);
    }

    /// Refuses new requests as not run. Those that services make for work in flight are still
    /// taken, or the work could not be finished.
    pub fn refuse_new(&self) {
        self.switch.refuse_new();
    }

    /// Accepts no more, waits up to `bound` for requests in flight, and tells whether all ended.
    pub async fn stop(self, bound: Duration) -> bool {
        let refused_at = self.switch.refuse_new();
        let stop = async {
            tokio::time::sleep_until(refused_at + REFUSE_TIME).await;
            self.stop.send_replace(true);
            self.task.await
        };
        tokio::time::timeout(bound, stop).await.is_ok()
    }
}

/// Serves callers.
pub fn serve_forward(listener: TcpListener, context: Arc<ForwardContext>) -> ServeHandle {
    let server = build_server(ENTRY_HEAD_BYTES, ENTRY_STREAMS, ENTRY_RESETS);
    let table = context.table.clone();
    let idle = move || table.load().limits().map_or(HEAD_TIMEOUT, idle_limit);
    serve(listener, server, idle, move |request, peer| {
        forward(context.clone(), request, peer.address)
    })
}

/// Serves other daemons on behalf of the local backend server.
pub fn serve_guard(listener: TcpListener, context: Arc<GuardContext>) -> ServeHandle {
    let mut server = build_server(GUARD_HEAD_BYTES, GUARD_STREAMS, GUARD_RESETS).http2_only();
    // Counted over the life of a connection: bodies that cross with an early refusal count, so that
    // a connection between two daemons would break every thousand refusals.
    server
        .http2()
        .max_local_error_reset_streams(None)
        .max_send_buf_size(SEND_BUFFER)
        .initial_stream_window_size(GUARD_STREAM_WINDOW);
    serve(
        listener,
        server,
        || HEAD_TIMEOUT,
        move |request, peer| guard(context.clone(), request, peer.accepted_at),
    )
}

/// Gives how long a caller's connection may be without a whole head. The library's timer runs from
/// the end of the answer before, so it has to hold both limits: closed sooner, a connection that its
/// caller has a right to would meet the next request with its end.
fn idle_limit(limits: &LimitSetting) -> Duration {
    Duration::from_millis(limits.idle_timeout_ms.saturating_add(limits.head_timeout_ms))
}

type ServerBuilder = auto::Builder<TokioExecutor>;

fn build_server(head_bytes: u32, streams: u32, resets: usize) -> ServerBuilder {
    let mut server = auto::Builder::new(TokioExecutor::new());
    server
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(head_bytes as usize);
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

fn serve<L, H, F>(listener: TcpListener, server: ServerBuilder, idle: L, handle: H) -> ServeHandle
where
    L: Fn() -> Duration + Send + 'static,
    H: Fn(Request<Incoming>, AcceptedPeer) -> F + Clone + Send + 'static,
    F: Future<Output = Response<ProxyBody>> + Send + 'static,
{
    let stop = watch::Sender::new(false);
    let switch = Arc::new(DrainSwitch::default());
    let accept = accept_forever(listener, (server, idle), handle, switch.clone(), stop.subscribe());
    ServeHandle { switch, stop, task: tokio::spawn(accept) }
}

async fn accept_forever<L, H, F>(
    listener: TcpListener,
    (mut server, idle): (ServerBuilder, L),
    handle: H,
    switch: Arc<DrainSwitch>,
    mut stopped: watch::Receiver<bool>,
) where
    L: Fn() -> Duration + Send + 'static,
    H: Fn(Request<Incoming>, AcceptedPeer) -> F + Clone + Send + 'static,
    F: Future<Output = Response<ProxyBody>> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|stop| *stop) => break,
        };
        let (stream, peer) = match accepted {
            Ok((stream, address)) => {
                (stream, AcceptedPeer { address: address.ip(), accepted_at: trip_now() })
            }
            Err(err) => {
                log::warn!("proxy: cannot accept: {err}.");
                tokio::time::sleep(ACCEPT_RETRY).await;
                continue;
            }
        };
        // Small answers must not wait for the peer's delayed acknowledgement.
        let _ = stream.set_nodelay(true);
        watch_accepted(&stream);
        let (handle, switch) = (handle.clone(), switch.clone());
        let service = service_fn(move |request| {
            let answer = answer(&handle, &switch, request, peer);
            async move { Ok::<_, Infallible>(answer.await) }
        });
        // Limits may have changed since the connection before.
        server.http1().header_read_timeout(idle());
        let connection = server.serve_connection(TokioIo::new(stream), service).into_owned();
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            if let Err(err) = connection.await {
                log::debug!("proxy: a connection ended: {err}.");
            }
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

fn answer<H, F>(
    handle: &H,
    switch: &Arc<DrainSwitch>,
    request: Request<Incoming>,
    peer: AcceptedPeer,
) -> impl Future<Output = Response<ProxyBody>> + Send + use<H, F>
where
    H: Fn(Request<Incoming>, AcceptedPeer) -> F,
    F: Future<Output = Response<ProxyBody>> + Send + 'static,
{
    let is_http1 = request.version() == Version::HTTP_11;
    let is_refused = switch.has_reached(DrainStage::Refusing) && !is_nested(request.headers());
    // Boxed, as the library keeps room for a whole future in each connection, also an idle one.
    let answer = (!is_refused).then(|| Box::pin(handle(request, peer)));
    let switch = switch.clone();
    async move {
        let mut response = match answer {
            Some(answer) => answer.await,
            None => refuse_until(RefusalKind::Draining, Duration::ZERO),
        };
        if is_http1 && switch.has_reached(DrainStage::Leaving) {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}
