//! The turns of a connection's requests: what the service tells the stream below the HTTP library
//! about the request that is being answered.

use std::{
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};

use bytes::Bytes;
use http::{Request, Response, Version};
use hyper::body::{Body, Frame, SizeHint};

use super::{
    EarlyService, PipelinePlace,
    ahead::AheadRequest,
    head::{RequestHead, is_last},
    started::StartedRequest,
};
use crate::body::{BodyError, ProxyBody};

/// Length of the body of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyFraming {
    /// Known length in bytes.
    Sized(u64),
    /// Chunks, of which only the HTTP library knows the end.
    Chunked,
}

/// The request that is being answered.
struct CurrentRequest {
    head: RequestHead,
    /// Whether it keeps the connection open.
    is_kept: bool,
    /// Whether it is safe, once that is known.
    is_safe: Option<bool>,
}

#[derive(Default)]
struct TurnState {
    /// Framing of a request for which the service was called, until the stream takes it.
    called: Option<BodyFraming>,
    current: Option<CurrentRequest>,
    /// The request whose head is being handed to the HTTP library.
    next: Option<AheadRequest>,
}

/// Connects the service and the stream of one connection.
#[derive(Default)]
pub(crate) struct TurnLink {
    state: Mutex<TurnState>,
    /// Whether the HTTP library has taken over the whole answer.
    is_written: AtomicBool,
    /// Whether the connection closes after the current answer.
    is_closing: AtomicBool,
    /// Whether requests behind the current one were started, or are about to be.
    has_started: AtomicBool,
}

impl TurnLink {
    fn lock(&self) -> MutexGuard<'_, TurnState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the request whose head is handed out next.
    pub(super) fn set_next(&self, request: AheadRequest) {
        self.lock().next = Some(request);
    }

    /// Ends the request whose head was handed out, for which the service is not called any more.
    pub(super) fn end_next(&self) {
        self.lock().next = None;
    }

    /// Takes the framing of the request for which the service was called.
    pub(super) fn take_called(&self) -> Option<BodyFraming> {
        self.lock().called.take()
    }

    /// Takes whether the HTTP library has taken over the answer.
    pub(super) fn take_written(&self) -> bool {
        self.is_written.swap(false, Ordering::AcqRel)
    }

    /// Sets whether requests behind the current one were started, or are about to be.
    pub(super) fn set_started(&self, has_started: bool) {
        self.has_started.store(has_started, Ordering::Release);
    }

    pub(super) fn is_closing(&self) -> bool {
        self.is_closing.load(Ordering::Acquire)
    }

    /// Returns whether requests may run while the current one is being answered.
    pub(super) fn is_current_safe(&self, service: &dyn EarlyService) -> bool {
        let mut state = self.lock();
        let Some(current) = &mut state.current else { return false };
        let CurrentRequest { head, is_kept, is_safe } = current;
        *is_safe.get_or_insert_with(|| *is_kept && service.is_safe(head))
    }
}

/// The turn of one request.
pub(crate) struct Turn {
    link: Arc<TurnLink>,
    next: Option<AheadRequest>,
}

impl Turn {
    /// Begins the turn of a request that the HTTP library has read. Requests over HTTP/2 have none.
    pub(crate) fn begin<B: Body>(link: &Arc<TurnLink>, request: &Request<B>) -> Option<Self> {
        if request.version() > Version::HTTP_11 {
            return None;
        }
        let framing = match request.body().size_hint().exact() {
            Some(size) => BodyFraming::Sized(size),
            None => BodyFraming::Chunked,
        };
        let head = RequestHead::new(request);
        let mut state = link.lock();
        let next = state.next.take().filter(|next| next.head == head);
        let is_kept = request.version() == Version::HTTP_11 && !is_last(request.headers());
        let is_safe = next.as_ref().map(|next| is_kept && next.is_safe);
        state.current = Some(CurrentRequest { head, is_kept, is_safe });
        state.called = Some(framing);
        link.is_written.store(false, Ordering::Release);
        drop(state);
        Some(Self { link: link.clone(), next })
    }

    /// Takes the work of a request that was started ahead.
    pub(crate) fn take_started(
        &mut self,
    ) -> Option<impl Future<Output = Response<ProxyBody>> + Send + use<>> {
        let started = self.next.as_mut()?.started.take();
        started.map(StartedRequest::join)
    }

    /// Returns the place of a request that was read ahead and starts now.
    pub(crate) fn place(&self) -> Option<PipelinePlace> {
        self.next.as_ref().map(AheadRequest::place)
    }

    /// Returns whether requests behind this one were started. Their answers are owed, so the
    /// connection must not close before them.
    pub(crate) fn has_started_behind(&self) -> bool {
        self.link.has_started.load(Ordering::Acquire)
    }

    /// Ends the turn with the end of the answer. If the answer closes the connection, the requests
    /// behind it end at once.
    pub(crate) fn end(self, response: Response<ProxyBody>) -> Response<TurnBody> {
        if is_last(response.headers()) {
            self.link.is_closing.store(true, Ordering::Release);
        }
        response.map(|inner| TurnBody { inner, link: Some(self.link) })
    }
}

/// The body of an answer, whose end is the end of a turn.
pub(crate) struct TurnBody {
    inner: ProxyBody,
    link: Option<Arc<TurnLink>>,
}

impl TurnBody {
    /// Wraps the body of an answer without a turn.
    pub(crate) fn without_turn(inner: ProxyBody) -> Self {
        Self { inner, link: None }
    }
}

impl Drop for TurnBody {
    fn drop(&mut self) {
        if let Some(link) = &self.link {
            link.is_written.store(true, Ordering::Release);
        }
    }
}

impl Body for TurnBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.inner).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
