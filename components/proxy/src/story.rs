//! What became of a request, as one line of the log.
//!
//! The line holds every attempt with the daemon and server it went to, what that answered and how
//! long it took, so that the cause of a failure stands where its caller met it.

use std::{net::IpAddr, sync::Arc, time::Duration};

use http::{HeaderValue, Method, Response};
use sk_model::Version;
use tokio::time::Instant;

use crate::{
    attempt_log::AttemptLog,
    body::ProxyBody,
    context::ForwardContext,
    failed_calls::CallNumber,
    headers::{NO_TEXT, header_text},
    outcome::{RefusalKind, RequestOutcome},
};

/// A request from its arrival on.
pub(crate) struct RequestStory {
    context: Arc<ForwardContext>,
    began: Instant,
    attempt: Option<HeaderValue>,
    caller: IpAddr,
    method: Method,
    host: Option<String>,
    path: String,
    pub(crate) version: Version,
    service: Option<Arc<str>>,
    /// Time that the caller and the route left at the arrival.
    pub(crate) deadline: Option<Duration>,
    /// What has been tried.
    pub(crate) log: AttemptLog,
    /// Rank of the route.
    pub(crate) rank: u8,
    /// Response-time goal of the route.
    pub(crate) goal_ms: Option<u64>,
    /// The call of the local server that it is, where it is one.
    call: Option<CallNumber>,
    /// Whether the line is written.
    is_written: bool,
}

impl RequestStory {
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
            log: AttemptLog::default(),
            rank: 0,
            goal_ms: None,
            call: None,
            is_written: false,
        }
    }

    /// Gives the service that the route leads to, where there is one.
    pub(crate) fn service(&self) -> Option<&str> {
        self.service.as_deref()
    }

    /// Gives the time since the arrival.
    pub(crate) fn took(&self) -> Duration {
        self.began.elapsed()
    }

    /// Gives the caller's id of the attempt, for a line that is written later.
    pub(crate) fn attempt(&self) -> Option<HeaderValue> {
        self.attempt.clone()
    }

    /// Writes the line of an answer: as a failure where the caller got one.
    pub(crate) fn write(&mut self, response: &Response<ProxyBody>) {
        let outcome = RequestOutcome::read(response.headers()).unwrap_or(RequestOutcome::Unknown);
        let is_failed = outcome != RequestOutcome::Ran || response.status().is_server_error();
        let end = StoryEnd {
            level: if is_failed { log::Level::Warn } else { log::Level::Info },
            text: "answered",
            status: response.status().as_u16(),
            outcome: outcome.as_str(),
            reason: RefusalKind::read(response.headers()).map_or(NO_TEXT, RefusalKind::as_str),
        };
        self.write_end(&end);
    }

    /// Notes the service that the route leads to.
    pub(crate) fn set_service(&mut self, service: &Arc<str>) {
        self.service = Some(service.clone());
        let words = &self.context.words;
        let parent = self.attempt.as_ref().and_then(|attempt| words.parent(attempt));
        self.call = parent.map(|parent| self.context.guard.failed_calls.begin(parent, service));
    }

    /// Tells the guard how a call of its server's ended.
    fn end_call(&mut self, end: &StoryEnd) {
        if let Some(call) = self.call.take() {
            let StoryEnd { text, status, reason, .. } = end;
            let took = self.took().as_millis();
            let is_failed = !(200..300).contains(status);
            let failure = is_failed.then(|| format!("{text} {status} {reason} after {took}ms"));
            self.context.guard.failed_calls.end(call, failure);
        }
    }

    fn write_end(&mut self, end: &StoryEnd) {
        self.is_written = true;
        self.end_call(end);
        if !log::log_enabled!(end.level) {
            return;
        }
        let tries = self.log.take_tries();
        let tries: Vec<String> = tries.iter().map(ToString::to_string).collect();
        let gave_up = self.log.gave_up.map(|reason| reason.to_string());
        let deadline_ms = self.deadline.map_or(0, |left| left.as_millis() as u64);
        log::log!(
            end.level,
            attempt = header_text(self.attempt.as_ref()),
            caller:% = self.caller,
            method = self.method.as_str(),
            host = self.host.as_deref().unwrap_or(NO_TEXT),
            path = self.path.as_str(),
            version = self.version,
            service = self.service.as_deref().unwrap_or(NO_TEXT),
            status = end.status,
            outcome = end.outcome,
            reason = end.reason,
            tries = tries.join("; ").as_str(),
            gave_up = gave_up.as_deref().unwrap_or(NO_TEXT),
            rank = self.rank,
            goal_ms = self.goal_ms.unwrap_or_default(),
            deadline_ms,
            took_ms = self.took().as_millis() as u64;
            "proxy: {}.", end.text
        );
    }
}

/// How a request ended for its caller.
struct StoryEnd {
    level: log::Level,
    text: &'static str,
    status: u16,
    outcome: &'static str,
    reason: &'static str,
}

impl Drop for RequestStory {
    /// Writes the line of a caller that left: the request's work is dropped where it stands, and
    /// without this a caller's complaint would find no line at all.
    fn drop(&mut self) {
        if !self.is_written {
            let left = StoryEnd {
                level: log::Level::Info,
                text: "caller left",
                status: 0,
                outcome: RequestOutcome::Unknown.as_str(),
                reason: NO_TEXT,
            };
            self.write_end(&left);
        }
    }
}
