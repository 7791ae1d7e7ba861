//! Translation of the headers that callers and backend servers use. The request path itself only
//! knows the types here, so a platform's header names stay in one implementation of
//! [`HeaderTranslation`].

use std::{fmt::Debug, time::Duration};

use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use sk_decide::{
    admitting::{ServerLoad, StatedRate},
    deadline::CallContext,
};

use crate::{
    body::ProxyBody,
    headers::{
        LEAVING_HEADER, RATE_LIMIT_HEADER, SERVER_LOAD_HEADER, WORKSPACE_HEADER, read_number,
        write_context,
    },
};

/// Largest number in a server's load that is read.
const MAX_LOAD_NUMBER: f64 = 1e6;
/// Slowness of a server that reports none, in per cent.
const USUAL_SLOWNESS: u32 = 100;

/// What a backend server receives about a request, beside the caller's own headers.
#[derive(Clone, Copy, Debug)]
pub struct ServerRequestInfo<'a> {
    /// Remaining time, and the context that nested calls carry on.
    pub context: CallContext,
    /// Name of the intended server; another server must not run the request.
    pub server: &'a str,
    /// Service beside the entry daemon, where it is known.
    pub from: Option<&'a str>,
    /// Workspace whose key the caller sent, if the request needs a key.
    pub workspace: Option<&'a str>,
}

/// How the head of a server's answer is classified.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerVerdict {
    /// The answer to the request that was sent.
    Valid,
    /// The server rejected the request: it did not run there and will not.
    NotExecuted,
    /// The answer to another request. Answers on this connection no longer match their requests.
    OtherRequest,
    /// An answer that cannot be the server's complete result. The request may have run.
    Incomplete,
}

/// What a backend server states about itself in the head of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerTerms {
    /// Requests a second that it takes from all callers together; `None` if the statement cannot be
    /// read, in which case the last one still holds.
    pub rate: Option<StatedRate>,
    /// Whether it leaves and takes no further requests.
    pub is_leaving: bool,
}

/// Identity that a backend server reports in the answer to a health request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerIdentity {
    /// Name that the server reports.
    pub name: String,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
}

/// The headers of one platform. An implementation translates and decides nothing.
pub trait HeaderTranslation: Debug + Send + Sync {
    /// Returns the id of the caller's attempt, which servers repeat in their answers.
    fn attempt_id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a HeaderValue>;

    /// Returns the id of the request for which a server makes a call, if the call's id contains it.
    fn parent_request_id<'a>(&self, attempt: &'a str) -> Option<&'a str>;

    /// Returns whether servers copy the proofs of [`CallProofs`](crate::CallProofs) into their calls.
    fn passes_proofs(&self) -> bool {
        false
    }

    /// Returns how long the caller will wait, if the request states it.
    fn remaining(&self, headers: &HeaderMap) -> Option<Duration>;

    /// Writes the headers for the server, replacing whatever the caller sent under these names.
    fn write_request(&self, headers: &mut HeaderMap, info: &ServerRequestInfo<'_>);

    /// Classifies the head of a server's answer to an attempt.
    fn classify_answer(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        attempt: Option<&HeaderValue>,
    ) -> AnswerVerdict;

    /// Reads what a server states about itself in the head of an answer of its own.
    fn read_terms(&self, headers: &HeaderMap) -> ServerTerms;

    /// Reads the load that a server reports in the head of an answer of its own; `None` without a
    /// report that can be read.
    fn read_load(&self, headers: &HeaderMap) -> Option<ServerLoad>;

    /// Reads a server's identity from its answer to a health request; `None` if it is unhealthy,
    /// is leaving or states no identity.
    fn read_identity(&self, status: StatusCode, headers: &HeaderMap) -> Option<ServerIdentity>;

    /// Translates an answer to the caller's headers; an answer made by the daemon itself has a
    /// [`RefusalKind`](crate::RefusalKind) in its headers.
    fn write_answer(&self, response: &mut Response<ProxyBody>);
}

/// The headers of sapphirekeel's own interface.
#[derive(Clone, Copy, Debug, Default)]
pub struct NativeHeaders;

impl HeaderTranslation for NativeHeaders {
    fn attempt_id<'a>(&self, _headers: &'a HeaderMap) -> Option<&'a HeaderValue> {
        None
    }

    fn parent_request_id<'a>(&self, _attempt: &'a str) -> Option<&'a str> {
        None
    }

    fn passes_proofs(&self) -> bool {
        true
    }

    fn remaining(&self, headers: &HeaderMap) -> Option<Duration> {
        read_number(headers, crate::headers::DEADLINE_HEADER).map(Duration::from_millis)
    }

    fn write_request(&self, headers: &mut HeaderMap, info: &ServerRequestInfo<'_>) {
        write_context(headers, &info.context);
        // The platform and the settings allow visible ASCII characters only.
        let name = info.workspace.and_then(|name| HeaderValue::from_str(name).ok());
        match name {
            Some(name) => drop(headers.insert(WORKSPACE_HEADER, name)),
            None => drop(headers.remove(WORKSPACE_HEADER)),
        }
    }

    fn classify_answer(
        &self,
        _status: StatusCode,
        _headers: &HeaderMap,
        _attempt: Option<&HeaderValue>,
    ) -> AnswerVerdict {
        AnswerVerdict::Valid
    }

    fn read_terms(&self, headers: &HeaderMap) -> ServerTerms {
        ServerTerms {
            rate: read_stated_rate(headers, &RATE_LIMIT_HEADER),
            is_leaving: is_set(headers, &LEAVING_HEADER),
        }
    }

    fn read_load(&self, headers: &HeaderMap) -> Option<ServerLoad> {
        read_server_load(headers, &SERVER_LOAD_HEADER)
    }

    fn read_identity(&self, _status: StatusCode, _headers: &HeaderMap) -> Option<ServerIdentity> {
        // Servers announce themselves every second.
        None
    }

    fn write_answer(&self, _response: &mut Response<ProxyBody>) {}
}

/// Reads a server's limit of requests a second, a decimal number, from a header: the least one if
/// there are several, and [`StatedRate::Unlimited`] if there is none. Returns `None` if none of
/// them can be read.
pub fn read_stated_rate(headers: &HeaderMap, name: &HeaderName) -> Option<StatedRate> {
    let parse = |value: &HeaderValue| value.to_str().ok()?.trim().parse::<f64>().ok();
    let rates = headers.get_all(name).iter().filter_map(parse);
    let least = rates.filter(|rate| rate.is_finite() && *rate >= 0.0).min_by(f64::total_cmp);
    match least {
        Some(rate) => Some(StatedRate::PerSecond(rate)),
        None if headers.contains_key(name) => None,
        None => Some(StatedRate::Unlimited),
    }
}

/// Reads a server's load from a header: running requests, waiting requests and slots, decimal numbers
/// separated by commas, and as a fourth number the slowness in per cent, if it is there. Returns
/// `None` if any of them cannot be read or is beyond any server's.
pub fn read_server_load(headers: &HeaderMap, name: &HeaderName) -> Option<ServerLoad> {
    let parse = |text: &str| {
        let number = text.trim().parse::<f64>().ok()?;
        // The range excludes numbers that are not finite; the cast only drops a fraction.
        (0.0..=MAX_LOAD_NUMBER).contains(&number).then_some(number as u32)
    };
    let numbers = headers.get(name)?.to_str().ok()?.split(',').map(parse);
    match numbers.collect::<Option<Vec<u32>>>()?[..] {
        [running, waiting, slots] => {
            Some(ServerLoad { running, waiting, slots, slowness: USUAL_SLOWNESS })
        }
        [running, waiting, slots, slowness] => {
            Some(ServerLoad { running, waiting, slots, slowness })
        }
        _ => None,
    }
}

/// Returns whether a header that marks a state has the value `1`.
pub fn is_set(headers: &HeaderMap, name: &HeaderName) -> bool {
    headers.get_all(name).iter().any(|value| value.as_bytes() == b"1")
}
