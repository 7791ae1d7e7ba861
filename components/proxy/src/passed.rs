//! The answer to a caller on its way out of the daemon it entered by.

use std::{
    future::Future,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use http::HeaderValue;
use hyper::body::{Body, Frame, SizeHint};
use sk_decide::placing::{CallOutcome, PlacedCall};
use tokio::time::{Instant, Sleep, sleep_until};

use crate::{
    body::{BodyError, ProxyBody},
    clock::process_now,
    counters::ProxyCounters,
    story::text_of,
};

/// Counts a caller's request as in flight until it is dropped with the end of its answer.
pub(crate) struct EntryCount {
    counters: Arc<ProxyCounters>,
    /// The caller's id of the attempt.
    attempt: Option<HeaderValue>,
}

impl EntryCount {
    pub(crate) fn new(counters: Arc<ProxyCounters>) -> Self {
        counters.enter();
        Self { counters, attempt: None }
    }

    /// Sets the id under which the log tells of an answer that is cut.
    pub(crate) fn name(&mut self, attempt: Option<HeaderValue>) {
        self.attempt = attempt;
    }
}

impl Drop for EntryCount {
    fn drop(&mut self) {
        self.counters.leave();
    }
}

/// A call in flight to an endpoint, with how its head was judged.
struct OpenCall {
    placed: PlacedCall,
    outcome: Option<CallOutcome>,
    latency: Duration,
    deadline: Pin<Box<Sleep>>,
    counters: Arc<ProxyCounters>,
}

impl OpenCall {
    fn finish(self, outcome: Option<CallOutcome>) {
        if let Some(outcome) = outcome {
            self.placed.finish(outcome, self.latency, process_now());
        }
    }
}

/// An answer's body that keeps its request counted until its end.
pub(crate) struct PassedBody {
    inner: ProxyBody,
    call: Option<OpenCall>,
    count: Option<EntryCount>,
}

impl PassedBody {
    /// Keeps a request counted as in flight in this daemon.
    pub(crate) fn counted(inner: ProxyBody, count: EntryCount) -> Self {
        Self { inner, call: None, count: Some(count) }
    }

    /// Keeps a request counted as in flight to its endpoint.
    pub(crate) fn placed(
        inner: ProxyBody,
        placed: PlacedCall,
        outcome: Option<CallOutcome>,
        latency: Duration,
        deadline: Instant,
        counters: Arc<ProxyCounters>,
    ) -> Self {
        let deadline = Box::pin(sleep_until(deadline));
        let call = OpenCall { placed, outcome, latency, deadline, counters };
        let mut body = Self { inner, call: Some(call), count: None };
        body.end_if_whole();
        body
    }

    fn end_if_whole(&mut self) {
        if self.inner.is_end_stream() {
            self.end_whole();
        }
    }

    fn end_whole(&mut self) {
        self.count = None;
        if let Some(call) = self.call.take() {
            let outcome = call.outcome;
            call.finish(outcome);
        }
    }

    fn end_cut(&mut self) {
        self.count = None;
        if let Some(call) = self.call.take() {
            call.counters.count_cut();
            call.finish(Some(CallOutcome::Failure));
        }
    }

    fn is_late(&mut self, context: &mut Context<'_>) -> bool {
        let call = self.call.as_mut();
        call.is_some_and(|call| call.deadline.as_mut().poll(context).is_ready())
    }
}

impl Body for PassedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.is_late(context) {
            self.end_cut();
            return Poll::Ready(Some(Err(BodyError::DeadlinePassed)));
        }
        match ready!(Pin::new(&mut self.inner).poll_frame(context)) {
            Some(Ok(frame)) => {
                self.end_if_whole();
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(err)) => {
                if let Some(count) = &self.count {
                    let attempt = text_of(count.attempt.as_ref());
                    log::warn!(attempt; "proxy: an answer was cut after its head: {err}.");
                }
                self.end_cut();
                Poll::Ready(Some(Err(err)))
            }
            None => {
                self.end_whole();
                Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
