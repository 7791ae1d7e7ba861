//! Admission at the daemon beside a server, which alone knows what the server is running.
//!
//! More requests can come than the server's slots can run: twice its capacity, a burst from one
//! caller, long documents among short queries. Without a guard all are accepted, each waits longer
//! than its caller does, and the server works at its limit for answers that nobody reads any more.
//!
//! The guard runs as many requests as there are slots, queues a few, and refuses the others at
//! once, while there is time to go elsewhere. A refusal is final: a refused request was not run.

use std::{collections::HashMap, time::Duration};

use rand::Rng;
use slotmap::{SlotMap, new_key_type};

use crate::admitting::estimate::{DecayingMean, DecayingPeak};
use crate::admitting::link::LinkLimit;
use crate::admitting::queue::FlowQueue;
use crate::admitting::rate_limit::RateLimit;
use crate::admitting::server_load::{LoadReports, WorkEstimate};
use crate::admitting::shed_limit::ShedLimit;
use crate::admitting::urgency::UrgencyQueue;
use crate::admitting::urgent::urgency_of;
use crate::backoff::draw_between;
use crate::{CLASS_COUNT, WorkClass, WorkKey, class_index};

pub use crate::admitting::outcome::{Admission, AdmitFigures, Refusal, RefusalReason, Released};
pub use crate::admitting::rate_limit::StatedRate;
pub use crate::admitting::server_load::ServerLoad;
pub use crate::admitting::settings::{GuardSettings, QueueOrder};
pub use crate::admitting::upload::LinkBacklog;
pub use crate::admitting::urgency::Urgency;

pub(crate) mod estimate;
mod link;
mod outcome;
mod queue;
mod rate_limit;
mod release;
mod server_load;
mod settings;
mod shed_limit;
mod upload;
mod urgency;
mod urgent;

new_key_type! {
    /// Identifies an admitted request from its offer to its end. Never reused.
    pub struct Ticket;
}

/// Hash of the team whose services call.
pub type TeamKey = u64;
/// Hash of the calling service, or of the caller from outside.
pub type CallerKey = u64;

/// Hash of the workspace whose key a caller sent.
pub type WorkspaceKey = u64;

/// Workspace, team and caller that a request is counted against.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct FlowKey {
    /// The workspace; requests without one share what one workspace gets.
    pub workspace: Option<WorkspaceKey>,
    /// The team.
    pub team: TeamKey,
    /// The caller within the team.
    pub caller: CallerKey,
}

/// A request that arrives at the guard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GuardRequest {
    /// Class of the work.
    pub class: WorkClass,
    /// Team and caller that it is counted against.
    pub flow: FlowKey,
    /// When its caller stops waiting, on the clock of `now`.
    pub deadline: Duration,
    /// Whether it must run with nothing else on the server, see [`crate::quarantine`].
    pub is_exclusive: bool,
    /// When its response-time goal ends, on the clock of `now`; `None` if it has none.
    pub goal: Option<Duration>,
    /// Rank among the requests that wait, 0 first.
    pub rank: u8,
    /// Whether a request that has started at another server waits for it. It then goes before all
    /// others, whatever its rank.
    pub is_nested: bool,
    /// Kind of work; each kind has its own estimate of the service time.
    pub work: WorkKey,
    /// Longest time for which it may wait for a slot, `None` for any time. A request that would
    /// wait longer is refused at once, so that its sender can look for a free slot elsewhere.
    pub max_wait: Option<Duration>,
}

/// Factor on the work ahead of a request in the fair queue, since requests that come later start
/// before it where their flows have fewer running. At twice the capacity with deadlines of 2.5
/// service times, 5.3 % of sends are refused only after they have been queued at a factor of one,
/// 2.6 % at 1.5 and 0.9 % at two, and at two the most calls are served in time.
const OVERTAKING_FACTOR: u32 = 2;

/// Slots kept free of long work beyond the mean number of calls of started requests, which come in
/// bursts.
const NESTED_RESERVE: u32 = 1;

/// Divisor of the time to the response-time goal of refused long work, which yields the longest time
/// after which its caller returns.
const RETURN_GOAL_DIVISOR: u32 = 4;

/// Returns when the caller of refused long work may come back, if its goal ends in `goal`.
///
/// Long work is refused at a queue of a few requests, which is shorter again after one or two of
/// them. A caller that returns soon can still be answered in time; after half a second it cannot,
/// and takes the place of one that could.
pub fn return_within_goal(goal: Duration, rng: &mut (impl Rng + ?Sized)) -> Duration {
    let longest = goal / RETURN_GOAL_DIVISOR;
    draw_between(longest / RETURN_GOAL_DIVISOR, longest, rng)
}

/// Stage of an admitted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallStage {
    Queued,
    /// Waits until the server runs nothing else.
    AwaitsEmptyServer,
    /// Runs since this time.
    Running(Duration),
}

#[derive(Clone, Copy, Debug)]
struct GuardedCall {
    class: WorkClass,
    flow: FlowKey,
    stage: CallStage,
    /// Whether the server has received it, at least in part.
    is_sent: bool,
    work: WorkKey,
    is_nested: bool,
    deadline: Duration,
    /// Latest time at which it may start.
    latest_start: Duration,
    /// Why it is refused if it still waits then.
    late_reason: RefusalReason,
    /// Slowness that the server reported with its answer, one before that.
    slowness: f64,
}

/// Whether a trial has the server for itself, or waits for that.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TrialState {
    None,
    Waiting(Ticket),
    /// Runs; the server is kept empty beside it until this time.
    Running(Ticket, Duration),
}

/// Counts of a guard, for a dump and for the load it reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GuardState {
    /// Requests that run, short and long.
    pub running: [u32; CLASS_COUNT],
    /// Requests in the queue, short and long.
    pub queued: [u32; CLASS_COUNT],
    /// Slots available now: fewer than the settings give while the server is cold.
    pub slots: u32,
    /// Whether new requests are refused because the server drains.
    pub is_draining: bool,
    /// Requests in a thousand seconds that the server states as its limit, `None` without one.
    pub limit_per_thousand_s: Option<u64>,
}

/// Admits requests to one incarnation of one server.
#[derive(Clone, Debug)]
pub struct AdmissionGuard {
    settings: GuardSettings,
    started_at: Duration,
    calls: SlotMap<Ticket, GuardedCall>,
    fair_queues: [FlowQueue; CLASS_COUNT],
    urgency_queues: [UrgencyQueue; CLASS_COUNT],
    running: [u32; CLASS_COUNT],
    estimates: [WorkEstimate; CLASS_COUNT],
    /// Estimates by kind of work, kept where requests are ordered by urgency.
    work_estimates: HashMap<WorkKey, WorkEstimate>,
    /// Peak of the slots that short work has lately used at once.
    short_peak: DecayingPeak,
    /// Mean number of calls of started requests that ran or waited here lately.
    nested_demand: DecayingMean,
    trial: TrialState,
    /// Limit that the instance's link sets to long work.
    link_limit: LinkLimit,
    /// Limit of requests a second that the server states.
    rate_limit: RateLimit,
    /// Limit while the server refuses requests although it has a free slot.
    shed_limit: ShedLimit,
    /// Load that the server reports.
    load_reports: LoadReports,
    is_draining: bool,
}

impl AdmissionGuard {
    /// Creates the guard of a server that started at `started_at`, zero for one that is warm.
    pub fn new(settings: GuardSettings, started_at: Duration) -> Self {
        Self {
            settings,
            started_at,
            calls: SlotMap::with_key(),
            fair_queues: Default::default(),
            urgency_queues: Default::default(),
            running: [0; CLASS_COUNT],
            estimates: Default::default(),
            work_estimates: HashMap::new(),
            short_peak: DecayingPeak::default(),
            nested_demand: DecayingMean::default(),
            trial: TrialState::None,
            link_limit: LinkLimit::default(),
            rate_limit: RateLimit::unlimited(),
            shed_limit: ShedLimit::default(),
            load_reports: LoadReports::default(),
            is_draining: false,
        }
    }

    /// Decides on a request that arrives at `now`.
    pub fn offer(
        &mut self,
        request: &GuardRequest,
        now: Duration,
        rng: &mut (impl Rng + ?Sized),
    ) -> Admission {
        self.record_offer(now);
        if let Some(reason) = self.refusal_reason(request, now) {
            return Admission::Refused(self.refuse_offer(request, reason, now, rng));
        }
        let class = request.class;
        let service = self.service_time(request, now);
        let (latest_start, late_reason) = self.latest_start(request, service, now);
        if request.is_nested {
            self.nested_demand.add(f64::from(self.nested_count()), now);
        }
        let ticket = self.calls.insert(GuardedCall {
            class,
            flow: request.flow,
            stage: CallStage::Queued,
            is_sent: false,
            work: request.work,
            is_nested: request.is_nested,
            deadline: request.deadline,
            latest_start,
            late_reason,
            slowness: 1.0,
        });
        self.record_short_demand(class, now);
        match request.is_exclusive {
            true => self.admit_trial(ticket, now),
            false if self.has_room(class, now) => self.admit_running(ticket, now),
            false => {
                let index = class_index(class);
                match self.settings.order {
                    QueueOrder::Fair => self.fair_queues[index].push(request.flow, ticket),
                    QueueOrder::Urgent => {
                        self.urgency_queues[index].push(ticket, urgency_of(request), service);
                    }
                }
                Admission::Queued(ticket)
            }
        }
    }

    /// Returns whether all new requests are refused.
    pub fn is_draining(&self) -> bool {
        self.is_draining
    }

    /// Refuses all new requests from now on and returns the queued ones, not run, so that they can
    /// be placed elsewhere. Running ones go on.
    pub fn drain(&mut self) -> Released {
        self.is_draining = true;
        let mut released = Released::default();
        let fair = self.fair_queues.iter_mut().flat_map(|queue| std::iter::from_fn(|| queue.pop()));
        let waiting: Vec<Ticket> = fair.collect();
        let urgent = std::mem::take(&mut self.urgency_queues);
        let waiting = waiting.into_iter().chain(urgent.iter().flat_map(UrgencyQueue::tickets));
        released.refused.extend(waiting.map(|ticket| (ticket, RefusalReason::Draining)));
        if let TrialState::Waiting(ticket) = self.trial {
            self.trial = TrialState::None;
            released.refused.push((ticket, RefusalReason::Draining));
        }
        for (ticket, _) in &released.refused {
            self.calls.remove(*ticket);
        }
        released
    }

    /// Creates the refusal for a reason. The time to come back is drawn from a window, so that
    /// callers refused in one burst do not return in one.
    pub fn refuse(
        &self,
        reason: RefusalReason,
        now: Duration,
        rng: &mut (impl Rng + ?Sized),
    ) -> Refusal {
        let settings = &self.settings;
        let retry_min = match reason {
            RefusalReason::ColdStart => self.warm_up_left(now).min(settings.retry_after_min),
            RefusalReason::Busy => self.shed_limit.pause_left(now),
            RefusalReason::Draining => Duration::ZERO,
            // Another server may have room sooner than one with a low limit.
            RefusalReason::RateLimited => self.rate_wait(now).min(settings.retry_after_min),
            _ => settings.retry_after_min,
        };
        let retry_after = draw_between(retry_min, retry_min + settings.retry_after_window, rng);
        Refusal { reason, retry_after, figures: None }
    }

    /// Creates the refusal of a request that arrives, with the figures that decided it.
    fn refuse_offer(
        &self,
        request: &GuardRequest,
        reason: RefusalReason,
        now: Duration,
        rng: &mut (impl Rng + ?Sized),
    ) -> Refusal {
        let figures = self.figures(request, now);
        let refusal = self.refuse(reason, now, rng);
        let retry_after = match (reason, request.class, request.goal) {
            (RefusalReason::GoalMissed, WorkClass::Long, Some(goal)) => {
                return_within_goal(goal.saturating_sub(now), rng)
            }
            _ => refusal.retry_after,
        };
        Refusal { retry_after, figures, ..refusal }
    }

    /// Returns whether a request runs as a trial with the server kept empty beside it. To be asked
    /// when the server dies, for [`crate::quarantine::CrashReport::is_trial`].
    pub fn is_trial(&self, ticket: Ticket) -> bool {
        matches!(self.trial, TrialState::Running(trial, _) if trial == ticket)
    }

    /// Returns the counts.
    pub fn state(&self, now: Duration) -> GuardState {
        GuardState {
            running: self.running,
            queued: [self.queued(WorkClass::Short), self.queued(WorkClass::Long)],
            slots: self.slots(now),
            is_draining: self.is_draining,
            limit_per_thousand_s: self.rate_limit.stated().per_thousand_seconds(),
        }
    }

    /// Returns the load to report to other daemons, from 0 to 1: zero when idle, one with all slots
    /// taken and the short queue half full.
    pub fn load(&self, now: Duration) -> f64 {
        let queued = f64::from(self.queued(WorkClass::Short) + self.queued(WorkClass::Long));
        // Slots that the server does not have for requests now count as taken.
        let slots = self.stated_slots(now);
        let busy = f64::from(self.running_count() + slots - self.slots(now)) + queued;
        let full = f64::from(slots) + f64::from(self.settings.short_queue) / 2.0;
        match self.shed_limit.pause_left(now).is_zero() {
            true => (busy / full).min(1.0),
            false => 1.0,
        }
    }

    /// Returns the figures that decide on a request, or `None` if it may not wait, since a free
    /// slot alone decides then.
    fn figures(&self, request: &GuardRequest, now: Duration) -> Option<AdmitFigures> {
        if request.max_wait == Some(Duration::ZERO) {
            return None;
        }
        Some(AdmitFigures {
            work: self.service_time(request, now),
            wait: self.slot_wait(request, now),
            left: request.deadline.saturating_sub(now),
            goal: request.goal.map(|goal| goal.saturating_sub(now)),
            running: self.running_count(),
            slots: self.slots(now),
            queued: self.queued(request.class),
        })
    }

    /// Returns why a request cannot be admitted, or `None` if it can.
    fn refusal_reason(&self, request: &GuardRequest, now: Duration) -> Option<RefusalReason> {
        let class = request.class;
        let service = self.service_time(request, now);
        let left = request.deadline.saturating_sub(now);
        let queue = &self.fair_queues[class_index(class)];
        let limit = self.settings.queue_limit(class);
        let has_room = !request.is_exclusive && self.has_room(class, now);
        match request {
            _ if self.is_draining => Some(RefusalReason::Draining),
            _ if left.is_zero() || service > left => Some(RefusalReason::DeadlineTooNear),
            _ if self.has_reached_rate(0, now) => Some(RefusalReason::RateLimited),
            _ if request.is_exclusive && self.trial != TrialState::None => {
                Some(RefusalReason::TrialUnderWay)
            }
            _ if class == WorkClass::Long && has_room && self.is_late_on_link(request, now) => {
                Some(RefusalReason::GoalMissed)
            }
            _ if has_room && self.risks_deadline_on_link(class, service, request.deadline, now) => {
                Some(RefusalReason::DeadlineTooNear)
            }
            _ if has_room || request.is_exclusive => None,
            _ if self.exceeds_max_wait(request, now) => Some(RefusalReason::Busy),
            _ if self.settings.order == QueueOrder::Urgent => {
                self.urgent_refusal_reason(request, now)
            }
            _ if queue.len() >= limit => Some(self.queue_full_reason(now)),
            _ if !queue.has_share(request.flow, limit) => Some(RefusalReason::ShareExceeded),
            _ if self.expected_wait(request, now) + self.high_estimate(class, now) > left => {
                Some(RefusalReason::DeadlineTooNear)
            }
            _ => None,
        }
    }

    /// Returns how long a request would wait for a slot.
    fn slot_wait(&self, request: &GuardRequest, now: Duration) -> Duration {
        match self.settings.order {
            QueueOrder::Fair => self.expected_wait(request, now),
            QueueOrder::Urgent => self.urgent_wait(request, now),
        }
    }

    /// Returns whether a request would wait for longer than it may.
    fn exceeds_max_wait(&self, request: &GuardRequest, now: Duration) -> bool {
        let is_over =
            |max_wait: Duration| max_wait.is_zero() || self.slot_wait(request, now) > max_wait;
        request.max_wait.is_some_and(is_over)
    }

    /// Returns the expected service time of a request, from the estimates that the order uses.
    fn service_time(&self, request: &GuardRequest, now: Duration) -> Duration {
        match self.settings.order {
            QueueOrder::Fair => self.estimate(request.class, now),
            QueueOrder::Urgent => self.work_time(request.work, request.class, now),
        }
    }

    /// Returns the usual time of a kind of work, or of its class while the kind is not known.
    fn work_time(&self, work: WorkKey, class: WorkClass, now: Duration) -> Duration {
        match self.work_estimates.get(&work) {
            Some(estimate) => estimate.expected(self.slowness(now), now),
            None => self.estimate(class, now),
        }
    }

    /// Returns the number of queued requests of a class.
    fn queued(&self, class: WorkClass) -> u32 {
        let index = class_index(class);
        self.fair_queues[index].len() + self.urgency_queues[index].len()
    }

    /// Returns the reason of a refusal by a full queue: a cold start while the server warms up.
    fn queue_full_reason(&self, now: Duration) -> RefusalReason {
        match self.warm_up_left(now).is_zero() {
            true => RefusalReason::QueueFull,
            false => RefusalReason::ColdStart,
        }
    }

    /// Returns the time that a request would wait in the fair queue: the work ahead of it in the
    /// order of [`FlowQueue`], over the slots that its class can count on.
    fn expected_wait(&self, request: &GuardRequest, now: Duration) -> Duration {
        let class = request.class;
        let ahead = self.fair_queues[class_index(class)].ahead_of(request.flow);
        let long = self.running[1] + self.queued(WorkClass::Long);
        let slots = match class {
            WorkClass::Long => self.long_limit(now),
            WorkClass::Short => self.slots(now) - long.min(self.long_limit(now)),
        };
        let wait = self.estimate(class, now) * ((ahead + 1) * OVERTAKING_FACTOR) / slots.max(1);
        wait.max(self.shed_limit.pause_left(now))
    }

    /// Returns the usual service time of a class.
    fn estimate(&self, class: WorkClass, now: Duration) -> Duration {
        self.estimates[class_index(class)].expected(self.slowness(now), now)
    }

    /// Returns the service time to plan with for a request that would queue. It can still go
    /// elsewhere, so it is only kept if it will very likely be in time; one that could start at
    /// once is admitted if it is likelier in time than not.
    fn high_estimate(&self, class: WorkClass, now: Duration) -> Duration {
        self.estimates[class_index(class)].high_estimate(self.slowness(now), now)
    }

    fn running_count(&self) -> u32 {
        self.running.iter().sum()
    }

    /// Returns the number of calls of started requests that run or wait.
    fn nested_count(&self) -> u32 {
        // The slots and the queue's limit bound it.
        self.calls.values().filter(|call| call.is_nested).count() as u32
    }

    /// Returns the slots available, without those that the server seems not to have.
    fn slots(&self, now: Duration) -> u32 {
        let slots = self.shed_limit.slots(self.stated_slots(now));
        self.slots_beside_foreign(slots, now)
    }

    /// Returns the slots by the server's statement: all of a warm server, a growing part of a cold
    /// one. A cold server that gets a full load at once serves all of it too late.
    fn stated_slots(&self, now: Duration) -> u32 {
        let slots = self.settings.slots.max(1);
        let whole = self.settings.warm_up.as_secs_f64().max(f64::EPSILON);
        let cold = self.warm_up_left(now).as_secs_f64() / whole;
        // The value is between zero and the slots, so the cast only rounds.
        let reserved = (f64::from(slots) * cold * self.settings.cold_reserve).floor() as u32;
        (slots - reserved.min(slots)).max(1)
    }

    /// Returns the time until the server is warm, zero if it is.
    fn warm_up_left(&self, now: Duration) -> Duration {
        match self.started_at {
            Duration::ZERO => Duration::ZERO,
            started_at => (started_at + self.settings.warm_up).saturating_sub(now),
        }
    }

    /// Returns the slots that long work may take: its share, or more while short work needs fewer,
    /// but always one less than there are, at least one, and no more than the link carries. The one
    /// slot kept free lets the first short request after a pause run at once, rather than wait for a
    /// document to end.
    fn long_limit(&self, now: Duration) -> u32 {
        let in_step = self.link_limit.max_in_step(self.estimate(WorkClass::Long, now));
        self.long_slots(now).min(in_step)
    }

    /// Returns the slots that long work may take, regardless of what is on the link.
    fn long_slots(&self, now: Duration) -> u32 {
        let slots = self.slots(now);
        let needed = self.short_peak.level(now).ceil() as u32 + 1;
        let long_slots = self.long_share(now).max(slots.saturating_sub(needed));
        long_slots.min(self.link_limit.max_running()).max(1)
    }

    /// Returns the slots that long work gets in contention: its share, as far as the calls of
    /// started requests leave it one, and at least one slot.
    ///
    /// Requests that have started elsewhere hold a slot there until their calls end. Where documents
    /// take the slots that these calls need, the calls wait, the requests behind them take longer,
    /// and the servers of the calling service fill up with requests that do nothing.
    fn long_share(&self, now: Duration) -> u32 {
        let slots = self.slots(now);
        let nested = self.nested_demand.level(now).ceil() as u32;
        let left = slots.saturating_sub(nested.saturating_add(NESTED_RESERVE));
        self.settings.long_share_of(slots).min(left).max(1)
    }

    /// Returns whether a request of a class could start at once without overtaking one that waits.
    fn has_room(&self, class: WorkClass, now: Duration) -> bool {
        let waits = self.queued(class) > 0;
        !waits && self.may_start(class, now)
    }

    /// Returns whether a slot is free for a request of a class.
    fn may_start(&self, class: WorkClass, now: Duration) -> bool {
        let within = class == WorkClass::Short || self.running[1] < self.long_limit(now);
        let is_paused = !self.shed_limit.pause_left(now).is_zero();
        let is_full = is_paused || self.running_count() >= self.slots(now);
        self.trial == TrialState::None && !is_full && within
    }

    /// Raises the peak of short work when a request of it arrives.
    fn record_short_demand(&mut self, class: WorkClass, now: Duration) {
        if class == WorkClass::Short {
            let demand = self.running[0] + self.queued(WorkClass::Short) + 1;
            self.short_peak.raise(f64::from(demand.min(self.settings.slots)), now);
        }
    }
}
