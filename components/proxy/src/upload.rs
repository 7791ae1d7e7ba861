//! The body of a caller's request, and whether it can be sent again. Small bodies are kept in
//! memory for retries; larger ones are streamed, so that uploads do not exhaust the daemon's
//! memory.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http::{Request, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Body;

use crate::body::{BodyError, CallerBody, CheckedBody, PrefixedBody, ProxyBody, whole_body};

/// Largest body that is kept so that it can be sent again, in bytes. Covers nearly all queries and
/// confirmations; at a thousand requests in flight it is 64 MB at the very worst, and documents
/// are streamed instead.
const REPLAY_BYTES: usize = 64 * 1024;

/// Longest time for which a refused body is read, so that its sender receives the refusal.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// The body of a request, by whether it is completely in memory.
pub(crate) enum UploadBody {
    /// The whole body, which can be sent any number of times.
    Whole(Bytes),
    /// A body larger than [`REPLAY_BYTES`], which can be sent once.
    Stream {
        /// Its first part.
        prefix: Bytes,
        /// The whole body, until it is sent.
        body: Option<ProxyBody>,
        /// Set when it turns out to be larger than the settings allow.
        is_over_limit: Arc<AtomicBool>,
    },
}

/// Why a body could not be read.
#[derive(Debug)]
pub(crate) enum UploadError {
    /// It is larger than the settings allow.
    TooLarge,
    /// The caller's connection failed, or the body did not end in time.
    Lost,
}

impl UploadBody {
    /// Reads a body, or its first part if it is large. `limit` is the largest body in bytes, and
    /// `wait` the longest time for what is read here.
    pub(crate) async fn read(
        request: Request<CallerBody>,
        limit: u64,
        wait: Duration,
    ) -> (http::request::Parts, Result<Self, UploadError>) {
        let (parts, body) = request.into_parts();
        let Some(body) = body else { return (parts, Ok(Self::Whole(Bytes::new()))) };
        let body = CheckedBody::new(body, parts.version);
        if body.size_hint().lower() > limit {
            if !parts.headers.contains_key(header::EXPECT) {
                discard(body, limit).await;
            }
            return (parts, Err(UploadError::TooLarge));
        }
        if body.is_end_stream() {
            return (parts, Ok(Self::Whole(Bytes::new())));
        }
        let read = tokio::time::timeout(wait, read_first(body, limit)).await;
        (parts, read.unwrap_or(Err(UploadError::Lost)))
    }

    /// Returns the body for an attempt, or `None` if it was sent and cannot be sent again.
    pub(crate) fn take(&mut self) -> Option<ProxyBody> {
        match self {
            Self::Whole(bytes) => Some(whole_body(bytes.clone())),
            Self::Stream { body, .. } => body.take(),
        }
    }

    /// Returns the bytes that the request's fingerprint covers.
    pub(crate) fn sample(&self) -> &[u8] {
        match self {
            Self::Whole(bytes) | Self::Stream { prefix: bytes, .. } => bytes,
        }
    }

    /// Returns whether a body that is being sent has exceeded the allowed size.
    pub(crate) fn is_over_limit(&self) -> bool {
        matches!(self, Self::Stream { is_over_limit, .. } if is_over_limit.load(Ordering::Acquire))
    }

    /// Returns whether the body can be sent again.
    pub(crate) fn is_whole(&self) -> bool {
        matches!(self, Self::Whole(_))
    }

    /// Sets the length of a body that arrived in chunks, now that it is known.
    pub(crate) fn set_length(&self, headers: &mut http::HeaderMap) {
        if let Self::Whole(bytes) = self
            && !bytes.is_empty()
        {
            headers.insert(header::CONTENT_LENGTH, bytes.len().into());
        }
    }
}

/// Reads and drops a refused body, for a bounded time and length.
///
/// A caller that is still sending when the connection closes receives a reset, often before it has
/// read the answer, and does not learn the reason. A caller that sent `Expect` has sent no body
/// yet and needs no such wait.
async fn discard(mut body: CheckedBody, limit: u64) {
    let read = async {
        let mut length = 0;
        while let Some(Ok(frame)) = body.frame().await {
            length += frame.data_ref().map_or(0, |data| data.len() as u64);
            if length > limit.saturating_mul(2) {
                return;
            }
        }
    };
    if tokio::time::timeout(DISCARD_TIMEOUT, read).await.is_err() {
        log::debug!("proxy: stopped reading the body of a refused request: it took too long.");
    }
}

/// The part of a body that was read.
pub(crate) enum BodyPrefix {
    /// The whole body.
    Whole(Bytes),
    /// More than [`REPLAY_BYTES`], with more to come.
    Part(Bytes),
}

/// Reads a body to its end, or until more than [`REPLAY_BYTES`] are read.
///
/// # Errors
///
/// Returns the error of the body.
pub(crate) async fn read_prefix<B>(body: &mut B) -> Result<BodyPrefix, B::Error>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut read = BytesMut::new();
    while read.len() <= REPLAY_BYTES {
        let Some(frame) = body.frame().await else { return Ok(BodyPrefix::Whole(read.freeze())) };
        if let Ok(data) = frame?.into_data() {
            read.extend_from_slice(&data);
        }
    }
    Ok(BodyPrefix::Part(read.freeze()))
}

/// Reads a body, or its first part if it is large. The rest counts against the limit while it is
/// sent.
async fn read_first(body: CheckedBody, limit: u64) -> Result<UploadBody, UploadError> {
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    let mut rest = Limited::new(body, limit);
    let prefix = match read_prefix(&mut rest).await {
        Ok(BodyPrefix::Whole(bytes)) => return Ok(UploadBody::Whole(bytes)),
        Ok(BodyPrefix::Part(bytes)) => bytes,
        Err(err) if err.is::<LengthLimitError>() => return Err(UploadError::TooLarge),
        Err(_) => return Err(UploadError::Lost),
    };
    let is_over_limit = Arc::new(AtomicBool::new(false));
    let flag = is_over_limit.clone();
    let rest = rest.map_err(move |err| match err.downcast::<BodyError>() {
        Ok(err) => *err,
        Err(_) => {
            flag.store(true, Ordering::Release);
            BodyError::TooLarge
        }
    });
    let body = PrefixedBody::new(whole_body(prefix.clone()), rest).boxed_unsync();
    Ok(UploadBody::Stream { prefix, body: Some(body), is_over_limit })
}
