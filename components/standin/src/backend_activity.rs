//! Counts of a backend server's stand-in, and the bodies of its answers.

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

/// Bytes of one chunk of a chunked answer.
const CHUNK_BYTES: usize = 16 * 1024;

/// Body of the stand-in's answers.
pub(crate) type BackendBody = BoxBody<Bytes, FaultError>;

/// Counts since the stand-in started.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendCounts {
    /// Requests whose work was finished.
    pub served: u64,
    /// Requests whose work was begun.
    pub begun: u64,
    /// Requests being worked on now.
    pub running: u32,
    /// Most requests that were worked on at once.
    pub peak_running: u32,
    /// Connections open now.
    pub connections: u32,
    /// Most connections that were open at once.
    pub peak_connections: u32,
    /// Connections closed unread because there were too many.
    pub refused_connections: u64,
    /// Number of times that a request was begun, by its `tag`.
    pub runs: BTreeMap<String, u64>,
}

/// Activity of one stand-in: its counts, and whether it has crashed.
#[derive(Default)]
pub(crate) struct BackendActivity {
    counts: Mutex<BackendCounts>,
    has_crashed: watch::Sender<bool>,
}

/// Request being worked on. It is dropped unfinished when its connection ends.
pub(crate) struct RunningRequest(Arc<BackendActivity>);

/// Connection that counts as open until it is dropped.
pub(crate) struct OpenConnection(Arc<BackendActivity>);

impl BackendActivity {
    /// Returns a copy of the counts.
    pub(crate) fn counts(&self) -> BackendCounts {
        self.lock().clone()
    }

    /// Returns the number of requests being worked on.
    pub(crate) fn running_count(&self) -> u32 {
        self.lock().running
    }

    /// Counts a request as begun and running, under its tag if it has one.
    pub(crate) fn begin_request(self: &Arc<Self>, tag: Option<&str>) -> RunningRequest {
        let mut counts = self.lock();
        counts.begun += 1;
        counts.running += 1;
        counts.peak_running = counts.peak_running.max(counts.running);
        if let Some(tag) = tag {
            *counts.runs.entry(tag.to_owned()).or_default() += 1;
        }
        RunningRequest(self.clone())
    }

    /// Counts a connection as open. Returns none when `limit` are open already.
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

    /// Ends the stand-in and all its connections at once.
    pub(crate) fn crash(&self) {
        self.has_crashed.send_replace(true);
    }

    /// Waits until the stand-in crashes.
    pub(crate) async fn wait_crashed(&self) {
        // The sender is a part of this value, so the wait cannot fail.
        let _ = self.has_crashed.subscribe().wait_for(|crashed| *crashed).await;
    }

    fn lock(&self) -> MutexGuard<'_, BackendCounts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RunningRequest {
    /// Counts the request as served. Returns the number of requests served so far.
    pub(crate) fn finish(self) -> u64 {
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

/// Creates a body of known length.
pub(crate) fn full_body(bytes: Bytes) -> BackendBody {
    Full::new(bytes).map_err(|never| match never {}).boxed()
}

/// Creates an answer with a line of JSON.
pub(crate) fn json_answer(answer: &serde_json::Value) -> Response<BackendBody> {
    Response::new(full_body(Bytes::from(format!("{answer}\n"))))
}

/// Creates an answer of `size` bytes in chunks, without a `Content-Length`.
pub(crate) fn chunked_answer(size: usize) -> Response<BackendBody> {
    Response::new(BodyExt::boxed(StreamBody::new(chunks(size))))
}

/// Creates an answer of `size` bytes, at least one chunk, after which the connection breaks without
/// the end of the body.
pub(crate) fn cut_answer(size: usize) -> Response<BackendBody> {
    let cut = stream::once(async {
        // Waits until the bytes before have arrived, so that the cut falls into the answer.
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        Err(FaultError::Dropped)
    });
    let chunks = chunks(size.max(CHUNK_BYTES)).chain(cut);
    Response::new(BodyExt::boxed(StreamBody::new(chunks)))
}

/// Splits a body of `size` bytes into chunks.
fn chunks(size: usize) -> impl stream::Stream<Item = Result<Frame<Bytes>, FaultError>> {
    let full = std::iter::repeat_n(CHUNK_BYTES, size / CHUNK_BYTES);
    let sizes = full.chain(Some(size % CHUNK_BYTES).filter(|rest| *rest > 0));
    let chunk = |size| Ok(Frame::data(Bytes::from(vec![b'x'; size])));
    stream::iter(sizes.map(chunk).collect::<Vec<_>>())
}
