//! Stand-in for a backend server: announces itself to its daemon and answers requests, or fails as
//! a request asks.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use anyhow::Context;
use bytes::Bytes;
use http::{HeaderName, HeaderValue, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    client::legacy::Client,
    rt::{TokioExecutor, TokioIo},
    server::{conn::auto, graceful::GracefulShutdown},
};
use serde_json::json;
use tokio::{
    net::TcpListener,
    sync::watch,
    task::{JoinHandle, JoinSet},
};

use crate::{
    backend_activity::{
        BackendActivity, BackendBody, BackendCounts, chunked_answer, cut_answer, full_body,
        json_answer,
    },
    backend_faults::{FaultError, RequestFault, RequestPlan},
};

/// Path at which the stand-in answers with its counts.
const COUNTS_PATH: &str = "/counts";
/// Path at which the stand-in reports its load.
const LOAD_PATH: &str = "/load";
/// Headers that a service copies from a request into the calls that it makes for it.
const CONTEXT_HEADERS: [&str; 4] = [
    "x-sapphirekeel-deadline-ms",
    "x-sapphirekeel-hops",
    "x-sapphirekeel-retried",
    "x-sapphirekeel-parent",
];

/// Behaviour of the stand-in.
#[derive(Clone, Debug)]
pub struct BackendOptions {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Address of its daemon for operators and announcements.
    pub daemon: SocketAddr,
    /// Service that it runs.
    pub service: String,
    /// Identifier of this process.
    pub server: String,
    /// Requests that it announces to run at once.
    pub slots: u32,
    /// Time that each request takes, unless the request asks for another.
    pub work_time: Duration,
    /// Time between announcements.
    pub announce_interval: Duration,
    /// Connections that it keeps open at once; further ones are closed unread.
    pub max_connections: u32,
    /// Load to report at `/load` instead of the real one.
    pub reported_load: Option<f64>,
    /// Address of its daemon for callers, used for nested calls; without it none are made.
    pub proxy: Option<SocketAddr>,
}

impl BackendOptions {
    /// Returns the options of a stand-in without faults that works on each request for a
    /// millisecond.
    pub fn new(address: SocketAddr, daemon: SocketAddr, service: &str, server: &str) -> Self {
        Self {
            address,
            daemon,
            service: service.to_owned(),
            server: server.to_owned(),
            slots: 12,
            work_time: Duration::from_millis(1),
            announce_interval: Duration::from_millis(500),
            max_connections: 100,
            reported_load: None,
            proxy: None,
        }
    }
}

/// State that the stand-in's tasks share.
struct BackendState {
    options: BackendOptions,
    address: SocketAddr,
    activity: Arc<BackendActivity>,
    is_draining: AtomicBool,
    /// Headers that all of its answers have.
    answer_headers: Mutex<Vec<(HeaderName, HeaderValue)>>,
}

/// Running stand-in.
pub struct BackendHandle {
    state: Arc<BackendState>,
    stop: watch::Sender<bool>,
    tasks: Vec<JoinHandle<()>>,
}

/// Starts the stand-in and its announcements.
///
/// # Errors
///
/// Returns an error when the address cannot be bound.
pub async fn start_backend(options: BackendOptions) -> anyhow::Result<BackendHandle> {
    let listener =
        TcpListener::bind(options.address).await.context("cannot bind the backend server")?;
    let address = listener.local_addr()?;
    let (activity, is_draining) = (Arc::default(), AtomicBool::new(false));
    let answer_headers = Mutex::default();
    let state = Arc::new(BackendState { options, address, activity, is_draining, answer_headers });
    let stop = watch::Sender::new(false);
    let tasks = vec![
        tokio::spawn(serve_connections(listener, state.clone(), stop.subscribe())),
        tokio::spawn(announce_repeatedly(state.clone(), stop.subscribe())),
    ];
    Ok(BackendHandle { state, stop, tasks })
}

impl BackendHandle {
    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.state.address
    }

    /// Returns the number of requests whose work was finished.
    pub fn served_count(&self) -> u64 {
        self.state.activity.counts().served
    }

    /// Returns all counts.
    pub fn counts(&self) -> BackendCounts {
        self.state.activity.counts()
    }

    /// Sets headers that all of its answers have from now on, such as `x-sapphirekeel-server-limit`.
    ///
    /// # Panics
    ///
    /// Panics if a name or value is not valid in a header.
    pub fn set_answer_headers(&self, pairs: &[(&'static str, &str)]) {
        let parse = |(name, value): &(&'static str, &str)| {
            (HeaderName::from_static(name), HeaderValue::from_str(value).expect("a header value"))
        };
        let headers = pairs.iter().map(parse).collect();
        *self.state.answer_headers.lock().unwrap_or_else(PoisonError::into_inner) = headers;
    }

    /// Waits until a request crashes the stand-in. A process that runs one then exits.
    pub async fn wait_crashed(&self) {
        self.state.activity.wait_crashed().await;
    }

    /// Ends at once, as a killed process does: all connections break and no drain is announced.
    /// Returns once the stand-in has stopped listening.
    pub async fn kill(&mut self) {
        self.state.activity.crash();
        for task in self.tasks.drain(..) {
            // A task that panicked has already printed why.
            let _ = task.await;
        }
    }

    /// Announces that it drains, finishes the requests on its connections, then stops.
    pub async fn stop(self) {
        self.state.is_draining.store(true, Ordering::SeqCst);
        if let Err(err) = send_announcement(&self.state).await {
            log::warn!("backend: cannot announce the drain: {err:#}.");
        }
        self.stop.send_replace(true);
        for task in self.tasks {
            // A task that panicked has already printed why.
            let _ = task.await;
        }
    }
}

/// Accepts connections until the stand-in stops or crashes.
async fn serve_connections(
    listener: TcpListener,
    state: Arc<BackendState>,
    mut stopped: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    // The set is dropped with this task, which ends all connections at once when the stand-in
    // crashes.
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = state.activity.wait_crashed() => return,
            _ = stopped.wait_for(|stop| *stop) => break,
        };
        let Ok((stream, _)) = accepted else { continue };
        let Some(open) = state.activity.open_connection(state.options.max_connections) else {
            continue;
        };
        let state = state.clone();
        let service = service_fn(move |request| answer_request(state.clone(), request));
        let server = auto::Builder::new(TokioExecutor::new());
        let connection = server.serve_connection(TokioIo::new(stream), service).into_owned();
        let connection = graceful.watch(connection);
        connections.spawn(async move {
            if let Err(err) = connection.await {
                log::debug!("backend: a connection ended: {err}.");
            }
            drop(open);
        });
        while connections.try_join_next().is_some() {}
    }
    tokio::select! {
        () = graceful.shutdown() => (),
        () = state.activity.wait_crashed() => (),
    }
}

/// Answers a request for the counts or the load, or works on any other one.
async fn answer_request(
    state: Arc<BackendState>,
    request: Request<Incoming>,
) -> Result<Response<BackendBody>, FaultError> {
    let (options, activity) = (&state.options, &state.activity);
    let plan = RequestPlan::from_uri(request.uri());
    match request.uri().path() {
        COUNTS_PATH => Ok(json_answer(&json!(activity.counts()))),
        LOAD_PATH => {
            let load = f64::from(activity.running_count()) / f64::from(options.slots.max(1));
            let reported = options.reported_load.unwrap_or(load);
            Ok(json_answer(&json!({ "load": reported })))
        }
        _ => {
            let mut answer = run_request(&state, request, &plan).await?;
            let headers = state.answer_headers.lock().unwrap_or_else(PoisonError::into_inner);
            answer.headers_mut().extend(headers.iter().cloned());
            Ok(answer)
        }
    }
}

/// Works on a request and answers with the service, the server and an echo of path and body, or
/// fails as the request's plan says.
async fn run_request(
    state: &BackendState,
    request: Request<Incoming>,
    plan: &RequestPlan,
) -> Result<Response<BackendBody>, FaultError> {
    let (options, activity) = (&state.options, &state.activity);
    let path = request.uri().path().to_owned();
    let running = activity.begin_request(plan.tag.as_deref());
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| FaultError::Dropped)?.to_bytes();
    let work_time = plan.work.unwrap_or(options.work_time);
    if plan.fault == RequestFault::Crash {
        // The crash has a task of its own, since it has to come even when the caller closes the
        // connection.
        let activity = activity.clone();
        tokio::spawn(async move {
            tokio::time::sleep(work_time).await;
            activity.crash();
        });
        return std::future::pending().await;
    }
    tokio::time::sleep(work_time).await;
    match plan.fault {
        RequestFault::Drop => return Err(FaultError::Dropped),
        RequestFault::None | RequestFault::Cut | RequestFault::Crash => {}
    }
    if let Some(nested) = call_nested(options, &parts, plan).await? {
        running.finish();
        return Ok(nested);
    }
    let count = running.finish();
    let answer = json!({
        "service": options.service,
        "server": options.server,
        "count": count,
        "path": path,
        "tag": plan.tag,
        "hops": parts.headers.get(CONTEXT_HEADERS[1]).and_then(|hops| hops.to_str().ok()),
        "headers": parts.headers.keys().map(HeaderName::as_str).collect::<Vec<_>>(),
        "body": String::from_utf8_lossy(&body),
    });
    Ok(match plan {
        RequestPlan { fault: RequestFault::Cut, .. } => cut_answer(plan.answer_bytes),
        RequestPlan { answer_bytes: 0, .. } => json_answer(&answer),
        RequestPlan { has_length: true, .. } => {
            Response::new(full_body(Bytes::from(vec![b'x'; plan.answer_bytes])))
        }
        _ => chunked_answer(plan.answer_bytes),
    })
}

/// Calls the same path again through the daemon, as a service that calls another does. Returns the
/// nested answer, none when the request asks for no nested call.
async fn call_nested(
    options: &BackendOptions,
    parts: &http::request::Parts,
    plan: &RequestPlan,
) -> Result<Option<Response<BackendBody>>, FaultError> {
    let (Some(proxy), Some(nesting)) = (options.proxy, plan.nesting.filter(|nesting| *nesting > 0))
    else {
        return Ok(None);
    };
    let uri = format!("http://{proxy}{}?nest={}", parts.uri.path(), nesting - 1);
    let mut request = Request::get(uri);
    for name in CONTEXT_HEADERS {
        if let Some(value) = parts.headers.get(name) {
            request = request.header(name, value);
        }
    }
    let request = request.body(Full::<Bytes>::default()).map_err(|_| FaultError::Dropped)?;
    let client = Client::builder(TokioExecutor::new()).build_http();
    let response = client.request(request).await.map_err(|_| FaultError::Dropped)?;
    let (parts, body) = response.into_parts();
    let body = body.collect().await.map_err(|_| FaultError::Dropped)?.to_bytes();
    let mut answer = Response::new(full_body(body));
    *answer.status_mut() = parts.status;
    Ok(Some(answer))
}

/// Announces the server at its interval until the stand-in stops or crashes.
async fn announce_repeatedly(state: Arc<BackendState>, mut stopped: watch::Receiver<bool>) {
    loop {
        if let Err(err) = send_announcement(&state).await {
            log::debug!("backend: cannot announce: {err:#}.");
        }
        tokio::select! {
            () = tokio::time::sleep(state.options.announce_interval) => (),
            () = state.activity.wait_crashed() => return,
            _ = stopped.wait_for(|stop| *stop) => return,
        }
    }
}

/// Announces the server to its daemon once, with its address, slots and whether it drains.
async fn send_announcement(state: &BackendState) -> anyhow::Result<()> {
    let options = &state.options;
    let body = json!({
        "service": options.service,
        "server": options.server,
        "address": state.address.to_string(),
        "slots": options.slots,
        "is_draining": state.is_draining.load(Ordering::SeqCst),
    });
    let request = Request::put(format!("http://{}/v1/server", options.daemon))
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::<Bytes>::from(body.to_string()))?;
    let client = Client::builder(TokioExecutor::new()).build_http();
    let response = client.request(request).await.context("cannot reach the daemon")?;
    anyhow::ensure!(response.status().is_success(), "daemon answered {}", response.status());
    Ok(())
}
