//! The body of a caller's request, and whether it can be sent again.

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
use hyper::body::{Body, Incoming};

use crate::body::{BodyError, CheckedBody, PrefixedBody, ProxyBody, whole_body};

/// Bytes of a body that are kept so that it can be sent again. Covers nearly all queries and
/// confirmations; at a thousand requests in flight it is 64 MB at the very worst, and documents
/// are streamed instead.
const REPLAY_BYTES: usize = 64 * 1024;

/// Longest time for which a refused body is read, so that its sender learns of the refusal.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// The body of a request, by whether it is at hand.
pub(crate) enum UploadBody {
    /// All of it is here and can be sent any number of times.
    Whole(Bytes),
    /// It is larger than is kept, and can be sent once.
    Stream {
        /// The first part of it.
        prefix: Bytes,
        /// All of it, until it is sent.
        body: Option<ProxyBody>,
        /// Set when it turns out to be larger than the settings allow.
        overrun: Arc<AtomicBool>,
    },
}

/// Why a body could not be taken.
#[derive(Debug)]
pub(crate) enum UploadError {
    /// It is larger than the settings allow.
    TooLarge,
    /// The caller's connection failed, or it did not end in time.
    Lost,
}

impl UploadBody {
    /// Reads a body, or its first part if it is large.
    pub(crate) async fn read(
        request: Request<Incoming>,
        limit: u64,
        wait: Duration,
    ) -> (http::request::Parts, Result<Self, UploadError>) {
        let (parts, body) = request.into_parts();
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

    /// Returns the body for an attempt, or nothing if it was sent and cannot be again.
    pub(crate) fn take(&mut self) -> Option<ProxyBody> {
        match self {
            Self::Whole(bytes) => Some(whole_body(bytes.clone())),
            Self::Stream { body, .. } => body.take(),
        }
    }

    /// Returns the bytes that a fingerprint is made over.
    pub(crate) fn sample(&self) -> &[u8] {
        match self {
            Self::Whole(bytes) | Self::Stream { prefix: bytes, .. } => bytes,
        }
    }

    /// Returns whether a body that is being sent has passed the allowed size.
    pub(crate) fn has_overrun(&self) -> bool {
        matches!(self, Self::Stream { overrun, .. } if overrun.load(Ordering::Acquire))
    }

    /// Returns whether the body can be sent again.
    pub(crate) fn is_whole(&self) -> bool {
        matches!(self, Self::Whole(_))
    }

    /// Sets the length of a body whose sender gave it in chunks, now that it is known.
    pub(crate) fn set_length(&self, headers: &mut http::HeaderMap) {
        if let Self::Whole(bytes) = self
            && !bytes.is_empty()
        {
            headers.insert(header::CONTENT_LENGTH, bytes.len().into());
        }
    }
}

/// Reads and drops a body that is refused, for a bounded time and length.
///
/// A caller that is still sending when the connection closes gets a reset, often before it has read
/// the answer, and does not learn why. One that asked first has sent nothing and needs no such wait.
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
        log::debug!("proxy: a refused body took too long to read.");
    }
}

/// What was read of a body.
pub(crate) enum BodyPrefix {
    /// All of it.
    Whole(Bytes),
    /// More than is kept, with more to come.
    Part(Bytes),
}

/// Reads a body to its end, or until more is read than is kept.
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

async fn read_first(body: CheckedBody, limit: u64) -> Result<UploadBody, UploadError> {
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    let mut rest = Limited::new(body, limit);
    let prefix = match read_prefix(&mut rest).await {
        Ok(BodyPrefix::Whole(bytes)) => return Ok(UploadBody::Whole(bytes)),
        Ok(BodyPrefix::Part(bytes)) => bytes,
        Err(err) if err.is::<LengthLimitError>() => return Err(UploadError::TooLarge),
        Err(_) => return Err(UploadError::Lost),
    };
    let overrun = Arc::new(AtomicBool::new(false));
    let noted = overrun.clone();
    let rest = rest.map_err(move |err| match err.downcast::<BodyError>() {
        Ok(err) => *err,
        Err(_) => {
            noted.store(true, Ordering::Release);
            BodyError::TooLarge
        }
    });
    let body = PrefixedBody::new(prefix.clone(), rest).boxed_unsync();
    Ok(UploadBody::Stream { prefix, body: Some(body), overrun })
}
