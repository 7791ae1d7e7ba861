//! The stream below the HTTP library, which hands it one head at a time and reads on meanwhile.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{Sleep, sleep},
};

use super::{
    EarlyService, PipelineBudget,
    ahead::{LookAhead, READ_BYTES},
    head::HeadScan,
    turn::{BodyFraming, TurnLink},
};
use crate::{lingering::PeerState, server_calls::CallerPeer};

/// Time between checks of whether a caller has closed a connection from which nothing more is
/// read. Its requests have to end within half a second.
const PEER_CHECK: Duration = Duration::from_millis(200);

/// What the HTTP library reads next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reading {
    /// A head that was not read ahead.
    Head(HeadScan),
    /// The rest of a head that was read ahead, in bytes.
    Parsed(usize),
    /// Nothing, until it has called the service for the head that it received.
    Called,
    /// The rest of a body, in bytes.
    Body(u64),
    /// Nothing, until the answer is written.
    Answering,
    /// Whatever comes: HTTP/2, chunked bodies and what follows them.
    Opaque,
}

/// The part of a stream that exists where requests may be pipelined.
struct StreamPipeline {
    reading: Reading,
    /// Whether the answer was written before the request's body was read.
    is_answered: bool,
    /// Whether the caller takes no more bytes of answers. Nothing is started for it then.
    is_stalled: bool,
    ahead: LookAhead,
    service: Arc<dyn EarlyService>,
    link: Arc<TurnLink>,
    /// Next check of a peer of which nothing more is read.
    peer_check: Option<Pin<Box<Sleep>>>,
}

/// An accepted connection whose requests may be pipelined.
pub(crate) struct PipelineStream<S> {
    inner: S,
    pipeline: Option<Box<StreamPipeline>>,
}

impl<S> PipelineStream<S> {
    /// Wraps a connection without pipelines.
    pub(crate) fn plain(inner: S) -> Self {
        Self { inner, pipeline: None }
    }

    /// Wraps a connection of a caller, and returns the link for its service.
    pub(crate) fn pipelined(
        inner: S,
        (service, budget): (Arc<dyn EarlyService>, Arc<PipelineBudget>),
        caller: CallerPeer,
    ) -> (Self, Arc<TurnLink>) {
        let link = Arc::<TurnLink>::default();
        let pipeline = StreamPipeline {
            reading: Reading::Head(HeadScan::default()),
            is_answered: false,
            is_stalled: false,
            ahead: LookAhead::new(service.clone(), budget, caller),
            service,
            link: link.clone(),
            peer_check: None,
        };
        (Self { inner, pipeline: Some(Box::new(pipeline)) }, link)
    }
}

impl Reading {
    /// Counts bytes that the HTTP library receives, and returns how many of them it may have.
    fn pass(&mut self, bytes: &[u8]) -> usize {
        let (next, passed) = match *self {
            Self::Head(mut scan) => match scan.find_end(bytes) {
                Some(length) => (Self::Called, length),
                None => (Self::Head(scan), bytes.len()),
            },
            Self::Parsed(left) if left <= bytes.len() => (Self::Called, left),
            Self::Parsed(left) => (Self::Parsed(left - bytes.len()), bytes.len()),
            // A slice is never longer than a `u64` counts.
            Self::Body(left) if left <= bytes.len() as u64 => (Self::Body(0), left as usize),
            Self::Body(left) => (Self::Body(left - bytes.len() as u64), bytes.len()),
            Self::Called | Self::Answering | Self::Opaque => (*self, bytes.len()),
        };
        *self = next;
        passed
    }
}

impl<S> PipelineStream<S> {
    /// Records whether the caller takes the bytes of answers.
    fn track_stall(&mut self, written: &Poll<io::Result<usize>>) {
        if let Some(pipeline) = &mut self.pipeline {
            pipeline.is_stalled = written.is_pending();
        }
    }
}

impl StreamPipeline {
    /// Moves on to what the HTTP library reads next.
    fn advance(&mut self) {
        if self.link.is_closing() {
            self.ahead.close();
        }
        if self.reading == Reading::Called {
            self.ahead.resume();
            self.reading = match self.link.take_called() {
                Some(BodyFraming::Sized(size)) => Reading::Body(size),
                // It reads on without a call, so that it does not take the head for a whole one.
                Some(BodyFraming::Chunked) | None => Reading::Opaque,
            };
        }
        if self.reading == Reading::Body(0) {
            self.reading = Reading::Answering;
        }
        if self.reading == Reading::Answering && self.is_answered {
            self.is_answered = false;
            self.peer_check = None;
            self.reading = match self.ahead.take_next() {
                Some((request, length)) => {
                    self.link.set_started(self.ahead.has_started());
                    self.link.set_next(request);
                    Reading::Parsed(length)
                }
                None => Reading::Head(HeadScan::default()),
            };
        }
    }

    /// Records that everything handed to the stream was sent; returns whether bytes that were read
    /// ahead wait for the HTTP library.
    fn on_flushed(&mut self) -> bool {
        if self.link.take_written() {
            self.is_answered = true;
            self.advance();
            return !self.ahead.is_empty();
        }
        if self.link.is_closing() {
            self.ahead.close();
        }
        false
    }

    /// Hands out bytes that were read ahead.
    fn pass_ahead(&mut self, buffer: &mut ReadBuf<'_>) {
        let count = self.ahead.bytes().len().min(buffer.remaining());
        let bytes = &self.ahead.bytes()[..count];
        let passed = self.reading.pass(bytes);
        buffer.put_slice(&bytes[..passed]);
        self.ahead.consume(passed);
    }

    /// Reads on while a request is being answered. Completes at the end of the connection only.
    fn poll_ahead<S: AsyncRead + PeerState + Unpin>(
        &mut self,
        inner: &mut S,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        let mut bytes = [0; READ_BYTES];
        let end = loop {
            if !self.ahead.reserve() {
                break self.poll_peer(inner, context).map(Ok);
            }
            let mut buffer = ReadBuf::new(&mut bytes);
            match Pin::new(&mut *inner).poll_read(context, &mut buffer) {
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {
                    self.ahead.push(buffer.filled());
                }
                end => break end,
            }
        };
        if end.is_ready() {
            self.ahead.close();
            return end;
        }
        if !self.ahead.is_empty() && !self.is_stalled {
            let (link, service) = (&self.link, &*self.service);
            // Set before, so that no answer closes the connection while a request is being started.
            link.set_started(true);
            self.ahead.start_safe(|| link.is_current_safe(service));
            link.set_started(self.ahead.has_started());
        }
        Poll::Pending
    }

    /// Completes when the peer has closed the connection, although not all of it was read.
    fn poll_peer<S: PeerState>(&mut self, inner: &S, context: &mut Context<'_>) -> Poll<()> {
        loop {
            let check = self.peer_check.get_or_insert_with(|| Box::pin(sleep(PEER_CHECK)));
            ready!(check.as_mut().poll(context));
            self.peer_check = None;
            if inner.is_peer_closed() {
                return Poll::Ready(());
            }
        }
    }
}

impl<S: AsyncRead + PeerState + Unpin> AsyncRead for PipelineStream<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let Self { inner, pipeline } = self.get_mut();
        let Some(pipeline) = pipeline else {
            return Pin::new(inner).poll_read(context, buffer);
        };
        pipeline.advance();
        if pipeline.reading == Reading::Answering {
            return pipeline.poll_ahead(inner, context);
        }
        if !pipeline.ahead.is_empty() {
            pipeline.pass_ahead(buffer);
            return Poll::Ready(Ok(()));
        }
        let before = buffer.filled().len();
        ready!(Pin::new(inner).poll_read(context, buffer))?;
        let passed = before + pipeline.reading.pass(&buffer.filled()[before..]);
        if passed < buffer.filled().len() {
            pipeline.ahead.push(&buffer.filled()[passed..]);
            buffer.set_filled(passed);
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for PipelineStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.track_stall(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(context, slices);
        self.track_stall(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Self { inner, pipeline } = self.get_mut();
        ready!(Pin::new(inner).poll_flush(context))?;
        // The HTTP library waits for the connection, which has nothing new to read.
        if pipeline.as_mut().is_some_and(|pipeline| pipeline.on_flushed()) {
            context.waker().wake_by_ref();
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Self { inner, pipeline } = self.get_mut();
        if let Some(pipeline) = pipeline {
            pipeline.ahead.close();
            pipeline.link.end_next();
        }
        Pin::new(inner).poll_shutdown(context)
    }
}
