//! A body that reports its end to a handler. Slots, connections and counts are released by it when
//! an answer really ends, not when its head was sent.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::time::Instant;

use crate::body::BodyError;

/// How far a body was read when it ended early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BodyProgress {
    /// Bytes passed on to the reader.
    pub(crate) passed: u64,
    /// Length of the whole body in bytes, if it is known.
    pub(crate) size: Option<u64>,
    /// Time since the head.
    pub(crate) age: Duration,
}

/// Handles the end of a body.
pub(crate) trait BodyEndHandler: Sized {
    /// Called when the body was read completely.
    fn on_complete(self);

    /// Called when the body failed.
    fn on_failure(self, err: &BodyError, progress: BodyProgress);

    /// Called when the reader left before the end.
    fn on_abandon(self, _progress: BodyProgress) {}
}

/// A body that keeps a handler until its end.
pub(crate) struct TrackedBody<B, H: BodyEndHandler> {
    inner: B,
    handler: Option<H>,
    began: Instant,
    passed: u64,
    size: Option<u64>,
}

impl<B, H> TrackedBody<B, H>
where
    B: Body<Data = Bytes> + Unpin,
    H: BodyEndHandler,
{
    /// Wraps a body.
    pub(crate) fn new(inner: B, handler: H) -> Self {
        let size = inner.size_hint().exact();
        let (began, handler) = (Instant::now(), Some(handler));
        let mut body = Self { inner, handler, began, passed: 0, size };
        // An empty body is never read.
        body.finish_if_ended();
        body
    }

    fn finish_if_ended(&mut self) {
        if self.inner.is_end_stream() {
            self.on_complete();
        }
    }

    fn on_complete(&mut self) {
        if let Some(handler) = self.handler.take() {
            handler.on_complete();
        }
    }

    fn on_failure(&mut self, err: BodyError) -> BodyError {
        if let Some(handler) = self.handler.take() {
            handler.on_failure(&err, self.progress());
        }
        err
    }

    /// Ends the body because its deadline has passed.
    pub(crate) fn expire(mut self) {
        self.on_failure(BodyError::DeadlinePassed);
    }
}

impl<B, H: BodyEndHandler> TrackedBody<B, H> {
    /// Returns whether all of the body was read, or it has failed.
    pub(crate) fn is_ended(&self) -> bool {
        self.handler.is_none()
    }

    fn progress(&self) -> BodyProgress {
        BodyProgress { passed: self.passed, size: self.size, age: self.began.elapsed() }
    }
}

impl<B, H: BodyEndHandler> Drop for TrackedBody<B, H> {
    fn drop(&mut self) {
        if let Some(handler) = self.handler.take() {
            handler.on_abandon(self.progress());
        }
    }
}

impl<B, H> Body for TrackedBody<B, H>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<BodyError>,
    H: BodyEndHandler + Unpin,
{
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = ready!(Pin::new(&mut self.inner).poll_frame(context));
        Poll::Ready(match frame {
            Some(Ok(frame)) => {
                self.passed += frame.data_ref().map_or(0, |data| data.len() as u64);
                // A body of known length is not read beyond its last byte.
                self.finish_if_ended();
                Some(Ok(frame))
            }
            Some(Err(err)) => Some(Err(self.on_failure(err.into()))),
            None => {
                self.on_complete();
                None
            }
        })
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
