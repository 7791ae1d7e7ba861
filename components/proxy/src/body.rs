//! Bodies of requests and answers.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Full, combinators::UnsyncBoxBody};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use thiserror::Error;

/// Body of a request or answer: streamed from a peer, or made here.
pub type ProxyBody = UnsyncBoxBody<Bytes, BodyError>;

/// Why a body ends early. Whoever reads it sees its stream reset or its connection closed.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The connection it came from failed.
    #[error("body was lost: {0}")]
    Lost(#[from] hyper::Error),
    /// The stream it came from was ended without its last frame.
    #[error("body was cut")]
    Cut,
    /// It is larger than allowed.
    #[error("body is larger than allowed")]
    TooLarge,
    /// The request's deadline passed.
    #[error("deadline passed before the end of the body")]
    DeadlinePassed,
}

/// Creates a body of bytes at hand.
pub(crate) fn whole_body(bytes: Bytes) -> ProxyBody {
    match bytes.is_empty() {
        true => Empty::new().map_err(|never| match never {}).boxed_unsync(),
        false => Full::new(bytes).map_err(|never| match never {}).boxed_unsync(),
    }
}

/// A body from a peer that fails where the peer stopped early.
///
/// In HTTP/2 a stream that is reset with the code for "no error" reads as one that has ended, so a
/// cut upload would run as a whole one, or a cut answer pass as complete. Only the last frame says
/// that a body is whole, so its absence is an error here.
pub(crate) struct CheckedBody {
    inner: Incoming,
    is_framed: bool,
}

impl CheckedBody {
    /// Checks the body of a message of a protocol version.
    pub(crate) fn new(inner: Incoming, version: http::Version) -> Self {
        Self { inner, is_framed: version == http::Version::HTTP_2 }
    }
}

impl Body for CheckedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = Pin::new(&mut self.inner).poll_frame(context);
        match frame {
            Poll::Ready(None) if self.is_framed && !self.inner.is_end_stream() => {
                Poll::Ready(Some(Err(BodyError::Cut)))
            }
            frame => frame.map_err(BodyError::from),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// A body whose first part was read already and comes first again.
pub(crate) struct PrefixedBody<B> {
    prefix: Bytes,
    rest: B,
}

impl<B> PrefixedBody<B> {
    /// Puts bytes before the rest of a body.
    pub(crate) fn new(prefix: Bytes, rest: B) -> Self {
        Self { prefix, rest }
    }
}

impl<B: Body<Data = Bytes, Error = BodyError> + Unpin> Body for PrefixedBody<B> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if !self.prefix.is_empty() {
            let prefix = std::mem::take(&mut self.prefix);
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        Pin::new(&mut self.rest).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.prefix.is_empty() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let (rest, prefix) = (self.rest.size_hint(), self.prefix.len() as u64);
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower() + prefix);
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + prefix);
        }
        hint
    }
}
