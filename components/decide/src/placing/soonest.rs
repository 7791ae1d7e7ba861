//! Choosing the endpoint whose answer is expected first.
//!
//! Made for work of a tenth of a second and more on servers that differ threefold in speed. There a
//! message between daemons costs nothing beside a wait: first every server with a free slot is
//! tried, the best first, and only when none has one does the request queue, where the wait and the
//! work together are least. Two drawn by share queue requests behind a slow server while a faster
//! one is idle: on Ledvica's five days of trouble callers earned 0.85 of what they were owed with two
//! drawn, and 0.90 with this and the order of urgency.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::placing::{EndpointDistance, PlaceRequest, PlacementTable, TableEntry};
use crate::{WorkClass, WorkKey};

/// Time that a data centre of the same region is behind the own one while the answer is expected
/// within its goal either way: more than any goal, so that bytes cross between data centres only
/// where callers gain by it.
const IN_TIME_REGION_PENALTY: Duration = Duration::from_secs(5);
/// The same where no goal is met or set: some round trips.
const LATE_REGION_PENALTY: Duration = Duration::from_millis(15);
/// The same for long work. Its answers are large, and one that is late either way is as good to its
/// caller from near by, up to about the goal once more.
const LATE_LONG_REGION_PENALTY: Duration = Duration::from_secs(1);
/// Time that another region is worth: more than any wait that callers accept.
const OTHER_REGION_PENALTY: Duration = Duration::from_secs(10);
/// Time by which an endpoint that is expected to miss the goal is behind all that meet it.
const MISSED_GOAL_PENALTY: Duration = Duration::from_secs(30);
/// Factor on the usual work within which an answer counts as safely in time. Log-normal service times
/// whose deviation is 0.8 of their mean stay below it in five of six cases, as computed.
const GOAL_SAFETY_FACTOR: f64 = 1.6;
/// Time that a certain failure is worth where there is no goal, for an endpoint's part of failures: about
/// the whole that a caller has for an answer, since a failed request has to be run again or is lost. Where
/// there is a goal, that is what it is worth.
const FAILURE_PENALTY: Duration = Duration::from_secs(2);
/// Part of failures up to which an endpoint counts as sound: one failure a moment ago. One that
/// fails more often is not taken for being near.
const MAX_HEALTHY_FAILURE_RATE: f64 = 0.2;
/// Part of failures from which a free slot says nothing: a server that fails at once always has one,
/// and would draw the requests that the others have no room for. It still gets some while the others
/// make callers wait for long.
const MIN_FAILING_RATE: f64 = 0.25;
/// Portion of the usual work by which costs are varied at random, so that daemons that all know the
/// same do not all send to the same server.
const COST_JITTER: f64 = 0.3;
/// Usual work that is assumed while none is known.
const MIN_USUAL_WORK: Duration = Duration::from_millis(1);
/// Wait at which an endpoint counts as having a free slot still: the answer that said so was on its
/// way for about as long.
const FREE_SLOT_TOLERANCE: Duration = Duration::from_millis(2);

impl PlacementTable {
    /// Returns the endpoint with the least cost, none where no endpoint may take the request.
    pub(super) fn pick_soonest(
        &self,
        request: &PlaceRequest<'_>,
        now: Duration,
        rng: &mut (impl Rng + ?Sized),
    ) -> Option<usize> {
        let usual = self.usual_work(self.work_of(request), now).max(MIN_USUAL_WORK);
        let failures = self.excess_failure_rates(now);
        let wanted =
            self.entries.iter().zip(failures).enumerate().filter(|(_, (entry, failures))| {
                super::is_eligible(entry, request)
                    && !entry.gauge.is_ejected()
                    && (!request.wants_slot || self.has_free_slot(entry, request, *failures, now))
            });
        let mut best: Option<(Duration, usize)> = None;
        for (index, (entry, failures)) in wanted {
            let jitter = usual.mul_f64(rng.random_range(0.0..COST_JITTER));
            let cost = self.cost(entry, request, (usual, failures), now) + jitter;
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, index));
            }
        }
        best.map(|(_, index)| index)
    }

    /// Returns the time until an answer of an endpoint, with what else it costs put as time. `usual` is the
    /// usual time of such work and `failures` the part of failures that the endpoint has beyond its peers.
    fn cost(
        &self,
        entry: &TableEntry,
        request: &PlaceRequest<'_>,
        (usual, failures): (Duration, f64),
        now: Duration,
    ) -> Duration {
        let gauge = &entry.gauge;
        // What was measured long ago says less and less: a server that was slow must be tried again.
        let work = gauge.latency(self.work_of(request)).decayed_towards(usual, now);
        // A cold server takes about twice as long.
        let work = work.div_f64(gauge.warm_fraction(&self.settings, now).max(0.5));
        let weights = &self.settings.weights;
        let wait = if weights.wait { gauge.wait(now) } else { Duration::ZERO };
        let transit = if weights.transit { gauge.transit(work, now) } else { Duration::ZERO };
        let is_in_time = failures <= MAX_HEALTHY_FAILURE_RATE
            && request.goal.is_some_and(|goal| wait + transit + work.mul_f64(GOAL_SAFETY_FACTOR) <= goal);
        let distance = match entry.record.distance {
            EndpointDistance::SameCentre => Duration::ZERO,
            EndpointDistance::SameRegion if is_in_time => IN_TIME_REGION_PENALTY,
            EndpointDistance::SameRegion if request.class == WorkClass::Long => LATE_LONG_REGION_PENALTY,
            EndpointDistance::SameRegion => LATE_REGION_PENALTY,
            EndpointDistance::OtherRegion => OTHER_REGION_PENALTY,
        };
        let missed_goal = if is_in_time { Duration::ZERO } else { MISSED_GOAL_PENALTY };
        let failures = request.goal.unwrap_or(FAILURE_PENALTY).mul_f64(failures);
        wait + transit + work + distance + missed_goal + failures
    }

    /// Returns the kind that a request's time is learnt under.
    pub(super) fn work_of(&self, request: &PlaceRequest<'_>) -> WorkKey {
        match self.settings.weights.by_work {
            true => request.work,
            false => request.class as WorkKey,
        }
    }

    /// Returns how long a request may wait for a slot at an endpoint: for any time where it may queue,
    /// not at all where it looks for a free slot, and a moment in the own data centre.
    ///
    /// Made for a data centre whose servers are full for moments. Each request that met one then crossed
    /// to another data centre, uploads of 60 KB too, for a slot that would have been free near by some
    /// milliseconds later. The wait grows with the bytes, so that when a data centre is short of slots
    /// for longer, what goes is what is light.
    pub(super) fn most_wait(
        &self,
        entry: &TableEntry,
        request: &PlaceRequest<'_>,
    ) -> Option<Duration> {
        let kilobytes = request.bytes as f64 / 1000.0;
        match entry.record.distance {
            _ if !request.wants_slot => None,
            EndpointDistance::SameCentre => Some(self.settings.near_wait.mul_f64(kilobytes)),
            EndpointDistance::SameRegion | EndpointDistance::OtherRegion => Some(Duration::ZERO),
        }
    }

    /// Returns whether an endpoint has a slot free, or soon enough, for work that it will likely do.
    fn has_free_slot(
        &self,
        entry: &TableEntry,
        request: &PlaceRequest<'_>,
        failures: f64,
        now: Duration,
    ) -> bool {
        let most = self.most_wait(entry, request).unwrap_or(Duration::MAX);
        let weights = &self.settings.weights;
        let is_soon = !weights.wait || entry.gauge.wait(now) <= most.saturating_add(FREE_SLOT_TOLERANCE);
        is_soon && failures < MIN_FAILING_RATE
    }

    /// Returns the part of each endpoint's failures beyond what is usual among its peers.
    ///
    /// Made for failures that are not the endpoint's own: a call that all servers of a service need fails,
    /// or all of them shed. Held against each, they drove requests from one data centre to another and
    /// into queues, for servers that fail just as much. With their median left out, and a failure worth a
    /// goal in place of two seconds, callers of five days got 0.937 of what they were owed, 0.931 before.
    fn excess_failure_rates(&self, now: Duration) -> Vec<f64> {
        if !self.settings.weights.failures {
            return vec![0.0; self.entries.len()];
        }
        let rates: Vec<f64> =
            self.entries.iter().map(|entry| entry.gauge.failure_rate(now)).collect();
        let mut sorted = rates.clone();
        sorted.sort_unstable_by(f64::total_cmp);
        // Of two, the lower one: one of them failing is no common failure.
        let usual = sorted.get(sorted.len().saturating_sub(1) / 2).copied().unwrap_or_default();
        rates.into_iter().map(|rate| (rate - usual).max(0.0)).collect()
    }

    /// Returns the usual time of a kind of work, the median of the endpoints'; zero while none is known.
    pub fn usual_work(&self, work: WorkKey, now: Duration) -> Duration {
        let known = self.entries.iter().filter_map(|entry| entry.gauge.latency(work).recent(now));
        let mut known: Vec<Duration> = known.collect();
        known.sort_unstable();
        known.get(known.len() / 2).copied().unwrap_or_default()
    }
}
