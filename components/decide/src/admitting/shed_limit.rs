//! What the guard sends to a server that refuses requests although a slot counted as free.
//!
//! Some servers refuse for seconds a share of all requests or every one of them, and others have
//! fewer slots than they state. Each refused arrival costs its caller a retry, and a service may have
//! only so many of these. Where the guard goes on sending by the stated slots, a fifth of what
//! reaches such servers is refused.
//!
//! The limit is lowered by a factor at each refusal and raised by answers (additive increase,
//! multiplicative decrease). Below one request, the guard sends single probes with pauses between
//! them. Refusals now and then leave it as it is.

use std::time::Duration;

use crate::admitting::{AdmissionGuard, CallStage, GuardedCall, RefusalReason, Released, Ticket};

/// Refusals per answer that do not lower the limit: well above those of a healthy server, and well
/// below a share that costs callers their retries.
const TOLERATED_SHARE: f64 = 0.05;
/// Tolerated refusals that may come at once.
const MAX_TOLERATED: f64 = 3.0;
/// Factor on the limit at a refusal.
const DECREASE_FACTOR: f64 = 0.8;
/// Answers in a row, in rounds of the limit, after which each further one raises it by one: the
/// server no longer refuses.
const RECOVERY_ROUNDS: f64 = 2.0;
/// Fewest answers in a row that count as such rounds.
const MIN_RECOVERY_ANSWERS: u32 = 4;
/// Shortest pause between a refused probe and the next one.
const MIN_PAUSE: Duration = Duration::from_millis(20);
/// Longest such pause. A server that takes requests again is found within it.
const MAX_PAUSE: Duration = Duration::from_millis(500);
/// Arrivals at the guard within a pause, so that only a small part of them is refused by the server.
const ARRIVALS_PER_PROBE: u32 = 7;
/// Divisor of the weight of a new interval in the mean interval between arrivals.
const INTERVAL_WEIGHT: u32 = 8;

/// Limits the requests that a server runs at once, as long as it refuses some of them.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShedLimit {
    /// Requests that it seems to take; `None` for as many as it has slots.
    room: Option<f64>,
    /// Refusals that are tolerated now.
    tolerance: f64,
    /// Answers since the last refusal.
    answered_in_row: u32,
    /// Nothing is sent until this time.
    paused_until: Option<Duration>,
    last_arrival: Duration,
    /// Mean interval between arrivals at the guard.
    interval: Duration,
}

impl Default for ShedLimit {
    fn default() -> Self {
        Self {
            room: None,
            tolerance: MAX_TOLERATED,
            answered_in_row: 0,
            paused_until: None,
            last_arrival: Duration::ZERO,
            interval: Duration::ZERO,
        }
    }
}

impl ShedLimit {
    /// Returns how many of `slots` the server seems to have for requests, at least one.
    pub(super) fn slots(&self, slots: u32) -> u32 {
        // The cast only rounds: the room is never above the slots that it was cut from.
        self.room.map_or(slots, |room| (room as u32).clamp(1, slots))
    }

    /// Returns the time until the next request may be sent.
    pub(super) fn pause_left(&self, now: Duration) -> Duration {
        self.paused_until.unwrap_or_default().saturating_sub(now)
    }

    /// Returns when the next request may be sent, if none may now.
    pub(super) fn pause_end(&self) -> Option<Duration> {
        self.paused_until
    }

    /// Ends a pause, if it is over by `now`.
    pub(super) fn end_pause(&mut self, now: Duration) {
        self.paused_until = self.paused_until.filter(|until| *until > now);
    }

    /// Records a request that arrives at the guard.
    fn record_arrival(&mut self, now: Duration) {
        let interval = now.saturating_sub(self.last_arrival).min(MAX_PAUSE);
        self.interval = (self.interval * (INTERVAL_WEIGHT - 1) + interval) / INTERVAL_WEIGHT;
        self.last_arrival = now;
    }

    /// Records that the server refused a request while it ran `others` of `slots`, and returns
    /// whether that has lowered the limit.
    fn record_refusal(&mut self, others: u32, slots: u32, now: Duration) -> bool {
        self.answered_in_row = 0;
        if self.room.is_none() && self.tolerance >= 1.0 {
            self.tolerance -= 1.0;
            return false;
        }
        let room = self.room.unwrap_or(f64::from(slots)).min(f64::from(others));
        let room = room * DECREASE_FACTOR;
        self.room = Some(room);
        if room < 1.0 {
            let pause = (self.interval * ARRIVALS_PER_PROBE).clamp(MIN_PAUSE, MAX_PAUSE);
            self.paused_until = self.paused_until.max(Some(now + pause));
        }
        true
    }

    /// Records that the server with `slots` ran a request.
    fn record_answer(&mut self, slots: u32) {
        self.answered_in_row = self.answered_in_row.saturating_add(1);
        self.tolerance = (self.tolerance + TOLERATED_SHARE).min(MAX_TOLERATED);
        let Some(room) = self.room else { return };
        let room = room.max(1.0);
        let answers = f64::from(self.answered_in_row);
        let recovers =
            self.answered_in_row > MIN_RECOVERY_ANSWERS && answers > room * RECOVERY_ROUNDS;
        let room = room + if recovers { 1.0 } else { room.recip() };
        self.room = Some(room).filter(|room| *room < f64::from(slots));
    }
}

impl AdmissionGuard {
    /// Records that the server refused a request without running it, to be called before the
    /// request ends. Returns the requests that leave the queue, for which the server is no longer
    /// expected to have room.
    pub fn record_rejected(&mut self, ticket: Ticket, now: Duration) -> Released {
        let is_running = |call: &GuardedCall| matches!(call.stage, CallStage::Running(_));
        let slots = self.stated_slots(now);
        let others = self.running_count().saturating_sub(1);
        match self.calls.get(ticket) {
            Some(call) if self.settings.limits_by_refusals && is_running(call) => {}
            _ => return Released::default(),
        }
        match self.shed_limit.record_refusal(others, slots, now) {
            true => self.refuse_beyond_room(now),
            false => Released::default(),
        }
    }

    /// Records a request that arrives at `now`.
    pub(super) fn record_offer(&mut self, now: Duration) {
        self.shed_limit.record_arrival(now);
    }

    /// Records that the server ran a request.
    pub(super) fn record_taken(&mut self, now: Duration) {
        let slots = self.stated_slots(now);
        self.shed_limit.record_answer(slots);
    }

    /// Removes and returns the waiting requests beyond one round of the slots, not run. What has the
    /// most time left can best go elsewhere; calls of started requests stay longest.
    fn refuse_beyond_room(&mut self, now: Duration) -> Released {
        let mut waiting: Vec<Ticket> = self.waiting().collect();
        let excess = waiting.len().saturating_sub(self.slots(now) as usize);
        self.sort_most_movable(&mut waiting);
        waiting.truncate(excess);
        waiting.iter().for_each(|ticket| self.remove(*ticket));
        let refused = waiting.into_iter().map(|ticket| (ticket, RefusalReason::Busy));
        Released { start: Vec::new(), refused: refused.collect() }
    }
}
