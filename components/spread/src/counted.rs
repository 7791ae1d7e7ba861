//! Counts control bytes, and bounds what a connection may send before its peer has authenticated.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
};

use capnp_rpc::rpc_twoparty_capnp::Side;
use serde::Serialize;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::session::SharedConnectionState;

/// Bytes that the connecting side may send before it has authenticated. A challenge and a proof
/// take a few hundred; without the limit a foreign process could make a daemon buffer whole
/// messages.
const MAX_UNAUTHENTICATED_CALLER_BYTES: u64 = 8 * 1_024;
/// The same for the accepting side. It authenticates with its last answer, and its first calls may
/// follow in the same packet, before that answer is checked.
const MAX_UNAUTHENTICATED_CALLEE_BYTES: u64 = 256 * 1_024;
/// Allowance of an authenticated connection.
const UNBOUNDED: u64 = u64::MAX;

/// Control bytes since the start of the process; TCP payload only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ControlBytes {
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
}

/// Counters of control bytes, shared by all connections.
#[derive(Debug, Default)]
pub struct ControlMeter {
    sent: AtomicU64,
    received: AtomicU64,
}

impl ControlMeter {
    /// Returns the current counts.
    pub fn bytes(&self) -> ControlBytes {
        ControlBytes {
            sent: self.sent.load(Ordering::Relaxed),
            received: self.received.load(Ordering::Relaxed),
        }
    }
}

/// Number of bytes that one connection may still receive.
#[derive(Debug)]
pub(crate) struct ByteAllowance(AtomicU64);

impl ByteAllowance {
    /// Creates the allowance of a connection whose peer has not authenticated; `side` is this
    /// daemon's role.
    pub(crate) fn unauthenticated(side: Side) -> Arc<Self> {
        Arc::new(Self(AtomicU64::new(match side {
            Side::Server => MAX_UNAUTHENTICATED_CALLER_BYTES,
            Side::Client => MAX_UNAUTHENTICATED_CALLEE_BYTES,
        })))
    }

    /// Removes the limit, once the peer has authenticated.
    pub(crate) fn lift(&self) {
        self.0.store(UNBOUNDED, Ordering::Relaxed);
    }

    /// Returns how many bytes may still arrive.
    fn left(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    /// Deducts received bytes, unless the limit is lifted.
    fn deduct(&self, count: u64) {
        let left = self.left();
        if left != UNBOUNDED {
            self.0.store(left.saturating_sub(count), Ordering::Relaxed);
        }
    }
}

/// A stream that counts its bytes, and bounds the received ones until its peer has authenticated.
/// Reads fail once the allowance is used up, which ends the connection.
pub(crate) struct CountedStream {
    stream: TcpStream,
    meter: Arc<ControlMeter>,
    allowance: Arc<ByteAllowance>,
    connection: SharedConnectionState,
}

impl CountedStream {
    /// Wraps a stream; `connection` records when bytes arrive.
    pub(crate) fn new(
        stream: TcpStream,
        meter: Arc<ControlMeter>,
        allowance: Arc<ByteAllowance>,
        connection: SharedConnectionState,
    ) -> Self {
        Self { stream, meter, allowance, connection }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let stream = &mut *self;
        let left = usize::try_from(stream.allowance.left()).unwrap_or(usize::MAX);
        if left == 0 {
            return Poll::Ready(Err(io::ErrorKind::PermissionDenied.into()));
        }
        let limit = left.min(buf.remaining());
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(limit));
        ready!(Pin::new(&mut stream.stream).poll_read(cx, &mut part))?;
        let count = part.filled().len();
        buf.advance(count);
        stream.meter.received.fetch_add(count as u64, Ordering::Relaxed);
        stream.allowance.deduct(count as u64);
        stream.connection.record_received();
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        self.meter.sent.fetch_add(count as u64, Ordering::Relaxed);
        Poll::Ready(Ok(count))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
