//! Deciding who is suspected, unreachable or gone.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use sk_model::ProxyId;

use crate::{
    Incarnation, MemberMarks, MemberSuspicion, MemberView, OverlayPlan,
    book::SuspicionBook,
    verdict::VerdictCase,
    watch::{DueWord, NeighbourWatch},
};

/// How fast and on whose word daemons are given up.
#[derive(Clone, Debug)]
pub struct MonitorOptions {
    /// Silence after which a neighbour is suspected. Default 1.5 s: three heartbeats of 500 ms,
    /// which leaves half of the 3 s in which a crash is to be known for spreading it.
    pub suspect: Duration,
    /// Silence after which a neighbour whose connection was reset is suspected. Default 300 ms:
    /// longer than opening a connection anew between regions.
    pub lost_grace: Duration,
    /// Observers that have to agree. Default 2; more make removal slower where links are few.
    pub quorum: usize,
    /// Time for which a word holds without renewal. Default 120 s: a cut costs one word for each
    /// cut link and minute, and a withdrawal that was lost is made good in two minutes.
    pub word_ttl: Duration,
    /// Time between two ticks from which on this process counts as paused itself. Default 750 ms,
    /// half of `suspect`: a shorter pause cannot make all neighbours look silent.
    pub pause: Duration,
}

impl Default for MonitorOptions {
    fn default() -> Self {
        Self {
            suspect: Duration::from_millis(1_500),
            lost_grace: Duration::from_millis(300),
            quorum: 2,
            word_ttl: Duration::from_secs(120),
            pause: Duration::from_millis(750),
        }
    }
}

/// What the monitor asks of its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MonitorEvent {
    /// This daemon gives its word: push it to the rumor queue.
    Spread(MemberSuspicion),
    /// Enough observers agree: call [`MemberTable::declare_gone`](crate::MemberTable::declare_gone).
    Gone {
        /// The daemon.
        proxy: ProxyId,
        /// Its process.
        incarnation: Incarnation,
        /// The sequence at which it is gone.
        sequence: u64,
    },
    /// The local marks changed: call [`MemberBoard::set_marks`](crate::MemberBoard::set_marks).
    Marked(MemberMarks),
    /// This process was paused for the given time: call
    /// [`MemberTable::withdraw_endpoints`](crate::MemberTable::withdraw_endpoints).
    Paused(Duration),
}

/// Watches the neighbours and weighs what all observers say.
///
/// `now` is the time since any fixed start, on a clock that does not go back.
#[derive(Debug)]
pub struct LivenessMonitor {
    own: ProxyId,
    round: u64,
    options: MonitorOptions,
    watch: NeighbourWatch,
    book: SuspicionBook,
    marks: MemberMarks,
    last_tick: Option<Duration>,
    judge_from: Duration,
    planned: Option<PlannedView>,
    judged: Option<JudgedState>,
}

/// The links of a view, kept because planning takes about a millisecond at 780 daemons.
#[derive(Debug)]
struct PlannedView {
    view: MemberView,
    plan: Arc<OverlayPlan>,
}

/// What the last verdict was made of.
///
/// A cut lasts for hours, and a verdict at 780 daemons takes about a millisecond: made anew at
/// each tick it would use up the daemon's share of a core for nothing.
#[derive(Debug, PartialEq, Eq)]
struct JudgedState {
    revision: u64,
    silent: Vec<ProxyId>,
}

impl LivenessMonitor {
    /// Makes a monitor for one daemon. Its words are numbered from its incarnation on, so that
    /// they replace those of the process before it.
    pub fn new(own: ProxyId, incarnation: Incarnation, options: MonitorOptions) -> Self {
        Self {
            own,
            round: incarnation,
            options,
            watch: NeighbourWatch::default(),
            book: SuspicionBook::default(),
            marks: MemberMarks::default(),
            last_tick: None,
            judge_from: Duration::ZERO,
            planned: None,
            judged: None,
        }
    }

    /// Sets whom to watch: everyone this daemon shares a link with, whoever opened it. Those who
    /// are new are given the full time to be heard.
    pub fn set_neighbours(&mut self, neighbours: impl IntoIterator<Item = ProxyId>, now: Duration) {
        let wanted: BTreeSet<ProxyId> = neighbours.into_iter().collect();
        self.watch.set_neighbours(wanted, now, &self.options);
        self.judged = None;
    }

    /// Notes that a neighbour was heard.
    pub fn heard(&mut self, proxy: &str, now: Duration) {
        self.watch.heard(proxy, now, &self.options);
    }

    /// Notes that the connection to a neighbour was reset or refused. The kernel says so at once
    /// when a process ends, long before silence would.
    pub fn lost(&mut self, proxy: &str, now: Duration) {
        self.watch.lost(proxy, now);
    }

    /// Notes another observer's word and tells whether it was new and is to be passed on.
    pub fn note(&mut self, word: MemberSuspicion, now: Duration) -> bool {
        word.observer != self.own && self.book.note(word, now)
    }

    /// Gives the marks as of the last tick.
    pub fn marks(&self) -> &MemberMarks {
        &self.marks
    }

    /// Decides what is due. To be called every 100 ms or so; a gap is taken for a pause.
    pub fn tick(&mut self, view: &MemberView, now: Duration) -> Vec<MonitorEvent> {
        let gap = now.saturating_sub(self.last_tick.replace(now).unwrap_or(now));
        if gap > self.options.pause {
            return self.resume(gap, now);
        }
        self.book.expire(now, self.options.word_ttl);
        let due = self.watch.due_words(view, now, &self.options);
        let words: Vec<MemberSuspicion> = due.into_iter().map(|due| self.give(due)).collect();
        for word in &words {
            self.book.note(word.clone(), now);
        }
        let mut events: Vec<_> = words.into_iter().map(MonitorEvent::Spread).collect();
        if now >= self.judge_from {
            self.judge(view, now, &mut events);
        }
        events
    }

    // A daemon that wakes finds every neighbour silent for as long as it slept, and words in its
    // book that were answered meanwhile. Without this it would accuse all of them and remove the
    // living; what it missed arrives within the time that it waits here.
    fn resume(&mut self, gap: Duration, now: Duration) -> Vec<MonitorEvent> {
        self.watch.reset(now);
        self.judge_from = now + self.options.suspect;
        vec![MonitorEvent::Paused(gap)]
    }

    fn give(&mut self, due: DueWord) -> MemberSuspicion {
        self.round += 1;
        MemberSuspicion {
            proxy: due.proxy,
            incarnation: due.incarnation,
            sequence: due.sequence,
            observer: self.own.clone(),
            round: self.round,
            is_withdrawn: due.is_withdrawn,
        }
    }

    fn judge(&mut self, view: &MemberView, now: Duration, events: &mut Vec<MonitorEvent>) {
        let silent = self.watch.states(now, &self.options).filter(|(_, is_silent)| *is_silent);
        let silent: Vec<ProxyId> = silent.map(|(proxy, _)| proxy.clone()).collect();
        let is_quiet = silent.is_empty() && self.book.is_empty();
        if is_quiet || self.watch.is_empty() {
            self.judged = None;
            return self.set_marks(MemberMarks::default(), events);
        }
        let state = JudgedState { revision: self.book.revision(), silent };
        let is_planned = self.is_planned(view);
        if is_planned && self.judged.as_ref() == Some(&state) {
            return;
        }
        let plan = self.plan(view);
        let case = VerdictCase {
            own: &self.own,
            view,
            plan: &plan,
            accusers: self.book.accusers(view),
            neighbours: self.watch.states(now, &self.options).collect(),
            quorum: self.options.quorum.max(1),
        };
        let reached = case.reached();
        let marks = case.marks(&reached);
        for proxy in case.gone(&reached) {
            let record = &view[&proxy];
            let (incarnation, sequence) = (record.incarnation, record.sequence);
            events.push(MonitorEvent::Gone { proxy, incarnation, sequence });
        }
        self.judged = Some(state);
        self.set_marks(marks, events);
    }

    /// Gives the links planned for a view; they are computed only when they can have changed.
    pub fn plan(&mut self, view: &MemberView) -> Arc<OverlayPlan> {
        let plan = match &self.planned {
            Some(planned) if Arc::ptr_eq(&planned.view, view) => return planned.plan.clone(),
            Some(planned) if planned.plan.is_plan_of(view) => planned.plan.clone(),
            _ => Arc::new(OverlayPlan::new(view)),
        };
        self.planned = Some(PlannedView { view: view.clone(), plan: plan.clone() });
        self.judged = None;
        plan
    }

    fn is_planned(&self, view: &MemberView) -> bool {
        self.planned.as_ref().is_some_and(|planned| Arc::ptr_eq(&planned.view, view))
    }

    fn set_marks(&mut self, marks: MemberMarks, events: &mut Vec<MonitorEvent>) {
        if self.marks != marks {
            self.marks = marks.clone();
            events.push(MonitorEvent::Marked(marks));
        }
    }
}
