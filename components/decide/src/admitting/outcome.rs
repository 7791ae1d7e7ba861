//! Decisions of the guard.

use std::time::Duration;

use derive_more::Display;

use crate::admitting::Ticket;

/// Why a request is refused. In each case it did not run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RefusalReason {
    /// The queue is full.
    #[display("queue-full")]
    QueueFull,
    /// It could not finish in time.
    #[display("deadline-too-near")]
    DeadlineTooNear,
    /// Its team or caller has used up its share of the queue.
    #[display("share-exceeded")]
    ShareExceeded,
    /// No slot is free, and it may not wait.
    #[display("busy")]
    Busy,
    /// It would be answered only after its response-time goal.
    #[display("goal-missed")]
    GoalMissed,
    /// The server is leaving.
    #[display("draining")]
    Draining,
    /// The queue is full because the server has just started.
    #[display("cold-start")]
    ColdStart,
    /// The limit that the server states leaves no room for it.
    #[display("rate-limited")]
    RateLimited,
    /// It must run alone, and another trial has the server or the server did not empty in time.
    #[display("trial-under-way")]
    TrialUnderWay,
}

/// A final refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason.
    pub reason: RefusalReason,
    /// Time after which the caller may come back, spread between callers.
    pub retry_after: Duration,
    /// Figures that decided it, if it was decided at the arrival.
    pub figures: Option<AdmitFigures>,
}

/// What the guard knew when it decided on a request, for diagnosis.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(
    "work {} wait {} left {} goal {} running {running}/{slots} queued {queued}",
    work.as_millis(), wait.as_millis(), left.as_millis(), goal.map_or(0, |goal| goal.as_millis())
)]
pub struct AdmitFigures {
    /// Usual service time of such work.
    pub work: Duration,
    /// Expected wait for a slot.
    pub wait: Duration,
    /// Time to the deadline.
    pub left: Duration,
    /// Time to the response-time goal, where there is one.
    pub goal: Option<Duration>,
    /// Running requests.
    pub running: u32,
    /// Slots of the server.
    pub slots: u32,
    /// Requests of its class in the queue.
    pub queued: u32,
}

/// Decision on an offered request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Run it now.
    Run(Ticket),
    /// Keep it waiting until it appears in a [`Released`].
    Queued(Ticket),
    /// Answer with the refusal.
    Refused(Refusal),
}

/// Requests that leave the queue. Each queued ticket appears once in one of the lists, unless it is
/// cancelled first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[must_use]
pub struct Released {
    /// To be run now.
    pub start: Vec<Ticket>,
    /// To be answered with a refusal, not run; see [`crate::admitting::AdmissionGuard::refuse`].
    pub refused: Vec<(Ticket, RefusalReason)>,
}
