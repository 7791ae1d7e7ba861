//! Faults that a request asks of a backend server's stand-in, in its query:
//! `work_ms`, `fault`, `size`, `nest` and `tag`.

use std::time::Duration;

use http::Uri;
use thiserror::Error;

/// How a request ends in the stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum RequestFault {
    /// With an answer.
    #[default]
    None,
    /// The server ends at once, with all connections.
    Crash,
    /// The connection ends after half of the answer.
    Cut,
    /// The connection ends after the work and before the answer.
    Drop,
}

/// What a request asks of the stand-in.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct RequestPlan {
    /// How it ends.
    pub(crate) fault: RequestFault,
    /// Work, if not the usual.
    pub(crate) work: Option<Duration>,
    /// Bytes of the answer, zero for the usual one.
    pub(crate) size: usize,
    /// Further calls to make through the daemon, each by the one before.
    pub(crate) nest: Option<u32>,
    /// Name to count the runs of this request by.
    pub(crate) tag: Option<String>,
}

/// Ends a connection without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum FaultError {
    /// As the request asked.
    #[error("connection dropped on request")]
    Dropped,
}

impl RequestPlan {
    /// Reads the plan from a request's target. What cannot be read counts as not asked.
    pub(crate) fn read(uri: &Uri) -> Self {
        let mut plan = Self::default();
        let pairs = uri.query().unwrap_or("").split('&').filter_map(|pair| pair.split_once('='));
        for (name, value) in pairs {
            match name {
                "work_ms" => plan.work = value.parse().ok().map(Duration::from_millis),
                "size" => plan.size = value.parse().unwrap_or(0),
                "nest" => plan.nest = value.parse().ok(),
                "tag" => plan.tag = Some(value.to_owned()),
                "fault" => plan.fault = read_fault(value),
                _ => {}
            }
        }
        plan
    }
}

fn read_fault(value: &str) -> RequestFault {
    match value {
        "crash" => RequestFault::Crash,
        "cut" => RequestFault::Cut,
        "drop" => RequestFault::Drop,
        _ => RequestFault::None,
    }
}
