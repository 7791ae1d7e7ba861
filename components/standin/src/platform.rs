//! Stand-in for the platform's object API over HTTP, with the platform's rate limits and with
//! faults that can be set over HTTP too.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use anyhow::Context;
use dropshot::{
    ApiDescription, Body, ConfigDropshot, HttpError, HttpResponseOk, HttpResponseUpdatedNoContent,
    HttpServer, Query, RequestContext, ServerBuilder, TypedBody, endpoint,
};
use http::{Response, StatusCode, header};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sk_store::{
    FakeStore, ObjectStore, StoreError, StoredObject,
    wire::{ConflictAnswer, ListAnswer, WriteAnswer},
};

use crate::{faults::PlatformFaults, rate::RateLimit};

/// Longest body of a request in bytes. JSON escapes can double a value's size, or more for control
/// characters.
const MAX_BODY_BYTES: usize = 8_000_000;

/// Behaviour of the stand-in.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Writes a second; it answers further ones with 429.
    pub writes_per_second: f64,
    /// Reads a second, with each watch counted as one; it answers further ones with 429.
    pub reads_per_second: f64,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        // The platform allows several hundred writes and about two thousand reads a second.
        Self { address, writes_per_second: 400.0, reads_per_second: 2_000.0 }
    }
}

/// Numbers of calls since the start, refused ones included.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct PlatformCounts {
    /// Reads and lists.
    pub reads: u64,
    /// Watches.
    pub watches: u64,
    /// Writes and deletes.
    pub writes: u64,
    /// Calls of any kind answered with 429.
    pub refused: u64,
}

/// Counters behind [`PlatformCounts`].
#[derive(Default)]
struct PlatformCounters {
    reads: AtomicU64,
    watches: AtomicU64,
    writes: AtomicU64,
    refused: AtomicU64,
}

/// State that the handlers share.
struct PlatformContext {
    store: FakeStore,
    faults: Mutex<PlatformFaults>,
    write_limit: RateLimit,
    read_limit: RateLimit,
    counters: PlatformCounters,
    /// Ends watches when the stand-in stops, which would otherwise wait for their timeouts.
    stopping: tokio::sync::watch::Sender<bool>,
}

/// Running stand-in.
pub struct PlatformHandle {
    server: HttpServer<Arc<PlatformContext>>,
    context: Arc<PlatformContext>,
}

/// Starts the stand-in.
///
/// # Errors
///
/// Returns an error when the address cannot be bound.
pub fn start_platform(options: &PlatformOptions) -> anyhow::Result<PlatformHandle> {
    let context = Arc::new(PlatformContext {
        store: FakeStore::new(),
        faults: Mutex::default(),
        write_limit: RateLimit::new(options.writes_per_second),
        read_limit: RateLimit::new(options.reads_per_second),
        counters: PlatformCounters::default(),
        stopping: tokio::sync::watch::Sender::new(false),
    });
    let config = ConfigDropshot {
        bind_address: options.address,
        default_request_body_max_bytes: MAX_BODY_BYTES,
        ..ConfigDropshot::default()
    };
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let server = ServerBuilder::new(describe_api()?, context.clone(), log)
        .config(config)
        .start()
        .context("cannot start the platform's stand-in")?;
    Ok(PlatformHandle { server, context })
}

impl PlatformHandle {
    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Returns the numbers of calls since the start.
    pub fn counts(&self) -> PlatformCounts {
        self.context.counters.counts()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        *self.context.faults() = faults;
    }

    /// Stops the stand-in.
    ///
    /// # Errors
    ///
    /// Returns an error when the server cannot stop cleanly.
    pub async fn stop(self) -> anyhow::Result<()> {
        self.context.stopping.send_replace(true);
        self.server.close().await.map_err(|reason| anyhow::anyhow!(reason))
    }
}

impl PlatformCounters {
    fn counts(&self) -> PlatformCounts {
        PlatformCounts {
            reads: self.reads.load(Ordering::Relaxed),
            watches: self.watches.load(Ordering::Relaxed),
            writes: self.writes.load(Ordering::Relaxed),
            refused: self.refused.load(Ordering::Relaxed),
        }
    }
}

/// Registers all endpoints.
fn describe_api() -> anyhow::Result<ApiDescription<Arc<PlatformContext>>> {
    let mut api = ApiDescription::new();
    api.register(get_object)?;
    api.register(put_object)?;
    api.register(delete_object)?;
    api.register(list_objects)?;
    api.register(watch_object)?;
    api.register(put_faults)?;
    api.register(get_counts)?;
    Ok(api)
}

impl PlatformContext {
    fn faults(&self) -> std::sync::MutexGuard<'_, PlatformFaults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a call and applies the outage, the rate limit and the delay. Returns an error for a
    /// call that must not reach the store.
    async fn admit(&self, counter: &AtomicU64, limit: &RateLimit) -> Result<(), StoreError> {
        counter.fetch_add(1, Ordering::Relaxed);
        let faults = self.faults().clone();
        if faults.is_down {
            return Err(StoreError::Unavailable { reason: "outage".to_owned() });
        }
        if !limit.try_take() {
            self.counters.refused.fetch_add(1, Ordering::Relaxed);
            return Err(StoreError::Throttled { retry_after: Duration::from_secs(1) });
        }
        if faults.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        Ok(())
    }

    /// Returns whether the answer of the present write is to be lost, and counts it if so.
    fn lose_answer(&self) -> bool {
        let mut faults = self.faults();
        let is_lost = faults.lose_write_answers > 0;
        faults.lose_write_answers = faults.lose_write_answers.saturating_sub(1);
        is_lost
    }

    /// Waits until an object changes, the timeout passes or the stand-in stops.
    async fn watch(
        &self,
        key: &str,
        after: u64,
        timeout: Duration,
    ) -> Result<Option<StoredObject>, StoreError> {
        let mut stopping = self.stopping.subscribe();
        tokio::select! {
            object = self.store.watch(key, after, timeout) => object,
            _ = stopping.wait_for(|stopping| *stopping) => {
                Err(StoreError::Unavailable { reason: "the stand-in is stopping".to_owned() })
            }
        }
    }

    /// Creates or replaces an object, as the body's expected revision says.
    async fn write(&self, body: PutBody) -> Result<WriteAnswer, StoreError> {
        self.admit(&self.counters.writes, &self.write_limit).await?;
        let revision = match body.expected {
            None => self.store.create(&body.key, body.value).await?,
            Some(expected) => self.store.replace(&body.key, expected, body.value).await?,
        };
        if self.lose_answer() {
            return Err(StoreError::Unknown { reason: "answer lost".to_owned() });
        }
        Ok(WriteAnswer { revision })
    }
}

#[derive(Deserialize, JsonSchema)]
struct KeyQuery {
    key: String,
}

#[derive(Deserialize, JsonSchema)]
struct PutBody {
    key: String,
    expected: Option<u64>,
    value: String,
}

#[derive(Deserialize, JsonSchema)]
struct DeleteQuery {
    key: String,
    expected: u64,
}

#[derive(Deserialize, JsonSchema)]
struct ListQuery {
    prefix: String,
}

#[derive(Deserialize, JsonSchema)]
struct WatchQuery {
    key: String,
    after: u64,
    timeout_ms: u64,
}

/// Context of a request to the stand-in.
type PlatformRequest = RequestContext<Arc<PlatformContext>>;
/// Response built without dropshot's types, with the protocol's own statuses and bodies.
type RawResponse = Result<Response<Body>, HttpError>;

/// Reads one object.
#[endpoint { method = GET, path = "/v1/object" }]
async fn get_object(request: PlatformRequest, query: Query<KeyQuery>) -> RawResponse {
    let context = request.context();
    let result = match context.admit(&context.counters.reads, &context.read_limit).await {
        Ok(()) => context.store.get(&query.into_inner().key).await,
        Err(err) => Err(err),
    };
    build_response(result.map(|object| object.ok_or(StatusCode::NOT_FOUND)))
}

/// Creates or replaces one object.
#[endpoint { method = PUT, path = "/v1/object" }]
async fn put_object(request: PlatformRequest, body: TypedBody<PutBody>) -> RawResponse {
    build_response(request.context().write(body.into_inner()).await.map(Ok))
}

/// Deletes one object.
#[endpoint { method = DELETE, path = "/v1/object" }]
async fn delete_object(request: PlatformRequest, query: Query<DeleteQuery>) -> RawResponse {
    let context = request.context();
    let query = query.into_inner();
    let result = match context.admit(&context.counters.writes, &context.write_limit).await {
        Ok(()) => context.store.delete(&query.key, query.expected).await,
        Err(err) => Err(err),
    };
    build_response(result.map(Ok))
}

/// Lists objects by prefix.
#[endpoint { method = GET, path = "/v1/objects" }]
async fn list_objects(request: PlatformRequest, query: Query<ListQuery>) -> RawResponse {
    let context = request.context();
    let result = match context.admit(&context.counters.reads, &context.read_limit).await {
        Ok(()) => context.store.list(&query.into_inner().prefix).await,
        Err(err) => Err(err),
    };
    build_response(result.map(|objects| Ok(ListAnswer { objects })))
}

/// Waits until an object changes.
#[endpoint { method = GET, path = "/v1/watch" }]
async fn watch_object(request: PlatformRequest, query: Query<WatchQuery>) -> RawResponse {
    let context = request.context();
    let query = query.into_inner();
    let timeout = Duration::from_millis(query.timeout_ms);
    let result = match context.admit(&context.counters.watches, &context.read_limit).await {
        Ok(()) => context.watch(&query.key, query.after, timeout).await,
        Err(err) => Err(err),
    };
    let delay_ms = context.faults().watch_delay_ms;
    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    build_response(result.map(|object| object.ok_or(StatusCode::NO_CONTENT)))
}

/// Sets the faults in force.
#[endpoint { method = PUT, path = "/v1/faults" }]
async fn put_faults(
    request: PlatformRequest,
    body: TypedBody<PlatformFaults>,
) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    *request.context().faults() = body.into_inner();
    Ok(HttpResponseUpdatedNoContent())
}

/// Reads the counters.
#[endpoint { method = GET, path = "/v1/counts" }]
async fn get_counts(request: PlatformRequest) -> Result<HttpResponseOk<PlatformCounts>, HttpError> {
    Ok(HttpResponseOk(request.context().counters.counts()))
}

/// Converts a result into the protocol's response. An inner status becomes a response without a
/// body.
fn build_response<T: Serialize>(result: Result<Result<T, StatusCode>, StoreError>) -> RawResponse {
    let builder = Response::builder();
    let response = match result {
        Ok(Ok(body)) => return json_response(StatusCode::OK, &body),
        Ok(Err(status)) => builder.status(status),
        Err(StoreError::Conflict { found, .. }) => {
            return json_response(StatusCode::CONFLICT, &ConflictAnswer { found });
        }
        Err(StoreError::Throttled { retry_after }) => builder
            .status(StatusCode::TOO_MANY_REQUESTS)
            .header(header::RETRY_AFTER, retry_after.as_secs()),
        Err(StoreError::TooLarge { .. }) => builder.status(StatusCode::PAYLOAD_TOO_LARGE),
        Err(StoreError::Unavailable { .. }) => builder.status(StatusCode::SERVICE_UNAVAILABLE),
        Err(StoreError::Unknown { .. } | StoreError::Protocol { .. }) => {
            builder.status(StatusCode::INTERNAL_SERVER_ERROR)
        }
    };
    response.body(Body::empty()).map_err(|err| HttpError::for_internal_error(err.to_string()))
}

/// Creates a response with a JSON body.
fn json_response<T: Serialize>(status: StatusCode, body: &T) -> RawResponse {
    let body =
        serde_json::to_vec(body).map_err(|err| HttpError::for_internal_error(err.to_string()))?;
    Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Body::from(body))
        .map_err(|err| HttpError::for_internal_error(err.to_string()))
}
