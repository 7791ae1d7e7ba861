//! Admission in the order of urgency. A request that would miss its goal by waiting is refused at
//! once, so that a burst does not make all requests late, and the least urgent request gives its
//! place in a full queue to a more urgent one.

use std::time::Duration;

use crate::admitting::{
    AdmissionGuard, CallStage, GuardRequest, GuardedCall, QueueOrder, RefusalReason, Released,
    Urgency,
};
use crate::class_index;
use crate::{GOAL_SAFETY_FACTOR, WorkClass};

/// Factor on the work ahead in the order of urgency, for more urgent work that comes later. Calls
/// that other requests wait for take up to two fifths of a server in a burst; with the work ahead
/// alone, one confirmation in ten is refused only after it has waited out its time.
const LATER_ARRIVALS_FACTOR: f64 = 1.5;

impl AdmissionGuard {
    /// Removes and returns the least urgent of the waiting requests, not run, if the queue is full
    /// and a more urgent one comes. A request that may wait for a limited time only takes nobody's
    /// place, since it can go elsewhere. To be called before [`AdmissionGuard::offer`].
    ///
    /// A burst of long work can fill the queue. A call that another request waits for would then be
    /// refused, and the work that its caller has done already would be lost with it.
    pub fn evict_less_urgent(&mut self, request: &GuardRequest, now: Duration) -> Released {
        let mut released = Released::default();
        let class = request.class;
        let evicts_less_urgent =
            self.settings.evicts_less_urgent && self.settings.order == QueueOrder::Urgent;
        let is_full = self.queued(class) >= self.settings.queue_limit(class);
        if !evicts_less_urgent || request.max_wait.is_some() || !is_full {
            return released;
        }
        let service = self.service_time(request, now);
        let limit = self.settings.queue_limit(class);
        let queue = &mut self.urgency_queues[class_index(class)];
        if let Some(ticket) = queue.pop_less_urgent(urgency_of(request), service, limit, now) {
            self.calls.remove(ticket);
            released.refused.push((ticket, RefusalReason::QueueFull));
        }
        released
    }

    /// Returns the latest time at which a waiting request may start, and why it is refused after
    /// it. It must start while the usual service time is left before the deadline, and in the order
    /// of urgency no later than half a goal after the goal: behind requests that can be in time it
    /// would be refused in the end, and had better learn this while it can come back. A request
    /// that may wait for a short time only is handed back after twice that time, if more urgent
    /// ones have come meanwhile.
    pub(super) fn latest_start(
        &self,
        request: &GuardRequest,
        service: Duration,
        now: Duration,
    ) -> (Duration, RefusalReason) {
        let by_deadline = request.deadline.saturating_sub(service);
        let latest = match (self.settings.order, request.goal) {
            // A request that has started would fail without it, so it may be late.
            _ if request.is_nested => by_deadline,
            (QueueOrder::Urgent, Some(goal)) if goal > now => {
                by_deadline.min(goal + (goal - now) / 2)
            }
            _ => by_deadline,
        };
        match request.max_wait.map(|max_wait| now + max_wait * 2) {
            Some(handed_back) if handed_back < latest => (handed_back, RefusalReason::Busy),
            _ => (latest, RefusalReason::DeadlineTooNear),
        }
    }

    /// Returns why a request cannot wait in the order of urgency, or `None` if it can.
    ///
    /// A service can get more than it can do for seconds. Whoever is queued beyond the goal is
    /// answered late, and so is everyone behind: the servers work at their limit and nobody is
    /// served in time. Refused at once, a request can come back when the burst is over, and those
    /// that are kept are in time.
    pub(super) fn urgent_refusal_reason(
        &self,
        request: &GuardRequest,
        now: Duration,
    ) -> Option<RefusalReason> {
        let class = request.class;
        let work = self.service_time(request, now);
        let link_time = self.link_time(class, work, None);
        let service = work + link_time;
        // More urgent work that comes later goes before it.
        let later = if request.is_nested { 1.0 } else { LATER_ARRIVALS_FACTOR };
        let wait = self.urgent_wait(request, now).mul_f64(later);
        match request {
            _ if self.queued(class) >= self.settings.queue_limit(class) => {
                Some(self.queue_full_reason(now))
            }
            _ if now + wait + service > request.deadline => Some(RefusalReason::DeadlineTooNear),
            _ if !request.is_nested && !self.has_queue_share(request) => {
                Some(RefusalReason::ShareExceeded)
            }
            // A late call costs less than the work that would be lost with it.
            _ if request.is_nested => None,
            _ if misses_goal(request, wait, service, now) => Some(RefusalReason::GoalMissed),
            _ if class == WorkClass::Long && risks_goal(request, wait, (work, link_time), now) => {
                Some(RefusalReason::GoalMissed)
            }
            _ => None,
        }
    }

    /// Returns whether a request's workspace may queue another one.
    fn has_queue_share(&self, request: &GuardRequest) -> bool {
        let queue = &self.urgency_queues[class_index(request.class)];
        queue.has_share(request.flow.workspace, self.settings.queue_limit(request.class))
    }

    /// Returns whether a request of long work that could start at once would safely meet its goal on
    /// an idle link, and may miss it behind the answers that are to be sent before its own.
    pub(super) fn is_late_on_link(&self, request: &GuardRequest, now: Duration) -> bool {
        let work = self.service_time(request, now);
        let running = self.running[class_index(request.class)];
        let link_time = self.link_time(request.class, work, Some(running));
        let alone = self.link_limit.transfer_time();
        self.settings.order == QueueOrder::Urgent
            && risks_goal(request, link_time.saturating_sub(alone), (work, alone), now)
    }

    /// Returns whether the answer to a request of long work that started now may still be on the link
    /// at its deadline, behind others. Its caller, or a daemon that stops by then, would cut it. On an
    /// idle link it may start in any case, because the times of earlier answers need not hold any more.
    pub(super) fn risks_deadline_on_link(
        &self,
        class: WorkClass,
        work: Duration,
        deadline: Duration,
        now: Duration,
    ) -> bool {
        let running = self.running[class_index(class)];
        let link_time = self.link_limit.high_answer_time(work, running);
        let is_idle = running + self.link_limit.pending() == 0 || link_time.is_zero();
        class == WorkClass::Long && !is_idle && now + work + link_time > deadline
    }

    /// Returns the time from the end of a request's work to the end of its answer on the link, if
    /// `running` others of its class run; `None` for as many as may.
    fn link_time(&self, class: WorkClass, work: Duration, running: Option<u32>) -> Duration {
        match class {
            WorkClass::Long => self.link_limit.answer_time(work, running),
            WorkClass::Short => Duration::ZERO,
        }
    }

    /// Returns the time that a request would wait for a slot now, in the order of urgency: the time
    /// until a slot is free, and the queued work that goes before it over the slots of its class.
    pub(super) fn urgent_wait(&self, request: &GuardRequest, now: Duration) -> Duration {
        let class = request.class;
        let service = self.service_time(request, now);
        let urgency = urgency_of(request);
        let ahead = self.urgency_queues[class_index(class)].work_ahead(urgency, service, now);
        let by_slots = |slots: u32| self.time_to_first_slot(now) + ahead / slots.max(1);
        match class {
            WorkClass::Short => by_slots(self.slots(now)),
            WorkClass::Long => {
                let work = self.estimate(class, now);
                // The queue's limit bounds the quotient.
                let ahead = (ahead.as_secs_f64() / work.as_secs_f64().max(f64::EPSILON)) as u32;
                let running = self.running[class_index(class)];
                let by_link = self.link_limit.start_wait(work, running, ahead);
                by_slots(self.long_slots(now)).max(by_link)
            }
        }
    }

    /// Returns the expected time until the first of the running requests ends. What is left of `n`
    /// requests is taken as spread evenly up to twice its mean, and the least of `n` such times as
    /// `1 / (n + 1)` of that. Half the mean, which is the time until half of them have ended, would
    /// refuse one call in eighteen in a burst that could have had the next slot.
    fn time_to_first_slot(&self, now: Duration) -> Duration {
        let running = self.running_count();
        let left: Duration = self.calls.values().map(|call| self.remaining_work(call, now)).sum();
        let wait = left * 2 / (running * (running + 1)).max(1);
        wait.max(self.shed_limit.pause_left(now))
    }

    /// Returns how long a request that may queue would wait for a slot, for daemons that choose
    /// among servers, and how much longer than usual it would then take; `is_nested` as in
    /// [`GuardRequest::is_nested`]. Zero while a slot is free, the server's limit leaves room and the
    /// server is as fast as usual.
    pub fn wait_hint(&self, is_nested: bool, now: Duration) -> Duration {
        self.slot_wait_hint(is_nested, now).max(self.rate_wait(now))
    }

    fn slot_wait_hint(&self, is_nested: bool, now: Duration) -> Duration {
        if self.running_count() < self.slots(now) {
            return self.shed_limit.pause_left(now).max(self.slowness_hint(now));
        }
        let goes_before = |call: &GuardedCall| call.is_nested || !is_nested;
        let queued: Duration = self
            .calls
            .values()
            .filter(|call| call.stage == CallStage::Queued && goes_before(call))
            .map(|call| self.work_time(call.work, call.class, now))
            .sum();
        let wait = self.time_to_first_slot(now) + queued / self.slots(now).max(1);
        wait + self.slowness_hint(now)
    }

    /// Returns the expected time until a running request ends, zero for one that waits.
    fn remaining_work(&self, call: &GuardedCall, now: Duration) -> Duration {
        match call.stage {
            CallStage::Running(since) => {
                let usual = self.work_time(call.work, call.class, now);
                // At least a quarter of the estimate is taken to be left: a request that has
                // outlasted it need not be about to end, and its slot must not count as free.
                let left = usual.saturating_sub(now.saturating_sub(since));
                left.max(usual / 4)
            }
            CallStage::Queued | CallStage::AwaitsEmptyServer => Duration::ZERO,
        }
    }
}

/// Returns whether a request misses its goal after a wait followed by `rest`, and mostly because of
/// the wait: it takes more than half the time to the goal. A goal that has passed already says
/// nothing about what can still be reached.
pub(super) fn misses_goal(
    request: &GuardRequest,
    wait: Duration,
    rest: Duration,
    now: Duration,
) -> bool {
    let goal = request.goal.filter(|goal| *goal > now);
    goal.is_some_and(|goal| now + wait + rest > goal && wait > (goal - now) / 2)
}

/// Returns whether a request that would safely meet its goal without a wait may miss it after one.
/// `work` varies from request to request, and the time that follows on the link does not.
///
/// Long work fills queues for as long as more of it comes than the servers and links carry. At any
/// length of the queue as much is served; at a length at which most of what is admitted just misses
/// its goal, nearly none of it is served in time.
fn risks_goal(
    request: &GuardRequest,
    wait: Duration,
    (work, link_time): (Duration, Duration),
    now: Duration,
) -> bool {
    let rest = work.mul_f64(GOAL_SAFETY_FACTOR) + link_time;
    request.goal.is_some_and(|goal| now + rest <= goal && now + wait + rest > goal)
}

/// Returns how urgent a request is.
pub(super) fn urgency_of(request: &GuardRequest) -> Urgency {
    let due = request.goal.unwrap_or(request.deadline);
    let workspace = request.flow.workspace;
    Urgency { is_nested: request.is_nested, rank: request.rank, due, workspace }
}
