//! Listeners of the request path.

use std::{convert::Infallible, future::Future, sync::Arc, time::Duration};

use http::{Request, Response};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo},
    server::{conn::auto, graceful::GracefulShutdown},
};
use tokio::{net::TcpListener, sync::watch, task::JoinHandle};

use crate::{
    body::ProxyBody,
    forward::{ForwardContext, forward},
    guard::{GuardContext, guard},
};

/// Pause after a failed accept, which usually means that no file descriptor is left.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// A running listener.
pub struct ServeHandle {
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl ServeHandle {
    /// Accepts no more, waits up to `bound` for requests in flight, and tells whether all ended.
    pub async fn stop(self, bound: Duration) -> bool {
        self.stop.send_replace(true);
        tokio::time::timeout(bound, self.task).await.is_ok()
    }
}

/// Serves callers.
pub fn serve_forward(listener: TcpListener, context: Arc<ForwardContext>) -> ServeHandle {
    serve(listener, move |request| forward(context.clone(), request))
}

/// Serves other daemons on behalf of the local backend server.
pub fn serve_guard(listener: TcpListener, context: Arc<GuardContext>) -> ServeHandle {
    serve(listener, move |request| guard(context.clone(), request))
}

fn serve<H, F>(listener: TcpListener, handle: H) -> ServeHandle
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<ProxyBody>> + Send + 'static,
{
    let stop = watch::Sender::new(false);
    let task = tokio::spawn(accept_forever(listener, handle, stop.subscribe()));
    ServeHandle { stop, task }
}

async fn accept_forever<H, F>(listener: TcpListener, handle: H, mut stopped: watch::Receiver<bool>)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<ProxyBody>> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|stop| *stop) => break,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(err) => {
                log::warn!("proxy: cannot accept: {err}.");
                tokio::time::sleep(ACCEPT_RETRY).await;
                continue;
            }
        };
        // Small answers must not wait for the peer's delayed acknowledgement.
        let _ = stream.set_nodelay(true);
        let handle = handle.clone();
        let service = service_fn(move |request| {
            let answer = handle(request);
            async move { Ok::<_, Infallible>(answer.await) }
        });
        let server = auto::Builder::new(TokioExecutor::new());
        let connection = server.serve_connection(TokioIo::new(stream), service).into_owned();
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            if let Err(err) = connection.await {
                log::debug!("proxy: a connection ended: {err}.");
            }
        });
    }
    graceful.shutdown().await;
}
