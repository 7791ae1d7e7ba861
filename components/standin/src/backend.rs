//! A stand-in for a backend server: it announces itself to its daemon and answers requests.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use anyhow::Context;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    client::legacy::Client,
    rt::{TokioExecutor, TokioIo},
    server::{conn::auto, graceful::GracefulShutdown},
};
use serde_json::json;
use tokio::{net::TcpListener, sync::watch, task::JoinHandle};

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
}

struct BackendState {
    options: BackendOptions,
    address: SocketAddr,
    served: AtomicU64,
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
    let (served, is_draining) = (AtomicU64::new(0), AtomicBool::new(false));
    let state = Arc::new(BackendState { options, address, served, is_draining });
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
        self.state.served.load(Ordering::SeqCst)
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
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|stop| *stop) => break,
        };
        let Ok((stream, _)) = accepted else { continue };
        let state = state.clone();
        let service = service_fn(move |request| respond(state.clone(), request));
        let server = auto::Builder::new(TokioExecutor::new());
        let connection = server.serve_connection(TokioIo::new(stream), service).into_owned();
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            if let Err(err) = connection.await {
                log::debug!("backend: a connection ended: {err}.");
            }
        });
    }
    graceful.shutdown().await;
}

/// Answers with the service, the server and an echo of the path and body.
async fn respond(
    state: Arc<BackendState>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let path = request.uri().path().to_owned();
    let body = request.into_body().collect().await.map(|body| body.to_bytes()).unwrap_or_default();
    tokio::time::sleep(state.options.work).await;
    let count = state.served.fetch_add(1, Ordering::SeqCst) + 1;
    let answer = json!({
        "service": state.options.service,
        "server": state.options.server,
        "count": count,
        "path": path,
        "body": String::from_utf8_lossy(&body),
    });
    Ok(Response::new(Full::from(format!("{answer}\n"))))
}

async fn announce_forever(state: Arc<BackendState>, mut stopped: watch::Receiver<bool>) {
    loop {
        if let Err(err) = announce(&state).await {
            log::debug!("backend: cannot announce: {err:#}.");
        }
        tokio::select! {
            () = tokio::time::sleep(state.options.announce_interval) => (),
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
