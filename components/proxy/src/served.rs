//! The answer of the local backend server on its way out.

use std::{
    future::Future,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use sk_decide::quarantine::Fingerprint;
use tokio::time::{Instant, Sleep, sleep_until};

use crate::{
    body::BodyError, context::GuardContext, gate::AdmitPermit, local::GuardedServer,
    pool::ServerSender, quarantine::examine,
};

/// What an exchange with the server holds until the end of its answer.
pub(crate) struct ServerExchange {
    pub(crate) context: Arc<GuardContext>,
    pub(crate) server: Arc<GuardedServer>,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) sender: ServerSender,
    pub(crate) permit: AdmitPermit,
}

impl ServerExchange {
    /// Ends an exchange whose answer was read whole: its connection may be used again.
    fn complete(self) {
        self.context.quarantine.note_success(self.fingerprint);
        self.server.pool.release(self.sender);
        self.permit.finish();
    }

    /// Ends an exchange whose connection broke within the answer.
    fn broke(self) {
        self.permit.note_broken();
        let (quarantine, servers) = (&self.context.quarantine, &self.context.servers);
        examine(quarantine.clone(), servers.clone(), self.server.clone());
    }
}

/// The body of a server's answer. Holds the slot until its end, or until its caller leaves: then
/// the connection is dropped unread and so closed, and the server can tell that nobody waits.
pub(crate) struct ServedBody {
    inner: Incoming,
    deadline: Pin<Box<Sleep>>,
    exchange: Option<ServerExchange>,
}

impl ServedBody {
    /// Wraps the body of an answer that must end by the deadline.
    pub(crate) fn new(inner: Incoming, exchange: ServerExchange, deadline: Instant) -> Self {
        let deadline = Box::pin(sleep_until(deadline));
        let mut body = Self { inner, deadline, exchange: Some(exchange) };
        // An empty body is never read.
        body.end_if_whole();
        body
    }

    fn end_if_whole(&mut self) {
        if self.inner.is_end_stream() {
            self.end_whole();
        }
    }

    fn end_whole(&mut self) {
        if let Some(exchange) = self.exchange.take() {
            exchange.complete();
        }
    }
}

impl Body for ServedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.exchange.is_some() && self.deadline.as_mut().poll(context).is_ready() {
            self.exchange = None;
            return Poll::Ready(Some(Err(BodyError::DeadlinePassed)));
        }
        match ready!(Pin::new(&mut self.inner).poll_frame(context)) {
            Some(Ok(frame)) => {
                // A body of a known length is not read beyond its last byte.
                self.end_if_whole();
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(err)) => {
                if let Some(exchange) = self.exchange.take() {
                    exchange.broke();
                }
                Poll::Ready(Some(Err(err.into())))
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
