//! Looking for a server that has a slot free, and queueing where none has.
//!
//! Made for a service whose servers are mostly full for moments. First the request looks for a free
//! slot, at one endpoint after the other, and is refused at once where there is none; after a few
//! looks it queues where it is expected to be answered first.

use std::time::Duration;

use crate::placing::{EndpointId, PlacementOrder};

/// Looks for a free slot before a request queues. Where most servers are full, each further look
/// costs two daemons a message at the very time at which they have none to spare: with 39 servers
/// of a service a request would go round all of them. Those that are looked at are the best by what
/// is known.
const MAX_FREE_SLOT_ATTEMPTS: usize = 4;
/// Part of a request's response-time goal, as a divisor, that being refused may take before it
/// looks no further. Refusals of sound daemons take a few milliseconds. Where they take long,
/// processors or links are full, and every further look makes them fuller: the fleet asks more the
/// less it can answer, and stays so when what began it is over.
const MAX_REFUSED_DIVISOR: u32 = 8;

/// Which endpoints a request is placed among.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum SearchPhase {
    /// Those with a free slot, where the settings look for one.
    #[default]
    FreeSlot,
    /// All: the request waits where it is expected to be answered first.
    Queue,
}

/// How far the search for a request has come.
#[derive(Clone, Debug, Default)]
pub struct SlotSearch {
    /// Endpoints that are not tried again.
    tried: Vec<EndpointId>,
    /// Endpoints of the present pass that had no slot free.
    busy: Vec<EndpointId>,
    phase: SearchPhase,
    /// Time that refusals for want of room have taken.
    refused_for: Duration,
}

impl SlotSearch {
    /// Returns whether the next attempt looks for a free slot. Work that `may_queue_at_once` never
    /// does: a large answer is worth a wait near by, and a body that can be sent once only must not
    /// be spent on a look.
    pub fn wants_slot(&self, order: PlacementOrder, may_queue_at_once: bool) -> bool {
        order == PlacementOrder::Soonest
            && !may_queue_at_once
            && self.phase == SearchPhase::FreeSlot
    }

    /// Returns the endpoints that are left out.
    pub fn excluded(&self) -> Vec<EndpointId> {
        self.tried.iter().chain(&self.busy).copied().collect()
    }

    /// Leaves an endpoint out for good.
    pub fn note_tried(&mut self, id: EndpointId) {
        self.tried.push(id);
    }

    /// Leaves an endpoint out that has no slot free, and goes on to queue after enough of them, or
    /// when they have taken long beside the request's response-time goal.
    pub fn note_busy(&mut self, id: EndpointId, took: Duration, goal: Option<Duration>) {
        self.busy.push(id);
        self.note_refused(took);
        if self.busy.len() >= MAX_FREE_SLOT_ATTEMPTS || self.is_long(goal) {
            self.begin_queueing();
        }
    }

    /// Records how long an endpoint took to refuse a request for want of room.
    pub fn note_refused(&mut self, took: Duration) {
        self.refused_for += took;
    }

    /// Returns whether refusals have taken too long for a further look.
    pub fn is_long(&self, goal: Option<Duration>) -> bool {
        goal.is_some_and(|goal| self.refused_for >= goal / MAX_REFUSED_DIVISOR)
    }

    /// Goes on to queue, where no slot was free, and tells whether that is new.
    pub fn begin_queueing(&mut self) -> bool {
        self.busy.clear();
        std::mem::replace(&mut self.phase, SearchPhase::Queue) == SearchPhase::FreeSlot
    }
}
