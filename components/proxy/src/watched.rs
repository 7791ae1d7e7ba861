//! A body whose end is told to whoever holds something until then.

use std::{
    future::Future,
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::time::{Instant, Sleep, sleep_until};

use crate::body::BodyError;

/// What is held until the end of a body. Dropped without a word when whoever reads it leaves.
pub(crate) trait BodyHold {
    /// Ends the hold of a body that was read whole.
    fn end_whole(self);

    /// Ends the hold of a body that broke off.
    fn end_cut(self, err: &BodyError);
}

/// A body that keeps something held until its end or its deadline.
pub(crate) struct WatchedBody<B, H> {
    inner: B,
    deadline: Option<Pin<Box<Sleep>>>,
    hold: Option<H>,
}

impl<B, H> WatchedBody<B, H>
where
    B: Body<Data = Bytes> + Unpin,
    H: BodyHold,
{
    /// Wraps a body, which must end by the deadline where there is one.
    pub(crate) fn new(inner: B, hold: H, deadline: Option<Instant>) -> Self {
        let deadline = deadline.map(|deadline| Box::pin(sleep_until(deadline)));
        let mut body = Self { inner, deadline, hold: Some(hold) };
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
        if let Some(hold) = self.hold.take() {
            hold.end_whole();
        }
    }

    fn end_cut(&mut self, err: BodyError) -> BodyError {
        if let Some(hold) = self.hold.take() {
            hold.end_cut(&err);
        }
        err
    }

    fn is_late(&mut self, context: &mut Context<'_>) -> bool {
        let deadline = self.deadline.as_mut().filter(|_| self.hold.is_some());
        deadline.is_some_and(|deadline| deadline.as_mut().poll(context).is_ready())
    }
}

impl<B, H> Body for WatchedBody<B, H>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<BodyError>,
    H: BodyHold + Unpin,
{
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.is_late(context) {
            let err = self.end_cut(BodyError::DeadlinePassed);
            return Poll::Ready(Some(Err(err)));
        }
        let frame = ready!(Pin::new(&mut self.inner).poll_frame(context));
        Poll::Ready(match frame {
            Some(Ok(frame)) => {
                // A body of a known length is not read beyond its last byte.
                self.end_if_whole();
                Some(Ok(frame))
            }
            Some(Err(err)) => Some(Err(self.end_cut(err.into()))),
            None => {
                self.end_whole();
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
