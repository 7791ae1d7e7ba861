//! What the entry daemon tracks until the body of an answer to a caller has ended: the number of
//! requests in flight, and the call at the endpoint, whose result is only known then.

use std::{sync::Arc, time::Duration};

use http::HeaderValue;
use sk_decide::placing::{CallOutcome, PlacedCall};

use crate::{
    attempt_record::AttemptTarget,
    body::{BodyError, error_chain},
    clock::time_since_start,
    counters::ProxyCounters,
    drain::DrainClock,
    headers::{NO_TEXT, header_text},
    tracked_body::{BodyEndHandler, BodyProgress},
};

/// Counts a caller's request as in flight until it is dropped with the end of its answer.
pub(crate) struct InFlightCount {
    counters: Arc<ProxyCounters>,
    drain_clock: Arc<DrainClock>,
    /// The caller's id of the attempt.
    attempt: Option<HeaderValue>,
    /// Daemon and server that answered.
    endpoint: Option<AttemptTarget>,
}

impl InFlightCount {
    pub(crate) fn new(counters: Arc<ProxyCounters>, drain_clock: Arc<DrainClock>) -> Self {
        counters.enter();
        Self { counters, drain_clock, attempt: None, endpoint: None }
    }

    /// Sets the attempt id and the endpoint that are logged if the answer is cut.
    pub(crate) fn set_attempt(
        &mut self,
        attempt: Option<HeaderValue>,
        endpoint: Option<AttemptTarget>,
    ) {
        (self.attempt, self.endpoint) = (attempt, endpoint);
    }

    /// Returns the id of the attempt, the endpoint and whether the daemon is draining, for a log
    /// line.
    fn log_fields(&self) -> (&str, String, bool) {
        let endpoint = self.endpoint.as_ref().map_or(NO_TEXT.to_owned(), ToString::to_string);
        (header_text(self.attempt.as_ref()), endpoint, self.drain_clock.is_draining())
    }
}

impl Drop for InFlightCount {
    fn drop(&mut self) {
        self.counters.leave();
    }
}

impl BodyEndHandler for InFlightCount {
    fn on_complete(self) {}

    fn on_failure(self, err: &BodyError, progress: BodyProgress) {
        let (attempt, endpoint, draining) = self.log_fields();
        let BodyProgress { passed, size, age } = progress;
        log::warn!(
            attempt, endpoint = endpoint.as_str(), passed, size:?, age_ms = age.as_millis() as u64, draining;
            "proxy: an answer was cut after its head: {}.", error_chain(err)
        );
    }

    fn on_abandon(self, progress: BodyProgress) {
        let (attempt, endpoint, draining) = self.log_fields();
        let BodyProgress { passed, size, age } = progress;
        log::info!(
            attempt, endpoint = endpoint.as_str(), passed, size:?, age_ms = age.as_millis() as u64, draining;
            "proxy: connection of the caller ended within an answer."
        );
    }
}

/// A call in flight to an endpoint, with the result that its head suggests.
pub(crate) struct EndpointCall {
    pub(crate) placed: PlacedCall,
    /// What the head says about the endpoint; `None` if it concerns the request alone.
    pub(crate) outcome: Option<CallOutcome>,
    pub(crate) latency: Duration,
    pub(crate) counters: Arc<ProxyCounters>,
}

impl EndpointCall {
    /// Reports the result to the endpoint's placement record, if there is one.
    fn finish(self, outcome: Option<CallOutcome>) {
        if let Some(outcome) = outcome {
            self.placed.finish(outcome, self.latency, time_since_start());
        }
    }
}

impl BodyEndHandler for EndpointCall {
    fn on_complete(self) {
        let outcome = self.outcome;
        self.finish(outcome);
    }

    fn on_failure(self, _err: &BodyError, _progress: BodyProgress) {
        self.counters.count_cut();
        self.finish(Some(CallOutcome::Failure));
    }
}
