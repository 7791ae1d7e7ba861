//! A placed request, from its start to its end.

use std::sync::Arc;
use std::time::Duration;

use crate::WorkKey;
use crate::placing::{EndpointId, EndpointRecord, PlaceRequest, PlacementTable};

/// How a placed request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The server answered.
    Success,
    /// The server failed while it ran the request, or gave no answer in time.
    Failure,
    /// The endpoint could not be reached; nothing was sent.
    Unreachable,
    /// The guard refused it: the server is loaded or cold, not broken.
    Refused,
    /// The guard refused it because the server is leaving, which is final for its incarnation.
    Leaving,
}

/// A request in flight to an endpoint. Dropping it without [`PlacedCall::finish`], as when its
/// caller leaves, counts it out without a verdict on the endpoint: a count that never went down
/// would make the endpoint look loaded for good.
#[derive(Debug)]
pub struct PlacedCall {
    table: Arc<PlacementTable>,
    index: usize,
    work: WorkKey,
    max_wait: Option<Duration>,
    is_probe: bool,
    has_head: bool,
}

impl PlacedCall {
    /// Counts a request as in flight to the endpoint at `index`.
    pub(super) fn start(
        table: &Arc<PlacementTable>,
        index: usize,
        request: &PlaceRequest<'_>,
        is_probe: bool,
        now: Duration,
    ) -> Self {
        let entry = &table.entries[index];
        entry.gauge.begin_request(now);
        let max_wait = table.max_wait(entry, request, table.queues_near(request));
        let work = table.work_key_of(request);
        Self { table: Arc::clone(table), index, work, max_wait, is_probe, has_head: false }
    }

    /// Records that the head of an answer came. `transit` is the time spent in transit, without the
    /// time for which the guard reports to have kept the request; `None` if it reports none.
    pub fn record_head(&mut self, transit: Option<Duration>, now: Duration) {
        let gauge = &self.table.entries[self.index].gauge;
        if !std::mem::replace(&mut self.has_head, true) {
            gauge.end_unanswered(Some(now));
        }
        if let Some(transit) = transit {
            gauge.add_transit(transit, now);
        }
    }

    /// Returns the endpoint.
    pub fn endpoint(&self) -> EndpointId {
        self.record().id
    }

    /// Returns the endpoint's record.
    pub fn record(&self) -> &EndpointRecord {
        &self.table.entries[self.index].record
    }

    /// Returns how long the request may wait for a slot at the endpoint, or `None` if it may wait
    /// for any time.
    pub fn max_wait(&self) -> Option<Duration> {
        self.max_wait
    }

    /// Returns whether the request is the probe of an ejected endpoint.
    pub fn is_probe(&self) -> bool {
        self.is_probe
    }

    /// Ends the call and judges the endpoint by its outcome. `latency` should be the time that the
    /// endpoint's guard reports, without the network, so that distance does not count as slowness.
    pub fn finish(self, outcome: CallOutcome, latency: Duration, now: Duration) {
        self.table.record_outcome(self.index, self.work, self.is_probe, outcome, latency, now);
    }
}

impl Drop for PlacedCall {
    fn drop(&mut self) {
        let gauge = &self.table.entries[self.index].gauge;
        gauge.end_request();
        if !self.has_head {
            gauge.end_unanswered(None);
        }
        if self.is_probe {
            gauge.end_probe();
        }
    }
}
