//! Choosing the endpoint whose answer is expected first.
//!
//! This order is for work of a tenth of a second and more on servers that differ threefold in
//! speed, where a message between daemons costs nothing beside a wait. Servers with a free slot are
//! tried first, the best one first; only when none has one does the request queue, at the server
//! where the wait and the work together are least. Two servers drawn at random would queue requests
//! behind a slow server while a faster one is idle: over five days with failing and slow servers,
//! callers got 0.85 of the value due to them with two drawn, and 0.90 with this order and the queue
//! by urgency.
//!
//! The endpoint with the least cost is chosen. The cost is the expected time until the answer (wait
//! for a slot, transit and work) plus penalties, expressed as time, and a small random part.
//!
//! Three penalties are larger than the goals and waits in use, and rank endpoints in this order:
//!
//! 1. By whether the answer is expected safely within the goal (`MISSED_GOAL_PENALTY`). An endpoint
//!    that is expected to miss the goal, or that often fails, gets no request while another will
//!    meet it, even one of another region.
//! 2. By region (`OTHER_REGION_PENALTY`). A request does not leave the region to save a wait.
//! 3. By data centre, where the answer is in time (`OTHER_CENTRE_IN_TIME_PENALTY`). Bytes do not
//!    cross between data centres for an answer that would be in time without it.
//!
//! Two others are about as large as the times, and are weighed against these and each other:
//!
//! - Failures beyond those of the peers (their rate times the goal, or times `FAILURE_PENALTY`). A
//!   quick server does not attract requests that it is likely to fail.
//! - Another data centre, where the answer is late (`OTHER_CENTRE_LATE_LONG_PENALTY` or
//!   `OTHER_CENTRE_LATE_PENALTY`). A late answer crosses between data centres only where it comes
//!   sooner by more than the crossing costs.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::placing::{EndpointDistance, PlaceRequest, PlacementTable, TableEntry};
use crate::{GOAL_SAFETY_FACTOR, WorkClass, WorkKey};

/// Penalty of another data centre of the same region while the answer is expected within its goal.
/// It is more than any goal in use, so that the own data centre wins wherever it meets the goal
/// too, and bytes cross between data centres only where callers gain by it.
const OTHER_CENTRE_IN_TIME_PENALTY: Duration = Duration::from_secs(5);
/// Penalty of another data centre of the same region where the goal is missed or none is set: some
/// round trips, since an answer that comes sooner by more than these is worth the crossing.
const OTHER_CENTRE_LATE_PENALTY: Duration = Duration::from_millis(15);
/// The same penalty for long work, whose answers are large, and for requests whose goal has passed.
/// An answer that is late either way is as good to its caller from near by, as long as it is later by
/// no more than about the goal once more.
const OTHER_CENTRE_LATE_LONG_PENALTY: Duration = Duration::from_secs(1);
/// Penalty of another region. It is more than any wait that callers accept, so that no request
/// leaves its region to save a wait.
const OTHER_REGION_PENALTY: Duration = Duration::from_secs(10);
/// Penalty of an endpoint that is expected to miss the goal. It is more than the other penalties
/// and a wait together, so that such an endpoint ranks behind all that meet the goal. A request
/// without a goal pays it at every endpoint, which changes no ranking.
const MISSED_GOAL_PENALTY: Duration = Duration::from_secs(30);
/// Penalty of a certain failure for a request without a goal; an endpoint pays it in proportion to
/// its failure rate. It is about the whole time that a caller has for an answer, since a failed
/// request has to be run again or is lost. For a request with a goal, the goal is the penalty.
const FAILURE_PENALTY: Duration = Duration::from_secs(2);
/// Highest failure rate, beyond that of the peers, at which an endpoint counts as healthy: just
/// above that of one failure a moment ago. An endpoint that fails more often never counts as in
/// time, so that it is not chosen for being near.
const MAX_HEALTHY_FAILURE_RATE: f64 = 0.2;
/// Failure rate from which a free slot says nothing: a server that fails at once always has one,
/// and would attract the requests that the others have no slot for. It still gets some requests
/// when these queue, while the others make callers wait for long.
const MIN_FAILING_RATE: f64 = 0.25;
/// Factor on the wait that a guard reported, within which a request counts as safely in time. Other
/// daemons have sent requests there since, by the same report.
const WAIT_SAFETY_FACTOR: u32 = 2;
/// Largest random part of a cost, as a fraction of the usual work. Daemons that all know the same
/// would otherwise all send to the same server.
const COST_JITTER: f64 = 0.3;
/// Usual work that is assumed while none is known, and its lower bound.
const MIN_USUAL_WORK: Duration = Duration::from_millis(1);
/// Reported wait up to which an endpoint still counts as having a free slot: the answer that
/// carried the report was in transit for about as long.
const FREE_SLOT_TOLERANCE: Duration = Duration::from_millis(2);

/// Parts of the time from sending a request to its answer.
struct ExpectedTimes {
    /// Wait for a slot.
    wait: Duration,
    /// Time on the way.
    transit: Duration,
    /// Service time.
    work: Duration,
}

impl PlacementTable {
    /// Returns the index of the endpoint with the least cost, or `None` if no endpoint may take the
    /// request.
    pub(super) fn pick_soonest(
        &self,
        request: &PlaceRequest<'_>,
        now: Duration,
        rng: &mut (impl Rng + ?Sized),
    ) -> Option<usize> {
        let usual = self.usual_work(self.work_key_of(request), now).max(MIN_USUAL_WORK);
        let failures = self.excess_failure_rates(now);
        let queues_near = self.queues_near(request);
        let in_service: Vec<(usize, &TableEntry, f64)> = self
            .entries
            .iter()
            .zip(failures)
            .enumerate()
            .map(|(index, (entry, failures))| (index, entry, failures))
            .filter(|(_, entry, _)| super::is_eligible(entry, request))
            .filter(|(_, entry, _)| !entry.gauge.is_ejected())
            .collect();
        // While a wait near by is short enough, no free slot elsewhere is worth the crossing.
        let stays_near = self.settings.factors.near_first
            && request.needs_free_slot
            && request.class == WorkClass::Short
            && in_service.iter().any(|(_, entry, failures)| {
                entry.record.distance == EndpointDistance::SameCentre
                    && is_in_time(
                        &self.expected_times(entry, request, usual, now),
                        *failures,
                        request.goal,
                    )
            });
        let eligible = in_service.iter().filter(|(_, entry, failures)| {
            let is_near = entry.record.distance == EndpointDistance::SameCentre;
            (is_near || !stays_near)
                && self.max_wait(entry, request, queues_near).is_none_or(|max_wait| {
                    self.has_free_slot(entry, request, max_wait, *failures, now)
                })
        });
        let mut best: Option<(Duration, usize)> = None;
        for (index, entry, failures) in eligible {
            let jitter = usual.mul_f64(rng.random_range(0.0..COST_JITTER));
            let cost = self.cost(entry, request, (usual, *failures), now) + jitter;
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, *index));
            }
        }
        best.map(|(_, index)| index)
    }

    /// Returns the cost of an endpoint: the expected time until its answer, plus penalties. `usual`
    /// is the usual time of such work, and `failures` the failure rate of the endpoint beyond that
    /// of its peers.
    fn cost(
        &self,
        entry: &TableEntry,
        request: &PlaceRequest<'_>,
        (usual, failures): (Duration, f64),
        now: Duration,
    ) -> Duration {
        let times = self.expected_times(entry, request, usual, now);
        let is_in_time = is_in_time(&times, failures, request.goal);
        let has_passed = request.goal == Some(Duration::ZERO);
        let distance_penalty = match entry.record.distance {
            EndpointDistance::SameCentre => Duration::ZERO,
            EndpointDistance::SameRegion if is_in_time => OTHER_CENTRE_IN_TIME_PENALTY,
            EndpointDistance::SameRegion if request.class == WorkClass::Long || has_passed => {
                OTHER_CENTRE_LATE_LONG_PENALTY
            }
            EndpointDistance::SameRegion => OTHER_CENTRE_LATE_PENALTY,
            EndpointDistance::OtherRegion => OTHER_REGION_PENALTY,
        };
        let missed_goal_penalty = if is_in_time { Duration::ZERO } else { MISSED_GOAL_PENALTY };
        let failure_penalty = request.goal.unwrap_or(FAILURE_PENALTY).mul_f64(failures);
        let ExpectedTimes { wait, transit, work } = times;
        wait + transit + work + distance_penalty + missed_goal_penalty + failure_penalty
    }

    /// Returns what a request's time at an endpoint is expected to consist of.
    fn expected_times(
        &self,
        entry: &TableEntry,
        request: &PlaceRequest<'_>,
        usual: Duration,
        now: Duration,
    ) -> ExpectedTimes {
        let (gauge, factors) = (&entry.gauge, &self.settings.factors);
        // An old measurement counts less and less, so that a server that was slow is tried again.
        let work = gauge.latency(self.work_key_of(request)).decayed_towards(usual, now);
        // A cold server takes about twice as long.
        let work = work.div_f64(gauge.warm_fraction(&self.settings, now).max(0.5));
        let wait = match factors.wait {
            true if request.needs_free_slot => gauge.wait(request.is_nested, now),
            true => gauge.lasting_wait(request.is_nested, now),
            false => Duration::ZERO,
        };
        let transit = if factors.transit { gauge.transit(work, now) } else { Duration::ZERO };
        ExpectedTimes { wait, transit, work }
    }

    /// Returns the key that a request's service times are kept under: the kind of its work, or its
    /// class where kinds are not told apart.
    pub(super) fn work_key_of(&self, request: &PlaceRequest<'_>) -> WorkKey {
        match self.settings.factors.by_work {
            true => request.work,
            false => request.class as WorkKey,
        }
    }

    /// Returns how long a request may wait for a slot at an endpoint: for any time (`None`) if it
    /// may queue; if it looks for a free slot, a short time in the own data centre and not at all
    /// elsewhere. `queues_near` is that of [`PlacementTable::queues_near`].
    ///
    /// The servers of a data centre are at times all full for a moment. Without this wait each
    /// request that met a full server crossed to another data centre, uploads of 60 KB too, for a
    /// slot that would have been free near by some milliseconds later. The wait grows with the
    /// bytes of the request, so that when a data centre is short of slots for longer, the light
    /// requests are the ones that leave.
    pub(super) fn max_wait(
        &self,
        entry: &TableEntry,
        request: &PlaceRequest<'_>,
        queues_near: bool,
    ) -> Option<Duration> {
        let kilobytes = request.bytes as f64 / 1000.0;
        match entry.record.distance {
            EndpointDistance::SameRegion | EndpointDistance::OtherRegion if queues_near => {
                Some(Duration::ZERO)
            }
            _ if !request.needs_free_slot => None,
            EndpointDistance::SameCentre => {
                Some(self.settings.local_wait_per_kilobyte.mul_f64(kilobytes))
            }
            EndpointDistance::SameRegion | EndpointDistance::OtherRegion => Some(Duration::ZERO),
        }
    }

    /// Returns whether a request may queue in its own data centre only: long work, if the data
    /// centre has an endpoint in service.
    ///
    /// Where the servers or links of all data centres are full, each would otherwise send its
    /// documents to the others: as many are served, and most of them cross. A free slot elsewhere is
    /// used, since nobody there waits for it.
    pub(super) fn queues_near(&self, request: &PlaceRequest<'_>) -> bool {
        let is_near = |entry: &TableEntry| entry.record.distance == EndpointDistance::SameCentre;
        let is_serving =
            |entry: &TableEntry| !entry.gauge.is_leaving() && !entry.gauge.is_ejected();
        request.class == WorkClass::Long
            && self.entries.iter().any(|entry| is_near(entry) && is_serving(entry))
    }

    /// Returns whether an endpoint has a free slot, or will have one soon enough, and does not fail
    /// too often for this to matter.
    fn has_free_slot(
        &self,
        entry: &TableEntry,
        request: &PlaceRequest<'_>,
        max_wait: Duration,
        failures: f64,
        now: Duration,
    ) -> bool {
        let factors = &self.settings.factors;
        let wait = entry.gauge.wait(request.is_nested, now);
        let is_soon = !factors.wait || wait <= max_wait.saturating_add(FREE_SLOT_TOLERANCE);
        is_soon && failures < MIN_FAILING_RATE
    }

    /// Returns the failure rate of each endpoint beyond the median of all.
    ///
    /// Some failures are not the endpoint's own: a call that all servers of a service need fails,
    /// or all of them shed load. Counted against each endpoint, they drove requests from one data
    /// centre to another and into queues, for servers that failed just as much. With the median
    /// left out, and a failure weighed as one goal in place of two seconds, callers got 0.937 of
    /// the value due to them over five days, and 0.931 before.
    fn excess_failure_rates(&self, now: Duration) -> Vec<f64> {
        if !self.settings.factors.failures {
            return vec![0.0; self.entries.len()];
        }
        let rates: Vec<f64> =
            self.entries.iter().map(|entry| entry.gauge.failure_rate(now)).collect();
        let mut sorted = rates.clone();
        sorted.sort_unstable_by(f64::total_cmp);
        // Of two endpoints the lower rate: one of them failing is no common failure.
        let usual = sorted.get(sorted.len().saturating_sub(1) / 2).copied().unwrap_or_default();
        rates.into_iter().map(|rate| (rate - usual).max(0.0)).collect()
    }

    /// Returns the usual time of a kind of work, the median of the endpoints with a recent sample;
    /// zero while there is none.
    pub fn usual_work(&self, work: WorkKey, now: Duration) -> Duration {
        let known = self.entries.iter().filter_map(|entry| entry.gauge.latency(work).recent(now));
        let mut known: Vec<Duration> = known.collect();
        known.sort_unstable();
        known.get(known.len() / 2).copied().unwrap_or_default()
    }
}

/// Returns whether an endpoint is expected to meet a goal safely; false without a goal.
fn is_in_time(times: &ExpectedTimes, failures: f64, goal: Option<Duration>) -> bool {
    let ExpectedTimes { wait, transit, work } = *times;
    let time = wait * WAIT_SAFETY_FACTOR + transit + work.mul_f64(GOAL_SAFETY_FACTOR);
    failures <= MAX_HEALTHY_FAILURE_RATE && goal.is_some_and(|goal| time <= goal)
}
