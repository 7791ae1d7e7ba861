//! A queue that is fair between teams, and within a team between callers.
//!
//! In the order of arrival, a caller that sends in a loop would take nearly all slots, and the
//! others would lose as large a part of their requests as the one that causes it.

use std::collections::VecDeque;

use crate::admitting::{FlowKey, TeamKey, Ticket};

/// A caller with at least one request queued or running.
#[derive(Clone, Debug)]
struct ActiveFlow {
    key: FlowKey,
    tickets: VecDeque<Ticket>,
    running: u32,
    /// Value of [`FlowQueue::serve_count`] when it was last served.
    last_served: u64,
}

/// The queue of one class. The next to run is of the team with the fewest running, in it of the
/// caller with the fewest; among equals the one that was served longest ago. So a caller with a
/// hundred requests and one with a single request have the same right to the next slot, and so have
/// a team with a hundred callers and one with a single caller.
///
/// A caller is only kept while it has a request here, so there are never more than slots and queue
/// places together (some fifty), and plain scans are the fastest.
#[derive(Clone, Debug, Default)]
pub(super) struct FlowQueue {
    flows: Vec<ActiveFlow>,
    /// Requests taken out to run so far.
    serve_count: u64,
    len: u32,
}

impl FlowQueue {
    pub(super) fn len(&self) -> u32 {
        self.len
    }

    /// Returns whether a caller may queue another request when `limit` are allowed in all.
    ///
    /// A team may queue as many as there are places free, and a caller as many as its team then has
    /// left. So one busy caller gets a third of the queue and one busy team half, and for others
    /// there is always room, without knowing beforehand how many there will be.
    pub(super) fn has_share(&self, key: FlowKey, limit: u32) -> bool {
        let team_room = limit.saturating_sub(self.len);
        let caller_room = team_room.saturating_sub(self.team_queued(key.team));
        self.flow_queued(key) < caller_room
    }

    pub(super) fn push(&mut self, key: FlowKey, ticket: Ticket) {
        self.flow_mut(key).tickets.push_back(ticket);
        self.len += 1;
    }

    /// Removes and returns the ticket that runs next.
    pub(super) fn pop(&mut self) -> Option<Ticket> {
        let waiting = self.flows.iter().enumerate().filter(|(_, flow)| !flow.tickets.is_empty());
        let (index, _) = waiting.min_by_key(|(_, flow)| {
            let team = flow.key.team;
            (self.team_running(team), self.team_last_served(team), flow.running, flow.last_served)
        })?;
        self.serve_count += 1;
        self.len -= 1;
        let flow = &mut self.flows[index];
        flow.last_served = self.serve_count;
        flow.tickets.pop_front()
    }

    /// Removes a given ticket of a caller.
    pub(super) fn remove(&mut self, key: FlowKey, ticket: Ticket) {
        let tickets = &mut self.flow_mut(key).tickets;
        let place = tickets.iter().position(|queued| *queued == ticket);
        if place.and_then(|place| tickets.remove(place)).is_some() {
            self.len -= 1;
        }
        self.drop_idle_flows();
    }

    /// Returns all tickets, in no particular order.
    pub(super) fn tickets(&self) -> impl Iterator<Item = Ticket> {
        self.flows.iter().flat_map(|flow| flow.tickets.iter().copied())
    }

    /// Returns how many queued requests would start before a new one of a caller if all are served
    /// in turn: of each other team as many as this one has and one more, and the same among its
    /// callers.
    pub(super) fn ahead_of(&self, key: FlowKey) -> u32 {
        let (team_queued, own_queued) = (self.team_queued(key.team), self.flow_queued(key));
        let siblings = self.flows.iter().filter(|flow| flow.key.team == key.team);
        let in_team: u32 = siblings.map(|flow| queued_count(flow).min(own_queued + 1)).sum();
        // The queued requests of a team, capped, are counted at its first caller only.
        let is_first =
            |index: usize, team| self.flows[..index].iter().all(|earlier| earlier.key.team != team);
        let others =
            self.flows.iter().enumerate().filter(|(index, flow)| {
                flow.key.team != key.team && is_first(*index, flow.key.team)
            });
        let in_others: u32 =
            others.map(|(_, flow)| self.team_queued(flow.key.team).min(team_queued + 1)).sum();
        in_team + in_others
    }

    /// Counts a request of a caller as running.
    pub(super) fn count_start(&mut self, key: FlowKey) {
        self.flow_mut(key).running += 1;
    }

    /// Counts out a running request of a caller.
    pub(super) fn count_end(&mut self, key: FlowKey) {
        self.flow_mut(key).running -= 1;
        self.drop_idle_flows();
    }

    /// Returns a caller's entry, added if there is none. A new caller counts as served just now, so
    /// that it does not go before those that wait.
    fn flow_mut(&mut self, key: FlowKey) -> &mut ActiveFlow {
        let index = self.flows.iter().position(|flow| flow.key == key).unwrap_or_else(|| {
            let (tickets, last_served) = (VecDeque::new(), self.serve_count);
            self.flows.push(ActiveFlow { key, tickets, running: 0, last_served });
            self.flows.len() - 1
        });
        &mut self.flows[index]
    }

    /// Removes the callers without a request queued or running.
    fn drop_idle_flows(&mut self) {
        self.flows.retain(|flow| flow.running > 0 || !flow.tickets.is_empty());
    }

    fn flow_queued(&self, key: FlowKey) -> u32 {
        self.flows.iter().find(|flow| flow.key == key).map_or(0, queued_count)
    }

    /// Returns the callers of a team.
    fn team(&self, team: TeamKey) -> impl Iterator<Item = &ActiveFlow> {
        self.flows.iter().filter(move |flow| flow.key.team == team)
    }

    fn team_queued(&self, team: TeamKey) -> u32 {
        self.team(team).map(queued_count).sum()
    }

    fn team_running(&self, team: TeamKey) -> u32 {
        self.team(team).map(|flow| flow.running).sum()
    }

    /// Returns when a caller of the team was last served, on the count of served requests.
    fn team_last_served(&self, team: TeamKey) -> u64 {
        self.team(team).map(|flow| flow.last_served).max().unwrap_or_default()
    }
}

/// Returns the number of queued requests of a caller, which the queue's limit bounds.
fn queued_count(flow: &ActiveFlow) -> u32 {
    flow.tickets.len() as u32
}
