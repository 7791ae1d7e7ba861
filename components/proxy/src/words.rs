//! The border to the headers that callers and backend servers speak.

use std::{fmt::Debug, time::Duration};

use http::{HeaderMap, HeaderValue, Response, StatusCode};
use sk_decide::deadline::CallContext;

use crate::{
    body::ProxyBody,
    headers::{read_number, write_context},
};

/// What a backend server is told about a request, beside the caller's own headers.
#[derive(Clone, Copy, Debug)]
pub struct RequestNote<'a> {
    /// Time left and what nested calls carry.
    pub context: CallContext,
    /// Name of the server that is meant; another one must not run the request.
    pub server: &'a str,
    /// Service beside the daemon at which the request entered, where it is known.
    pub from: Option<&'a str>,
}

/// What the head of a server's answer is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerVerdict {
    /// The answer to the request that was sent.
    Sound,
    /// The server turned the request away: it did not run there and will not.
    NotExecuted,
    /// The answer to another request. Answers on this connection no longer match their requests.
    Foreign,
    /// An answer that cannot be the server's whole work. The request may have run.
    Unproven,
}

/// What a backend server says of itself when it is asked how it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerIdentity {
    /// How it calls itself.
    pub name: String,
    /// Requests it runs at once.
    pub slots: u32,
}

/// The headers of one platform. An implementation translates and decides nothing.
pub trait RequestWords: Debug + Send + Sync {
    /// Gives the id of the caller's attempt, as servers repeat it in their answers.
    fn attempt<'a>(&self, headers: &'a HeaderMap) -> Option<&'a HeaderValue>;

    /// Gives the id of the request that a server makes a call for, where the call's id tells. For the
    /// log only.
    fn parent<'a>(&self, attempt: &'a HeaderValue) -> Option<&'a str>;

    /// Gives how long the caller will wait, where it tells.
    fn remaining(&self, headers: &HeaderMap) -> Option<Duration>;

    /// Writes what the server is told, in place of whatever the caller sent under these names.
    fn write_request(&self, headers: &mut HeaderMap, note: &RequestNote<'_>);

    /// Reads the head of a server's answer to an attempt.
    fn read_answer(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        attempt: Option<&HeaderValue>,
    ) -> AnswerVerdict;

    /// Reads who a server is from its answer about its health; none where it is not well, is leaving or
    /// does not tell.
    fn read_identity(&self, status: StatusCode, headers: &HeaderMap) -> Option<ServerIdentity>;

    /// Brings an answer into the caller's words; one of the daemon's own bears a
    /// [`RefusalKind`](crate::RefusalKind) in its headers.
    fn write_answer(&self, response: &mut Response<ProxyBody>);
}

/// The headers of sapphirekeel's own interface.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnWords;

impl RequestWords for OwnWords {
    fn attempt<'a>(&self, _headers: &'a HeaderMap) -> Option<&'a HeaderValue> {
        None
    }

    fn parent<'a>(&self, _attempt: &'a HeaderValue) -> Option<&'a str> {
        None
    }

    fn remaining(&self, headers: &HeaderMap) -> Option<Duration> {
        read_number(headers, crate::headers::DEADLINE_HEADER).map(Duration::from_millis)
    }

    fn write_request(&self, headers: &mut HeaderMap, note: &RequestNote<'_>) {
        write_context(headers, &note.context);
    }

    fn read_answer(
        &self,
        _status: StatusCode,
        _headers: &HeaderMap,
        _attempt: Option<&HeaderValue>,
    ) -> AnswerVerdict {
        AnswerVerdict::Sound
    }

    fn read_identity(&self, _status: StatusCode, _headers: &HeaderMap) -> Option<ServerIdentity> {
        // Servers announce themselves every second.
        None
    }

    fn write_answer(&self, _response: &mut Response<ProxyBody>) {}
}
