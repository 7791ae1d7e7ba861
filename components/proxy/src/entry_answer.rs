//! What the entry daemon tracks until the body of an answer to a caller has ended: the number of
//! requests in flight, and the call at the endpoint, whose result is only known then.

use std::{sync::Arc, time::Duration};

use http::HeaderValue;
use sk_decide::placing::{CallOutcome, PlacedCall};

use crate::{
    body::BodyError, clock::time_since_start, counters::ProxyCounters, headers::header_text,
    tracked_body::BodyEndHandler,
};

/// Counts a caller's request as in flight until it is dropped with the end of its answer.
pub(crate) struct InFlightCount {
    counters: Arc<ProxyCounters>,
    /// The caller's id of the attempt.
    attempt: Option<HeaderValue>,
}

impl InFlightCount {
    pub(crate) fn new(counters: Arc<ProxyCounters>) -> Self {
        counters.enter();
        Self { counters, attempt: None }
    }

    /// Sets the attempt id that is logged if the answer is cut.
    pub(crate) fn set_attempt(&mut self, attempt: Option<HeaderValue>) {
        self.attempt = attempt;
    }
}

impl Drop for InFlightCount {
    fn drop(&mut self) {
        self.counters.leave();
    }
}

impl BodyEndHandler for InFlightCount {
    fn on_complete(self) {}

    fn on_failure(self, err: &BodyError) {
        let attempt = header_text(self.attempt.as_ref());
        log::warn!(attempt; "proxy: an answer was cut after its head: {err}.");
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

    fn on_failure(self, _err: &BodyError) {
        self.counters.count_cut();
        self.finish(Some(CallOutcome::Failure));
    }
}
