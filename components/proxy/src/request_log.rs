//! The log line of a request at its entry daemon.
//!
//! The line lists every attempt with its daemon and server, the answer and the time taken, so the
//! cause of a failure is found in the log of the daemon that the caller used.

use std::{net::IpAddr, sync::Arc, time::Duration};

use http::{HeaderValue, Method, Response};
use sk_model::Version;
use tokio::time::Instant;

use crate::{
    attempt_history::AttemptHistory,
    body::ProxyBody,
    context::ForwardContext,
    failed_calls::CallNumber,
    headers::{NO_TEXT, header_text},
    outcome::{RefusalKind, RequestOutcome},
};

/// A request from its arrival until its log line is written.
pub(crate) struct RequestLog {
    context: Arc<ForwardContext>,
    began: Instant,
    attempt: Option<HeaderValue>,
    caller: IpAddr,
    method: Method,
    host: Option<String>,
    path: String,
    pub(crate) version: Version,
    service: Option<Arc<str>>,
    /// Time that the caller and the route allow, at the arrival.
    pub(crate) deadline: Option<Duration>,
    /// Attempts made for the request.
    pub(crate) history: AttemptHistory,
    /// Workspace whose key the caller sent.
    pub(crate) workspace: Option<Arc<str>>,
    /// Rank among waiting requests.
    pub(crate) rank: u8,
    /// Response-time goal of the route.
    pub(crate) goal_ms: Option<u64>,
    /// Number of requests in front of it on its connection when it was read.
    pub(crate) pipeline_position: usize,
    /// Time that it, or its answer, waited for its turn on the connection.
    pub(crate) pipeline_wait: Duration,
    /// Number in [`FailedCalls`](crate::FailedCalls), if the local server makes this call for a
    /// request of its own.
    call: Option<CallNumber>,
    /// Whether the line is already written.
    is_written: bool,
}

impl RequestLog {
    pub(crate) fn new(
        context: Arc<ForwardContext>,
        attempt: Option<HeaderValue>,
        caller: IpAddr,
        method: Method,
        host: Option<String>,
        path: &str,
    ) -> Self {
        Self {
            context,
            began: Instant::now(),
            attempt,
            caller,
            method,
            host,
            path: path.to_owned(),
            version: 0,
            service: None,
            deadline: None,
            history: AttemptHistory::default(),
            workspace: None,
            rank: 0,
            goal_ms: None,
            pipeline_position: 0,
            pipeline_wait: Duration::ZERO,
            call: None,
            is_written: false,
        }
    }

    /// Returns the service that the route leads to, once it is known.
    pub(crate) fn service(&self) -> Option<&str> {
        self.service.as_deref()
    }

    /// Returns the time since the arrival.
    pub(crate) fn took(&self) -> Duration {
        self.began.elapsed()
    }

    /// Returns the caller's id of the attempt, for a later log line.
    pub(crate) fn attempt(&self) -> Option<HeaderValue> {
        self.attempt.clone()
    }

    /// Writes the line of an answered request, as a warning if it failed.
    pub(crate) fn write_answered(&mut self, response: &Response<ProxyBody>) {
        let outcome = RequestOutcome::read(response.headers()).unwrap_or(RequestOutcome::Unknown);
        let is_failed = outcome != RequestOutcome::Ran || response.status().is_server_error();
        let end = RequestEnd {
            level: if is_failed { log::Level::Warn } else { log::Level::Info },
            text: "answered",
            status: response.status().as_u16(),
            outcome: outcome.as_str(),
            reason: RefusalKind::read(response.headers()).map_or(NO_TEXT, RefusalKind::as_str),
        };
        self.write_line(&end);
    }

    /// Sets the service that the route leads to, and registers a call of the local server.
    pub(crate) fn set_service(&mut self, service: &Arc<str>, is_server_call: bool) {
        self.service = Some(service.clone());
        let headers = &self.context.headers;
        let parent = self.attempt.as_ref().filter(|_| is_server_call);
        let parent = parent.and_then(|attempt| headers.parent_request_id(attempt.to_str().ok()?));
        self.call =
            parent.map(|parent| self.context.guard_context.failed_calls.begin(parent, service));
    }

    /// Reports to the guard how a call of its server ended.
    fn finish_call(&mut self, end: &RequestEnd) {
        if let Some(call) = self.call.take() {
            let RequestEnd { text, status, reason, .. } = end;
            let took = self.took().as_millis();
            let is_failed = !(200..300).contains(status);
            let failure = is_failed.then(|| format!("{text} {status} {reason} after {took}ms"));
            self.context.guard_context.failed_calls.end(call, failure);
        }
    }

    /// Writes the line, which is the only one of the request.
    fn write_line(&mut self, end: &RequestEnd) {
        self.is_written = true;
        self.finish_call(end);
        if !log::log_enabled!(end.level) {
            return;
        }
        let records = self.history.take_records();
        let attempts: Vec<String> = records.iter().map(ToString::to_string).collect();
        let gave_up = self.history.gave_up.map(|reason| reason.to_string());
        let deadline_ms = self.deadline.map_or(0, |deadline| deadline.as_millis() as u64);
        log::log!(
            end.level,
            attempt = header_text(self.attempt.as_ref()),
            caller:% = self.caller,
            method = self.method.as_str(),
            host = self.host.as_deref().unwrap_or(NO_TEXT),
            path = self.path.as_str(),
            version = self.version,
            service = self.service.as_deref().unwrap_or(NO_TEXT),
            workspace = self.workspace.as_deref().unwrap_or(NO_TEXT),
            status = end.status,
            outcome = end.outcome,
            reason = end.reason,
            tries = attempts.join("; ").as_str(),
            gave_up = gave_up.as_deref().unwrap_or(NO_TEXT),
            rank = self.rank,
            goal_ms = self.goal_ms.unwrap_or_default(),
            deadline_ms,
            pipeline_position = self.pipeline_position,
            pipeline_wait_ms = self.pipeline_wait.as_millis() as u64,
            took_ms = self.took().as_millis() as u64;
            "proxy: {}.", end.text
        );
    }
}

/// How a request ended for its caller.
struct RequestEnd {
    level: log::Level,
    text: &'static str,
    status: u16,
    outcome: &'static str,
    reason: &'static str,
}

impl Drop for RequestLog {
    /// Writes the line of a request whose caller disconnected. Its work is cancelled at that
    /// moment, and without this line a caller's complaint could not be traced in the log.
    fn drop(&mut self) {
        if !self.is_written {
            let end = RequestEnd {
                level: log::Level::Info,
                text: "caller left",
                status: 0,
                outcome: RequestOutcome::Unknown.as_str(),
                reason: NO_TEXT,
            };
            self.write_line(&end);
        }
    }
}
