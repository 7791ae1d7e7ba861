//! Reads answers of the local backend server ahead of the link that carries them. The server's slot
//! and connection are free as soon as it has made an answer, not only when a slow link has carried
//! all of it, or a short one has come behind the large ones that go the same way.

use std::{
    collections::VecDeque,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http::HeaderMap;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::{Instant, timeout_at},
};

use crate::{body::BodyError, transfers::LARGE_BYTES};

/// Largest answer that is read ahead, in bytes.
const MAX_ANSWER_BYTES: u64 = 1024 * 1024;
/// Bytes of answers that are kept in memory for one server, a tenth of the smallest instance's
/// memory. Further answers occupy their slots until the link has carried them.
const MAX_KEPT_BYTES: usize = 8 * 1024 * 1024;
/// Longest time for which the head of an answer waits for its body. A server that makes its answer
/// bit by bit is read no faster than its caller reads it.
const MAX_READ_TIME: Duration = Duration::from_millis(100);
/// The same for an answer of unknown length, which may be a stream of events without an end.
const MAX_READ_TIME_UNKNOWN: Duration = Duration::from_millis(20);
/// Largest part that is handed out at a time, the window of a stream between daemons. What has been
/// handed out no longer waits its turn, and short answers stand behind it on the link.
const PART_BYTES: usize = 16 * 1024;

/// Limits the answers that are kept in memory for one server.
#[derive(Clone)]
pub(crate) struct ReadAheadLimit(Arc<Semaphore>);

impl Default for ReadAheadLimit {
    fn default() -> Self {
        Self(Arc::new(Semaphore::new(MAX_KEPT_BYTES)))
    }
}

/// An answer's body as far as it was read ahead.
pub(crate) enum AheadBody {
    /// All of it.
    Whole(KeptBody),
    /// Its first bytes and the rest.
    Part(KeptBody, Incoming),
    /// It was not read ahead.
    Unread(Incoming),
}

/// Reads the body of an answer, if it may be kept, until `deadline` at the latest. Of one of unknown
/// length as much is read as shows whether it is large.
///
/// # Errors
///
/// Returns the [`BodyError`] of a body that broke off, and the number of its bytes that were read.
pub(crate) async fn read_ahead(
    mut body: Incoming,
    limit: &ReadAheadLimit,
    deadline: Instant,
) -> Result<AheadBody, (BodyError, u64)> {
    let (size, max_time) = match body.size_hint().exact() {
        Some(size) => (size, MAX_READ_TIME),
        None => (LARGE_BYTES, MAX_READ_TIME_UNKNOWN),
    };
    if !(1..=MAX_ANSWER_BYTES).contains(&size) {
        return Ok(AheadBody::Unread(body));
    }
    // The size is at most `MAX_ANSWER_BYTES`.
    let Ok(permit) = limit.0.clone().try_acquire_many_owned(size as u32) else {
        return Ok(AheadBody::Unread(body));
    };
    let mut kept = KeptBody { parts: VecDeque::new(), left: 0, trailers: None, _permit: permit };
    let until = deadline.min(Instant::now() + max_time);
    loop {
        match timeout_at(until, body.frame()).await {
            Err(_) => return Ok(AheadBody::Part(kept, body)),
            Ok(None) => return Ok(AheadBody::Whole(kept)),
            Ok(Some(Err(err))) => return Err((err.into(), kept.left)),
            Ok(Some(Ok(frame))) => kept.push(frame),
        }
        if body.is_end_stream() {
            return Ok(AheadBody::Whole(kept));
        }
        if kept.left >= size {
            return Ok(AheadBody::Part(kept, body));
        }
    }
}

/// Bytes of an answer in memory.
pub(crate) struct KeptBody {
    parts: VecDeque<Bytes>,
    /// Number of bytes that are left.
    left: u64,
    trailers: Option<HeaderMap>,
    _permit: OwnedSemaphorePermit,
}

impl KeptBody {
    /// Adds a part or the trailers.
    fn push(&mut self, frame: Frame<Bytes>) {
        match frame.into_data() {
            Ok(data) => {
                self.left += data.len() as u64;
                self.parts.push_back(data);
            }
            Err(frame) => self.trailers = frame.into_trailers().ok(),
        }
    }
}

impl Body for KeptBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let Some(mut next) = self.parts.pop_front() else {
            return Poll::Ready(self.trailers.take().map(|trailers| Ok(Frame::trailers(trailers))));
        };
        let part = next.split_to(next.len().min(PART_BYTES));
        if !next.is_empty() {
            self.parts.push_front(next);
        }
        self.left -= part.len() as u64;
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0 && self.trailers.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left)
    }
}
