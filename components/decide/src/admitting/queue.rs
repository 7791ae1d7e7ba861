//! A queue that is fair between flows, in bounded memory.

use std::collections::VecDeque;

use crate::admitting::{FlowKey, Ticket};

/// Lanes that flows are hashed to. With a queue of 24 at most 24 are in use; at 64 a flow seldom
/// shares its lane with a hot one. More flows than lanes cost no memory.
const LANES: usize = 64;
/// Bits of a hash that choose the lane.
const LANE_BITS: u32 = LANES.ilog2();
/// Multiplier of Fibonacci hashing, which spreads keys that differ in low bits only.
const HASH_FACTOR: u64 = 0x9E37_79B9_7F4A_7C15;

/// Gives the lane of a flow.
pub(super) fn flow_lane(flow: FlowKey) -> u8 {
    // Only the lane bits are left after the shift.
    (flow.wrapping_mul(HASH_FACTOR) >> (u64::BITS - LANE_BITS)) as u8
}

#[derive(Clone, Debug, Default)]
struct FlowLane {
    tickets: VecDeque<Ticket>,
    running: u32,
}

/// The queue of one class. The next to run is of the lane with the fewest running; among equals
/// they take turns. So a caller with a hundred requests and one with a single request have the same
/// right to the next slot.
#[derive(Clone, Debug)]
pub(super) struct FlowQueue {
    lanes: Vec<FlowLane>,
    /// Lanes with a ticket, in their order of turns.
    turns: VecDeque<u8>,
    len: u32,
}

impl Default for FlowQueue {
    fn default() -> Self {
        Self { lanes: vec![FlowLane::default(); LANES], turns: VecDeque::new(), len: 0 }
    }
}

impl FlowQueue {
    pub(super) fn len(&self) -> u32 {
        self.len
    }

    /// Gives the tickets of one lane.
    pub(super) fn lane_len(&self, lane: u8) -> u32 {
        // Bounded by the queue's limit.
        self.lanes[usize::from(lane)].tickets.len() as u32
    }

    pub(super) fn push(&mut self, lane: u8, ticket: Ticket) {
        let tickets = &mut self.lanes[usize::from(lane)].tickets;
        if tickets.is_empty() {
            self.turns.push_back(lane);
        }
        tickets.push_back(ticket);
        self.len += 1;
    }

    /// Takes out the ticket whose turn it is.
    pub(super) fn pop(&mut self) -> Option<Ticket> {
        let running = |lane: &u8| self.lanes[usize::from(*lane)].running;
        let turn = (0..self.turns.len()).min_by_key(|turn| running(&self.turns[*turn]))?;
        let lane = self.turns.remove(turn)?;
        let tickets = &mut self.lanes[usize::from(lane)].tickets;
        let ticket = tickets.pop_front();
        if !tickets.is_empty() {
            self.turns.push_back(lane);
        }
        self.len -= 1;
        ticket
    }

    /// Takes out a given ticket of a lane.
    pub(super) fn remove(&mut self, lane: u8, ticket: Ticket) {
        let tickets = &mut self.lanes[usize::from(lane)].tickets;
        let Some(place) = tickets.iter().position(|held| *held == ticket) else { return };
        tickets.remove(place);
        self.len -= 1;
        if tickets.is_empty() {
            self.turns.retain(|held| *held != lane);
        }
    }

    /// Gives all tickets, in no order that matters.
    pub(super) fn tickets(&self) -> impl Iterator<Item = Ticket> {
        self.turns.iter().flat_map(|lane| self.lanes[usize::from(*lane)].tickets.iter().copied())
    }

    /// Gives how many of the queued would start before a new ticket of a lane, if lanes take turns:
    /// from each other lane as many as this one has, and one more.
    pub(super) fn ahead_of(&self, lane: u8) -> u32 {
        let own = self.lane_len(lane);
        let others = self.turns.iter().filter(|other| **other != lane);
        own + others.map(|other| self.lane_len(*other).min(own + 1)).sum::<u32>()
    }

    pub(super) fn count_start(&mut self, lane: u8) {
        self.lanes[usize::from(lane)].running += 1;
    }

    pub(super) fn count_end(&mut self, lane: u8) {
        self.lanes[usize::from(lane)].running -= 1;
    }
}
