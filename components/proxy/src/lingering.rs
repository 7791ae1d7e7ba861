//! Connections that are closed only after their peers have read what was sent.
//!
//! The kernel resets a connection that is closed while its peer still sends, and discards what has
//! not left yet. Window updates for the last bytes of an answer suffice, and on a slow link those
//! bytes wait in the kernel for a long time. A connection is therefore only shut down for writing
//! at its end, and closed when the peer has closed its side.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use futures::FutureExt;
use tokio::{
    io::{AsyncRead, AsyncWrite, Interest, ReadBuf},
    net::TcpStream,
    time::{Instant, Sleep, sleep, sleep_until},
};

use crate::clock::{time_since_start, whole_micros};

/// Time without a byte to or from a peer after which it is not waited for. Much longer than a
/// message takes over a full link.
const LINGER_IDLE_TIME: Duration = Duration::from_millis(2_500);
/// Longest wait for a peer that goes on sending, such as a caller whose upload was refused.
const MAX_LINGER_TIME: Duration = Duration::from_secs(10);
/// Time for which a blocked connection takes no byte before it is given up. The kernel accepts
/// further bytes only when a third of its buffer is free, which takes seconds on a thin link.
const WRITE_STALL_TIME: Duration = Duration::from_secs(30);
/// Size in bytes of the buffer for what is read and discarded.
const DISCARD_BYTES: usize = 4 * 1024;

/// What happens on the connections of one listener.
#[derive(Debug, Default)]
pub struct ListenerActivity {
    /// Number of open connections.
    open: AtomicUsize,
    /// Those of them that are only waiting for their peer to close.
    lingering: AtomicUsize,
    /// Time of the last byte in either direction, in microseconds on the process's clock.
    last_byte_us: AtomicU64,
}

impl ListenerActivity {
    /// Returns the time since a byte was last received or accepted for sending on any connection.
    pub fn quiet_time(&self) -> Duration {
        let last = Duration::from_micros(self.last_byte_us.load(Ordering::Relaxed));
        time_since_start().saturating_sub(last)
    }

    /// Returns whether all open connections have sent everything and wait for their peers to close.
    pub(crate) fn is_all_sent(&self) -> bool {
        self.open.load(Ordering::Acquire) == self.lingering.load(Ordering::Acquire)
    }

    fn record_byte(&self) {
        self.last_byte_us.store(whole_micros(time_since_start()), Ordering::Relaxed);
    }
}

/// The wait for a peer to close its side.
struct Linger {
    end: Instant,
    timer: Pin<Box<Sleep>>,
}

/// A connection whose shutdown ends when the peer has closed its side too.
pub(crate) struct LingeringStream<S> {
    inner: S,
    activity: Arc<ListenerActivity>,
    /// Time of the last write.
    written_at: Instant,
    /// Ends a write that is blocked for too long.
    stall: Option<Pin<Box<Sleep>>>,
    linger: Option<Linger>,
}

impl<S> LingeringStream<S> {
    /// Wraps an accepted connection.
    pub(crate) fn new(inner: S, activity: Arc<ListenerActivity>) -> Self {
        activity.open.fetch_add(1, Ordering::AcqRel);
        activity.record_byte();
        Self { inner, activity, written_at: Instant::now(), stall: None, linger: None }
    }

    /// Starts to wait for the peer. What was written long ago has been acknowledged, so that an
    /// idle connection is closed at once.
    fn begin_linger(&mut self) {
        let end = Instant::now() + MAX_LINGER_TIME;
        let timer = Box::pin(sleep_until(self.written_at + LINGER_IDLE_TIME));
        self.activity.lingering.fetch_add(1, Ordering::AcqRel);
        self.linger = Some(Linger { end, timer });
    }

    /// Records a write, or fails one that is blocked for too long.
    fn track_write(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_pending() {
            let stall = self.stall.get_or_insert_with(|| Box::pin(sleep(WRITE_STALL_TIME)));
            ready!(stall.as_mut().poll(context));
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        self.stall = None;
        self.written_at = Instant::now();
        self.activity.record_byte();
        written
    }
}

/// Whether the peer of a connection has closed its side, also while bytes before that are unread.
pub(crate) trait PeerState {
    fn is_peer_closed(&self) -> bool;
}

impl PeerState for LingeringStream<TcpStream> {
    fn is_peer_closed(&self) -> bool {
        let ready = self.inner.ready(Interest::READABLE).now_or_never();
        ready.is_some_and(|ready| ready.is_ok_and(|ready| ready.is_read_closed()))
    }
}

impl<S> Drop for LingeringStream<S> {
    fn drop(&mut self) {
        if self.linger.is_some() {
            self.activity.lingering.fetch_sub(1, Ordering::AcqRel);
        }
        self.activity.open.fetch_sub(1, Ordering::AcqRel);
    }
}

impl<S: AsyncRead + Unpin> LingeringStream<S> {
    /// Discards what the peer sends; completes when it has closed its side or is not waited for.
    fn poll_closed(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let Some(linger) = &mut self.linger else { return Poll::Ready(()) };
        let mut bytes = [0; DISCARD_BYTES];
        loop {
            let mut buffer = ReadBuf::new(&mut bytes);
            match Pin::new(&mut self.inner).poll_read(context, &mut buffer) {
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {
                    self.activity.record_byte();
                    let now = Instant::now();
                    if now >= linger.end {
                        return Poll::Ready(());
                    }
                    linger.timer.as_mut().reset(linger.end.min(now + LINGER_IDLE_TIME));
                }
                Poll::Ready(_) => return Poll::Ready(()),
                Poll::Pending => return linger.timer.as_mut().poll(context),
            }
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for LingeringStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = ready!(Pin::new(&mut self.inner).poll_read(context, buffer));
        if buffer.filled().len() > before {
            self.activity.record_byte();
        }
        Poll::Ready(read)
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for LingeringStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.track_write(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(context, slices);
        self.track_write(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger.is_none() {
            ready!(Pin::new(&mut self.inner).poll_shutdown(context))?;
            self.begin_linger();
        }
        self.poll_closed(context).map(Ok)
    }
}
