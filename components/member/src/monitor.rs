//! Detection of daemons that are suspected, unreachable or gone.
//!
//! One observer may be wrong, because of a broken link, a pause or an overloaded instance. The
//! monitor therefore combines the silence of its own neighbours with the suspicions of other
//! observers before it declares a daemon gone.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use sk_model::ProxyId;

use crate::{
    Incarnation, MemberSnapshot, MemberSuspicion, OverlayPlan, ReachabilityMarks,
    assessment::LivenessAssessment,
    neighbours::{DueSuspicion, NeighbourTracker},
    suspicion_log::SuspicionLog,
};

/// Timeouts and quorum after which daemons are suspected and declared gone.
#[derive(Clone, Debug)]
pub struct MonitorOptions {
    /// Silence after which a neighbour is suspected. Default 1.5 s: three heartbeats of 500 ms,
    /// which leaves half of the 3 s in which a crash has to be known everywhere for spreading it.
    pub silence_timeout: Duration,
    /// Silence after which a neighbour whose connection was reset is suspected. Default 300 ms:
    /// longer than it takes to reopen a connection between regions.
    pub reset_timeout: Duration,
    /// Number of observers that have to agree. Default 2; a larger number slows down the removal
    /// of daemons that have few links.
    pub quorum: usize,
    /// Time for which a suspicion is valid without renewal. Default 120 s: a network cut then
    /// costs one suspicion for each cut link and minute, and a lost withdrawal takes effect within
    /// two minutes.
    pub suspicion_ttl: Duration,
    /// Time between two ticks above which this process counts as having been paused. Default 750
    /// ms, half of `silence_timeout`: a shorter pause cannot make all neighbours look silent.
    pub pause_threshold: Duration,
}

impl Default for MonitorOptions {
    fn default() -> Self {
        Self {
            silence_timeout: Duration::from_millis(1_500),
            reset_timeout: Duration::from_millis(300),
            quorum: 2,
            suspicion_ttl: Duration::from_secs(120),
            pause_threshold: Duration::from_millis(750),
        }
    }
}

/// An action that the caller of the monitor has to take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MonitorEvent {
    /// This daemon sends a suspicion or a withdrawal: push it to the rumor queue.
    SendSuspicion(MemberSuspicion),
    /// Enough observers agree that a daemon is gone: call
    /// [`MemberTable::declare_gone`](crate::MemberTable::declare_gone).
    Gone {
        /// Name of the daemon.
        proxy: ProxyId,
        /// Incarnation of the daemon.
        incarnation: Incarnation,
        /// Sequence of the record that is declared gone.
        sequence: u64,
    },
    /// The local marks changed: call [`SharedMembers::set_marks`](crate::SharedMembers::set_marks).
    MarksChanged(ReachabilityMarks),
    /// This process was paused for the given time: call
    /// [`MemberTable::withdraw_endpoints`](crate::MemberTable::withdraw_endpoints).
    Paused(Duration),
}

/// Monitors the neighbours and evaluates the suspicions of all observers.
///
/// Every `now` is the time since any fixed start on a monotonic clock.
#[derive(Debug)]
pub struct LivenessMonitor {
    own: ProxyId,
    suspicion_count: u64,
    options: MonitorOptions,
    neighbour_tracker: NeighbourTracker,
    suspicion_log: SuspicionLog,
    marks: ReachabilityMarks,
    last_tick: Option<Duration>,
    assess_after: Duration,
    cached_plan: Option<CachedPlan>,
    last_assessed: Option<AssessedInput>,
}

/// The links of a snapshot, cached because computing them takes about a millisecond at 780
/// daemons.
#[derive(Debug)]
struct CachedPlan {
    snapshot: MemberSnapshot,
    plan: Arc<OverlayPlan>,
}

/// The inputs of the last assessment.
///
/// A network cut may last for hours, and an assessment at 780 daemons takes about a millisecond.
/// Repeating it at each tick with the same inputs would use up the CPU share of the daemon.
#[derive(Debug, PartialEq, Eq)]
struct AssessedInput {
    revision: u64,
    silent: Vec<ProxyId>,
}

impl LivenessMonitor {
    /// Creates a monitor for one daemon. Its suspicions are numbered from its incarnation on, so
    /// that they replace those of the previous process.
    pub fn new(own: ProxyId, incarnation: Incarnation, options: MonitorOptions) -> Self {
        Self {
            own,
            suspicion_count: incarnation,
            options,
            neighbour_tracker: NeighbourTracker::default(),
            suspicion_log: SuspicionLog::default(),
            marks: ReachabilityMarks::default(),
            last_tick: None,
            assess_after: Duration::ZERO,
            cached_plan: None,
            last_assessed: None,
        }
    }

    /// Sets the daemons to monitor: all that share a link with this daemon, whichever side opened
    /// it. New neighbours get the full time to be heard.
    pub fn set_neighbours(&mut self, neighbours: impl IntoIterator<Item = ProxyId>, now: Duration) {
        let wanted_neighbours: BTreeSet<ProxyId> = neighbours.into_iter().collect();
        self.neighbour_tracker.set_neighbours(wanted_neighbours, now, &self.options);
        self.last_assessed = None;
    }

    /// Records that a neighbour was heard at `now`.
    pub fn record_heard(&mut self, proxy: &str, now: Duration) {
        self.neighbour_tracker.record_heard(proxy, now, &self.options);
    }

    /// Records that the connection to a neighbour was reset or refused. The kernel reports this at
    /// once when a process ends, long before its silence is noticed.
    pub fn record_reset(&mut self, proxy: &str, now: Duration) {
        self.neighbour_tracker.record_reset(proxy, now);
    }

    /// Adds a suspicion of another observer, and returns whether it was new and has to be passed
    /// on.
    pub fn add_suspicion(&mut self, suspicion: MemberSuspicion, now: Duration) -> bool {
        suspicion.observer != self.own && self.suspicion_log.insert(suspicion, now)
    }

    /// Returns the marks as of the last tick.
    pub fn marks(&self) -> &ReachabilityMarks {
        &self.marks
    }

    /// Evaluates all timers and suspicions, and returns the actions that are due. It has to be
    /// called about every 100 ms; a gap above `pause_threshold` counts as a pause of this process.
    pub fn tick(&mut self, snapshot: &MemberSnapshot, now: Duration) -> Vec<MonitorEvent> {
        let gap = now.saturating_sub(self.last_tick.replace(now).unwrap_or(now));
        if gap > self.options.pause_threshold {
            return self.resume_after_pause(gap, now);
        }
        self.suspicion_log.expire(now, self.options.suspicion_ttl);
        let due = self.neighbour_tracker.due_suspicions(snapshot, now, &self.options);
        let suspicions: Vec<MemberSuspicion> =
            due.into_iter().map(|due| self.create_suspicion(due)).collect();
        for suspicion in &suspicions {
            self.suspicion_log.insert(suspicion.clone(), now);
        }
        let mut events: Vec<_> = suspicions.into_iter().map(MonitorEvent::SendSuspicion).collect();
        if now >= self.assess_after {
            self.assess(snapshot, now, &mut events);
        }
        events
    }

    // After a pause, every neighbour seems to have been silent, and the log has suspicions that
    // were refuted meanwhile. Without this delay the daemon would suspect all neighbours and
    // remove running daemons; what it missed arrives within the delay.
    fn resume_after_pause(&mut self, gap: Duration, now: Duration) -> Vec<MonitorEvent> {
        self.neighbour_tracker.restart_timers(now);
        self.assess_after = now + self.options.silence_timeout;
        vec![MonitorEvent::Paused(gap)]
    }

    /// Creates the message for a due suspicion, under the next number of this daemon.
    fn create_suspicion(&mut self, due: DueSuspicion) -> MemberSuspicion {
        self.suspicion_count += 1;
        MemberSuspicion {
            proxy: due.proxy,
            incarnation: due.incarnation,
            sequence: due.sequence,
            observer: self.own.clone(),
            number: self.suspicion_count,
            is_withdrawn: due.is_withdrawn,
        }
    }

    /// Updates the marks and adds the events that follow from the current suspicions. Does nothing
    /// if neither the suspicions nor the links have changed.
    fn assess(&mut self, snapshot: &MemberSnapshot, now: Duration, events: &mut Vec<MonitorEvent>) {
        let silent = self
            .neighbour_tracker
            .silence_states(now, &self.options)
            .filter(|(_, is_silent)| *is_silent);
        let silent: Vec<ProxyId> = silent.map(|(proxy, _)| proxy.clone()).collect();
        let has_no_suspicion = silent.is_empty() && self.suspicion_log.is_empty();
        if has_no_suspicion || self.neighbour_tracker.is_empty() {
            self.last_assessed = None;
            return self.set_marks(ReachabilityMarks::default(), events);
        }
        let input = AssessedInput { revision: self.suspicion_log.revision(), silent };
        let is_planned = self.is_planned(snapshot);
        if is_planned && self.last_assessed.as_ref() == Some(&input) {
            return;
        }
        let plan = self.plan(snapshot);
        let assessment = LivenessAssessment {
            own: &self.own,
            snapshot,
            plan: &plan,
            observers_by_suspect: self.suspicion_log.observers_by_suspect(snapshot),
            neighbours: self.neighbour_tracker.silence_states(now, &self.options).collect(),
            quorum: self.options.quorum.max(1),
        };
        let reached = assessment.find_reached();
        let marks = assessment.make_marks(&reached);
        for proxy in assessment.find_gone(&reached) {
            let record = &snapshot[&proxy];
            let (incarnation, sequence) = (record.incarnation, record.sequence);
            events.push(MonitorEvent::Gone { proxy, incarnation, sequence });
        }
        self.last_assessed = Some(input);
        self.set_marks(marks, events);
    }

    /// Returns the links for a snapshot; they are computed only if they may have changed.
    pub fn plan(&mut self, snapshot: &MemberSnapshot) -> Arc<OverlayPlan> {
        let plan = match &self.cached_plan {
            Some(cached_plan) if Arc::ptr_eq(&cached_plan.snapshot, snapshot) => {
                return cached_plan.plan.clone();
            }
            Some(cached_plan) if cached_plan.plan.is_current_for(snapshot) => {
                cached_plan.plan.clone()
            }
            _ => Arc::new(OverlayPlan::new(snapshot)),
        };
        self.cached_plan = Some(CachedPlan { snapshot: snapshot.clone(), plan: plan.clone() });
        self.last_assessed = None;
        plan
    }

    /// Returns whether the cached links were computed from this very snapshot.
    fn is_planned(&self, snapshot: &MemberSnapshot) -> bool {
        self.cached_plan
            .as_ref()
            .is_some_and(|cached_plan| Arc::ptr_eq(&cached_plan.snapshot, snapshot))
    }

    /// Replaces the marks, and adds an event if they changed.
    fn set_marks(&mut self, marks: ReachabilityMarks, events: &mut Vec<MonitorEvent>) {
        if self.marks != marks {
            self.marks = marks.clone();
            events.push(MonitorEvent::MarksChanged(marks));
        }
    }
}
