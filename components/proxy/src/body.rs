//! Bodies of requests and answers. A body that ends early is an error to its reader, so that a
//! truncated one never passes as complete.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Full, combinators::UnsyncBoxBody};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use thiserror::Error;

/// Body of a request or answer, streamed from a peer or created here.
pub type ProxyBody = UnsyncBoxBody<Bytes, BodyError>;

/// Body of a caller's request; `None` if its head was read ahead and announces no body.
pub type CallerBody = Option<Incoming>;

/// Why a body ends early. Its reader sees the stream reset or the connection closed.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The connection that it came from failed.
    #[error("connection of the body failed")]
    Lost(#[from] hyper::Error),
    /// Its stream ended without the last frame.
    #[error("body ended without its last frame")]
    Cut,
    /// It is larger than allowed.
    #[error("body is larger than allowed")]
    TooLarge,
    /// The request's deadline passed.
    #[error("deadline passed before the end of the body")]
    DeadlinePassed,
}

/// Returns the messages of an error and of its causes, separated by colons.
pub(crate) fn error_chain(err: &(dyn std::error::Error + 'static)) -> String {
    let causes = std::iter::successors(Some(err), |err| err.source());
    let messages: Vec<String> = causes.map(ToString::to_string).collect();
    messages.join(": ")
}

/// Creates a body from bytes in memory.
pub(crate) fn whole_body(bytes: Bytes) -> ProxyBody {
    match bytes.is_empty() {
        true => Empty::new().map_err(|never| match never {}).boxed_unsync(),
        false => Full::new(bytes).map_err(|never| match never {}).boxed_unsync(),
    }
}

/// A body from a peer that returns an error if the peer stopped early.
///
/// In HTTP/2 a stream that is reset with the code for "no error" reads like one that has ended, so
/// a truncated upload would run as a complete one, and a truncated answer would pass as complete.
/// Only the last frame shows that a body is complete, so its absence is an error here.
pub(crate) struct CheckedBody {
    inner: Incoming,
    is_framed: bool,
}

impl CheckedBody {
    /// Wraps the body of a message of a protocol version.
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

/// A body whose first part was already read and is returned first.
pub(crate) struct PrefixedBody<P, B> {
    prefix: P,
    rest: B,
}

impl<P, B> PrefixedBody<P, B> {
    /// Puts a prefix before the rest of a body.
    pub(crate) fn new(prefix: P, rest: B) -> Self {
        Self { prefix, rest }
    }
}

impl<P, B> Body for PrefixedBody<P, B>
where
    P: Body<Data = Bytes, Error = BodyError> + Unpin,
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<BodyError>,
{
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.prefix.is_end_stream() {
            false => Pin::new(&mut self.prefix).poll_frame(context),
            true => Pin::new(&mut self.rest).poll_frame(context).map_err(Into::into),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.prefix.is_end_stream() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let (rest, prefix) = (self.rest.size_hint(), self.prefix.size_hint().lower());
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower() + prefix);
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + prefix);
        }
        hint
    }
}
