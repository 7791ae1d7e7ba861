//! Counting of control bytes.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
};

use serde::Serialize;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Control bytes since the start of the process, TCP payload only.
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
    /// Reads the counters.
    pub fn bytes(&self) -> ControlBytes {
        ControlBytes {
            sent: self.sent.load(Ordering::Relaxed),
            received: self.received.load(Ordering::Relaxed),
        }
    }
}

/// A stream whose bytes are counted.
pub(crate) struct CountedStream {
    stream: TcpStream,
    meter: Arc<ControlMeter>,
}

impl CountedStream {
    pub(crate) fn new(stream: TcpStream, meter: Arc<ControlMeter>) -> Self {
        Self { stream, meter }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let count = (buf.filled().len() - before) as u64;
        self.meter.received.fetch_add(count, Ordering::Relaxed);
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
