//! Behaviour that a request asks of a backend server's stand-in by its query: `work_ms`, `fault`,
//! `size`, `has_length`, `nest` and `tag`.

use std::time::Duration;

use http::Uri;
use thiserror::Error;

/// How a request ends in the stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum RequestFault {
    /// The server answers.
    #[default]
    None,
    /// The server crashes after the work, and all its connections end.
    Crash,
    /// The connection ends before the end of the answer.
    Cut,
    /// The connection ends after the work and before the answer.
    Drop,
}

/// Behaviour that a request asks for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct RequestPlan {
    /// How the request ends.
    pub(crate) fault: RequestFault,
    /// Time of the work, none for the server's usual one.
    pub(crate) work: Option<Duration>,
    /// Bytes of the answer, 0 for the usual one.
    pub(crate) answer_bytes: usize,
    /// Whether an answer of that size states its length.
    pub(crate) has_length: bool,
    /// Depth of nested calls: the server calls the same path through the daemon, and so on.
    pub(crate) nesting: Option<u32>,
    /// Name under which runs of this request are counted.
    pub(crate) tag: Option<String>,
}

/// Error that ends a connection without a complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum FaultError {
    /// The request asked for it, or its body or a nested call failed.
    #[error("connection dropped before the end of the answer")]
    Dropped,
}

impl RequestPlan {
    /// Parses the query of a request's URI. Values that cannot be parsed are ignored.
    pub(crate) fn from_uri(uri: &Uri) -> Self {
        let mut plan = Self::default();
        let pairs = uri.query().unwrap_or("").split('&').filter_map(|pair| pair.split_once('='));
        for (name, value) in pairs {
            match name {
                "work_ms" => plan.work = value.parse().ok().map(Duration::from_millis),
                "size" => plan.answer_bytes = value.parse().unwrap_or(0),
                "has_length" => plan.has_length = value == "true",
                "nest" => plan.nesting = value.parse().ok(),
                "tag" => plan.tag = Some(value.to_owned()),
                "fault" => plan.fault = parse_fault(value),
                _ => {}
            }
        }
        plan
    }
}

/// Parses the value of `fault`; an unknown one counts as no fault.
fn parse_fault(value: &str) -> RequestFault {
    match value {
        "crash" => RequestFault::Crash,
        "cut" => RequestFault::Cut,
        "drop" => RequestFault::Drop,
        _ => RequestFault::None,
    }
}
