//! What the guard does when an admitted request ends, leaves or waits too long.

use std::time::Duration;

use crate::admitting::{
    Admission, AdmissionGuard, CallStage, LinkBacklog, QueueOrder, RefusalReason, Released, Ticket,
    TrialState, urgency::UrgencyQueue,
};
use crate::{WorkClass, WorkKey, class_index};

/// Kinds of work with an estimate of their own: several times those of the busiest server.
const MAX_WORK_KINDS: usize = 256;

impl AdmissionGuard {
    /// Records that a running request ended, and returns the requests that leave the queue for it.
    /// A ticket that has ended before changes nothing.
    pub fn finish(&mut self, ticket: Ticket, now: Duration) -> Released {
        if let Some(call) = self.calls.get(ticket)
            && let CallStage::Running(since) = call.stage
        {
            let (class, work, slowness) = (call.class, call.work, call.slowness);
            let took = now.saturating_sub(since);
            self.record_taken(now);
            self.record_prediction(ticket, now);
            self.estimates[class_index(class)].add(took, slowness, now);
            self.record_work(work, took, slowness, now);
            if class == WorkClass::Long {
                self.link_limit.record_end();
            }
        }
        self.cancel(ticket, now)
    }

    /// Adds the time that a request took to the estimate of its kind of work.
    fn record_work(&mut self, work: WorkKey, took: Duration, slowness: f64, now: Duration) {
        if self.settings.order == QueueOrder::Urgent {
            if self.work_estimates.len() >= MAX_WORK_KINDS {
                // Estimates of withdrawn routes would stay for good; the others are learned again
                // in seconds.
                self.work_estimates.clear();
            }
            self.work_estimates.entry(work).or_default().add(took, slowness, now);
        }
    }

    /// Records that the caller of a request left, whether it ran or waited. Its time is not counted
    /// as a service time.
    pub fn cancel(&mut self, ticket: Ticket, now: Duration) -> Released {
        self.remove(ticket);
        self.expire(now)
    }

    /// Returns the queued requests that can start now and those that could no longer finish in
    /// time. To be called at [`AdmissionGuard::next_expiry`].
    pub fn expire(&mut self, now: Duration) -> Released {
        let mut released = Released::default();
        self.end_trial_exclusivity(now);
        self.shed_limit.end_pause(now);
        self.refuse_late(now, &mut released);
        while let Some(ticket) = self.take_next_startable(now) {
            self.set_running(ticket, now);
            released.start.push(ticket);
            // It goes before the others on the link.
            self.refuse_late(now, &mut released);
        }
        released
    }

    /// Records how many large answers wait for the instance's link, and returns the requests that
    /// leave the queue for it. To be called when the number changes.
    pub fn set_waiting_answers(&mut self, answers: usize, now: Duration) -> Released {
        if !self.settings.limits_long_by_link {
            return Released::default();
        }
        let before = self.link_limit.waiting_answers();
        self.link_limit.set_waiting_answers(answers, self.running[class_index(WorkClass::Long)]);
        match answers < before {
            true => self.expire(now),
            false => Released::default(),
        }
    }

    /// Records what the link has to carry, and returns the requests that leave the queue for it. To
    /// be called when an answer begins or ends.
    pub fn set_answer_backlog(&mut self, backlog: LinkBacklog, now: Duration) -> Released {
        if !self.settings.limits_long_by_link {
            return Released::default();
        }
        self.link_limit.set_backlog(backlog);
        self.expire(now)
    }

    /// Returns the time at which a queued request will have waited too long, or a trial's exclusive
    /// time ends, whichever is first.
    pub fn next_expiry(&self) -> Option<Duration> {
        let queued = self.waiting().filter_map(|ticket| self.calls.get(ticket));
        let latest = queued.map(|call| call.latest_start);
        // What waits may start when the pause of a server that refuses requests is over.
        let pause_end = self.shed_limit.pause_end().filter(|_| self.waiting().next().is_some());
        let latest = latest.chain(pause_end);
        match self.trial {
            TrialState::Running(_, until) => latest.chain([until]).min(),
            _ => latest.min(),
        }
    }

    /// Admits a request that starts at once.
    pub(super) fn admit_running(&mut self, ticket: Ticket, now: Duration) -> Admission {
        self.set_running(ticket, now);
        Admission::Run(ticket)
    }

    /// Admits a suspect, to run alone: at once on an empty server, else when the server has
    /// emptied.
    pub(super) fn admit_trial(&mut self, ticket: Ticket, now: Duration) -> Admission {
        self.trial = TrialState::Waiting(ticket);
        if self.running_count() == 0 {
            return self.admit_running(ticket, now);
        }
        let limit = now + self.settings.trial_max_wait;
        if let Some(call) = self.calls.get_mut(ticket) {
            call.stage = CallStage::AwaitsEmptyServer;
            call.latest_start = call.latest_start.min(limit);
        }
        Admission::Queued(ticket)
    }

    /// Marks a request as running, and starts a trial's exclusive time.
    fn set_running(&mut self, ticket: Ticket, now: Duration) {
        let Some(call) = self.calls.get_mut(ticket) else { return };
        call.stage = CallStage::Running(now);
        self.running[class_index(call.class)] += 1;
        self.fair_queues[class_index(call.class)].count_start(call.flow);
        if self.trial == TrialState::Waiting(ticket) {
            self.trial = TrialState::Running(ticket, now + self.settings.trial_exclusive_time);
        }
    }

    /// Removes a request, queued or running, and ends its trial if it is one.
    pub(super) fn remove(&mut self, ticket: Ticket) {
        let Some(call) = self.calls.remove(ticket) else { return };
        let queue = &mut self.fair_queues[class_index(call.class)];
        match call.stage {
            CallStage::Queued if self.settings.order == QueueOrder::Urgent => {
                self.urgency_queues[class_index(call.class)].remove(ticket);
            }
            CallStage::Queued => queue.remove(call.flow, ticket),
            CallStage::AwaitsEmptyServer => {}
            CallStage::Running(_) => {
                queue.count_end(call.flow);
                self.running[class_index(call.class)] -= 1;
            }
        }
        match self.trial {
            TrialState::Waiting(trial) | TrialState::Running(trial, _) if trial == ticket => {
                self.trial = TrialState::None;
            }
            _ => {}
        }
    }

    /// Removes and returns the queued request of a class that starts next.
    fn pop(&mut self, class: WorkClass, now: Duration) -> Option<Ticket> {
        let index = class_index(class);
        match self.settings.order {
            QueueOrder::Fair => self.fair_queues[index].pop(),
            QueueOrder::Urgent => self.urgency_queues[index].pop(now),
        }
    }

    /// Ends a trial's exclusive time, if it is over by `now`.
    fn end_trial_exclusivity(&mut self, now: Duration) {
        if matches!(self.trial, TrialState::Running(_, until) if until <= now) {
            self.trial = TrialState::None;
        }
    }

    /// Returns all requests that wait, a waiting trial among them.
    pub(super) fn waiting(&self) -> impl Iterator<Item = Ticket> {
        let trial = match self.trial {
            TrialState::Waiting(ticket) => Some(ticket),
            _ => None,
        };
        let urgent = self.urgency_queues.iter().flat_map(UrgencyQueue::tickets);
        self.fair_queues.iter().flat_map(|queue| queue.tickets()).chain(urgent).chain(trial)
    }

    /// Refuses the waiting requests that could no longer finish in time. They would take a slot for
    /// an answer that comes too late, and make those behind them late too. The link's part changes
    /// while they wait.
    fn refuse_late(&mut self, now: Duration, released: &mut Released) {
        let late_reason = |ticket: Ticket| {
            let call = self.calls.get(ticket)?;
            let work = self.work_time(call.work, call.class, now);
            match call {
                _ if call.latest_start <= now => Some((ticket, call.late_reason)),
                _ if self.risks_deadline_on_link(call.class, work, call.deadline, now) => {
                    Some((ticket, RefusalReason::DeadlineTooNear))
                }
                _ => None,
            }
        };
        let late: Vec<_> = self.waiting().filter_map(late_reason).collect();
        for (ticket, reason) in late {
            let reason = match self.trial {
                TrialState::Waiting(trial) if trial == ticket => RefusalReason::TrialUnderWay,
                _ => reason,
            };
            self.remove(ticket);
            released.refused.push((ticket, reason));
        }
    }

    /// Removes and returns the queued request that starts next, if one may start. A trial that
    /// waits goes first and stops the others from starting, or a busy server would never empty for
    /// it.
    fn take_next_startable(&mut self, now: Duration) -> Option<Ticket> {
        if let TrialState::Waiting(ticket) = self.trial {
            return (self.running_count() == 0).then_some(ticket);
        }
        // Long work below its share goes before short work, which would otherwise take every slot
        // that becomes free; above its share it comes after. Answers on the link count as well: what
        // waits for the link needs no slot before others. Calls of started requests go before all
        // long work but the first.
        let nested = self.urgency_queues[class_index(WorkClass::Short)].nested_len();
        let share = if nested > 0 { 1 } else { self.long_share(now) };
        let order = match self.running[1] + self.link_limit.pending() < share {
            true => [WorkClass::Long, WorkClass::Short],
            false => [WorkClass::Short, WorkClass::Long],
        };
        order.into_iter().find_map(|class| match self.may_start(class, now) {
            true => self.pop(class, now),
            false => None,
        })
    }
}
