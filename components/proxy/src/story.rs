//! What became of a request, as one line of the log.
//!
//! The line holds every attempt with the daemon and server it went to, what that answered and how
//! long it took, so that the cause of a failure stands where its caller met it.

use std::{fmt, net::IpAddr, sync::Arc, time::Duration};

use http::{HeaderValue, Method, Response, StatusCode};
use sk_model::{ProxyId, Version};
use tokio::time::Instant;

use crate::{
    body::ProxyBody,
    outcome::{RefusalKind, RequestOutcome},
};

/// One attempt and its end.
#[derive(Clone, Debug)]
pub(crate) struct TryNote {
    pub(crate) proxy: ProxyId,
    pub(crate) server: Arc<str>,
    pub(crate) status: StatusCode,
    pub(crate) kind: Option<RefusalKind>,
    /// The guard's load in percent when it answered.
    pub(crate) load: Option<u32>,
    pub(crate) took: Duration,
}

impl fmt::Display for TryNote {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}/{} {}", self.proxy, self.server, self.status.as_u16())?;
        if let Some(kind) = self.kind {
            write!(out, " {}", kind.as_str())?;
        }
        if let Some(load) = self.load {
            write!(out, " load {load}%")?;
        }
        write!(out, " {}ms", self.took.as_millis())
    }
}

/// A request from its arrival on.
pub(crate) struct RequestStory {
    began: Instant,
    attempt: Option<HeaderValue>,
    caller: IpAddr,
    method: Method,
    host: Option<String>,
    path: String,
    pub(crate) version: Version,
    pub(crate) service: Option<Arc<str>>,
    /// Time that the caller and the route left at the arrival.
    pub(crate) deadline: Option<Duration>,
    pub(crate) tries: Vec<TryNote>,
    /// Rank of the route.
    pub(crate) rank: u8,
    /// Response-time goal of the route.
    pub(crate) goal_ms: Option<u64>,
}

impl RequestStory {
    pub(crate) fn new(
        attempt: Option<HeaderValue>,
        caller: IpAddr,
        method: Method,
        host: Option<String>,
        path: &str,
    ) -> Self {
        Self {
            began: Instant::now(),
            attempt,
            caller,
            method,
            host,
            path: path.to_owned(),
            version: 0,
            service: None,
            deadline: None,
            tries: Vec::new(),
            rank: 0,
            goal_ms: None,
        }
    }

    /// Gives the time since the arrival.
    pub(crate) fn took(&self) -> Duration {
        self.began.elapsed()
    }

    /// Writes the line: as a failure where the caller got one.
    pub(crate) fn write(&self, response: &Response<ProxyBody>) {
        let outcome = RequestOutcome::read(response.headers()).unwrap_or(RequestOutcome::Unknown);
        let is_failed = outcome != RequestOutcome::Ran || response.status().is_server_error();
        let level = if is_failed { log::Level::Warn } else { log::Level::Info };
        if !log::log_enabled!(level) {
            return;
        }
        let attempt = self.attempt.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("-");
        let reason = RefusalKind::read(response.headers()).map_or("-", RefusalKind::as_str);
        let tries: Vec<String> = self.tries.iter().map(TryNote::to_string).collect();
        let deadline_ms = self.deadline.map_or(0, |left| left.as_millis() as u64);
        log::log!(
            level,
            attempt,
            caller:% = self.caller,
            method = self.method.as_str(),
            host = self.host.as_deref().unwrap_or("-"),
            path = self.path.as_str(),
            version = self.version,
            service = self.service.as_deref().unwrap_or("-"),
            status = response.status().as_u16(),
            outcome = outcome.as_str(),
            reason,
            tries = tries.join("; ").as_str(),
            rank = self.rank,
            goal_ms = self.goal_ms.unwrap_or_default(),
            deadline_ms,
            took_ms = self.took().as_millis() as u64;
            "proxy: answered."
        );
    }
}
