//! Connections to the guards of other daemons.

use std::{
    collections::HashMap,
    io,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use futures::{
    FutureExt,
    future::{BoxFuture, Shared},
};
use http::{Request, Response, Uri, uri::Authority};
use hyper::{
    body::Incoming,
    client::conn::http2::{self, SendRequest},
};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use sk_decide::trip::LinkOpening;
use thiserror::Error;
use tokio::{net::TcpStream, time::Instant};

use crate::{
    body::ProxyBody,
    call::{GuardCall, GuardToken},
    clock::{process_now, trip_now, whole_micros},
    sockets::watch_silence,
};

/// Time for a connection to another instance. Five round trips between regions; an instance that
/// is gone answers nothing at all.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between pings while requests are in flight. An instance that lost its power sends no reset;
/// without pings each request to it would wait for its whole deadline.
const PING_INTERVAL: Duration = Duration::from_secs(2);
/// Time until a ping counts as lost.
const PING_TIMEOUT: Duration = Duration::from_secs(3);
/// Idle time after which a connection is closed when another is opened, so that a daemon does not hold
/// one to each other for good.
const IDLE_LIMIT: Duration = Duration::from_secs(60);
/// Largest head of an answer, in bytes.
const MAX_HEAD_BYTES: u32 = 64 * 1024;
/// Bytes in flight of one answer. Bounds what a slow caller holds in memory here, and what a large
/// answer puts before short ones on a slow link: 18 ms at 7.5 Mbit/s. Within a region, where a round
/// trip takes two milliseconds, it still lets 8 megabytes a second through.
const STREAM_WINDOW: u32 = 16 * 1024;
/// Bytes in flight of all answers of one peer.
const CONNECTION_WINDOW: u32 = 2 * 1024 * 1024;

/// Departed callers' requests that are remembered, so that frames of answers which cross with their
/// resets are dropped in silence. Those forgotten are answered with a reset each, which the library
/// counts over the life of the connection and by default ends it at the thousandth, with all
/// requests on it; that count is switched off towards daemons, which are trusted.
const REMEMBERED_RESETS: usize = 1024;

/// Connections that are tried for one request: one that may have ended unnoticed, and a new one. A
/// request that was sent is not sent again here.
const MOST_LINKS: u32 = 2;

/// Why no connection to another daemon was had.
#[derive(Clone, Debug, Error)]
pub(crate) enum LinkError {
    /// Nobody listens there, or nobody can be reached.
    #[error("not connected: {0}")]
    Refused(Arc<io::Error>),
    /// No answer in time.
    #[error("not connected in time")]
    Timeout,
    /// The connection failed before anything was sent.
    #[error("connection ended: {0}")]
    Ended(Arc<hyper::Error>),
    /// Each connection was closed as soon as it was open.
    #[error("connections are closed at once")]
    Closed,
}

/// Why a request to another daemon has no answer.
#[derive(Debug, Error)]
pub(crate) enum PeerError {
    /// Nothing of it was sent.
    #[error(transparent)]
    Unsent(LinkError),
    /// It may have been sent.
    #[error(transparent)]
    Lost(hyper::Error),
}

/// A connection to one guard.
#[derive(Clone)]
struct PeerLink {
    sender: SendRequest<ProxyBody>,
    opening: LinkOpening,
}

type LinkFuture = Shared<BoxFuture<'static, Result<PeerLink, LinkError>>>;

/// A connection that is open or being opened.
#[derive(Clone)]
struct PeerEntry {
    link: LinkFuture,
    /// Microsecond on the process's clock at which it was last asked for.
    used_us: Arc<AtomicU64>,
}

type EntryMap = HashMap<Authority, PeerEntry>;

/// Sends requests to guards, over one HTTP/2 connection to each.
#[derive(Clone)]
pub struct PeerClient {
    entries: Arc<ArcSwap<EntryMap>>,
    token: GuardToken,
}

impl PeerClient {
    /// Makes a client without connections.
    pub fn new(token: GuardToken) -> Self {
        Self { entries: Arc::default(), token }
    }

    /// Sends a request to a guard and gives the head of its answer.
    ///
    /// # Errors
    ///
    /// Returns a [`PeerError`], which tells whether anything was sent.
    pub(crate) async fn send(
        &self,
        mut request: Request<ProxyBody>,
        mut call: GuardCall,
        guard: &Authority,
    ) -> Result<Response<Incoming>, PeerError> {
        address_to(&mut request, guard);
        self.token.write(request.headers_mut());
        let mut ended = LinkError::Closed;
        for _ in 0..MOST_LINKS {
            let asked_at = Instant::now();
            let entry = self.entry(guard);
            let link = entry.link.clone().await.inspect_err(|_| self.remove(guard, &entry));
            let mut link = link.map_err(PeerError::Unsent)?;
            if link.sender.is_closed() {
                self.remove(guard, &entry);
                continue;
            }
            call.depart(asked_at.elapsed(), link.opening);
            call.write(request.headers_mut());
            let mut failure = match link.sender.try_send_request(request).await {
                Ok(response) => return Ok(response),
                Err(failure) => failure,
            };
            let unsent = failure.take_message();
            let err = failure.into_error();
            match unsent {
                Some(unsent) => request = unsent,
                None => return Err(PeerError::Lost(err)),
            }
            self.remove(guard, &entry);
            ended = LinkError::Ended(Arc::new(err));
        }
        Err(PeerError::Unsent(ended))
    }

    /// Gives the connection to a guard, which is opened if there is none.
    fn entry(&self, guard: &Authority) -> PeerEntry {
        if let Some(entry) = self.entries.load().get(guard) {
            entry.touch();
            return entry.clone();
        }
        let new = PeerEntry::open(guard.clone());
        let before = self.entries.rcu(|entries| {
            let mut entries = EntryMap::clone(entries);
            entries.retain(|_, entry| !entry.is_idle());
            entries.entry(guard.clone()).or_insert_with(|| new.clone());
            entries
        });
        match before.get(guard) {
            // Another request has begun to open one meanwhile.
            Some(entry) => entry.clone(),
            None => {
                // Goes on when the request that asked for it ends: others wait for it too.
                tokio::spawn(new.link.clone());
                new
            }
        }
    }

    /// Removes a connection that is no longer of use, unless another has taken its place.
    fn remove(&self, guard: &Authority, entry: &PeerEntry) {
        self.entries.rcu(|entries| {
            let mut entries = EntryMap::clone(entries);
            if entries.get(guard).is_some_and(|held| held.link.ptr_eq(&entry.link)) {
                entries.remove(guard);
            }
            entries
        });
    }
}

impl PeerEntry {
    fn open(guard: Authority) -> Self {
        let entry = Self { link: open_link(guard).boxed().shared(), used_us: Arc::default() };
        entry.touch();
        entry
    }

    fn touch(&self) {
        self.used_us.store(whole_micros(process_now()), Ordering::Relaxed);
    }

    fn is_idle(&self) -> bool {
        let used = Duration::from_micros(self.used_us.load(Ordering::Relaxed));
        process_now().saturating_sub(used) >= IDLE_LIMIT
    }
}

/// Addresses a request to a guard, over HTTP/2.
fn address_to(request: &mut Request<ProxyBody>, guard: &Authority) {
    let mut parts = std::mem::take(request.uri_mut()).into_parts();
    parts.scheme = Some(http::uri::Scheme::HTTP);
    parts.authority = Some(guard.clone());
    parts.path_and_query.get_or_insert_with(|| http::uri::PathAndQuery::from_static("/"));
    *request.uri_mut() = Uri::from_parts(parts).expect("scheme, authority and path are there");
    *request.version_mut() = http::Version::HTTP_2;
}

async fn open_link(guard: Authority) -> Result<PeerLink, LinkError> {
    let began = trip_now();
    let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(guard.as_str())).await;
    let stream = connect
        .map_err(|_| LinkError::Timeout)?
        .map_err(|err| LinkError::Refused(Arc::new(err)))?;
    let opening = LinkOpening { began, took: trip_now().saturating_sub(began) };
    // A small request must not wait for the acknowledgement of the one before.
    stream.set_nodelay(true).map_err(|err| LinkError::Refused(Arc::new(err)))?;
    watch_silence(&stream);
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
        .map_err(|err| LinkError::Ended(Arc::new(err)))?;
    tokio::spawn(async move {
        if let Err(err) = connection.await {
            log::debug!("proxy: a connection to {guard} ended: {err}.");
        }
    });
    Ok(PeerLink { sender, opening })
}
