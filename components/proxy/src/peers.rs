//! Connections to the guards of other daemons: one HTTP/2 connection to each, opened on demand,
//! with pings that detect a peer that has gone silent.

use std::{
    collections::HashMap,
    io,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use futures::{
    FutureExt,
    future::{BoxFuture, Shared},
};
use http::{HeaderMap, Request, Response, Uri, uri::Authority};
use hyper::{
    body::Incoming,
    client::conn::http2::{self, SendRequest},
};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use sk_decide::transit_time::{AnswerClock, LinkOpening, MAX_CLOCKS};
use thiserror::Error;
use tokio::{net::TcpStream, time::Instant};

use crate::{
    body::{ProxyBody, error_chain},
    call::{GuardCall, GuardToken},
    clock::{time_since_start, transit_now, whole_micros},
    hints::read_clock,
    sockets::probe_opened,
};

/// Time for a connection to another instance to open. Five round trips between regions; an
/// instance that is gone answers nothing at all.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between pings while requests are in flight. An instance that lost power sends no reset;
/// without pings each request to it would wait for its whole deadline.
const PING_INTERVAL: Duration = Duration::from_secs(2);
/// Time after which an unanswered ping counts as lost.
const PING_TIMEOUT: Duration = Duration::from_secs(3);
/// Idle time after which a connection is closed when another is opened, so that a daemon does not
/// keep a connection to each other daemon forever.
const PEER_IDLE_LIMIT: Duration = Duration::from_secs(60);
/// Largest head of an answer, in bytes.
const MAX_HEAD_BYTES: u32 = 64 * 1024;
/// Bytes in flight of one answer. Bounds the memory that a slow caller occupies here, and the
/// bytes of a large answer that delay short ones on a slow link: 18 ms at 7.5 Mbit/s. Within a
/// region, where a round trip takes two milliseconds, it still allows 8 megabytes per second.
const STREAM_WINDOW: u32 = 16 * 1024;
/// Bytes in flight of all answers of one peer.
const CONNECTION_WINDOW: u32 = 2 * 1024 * 1024;

/// Requests of departed callers that are remembered, so that frames of answers that cross with
/// their resets are ignored. For a forgotten request the library answers each frame with a reset,
/// counts these resets over the life of the connection, and by default closes the connection at
/// the thousandth, with all requests on it. That count is disabled towards daemons, which are
/// trusted.
const REMEMBERED_RESETS: usize = 1024;

/// Connections that are tried for one request: one that may have ended unnoticed, and a new one. A
/// request that was sent is not sent again here.
const MAX_CONNECTIONS_TRIED: u32 = 2;

/// Why there is no connection to another daemon.
#[derive(Clone, Debug, Error)]
pub(crate) enum PeerConnectError {
    /// The guard does not accept the connection or cannot be reached.
    #[error("connection failed: {0}")]
    Refused(Arc<io::Error>),
    /// The connection did not open in time.
    #[error("connection did not open in time")]
    Timeout,
    /// The connection failed before anything was sent.
    #[error("connection ended: {0}")]
    Ended(Arc<hyper::Error>),
    /// Each connection was closed as soon as it was open.
    #[error("connections are closed as soon as they are open")]
    Closed,
}

/// Why a request to another daemon has no answer.
#[derive(Debug, Error)]
pub(crate) enum PeerError {
    /// No byte of the request was sent.
    #[error(transparent)]
    Unsent(PeerConnectError),
    /// The request may have been sent.
    #[error(transparent)]
    Lost(hyper::Error),
}

/// An open connection to one guard.
#[derive(Clone)]
struct PeerConnection {
    sender: SendRequest<ProxyBody>,
    opening: LinkOpening,
}

type ConnectionFuture = Shared<BoxFuture<'static, Result<PeerConnection, PeerConnectError>>>;

/// A connection that is open or being opened, shared by the requests to one guard.
#[derive(Clone)]
struct SharedConnection {
    connection: ConnectionFuture,
    /// Time of the last use, in microseconds on the process's clock.
    used_us: Arc<AtomicU64>,
}

type ConnectionMap = HashMap<Authority, SharedConnection>;

/// Sends requests to guards, over one HTTP/2 connection to each.
#[derive(Clone)]
pub struct PeerClient {
    connections: Arc<ArcSwap<ConnectionMap>>,
    /// Clocks of the guards, as their answers show them.
    clocks: Arc<Mutex<HashMap<Authority, AnswerClock>>>,
    token: GuardToken,
}

impl PeerClient {
    /// Creates a client without connections.
    pub fn new(token: GuardToken) -> Self {
        Self { connections: Arc::default(), clocks: Arc::default(), token }
    }

    /// Sends a request to a guard and returns the head of its answer.
    ///
    /// # Errors
    ///
    /// Returns a [`PeerError`], which states whether anything was sent.
    pub(crate) async fn send(
        &self,
        request: Request<ProxyBody>,
        mut call: GuardCall,
        guard: &Authority,
    ) -> Result<Response<Incoming>, PeerError> {
        let response = self
            .send_on(request, guard, |headers, waited, opening| {
                let clock = self.lock_clocks().get(guard).copied();
                call.mark_sent(waited, opening, clock.as_ref());
                call.write(headers);
            })
            .await?;
        self.record_clock(guard, &response);
        Ok(response)
    }

    /// Sends a request that is meant for a daemon itself and returns the head of its answer.
    ///
    /// # Errors
    ///
    /// Returns a [`PeerError`], which states whether anything was sent.
    pub(crate) async fn send_plain(
        &self,
        request: Request<ProxyBody>,
        guard: &Authority,
    ) -> Result<Response<Incoming>, PeerError> {
        self.send_on(request, guard, |_, _, _| ()).await
    }

    /// Sends a request on the connection to a guard. `stamp` completes its head, each time that it is
    /// sent, with the time that it has waited and the opening of the connection.
    async fn send_on(
        &self,
        mut request: Request<ProxyBody>,
        guard: &Authority,
        mut stamp: impl FnMut(&mut HeaderMap, Duration, LinkOpening),
    ) -> Result<Response<Incoming>, PeerError> {
        address_to(&mut request, guard);
        self.token.write(request.headers_mut());
        let mut ended = PeerConnectError::Closed;
        for _ in 0..MAX_CONNECTIONS_TRIED {
            let asked_at = Instant::now();
            let shared = self.connection_to(guard);
            let connection =
                shared.connection.clone().await.inspect_err(|_| self.remove(guard, &shared));
            let mut connection = connection.map_err(PeerError::Unsent)?;
            if connection.sender.is_closed() {
                self.remove(guard, &shared);
                continue;
            }
            stamp(request.headers_mut(), asked_at.elapsed(), connection.opening);
            let mut failure = match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok(response),
                Err(failure) => failure,
            };
            let unsent = failure.take_message();
            let err = failure.into_error();
            match unsent {
                Some(unsent) => request = unsent,
                None => return Err(PeerError::Lost(err)),
            }
            self.remove(guard, &shared);
            ended = PeerConnectError::Ended(Arc::new(err));
        }
        Err(PeerError::Unsent(ended))
    }

    /// Records what an answer shows of its guard's clock.
    fn record_clock(&self, guard: &Authority, response: &Response<Incoming>) {
        let Some((clock, sent_at)) = read_clock(response.headers()) else { return };
        let now = transit_now();
        let mut clocks = self.lock_clocks();
        if clocks.len() >= MAX_CLOCKS && !clocks.contains_key(guard) {
            clocks.clear();
        }
        clocks
            .entry(guard.clone())
            .and_modify(|known| known.record_answer(clock, sent_at, now))
            .or_insert_with(|| AnswerClock::new(clock, sent_at, now));
    }

    fn lock_clocks(&self) -> MutexGuard<'_, HashMap<Authority, AnswerClock>> {
        self.clocks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the connection to a guard, which is opened if there is none.
    fn connection_to(&self, guard: &Authority) -> SharedConnection {
        if let Some(shared) = self.connections.load().get(guard) {
            shared.touch();
            return shared.clone();
        }
        let new = SharedConnection::open(guard.clone());
        let before = self.connections.rcu(|connections| {
            let mut connections = ConnectionMap::clone(connections);
            connections.retain(|_, shared| !shared.is_idle());
            connections.entry(guard.clone()).or_insert_with(|| new.clone());
            connections
        });
        match before.get(guard) {
            // Another request has started to open one meanwhile.
            Some(shared) => shared.clone(),
            None => {
                // Continues when the request that asked for it ends, because others wait for it
                // too.
                tokio::spawn(new.connection.clone());
                new
            }
        }
    }

    /// Removes a connection that is no longer usable, unless another has replaced it.
    fn remove(&self, guard: &Authority, shared: &SharedConnection) {
        self.connections.rcu(|connections| {
            let mut connections = ConnectionMap::clone(connections);
            if connections
                .get(guard)
                .is_some_and(|current| current.connection.ptr_eq(&shared.connection))
            {
                connections.remove(guard);
            }
            connections
        });
    }
}

impl SharedConnection {
    fn open(guard: Authority) -> Self {
        let shared =
            Self { connection: open_connection(guard).boxed().shared(), used_us: Arc::default() };
        shared.touch();
        shared
    }

    /// Records a use now.
    fn touch(&self) {
        self.used_us.store(whole_micros(time_since_start()), Ordering::Relaxed);
    }

    fn is_idle(&self) -> bool {
        let used = Duration::from_micros(self.used_us.load(Ordering::Relaxed));
        time_since_start().saturating_sub(used) >= PEER_IDLE_LIMIT
    }
}

/// Addresses a request to a guard, over HTTP/2.
fn address_to(request: &mut Request<ProxyBody>, guard: &Authority) {
    let mut parts = std::mem::take(request.uri_mut()).into_parts();
    parts.scheme = Some(http::uri::Scheme::HTTP);
    parts.authority = Some(guard.clone());
    parts.path_and_query.get_or_insert_with(|| http::uri::PathAndQuery::from_static("/"));
    *request.uri_mut() = Uri::from_parts(parts).expect("scheme, authority and path are set");
    *request.version_mut() = http::Version::HTTP_2;
}

/// Opens an HTTP/2 connection to a guard.
async fn open_connection(guard: Authority) -> Result<PeerConnection, PeerConnectError> {
    let began = transit_now();
    let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(guard.as_str())).await;
    let stream = connect
        .map_err(|_| PeerConnectError::Timeout)?
        .map_err(|err| PeerConnectError::Refused(Arc::new(err)))?;
    let opening = LinkOpening { began, took: transit_now().saturating_sub(began) };
    // A small request must not wait for the acknowledgement of the one before.
    stream.set_nodelay(true).map_err(|err| PeerConnectError::Refused(Arc::new(err)))?;
    probe_opened(&stream);
    let (sender, connection) = http2::Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_header_list_size(MAX_HEAD_BYTES)
        .max_concurrent_reset_streams(REMEMBERED_RESETS)
        .max_local_error_reset_streams(None)
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|err| PeerConnectError::Ended(Arc::new(err)))?;
    tokio::spawn(async move {
        if let Err(err) = connection.await {
            let err = error_chain(&err);
            log::info!("proxy: the connection to guard {guard} failed: {err}.");
        }
    });
    Ok(PeerConnection { sender, opening })
}
