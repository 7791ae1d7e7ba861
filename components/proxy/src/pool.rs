//! Connections to the local backend server: limited in number, opened at a bounded pace, and
//! reused only after an answer was read completely.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use sk_decide::{
    idle_limit::{IdleLimit, MAX_IDLE},
    pacing::{ConnectPacer, ConnectVerdict, PacerSettings},
};
use thiserror::Error;
use tokio::{net::TcpStream, sync::Notify};

use crate::{body::ProxyBody, clock::time_since_start, sockets::probe_local};

/// Time for a connection to open. The server is on the same instance: it answers in a fraction of
/// a millisecond or is not running.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Why there is no connection. Nothing was sent.
#[derive(Debug, Error)]
pub(crate) enum ConnectError {
    /// The server does not accept connections.
    #[error("server does not accept connections: {0}")]
    Refused(#[from] std::io::Error),
    /// The server does not accept a connection in time.
    #[error("server does not accept a connection in time")]
    Timeout,
    /// The server drains or has gone; no connection to it is opened any more.
    #[error("server drains")]
    Closed,
    /// The connection failed before use.
    #[error("connection failed: {0}")]
    Handshake(#[from] hyper::Error),
}

/// Sending half of a connection that carries one request at a time.
pub(crate) type ServerSender = SendRequest<ProxyBody>;

/// A connection to send a request on.
pub(crate) struct AcquiredSender {
    pub(crate) sender: ServerSender,
    /// How long it was idle; `None` if it was just opened.
    pub(crate) idle: Option<Duration>,
}

struct IdleConnection {
    sender: ServerSender,
    since: Instant,
}

struct PoolState {
    idle: Vec<IdleConnection>,
    pacer: ConnectPacer,
    idle_limit: IdleLimit,
    is_closed: bool,
}

/// Connections to one process of the local backend server.
///
/// A connection returns to the pool only after its answer was read to the end. One that a caller
/// left is dropped and so closed, because bytes of the old answer still in it would go to the next
/// caller.
pub(crate) struct ServerPool {
    address: SocketAddr,
    state: Mutex<PoolState>,
    returned: Notify,
}

impl ServerPool {
    /// Creates a pool without connections.
    pub(crate) fn new(address: SocketAddr, settings: PacerSettings) -> Self {
        let pacer = ConnectPacer::new(settings);
        let state = PoolState {
            idle: Vec::new(),
            pacer,
            idle_limit: IdleLimit::default(),
            is_closed: false,
        };
        Self { address, state: Mutex::new(state), returned: Notify::new() }
    }

    /// Returns an idle connection that is young enough for the request, or opens one, at the
    /// allowed pace and within the server's limit.
    ///
    /// # Errors
    ///
    /// Returns a [`ConnectError`] if the server accepts no connection, or the pool is closed.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        is_repeatable: bool,
    ) -> Result<AcquiredSender, ConnectError> {
        loop {
            let verdict = {
                let mut state = self.lock();
                if state.is_closed {
                    return Err(ConnectError::Closed);
                }
                if let Some(found) = state.take_idle(is_repeatable) {
                    return Ok(found);
                }
                let verdict = state.pacer.request_connection(time_since_start());
                if verdict == ConnectVerdict::Full && !state.idle.is_empty() {
                    // The oldest connection is not trusted either; it is closed to allow a new
                    // one.
                    drop(state.idle.remove(0));
                }
                verdict
            };
            match verdict {
                ConnectVerdict::Open => {
                    return Ok(AcquiredSender { sender: self.open().await?, idle: None });
                }
                ConnectVerdict::Full => self.returned.notified().await,
                ConnectVerdict::Wait(wait) => tokio::select! {
                    () = tokio::time::sleep(wait) => (),
                    () = self.returned.notified() => (),
                },
            }
        }
    }

    /// Records that the server had dropped a connection that was idle for this long.
    pub(crate) fn record_stale(&self, idle: Duration) {
        self.lock().idle_limit.record_stale(idle, time_since_start());
    }

    /// Returns a connection to the pool whose answer was read to its end.
    pub(crate) fn release(self: &Arc<Self>, mut sender: ServerSender) {
        let pool = self.clone();
        // The connection's own task sees the end of the answer a moment later than its reader.
        tokio::spawn(async move {
            if sender.ready().await.is_ok() {
                pool.put_idle(sender);
            }
        });
    }

    /// Closes connections that have been idle for long.
    pub(crate) fn close_idle(&self, now: Instant) {
        let is_old = |idle: &IdleConnection| now.saturating_duration_since(idle.since) >= MAX_IDLE;
        self.lock().idle.retain(|idle| !is_old(idle));
    }

    /// Closes idle connections, and keeps and opens none from now on. Those in use finish.
    pub(crate) fn close(&self) {
        let mut state = self.lock();
        state.is_closed = true;
        state.idle.clear();
        drop(state);
        self.returned.notify_waiters();
    }

    /// Returns the number of open connections.
    pub(crate) fn open_count(&self) -> u32 {
        self.lock().pacer.open_count()
    }

    /// Returns whether the server accepts a connection, which is closed at once.
    pub(crate) async fn is_accepting(&self) -> bool {
        let connect = TcpStream::connect(self.address);
        matches!(tokio::time::timeout(CONNECT_TIMEOUT, connect).await, Ok(Ok(_)))
    }

    /// Opens a connection, which counts against the server's limit until it ends.
    async fn open(self: &Arc<Self>) -> Result<ServerSender, ConnectError> {
        // Frees the connection's place under the limit however this ends, also when the caller
        // leaves meanwhile.
        let open = OpenConnection { pool: self.clone() };
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address));
        let stream = connect.await.map_err(|_| ConnectError::Timeout)??;
        // A small request must not wait for the acknowledgement of the one before.
        stream.set_nodelay(true)?;
        probe_local(&stream);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await?;
        tokio::spawn(async move {
            if let Err(err) = connection.await {
                log::debug!("guard: a connection to the server ended: {err}.");
            }
            drop(open);
        });
        Ok(sender)
    }

    /// Keeps a connection for reuse, unless the pool is closed.
    fn put_idle(&self, sender: ServerSender) {
        let mut state = self.lock();
        if !state.is_closed {
            state.idle.push(IdleConnection { sender, since: Instant::now() });
            drop(state);
            self.returned.notify_one();
        }
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PoolState {
    /// Returns the connection used last, so that connections that are not needed age and are
    /// closed.
    fn take_idle(&mut self, is_repeatable: bool) -> Option<AcquiredSender> {
        let limit = self.idle_limit.limit(is_repeatable, time_since_start());
        while let Some(last) = self.idle.pop() {
            let idle = last.since.elapsed();
            match last.sender.is_ready() {
                // All others have been idle for longer still.
                true if idle >= limit => {
                    self.idle.push(last);
                    return None;
                }
                true => return Some(AcquiredSender { sender: last.sender, idle: Some(idle) }),
                false => {}
            }
        }
        None
    }
}

/// A connection that counts against the server's limit.
struct OpenConnection {
    pool: Arc<ServerPool>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.pool.lock().pacer.record_closed();
        self.pool.returned.notify_one();
    }
}
