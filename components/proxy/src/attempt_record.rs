//! Record of one attempt at one endpoint, as the `tries` key of the request's log line shows it.

use std::{fmt, sync::Arc, time::Duration};

use http::{Response, StatusCode};
use sk_model::ProxyId;

use crate::{
    body::ProxyBody,
    hints::{ReadHints, read_figures},
    outcome::RefusalKind,
    table::TableEndpoint,
};

/// Daemon and server that an attempt was sent to.
#[derive(Clone, Debug)]
pub(crate) struct AttemptTarget {
    proxy: ProxyId,
    server: Arc<str>,
}

impl AttemptTarget {
    pub(crate) fn new(endpoint: &TableEndpoint) -> Self {
        Self { proxy: endpoint.proxy.clone(), server: endpoint.server.clone() }
    }
}

impl fmt::Display for AttemptTarget {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}/{}", self.proxy, self.server)
    }
}

/// How an attempt ended.
#[derive(Clone, Debug)]
enum RecordedEnd {
    Answered {
        status: StatusCode,
        kind: Option<RefusalKind>,
        /// The guard's load in percent when it answered.
        load: Option<u32>,
        /// Time at the guard and the server; the rest is transit.
        guard_time: Option<Duration>,
        /// Figures that a refusal was based on.
        figures: Option<String>,
    },
    /// There was no answer when the request ended.
    Unanswered,
}

/// One attempt and its result.
#[derive(Clone, Debug)]
pub(crate) struct AttemptRecord {
    target: AttemptTarget,
    end: RecordedEnd,
    took: Duration,
}

impl AttemptRecord {
    /// Creates the record of an attempt that was answered.
    pub(crate) fn answered(
        target: AttemptTarget,
        response: &Response<ProxyBody>,
        hints: &ReadHints,
        took: Duration,
    ) -> Self {
        let headers = response.headers();
        let end = RecordedEnd::Answered {
            status: response.status(),
            kind: RefusalKind::read(headers),
            load: hints.load,
            guard_time: hints.guard_time,
            figures: read_figures(headers).map(str::to_owned),
        };
        Self { target, end, took }
    }

    /// Returns where the attempt was sent.
    pub(crate) fn target(&self) -> &AttemptTarget {
        &self.target
    }

    /// Returns whether a server ran the request, or may have.
    pub(crate) fn may_have_run(&self) -> bool {
        match &self.end {
            RecordedEnd::Answered { kind, .. } => kind.is_none_or(|kind| {
                matches!(
                    kind,
                    RefusalKind::DeadlinePassed
                        | RefusalKind::AnswerLost
                        | RefusalKind::AnswerInvalid
                )
            }),
            RecordedEnd::Unanswered => true,
        }
    }

    /// Creates the record of an attempt that has no answer.
    pub(crate) fn unanswered(target: AttemptTarget, took: Duration) -> Self {
        Self { target, end: RecordedEnd::Unanswered, took }
    }
}

impl fmt::Display for AttemptRecord {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{} ", self.target)?;
        match &self.end {
            RecordedEnd::Answered { status, kind, load, guard_time, figures } => {
                write!(out, "{}", status.as_u16())?;
                if let Some(kind) = kind {
                    write!(out, " {}", kind.as_str())?;
                }
                if let Some(load) = load {
                    write!(out, " load {load}%")?;
                }
                if let Some(guard_time) = guard_time {
                    write!(out, " held {}ms", guard_time.as_millis())?;
                }
                if let Some(figures) = figures {
                    write!(out, " ({figures})")?;
                }
            }
            RecordedEnd::Unanswered => write!(out, "no answer")?,
        }
        write!(out, " {}ms", self.took.as_millis())
    }
}
