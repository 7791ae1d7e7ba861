//! A stand-in for a backend server: it announces itself to its daemon and answers requests.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use anyhow::Context;
use bytes::Bytes;
use http::{HeaderName, Request, Response};
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
    backend_faults::{FaultError, RequestFault, RequestPlan},
    backend_work::{
        BackendBody, BackendCounts, BackendWork, cut_answer, large_answer, whole_answer, whole_body,
    },
};

/// Path of the stand-in's own counts.
const COUNTS_PATH: &str = "/counts";
/// Path of the load it reports.
const LOAD_PATH: &str = "/load";
/// Headers that a service copies into the calls it makes for a request.
const CONTEXT_HEADERS: [&str; 3] =
    ["x-sapphirekeel-deadline-ms", "x-sapphirekeel-hops", "x-sapphirekeel-retried"];

/// How the stand-in behaves.
#[derive(Clone, Debug)]
pub struct BackendOptions {
    /// Address to listen at.
    pub address: SocketAddr,
    /// Its daemon's address for operators and announcements.
    pub daemon: SocketAddr,
    /// Service it runs.
    pub service: String,
    /// Identifier of this process.
    pub server: String,
    /// Requests it works on at once.
    pub slots: u32,
    /// Work of each request.
    pub work: Duration,
    /// Time between announcements.
    pub announce_interval: Duration,
    /// Connections it holds at once; more are closed unread.
    pub connections: u32,
    /// Load it reports at `/load`, if it lies.
    pub reported_load: Option<f64>,
    /// Its daemon's address for callers, by which it makes nested calls.
    pub proxy: Option<SocketAddr>,
}

impl BackendOptions {
    /// Gives the options of a stand-in that works for a millisecond and has no faults.
    pub fn new(address: SocketAddr, daemon: SocketAddr, service: &str, server: &str) -> Self {
        Self {
            address,
            daemon,
            service: service.to_owned(),
            server: server.to_owned(),
            slots: 12,
            work: Duration::from_millis(1),
            announce_interval: Duration::from_millis(500),
            connections: 100,
            reported_load: None,
            proxy: None,
        }
    }
}

struct BackendState {
    options: BackendOptions,
    address: SocketAddr,
    work: Arc<BackendWork>,
    is_draining: AtomicBool,
}

/// A running stand-in.
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
    let (work, is_draining) = (Arc::default(), AtomicBool::new(false));
    let state = Arc::new(BackendState { options, address, work, is_draining });
    let stop = watch::Sender::new(false);
    let tasks = vec![
        tokio::spawn(serve(listener, state.clone(), stop.subscribe())),
        tokio::spawn(announce_forever(state.clone(), stop.subscribe())),
    ];
    Ok(BackendHandle { state, stop, tasks })
}

impl BackendHandle {
    /// Gives the address it listens at.
    pub fn address(&self) -> SocketAddr {
        self.state.address
    }

    /// Counts the requests that ran.
    pub fn served(&self) -> u64 {
        self.state.work.counts().served
    }

    /// Gives all counts.
    pub fn counts(&self) -> BackendCounts {
        self.state.work.counts()
    }

    /// Waits until a request has crashed the stand-in. A process then exits.
    pub async fn crashed(&self) {
        self.state.work.crashed().await;
    }

    /// Ends at once, as a killed process does: all connections break and no news is given. Returns
    /// when nothing listens any more.
    pub async fn kill(&mut self) {
        self.state.work.crash();
        for task in self.tasks.drain(..) {
            // A task that panicked has already printed why.
            let _ = task.await;
        }
    }

    /// Says that it drains, lets the daemon finish what it has passed on, then stops.
    pub async fn stop(self) {
        self.state.is_draining.store(true, Ordering::SeqCst);
        if let Err(err) = announce(&self.state).await {
            log::warn!("backend: cannot announce the drain: {err:#}.");
        }
        self.stop.send_replace(true);
        for task in self.tasks {
            // A task that panicked has already printed why.
            let _ = task.await;
        }
    }
}

async fn serve(
    listener: TcpListener,
    state: Arc<BackendState>,
    mut stopped: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    // Dropped with this task, which ends all connections at once when the stand-in crashes.
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = state.work.crashed() => return,
            _ = stopped.wait_for(|stop| *stop) => break,
        };
        let Ok((stream, _)) = accepted else { continue };
        let Some(open) = state.work.open_connection(state.options.connections) else { continue };
        let state = state.clone();
        let service = service_fn(move |request| respond(state.clone(), request));
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
        () = state.work.crashed() => (),
    }
}

async fn respond(
    state: Arc<BackendState>,
    request: Request<Incoming>,
) -> Result<Response<BackendBody>, FaultError> {
    let (options, work) = (&state.options, &state.work);
    let plan = RequestPlan::read(request.uri());
    match request.uri().path() {
        COUNTS_PATH => Ok(whole_answer(&json!(work.counts()))),
        LOAD_PATH => {
            let load = f64::from(work.running()) / f64::from(options.slots.max(1));
            let shown = options.reported_load.unwrap_or(load);
            Ok(whole_answer(&json!({ "load": shown })))
        }
        _ => work_on(&state, request, &plan).await,
    }
}

/// Works on a request and answers with the service, the server and an echo of path and body, or
/// fails as the request's plan says.
async fn work_on(
    state: &BackendState,
    request: Request<Incoming>,
    plan: &RequestPlan,
) -> Result<Response<BackendBody>, FaultError> {
    let (options, work) = (&state.options, &state.work);
    let path = request.uri().path().to_owned();
    let running = work.start(plan.tag.as_deref());
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| FaultError::Dropped)?.to_bytes();
    let time = plan.work.unwrap_or(options.work);
    if plan.fault == RequestFault::Crash {
        // A task of its own, since the work that crashes goes on when the caller leaves.
        let work = work.clone();
        tokio::spawn(async move {
            tokio::time::sleep(time).await;
            work.crash();
        });
        return std::future::pending().await;
    }
    tokio::time::sleep(time).await;
    match plan.fault {
        RequestFault::Drop => return Err(FaultError::Dropped),
        RequestFault::None | RequestFault::Cut | RequestFault::Crash => {}
    }
    if let Some(nested) = call_nested(options, &parts, plan).await? {
        running.end();
        return Ok(nested);
    }
    let count = running.end();
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
        RequestPlan { fault: RequestFault::Cut, .. } => cut_answer(plan.size),
        RequestPlan { size: 0, .. } => whole_answer(&answer),
        _ => large_answer(plan.size),
    })
}

/// Calls the same path again through the daemon, as a service that calls another does.
async fn call_nested(
    options: &BackendOptions,
    parts: &http::request::Parts,
    plan: &RequestPlan,
) -> Result<Option<Response<BackendBody>>, FaultError> {
    let (Some(proxy), Some(nest)) = (options.proxy, plan.nest.filter(|nest| *nest > 0)) else {
        return Ok(None);
    };
    let uri = format!("http://{proxy}{}?nest={}", parts.uri.path(), nest - 1);
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
    let mut answer = Response::new(whole_body(body));
    *answer.status_mut() = parts.status;
    Ok(Some(answer))
}

async fn announce_forever(state: Arc<BackendState>, mut stopped: watch::Receiver<bool>) {
    loop {
        if let Err(err) = announce(&state).await {
            log::debug!("backend: cannot announce: {err:#}.");
        }
        tokio::select! {
            () = tokio::time::sleep(state.options.announce_interval) => (),
            () = state.work.crashed() => return,
            _ = stopped.wait_for(|stop| *stop) => return,
        }
    }
}

async fn announce(state: &BackendState) -> anyhow::Result<()> {
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
    let response = client.request(request).await.context("daemon is away")?;
    anyhow::ensure!(response.status().is_success(), "daemon answered {}", response.status());
    Ok(())
}
