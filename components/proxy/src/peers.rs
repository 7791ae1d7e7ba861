//! Connections to the guards of other daemons.

use std::time::Duration;

use http::{Request, Response, Uri, uri::Authority};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, Error as ClientError, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};

use crate::{body::ProxyBody, call::GuardToken, sockets::watch_client};

/// Time for a connection to another instance. Five round trips between regions; an instance that
/// is gone answers nothing at all.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between pings while requests are in flight. An instance that lost its power sends no reset;
/// without pings each request to it would wait for its whole deadline.
const PING_INTERVAL: Duration = Duration::from_secs(2);
/// Time until a ping counts as lost.
const PING_TIMEOUT: Duration = Duration::from_secs(3);
/// Idle time after which a connection is closed, so that a daemon does not hold one to each other
/// for good.
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

/// Sends requests to guards, over one HTTP/2 connection to each.
#[derive(Clone)]
pub struct PeerClient {
    client: Client<HttpConnector, ProxyBody>,
    token: GuardToken,
}

impl PeerClient {
    /// Makes a client without connections.
    pub fn new(token: GuardToken) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        watch_client(&mut connector);
        let client = Client::builder(TokioExecutor::new())
            .timer(TokioTimer::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_LIMIT)
            .http2_only(true)
            .http2_initial_stream_window_size(STREAM_WINDOW)
            .http2_initial_connection_window_size(CONNECTION_WINDOW)
            .http2_max_header_list_size(MAX_HEAD_BYTES)
            .http2_max_concurrent_reset_streams(REMEMBERED_RESETS)
            .http2_max_local_error_reset_streams(None)
            .http2_keep_alive_interval(PING_INTERVAL)
            .http2_keep_alive_timeout(PING_TIMEOUT)
            .build(connector);
        Self { client, token }
    }

    /// Sends a request to a guard and gives the head of its answer.
    ///
    /// # Errors
    ///
    /// Returns the client's error; where [`ClientError::is_connect`] holds, nothing was sent.
    pub(crate) async fn send(
        &self,
        mut request: Request<ProxyBody>,
        guard: &Authority,
    ) -> Result<Response<Incoming>, ClientError> {
        let mut parts = std::mem::take(request.uri_mut()).into_parts();
        parts.scheme = Some(http::uri::Scheme::HTTP);
        parts.authority = Some(guard.clone());
        parts.path_and_query.get_or_insert_with(|| http::uri::PathAndQuery::from_static("/"));
        *request.uri_mut() = Uri::from_parts(parts).expect("scheme, authority and path are there");
        *request.version_mut() = http::Version::HTTP_2;
        self.token.write(request.headers_mut());
        self.client.request(request).await
    }
}
