//! What a backend server's stand-in counts, and the answers it gives.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use bytes::Bytes;
use futures::{StreamExt, stream};
use http::Response;
use http_body_util::{BodyExt, Full, StreamBody, combinators::BoxBody};
use hyper::body::Frame;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::backend_faults::FaultError;

/// Bytes of one chunk of a large answer.
const CHUNK_BYTES: usize = 16 * 1024;

/// Body of the stand-in's answers.
pub(crate) type BackendBody = BoxBody<Bytes, FaultError>;

/// What the stand-in has counted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendCounts {
    /// Requests that were worked on to their end.
    pub served: u64,
    /// Requests that were begun.
    pub begun: u64,
    /// Requests worked on now.
    pub running: u32,
    /// Most requests worked on at once.
    pub peak_running: u32,
    /// Connections now.
    pub connections: u32,
    /// Most connections at once.
    pub peak_connections: u32,
    /// Connections closed unread because there were too many.
    pub refused_connections: u64,
    /// Times that a request with a `tag` was begun.
    pub runs: BTreeMap<String, u64>,
}

/// The work of one stand-in.
#[derive(Default)]
pub(crate) struct BackendWork {
    counts: Mutex<BackendCounts>,
    has_crashed: watch::Sender<bool>,
}

/// A request being worked on. Dropped early when its connection ends.
pub(crate) struct RunningRequest(Arc<BackendWork>);

/// A connection that counts as open.
pub(crate) struct OpenConnection(Arc<BackendWork>);

impl BackendWork {
    pub(crate) fn counts(&self) -> BackendCounts {
        self.lock().clone()
    }

    pub(crate) fn running(&self) -> u32 {
        self.lock().running
    }

    pub(crate) fn start(self: &Arc<Self>, tag: Option<&str>) -> RunningRequest {
        let mut counts = self.lock();
        counts.begun += 1;
        counts.running += 1;
        counts.peak_running = counts.peak_running.max(counts.running);
        if let Some(tag) = tag {
            *counts.runs.entry(tag.to_owned()).or_default() += 1;
        }
        RunningRequest(self.clone())
    }

    /// Takes a connection, unless there are `limit`.
    pub(crate) fn open_connection(self: &Arc<Self>, limit: u32) -> Option<OpenConnection> {
        let mut counts = self.lock();
        if counts.connections >= limit {
            counts.refused_connections += 1;
            return None;
        }
        counts.connections += 1;
        counts.peak_connections = counts.peak_connections.max(counts.connections);
        Some(OpenConnection(self.clone()))
    }

    pub(crate) fn crash(&self) {
        self.has_crashed.send_replace(true);
    }

    pub(crate) async fn crashed(&self) {
        // The sender is a part of this value, so the wait cannot fail.
        let _ = self.has_crashed.subscribe().wait_for(|crashed| *crashed).await;
    }

    fn lock(&self) -> MutexGuard<'_, BackendCounts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RunningRequest {
    /// Ends the work and gives the number of requests served.
    pub(crate) fn end(self) -> u64 {
        let mut counts = self.0.lock();
        counts.served += 1;
        counts.served
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.0.lock().running -= 1;
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.lock().connections -= 1;
    }
}

pub(crate) fn whole_body(bytes: Bytes) -> BackendBody {
    Full::new(bytes).map_err(|never| match never {}).boxed()
}

pub(crate) fn whole_answer(answer: &serde_json::Value) -> Response<BackendBody> {
    Response::new(whole_body(Bytes::from(format!("{answer}\n"))))
}

/// Makes an answer of `size` bytes in chunks, without a length.
pub(crate) fn large_answer(size: usize) -> Response<BackendBody> {
    Response::new(BodyExt::boxed(StreamBody::new(chunks(size))))
}

/// Makes an answer of about `size` bytes whose connection ends before its last chunk.
pub(crate) fn cut_answer(size: usize) -> Response<BackendBody> {
    let cut = stream::once(async {
        // Lets what was sent before arrive, so that the cut falls into the answer.
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        Err(FaultError::Dropped)
    });
    let chunks = chunks(size.max(CHUNK_BYTES)).chain(cut);
    Response::new(BodyExt::boxed(StreamBody::new(chunks)))
}

fn chunks(size: usize) -> impl stream::Stream<Item = Result<Frame<Bytes>, FaultError>> {
    let full = std::iter::repeat_n(CHUNK_BYTES, size / CHUNK_BYTES);
    let sizes = full.chain(Some(size % CHUNK_BYTES).filter(|rest| *rest > 0));
    let chunk = |size| Ok(Frame::data(Bytes::from(vec![b'x'; size])));
    stream::iter(sizes.map(chunk).collect::<Vec<_>>())
}
