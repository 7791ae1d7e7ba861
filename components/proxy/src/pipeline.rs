//! Pipelined requests of HTTP/1.1 connections, which run concurrently and are answered in order.
//!
//! The HTTP library takes the next request of a connection only after the previous answer has been
//! written. A stream below it hands it one head at a time, reads on while a request is being
//! answered, and starts the safe requests that follow. When the library calls the service for such a
//! request, the call joins the work that is already running. The design note is
//! `docs/design/pipelines.md`.

mod ahead;
mod budget;
mod head;
mod place;
mod started;
mod stream;
mod turn;

use futures::future::BoxFuture;
use http::{Request, Response};

use crate::{
    body::{CallerBody, ProxyBody},
    server_calls::CallerPeer,
};

pub(crate) use budget::PipelineBudget;
pub(crate) use head::RequestHead;
pub(crate) use place::PipelinePlace;
pub(crate) use stream::PipelineStream;
pub(crate) use turn::{Turn, TurnBody};

/// Starts requests ahead of their turn.
pub(crate) trait EarlyService: Send + Sync {
    /// Returns whether a request has a route by which it may run twice.
    fn is_safe(&self, head: &RequestHead) -> bool;

    /// Returns whether requests may be started now; not if the listener is shutting down.
    fn is_open(&self) -> bool;

    /// Runs a request of a caller.
    fn run(
        &self,
        request: Request<CallerBody>,
        caller: CallerPeer,
    ) -> BoxFuture<'static, Response<ProxyBody>>;
}
