//! One attempt at one endpoint, for the log.

use std::{fmt, sync::Arc, time::Duration};

use http::{Response, StatusCode};
use sk_model::ProxyId;

use crate::{
    body::ProxyBody,
    hints::{ReadHints, read_figures},
    outcome::RefusalKind,
    table::TableEndpoint,
};

/// Where an attempt went.
#[derive(Clone, Debug)]
pub(crate) struct TryTarget {
    proxy: ProxyId,
    server: Arc<str>,
}

impl TryTarget {
    pub(crate) fn new(endpoint: &TableEndpoint) -> Self {
        Self { proxy: endpoint.proxy.clone(), server: endpoint.server.clone() }
    }
}

/// How an attempt ended.
#[derive(Clone, Debug)]
enum TryEnd {
    Answered {
        status: StatusCode,
        kind: Option<RefusalKind>,
        /// The guard's load in percent when it answered.
        load: Option<u32>,
        /// Time at the guard and the server; the rest was spent on the way.
        held: Option<Duration>,
        /// What a refusal was decided by.
        figures: Option<String>,
    },
    /// There was no answer when the request ended.
    Open,
}

/// One attempt and its end.
#[derive(Clone, Debug)]
pub(crate) struct TryNote {
    target: TryTarget,
    end: TryEnd,
    took: Duration,
}

impl TryNote {
    /// Notes an attempt that was answered.
    pub(crate) fn answered(
        target: TryTarget,
        response: &Response<ProxyBody>,
        hints: &ReadHints,
        took: Duration,
    ) -> Self {
        let headers = response.headers();
        let end = TryEnd::Answered {
            status: response.status(),
            kind: RefusalKind::read(headers),
            load: hints.load,
            held: hints.held,
            figures: read_figures(headers).map(str::to_owned),
        };
        Self { target, end, took }
    }

    /// Notes an attempt that has no answer.
    pub(crate) fn open(target: TryTarget, took: Duration) -> Self {
        Self { target, end: TryEnd::Open, took }
    }
}

impl fmt::Display for TryNote {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}/{} ", self.target.proxy, self.target.server)?;
        match &self.end {
            TryEnd::Answered { status, kind, load, held, figures } => {
                write!(out, "{}", status.as_u16())?;
                if let Some(kind) = kind {
                    write!(out, " {}", kind.as_str())?;
                }
                if let Some(load) = load {
                    write!(out, " load {load}%")?;
                }
                if let Some(held) = held {
                    write!(out, " held {}ms", held.as_millis())?;
                }
                if let Some(figures) = figures {
                    write!(out, " ({figures})")?;
                }
            }
            TryEnd::Open => write!(out, "no answer")?,
        }
        write!(out, " {}ms", self.took.as_millis())
    }
}
