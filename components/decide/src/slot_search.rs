//! Search for a server with a free slot, and queueing where none has one.
//!
//! The servers of a service are often full for moments. A request first asks for a free slot, at
//! one endpoint after the other, and is refused at once where there is none; after a few attempts
//! it queues at the endpoint where it is expected to be answered first.

use std::time::Duration;

use crate::placing::{EndpointId, PlacementOrder};

/// Attempts to get a free slot before a request queues. Where most servers are full, each further
/// attempt costs two daemons a message at the very time at which they have none to spare: with 39
/// servers of a service a request would ask all of them. The endpoints that are asked are the best
/// by what is known.
const MAX_FREE_SLOT_ATTEMPTS: usize = 4;
/// Divisor of a request's response-time goal: once its refusals have taken that part of the goal,
/// it asks no further endpoint for a free slot. Refusals of healthy daemons take a few
/// milliseconds. Where they take long, processors or links are full, and each further attempt makes
/// them fuller: the fleet asks more the less it can answer, and stays overloaded when the cause is
/// over.
const REFUSAL_TIME_DIVISOR: u32 = 8;

/// Which endpoints a request is placed among.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum SearchPhase {
    /// Those with a free slot, where the settings ask for one first.
    #[default]
    FreeSlot,
    /// All: the request waits where it is expected to be answered first.
    Queue,
}

/// Progress of the search for one request.
#[derive(Clone, Debug, Default)]
pub struct SlotSearch {
    /// Endpoints that are not tried again.
    tried: Vec<EndpointId>,
    /// Endpoints of the present phase that had no free slot.
    busy: Vec<EndpointId>,
    phase: SearchPhase,
    /// Endpoints that had no free slot for work that may not queue there.
    full_count: usize,
    /// Time that refusals for want of a free slot have taken.
    refused_for: Duration,
}

impl SlotSearch {
    /// Returns whether the next attempt asks for a free slot. Work that `may_queue_at_once` never
    /// does: a large answer is worth a wait near by, and a body that can be sent once only must not
    /// be spent on an attempt that is likely refused.
    pub fn needs_free_slot(&self, order: PlacementOrder, may_queue_at_once: bool) -> bool {
        order == PlacementOrder::Soonest
            && !may_queue_at_once
            && self.phase == SearchPhase::FreeSlot
    }

    /// Returns the endpoints that the next attempt leaves out.
    pub fn excluded(&self) -> Vec<EndpointId> {
        self.tried.iter().chain(&self.busy).copied().collect()
    }

    /// Excludes an endpoint for good.
    pub fn exclude(&mut self, id: EndpointId) {
        self.tried.push(id);
    }

    /// Excludes an endpoint that has no free slot, and goes on to queue after enough of them, or
    /// when they have taken long beside the request's response-time goal.
    pub fn exclude_busy(&mut self, id: EndpointId, took: Duration, goal: Option<Duration>) {
        self.busy.push(id);
        self.add_refusal_time(took);
        if self.busy.len() >= MAX_FREE_SLOT_ATTEMPTS || self.has_refused_too_long(goal) {
            self.begin_queueing();
        }
    }

    /// Excludes an endpoint for good that has no free slot for work that may not queue there, and
    /// returns whether another one may be asked.
    pub fn exclude_full(&mut self, id: EndpointId, took: Duration, goal: Option<Duration>) -> bool {
        self.tried.push(id);
        self.full_count += 1;
        self.add_refusal_time(took);
        self.full_count < MAX_FREE_SLOT_ATTEMPTS && !self.has_refused_too_long(goal)
    }

    /// Records how long an endpoint took to refuse a request for want of a free slot.
    pub fn add_refusal_time(&mut self, took: Duration) {
        self.refused_for += took;
    }

    /// Returns whether refusals have taken too long for a further attempt.
    pub fn has_refused_too_long(&self, goal: Option<Duration>) -> bool {
        goal.is_some_and(|goal| self.refused_for >= goal / REFUSAL_TIME_DIVISOR)
    }

    /// Goes on to queue after no slot was free, and returns whether the search has only now done
    /// so.
    pub fn begin_queueing(&mut self) -> bool {
        self.busy.clear();
        std::mem::replace(&mut self.phase, SearchPhase::Queue) == SearchPhase::FreeSlot
    }
}
