//! A queue by urgency, for work that is long beside a round trip.
//!
//! The requests of a server that take a tenth of a second and more differ in what they are worth:
//! calls that other requests wait for, confirmations, look-ups. Calls of requests that have started
//! elsewhere go first, because those hold a slot until the call ends. Of the others the next to start
//! is of the most urgent rank; within it those that can still meet their response-time goal go before
//! those that cannot, and of each the one whose goal ends first. First come, first served would make
//! all of them late once a queue has formed; with this order a queue makes only some late.
//!
//! One workspace may send several times what it usually does. By goals alone, its requests would take
//! the slots in proportion to their number, and the others would lose as large a part of theirs. Among
//! requests of one rank that can all meet their goals, or all cannot, workspaces are therefore served
//! by start-time fair queueing (Goyal et al. 1996), and the goals decide within a workspace.

use std::time::Duration;

use crate::admitting::{Ticket, WorkspaceKey};

/// How urgent a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Urgency {
    /// Whether a request that has started elsewhere waits for it.
    pub is_nested: bool,
    /// Rank of its route, 0 first.
    pub rank: u8,
    /// When its response-time goal ends, or else its deadline, on the clock of `now`.
    pub due: Duration,
    /// Workspace that it is counted against.
    pub workspace: Option<WorkspaceKey>,
}

/// Key that orders queued requests: whether no started request waits for it, rank, whether the goal is
/// out of reach, its end, arrival.
type OrderKey = (bool, u8, bool, Duration, u64);
/// The part of it that goes before fairness between workspaces.
type GroupKey = (bool, u8, bool);

/// Least work that a request counts for, also while its service time is not known.
const MIN_WORK: Duration = Duration::from_millis(1);

#[derive(Clone, Copy, Debug)]
struct QueuedCall {
    ticket: Ticket,
    urgency: Urgency,
    /// Time that a server usually takes for it.
    work: Duration,
    /// Number of the request in the order of arrival.
    sequence: u64,
}

impl QueuedCall {
    fn key(&self, now: Duration) -> OrderKey {
        order_key(self.urgency, self.work, self.sequence, now)
    }

    fn group(&self, now: Duration) -> GroupKey {
        let (is_own, rank, is_late, ..) = self.key(now);
        (is_own, rank, is_late)
    }
}

fn order_key(urgency: Urgency, work: Duration, sequence: u64, now: Duration) -> OrderKey {
    let is_late = now + work > urgency.due;
    (!urgency.is_nested, urgency.rank, is_late, urgency.due, sequence)
}

/// The queue. It holds some dozens of requests, so plain scans are the fastest.
#[derive(Clone, Debug, Default)]
pub(super) struct UrgencyQueue {
    calls: Vec<QueuedCall>,
    /// Requests queued so far.
    sequence: u64,
    /// Start tag of the request that was served last.
    virtual_time: Duration,
    /// Finish tags of the workspaces that have been served more than their part.
    finish_tags: Vec<(Option<WorkspaceKey>, Duration)>,
}

impl UrgencyQueue {
    pub(super) fn len(&self) -> u32 {
        // The queue's limit bounds it.
        self.calls.len() as u32
    }

    pub(super) fn push(&mut self, ticket: Ticket, urgency: Urgency, work: Duration) {
        self.sequence += 1;
        self.calls.push(QueuedCall { ticket, urgency, work, sequence: self.sequence });
    }

    /// Removes and returns the ticket that starts next.
    pub(super) fn pop(&mut self, now: Duration) -> Option<Ticket> {
        let next = self.calls.iter().enumerate().min_by_key(|(_, call)| {
            (call.group(now), self.start_tag(call.urgency.workspace), call.key(now))
        });
        let index = next.map(|(index, _)| index)?;
        let call = self.calls.swap_remove(index);
        self.count_served(&call);
        Some(call.ticket)
    }

    /// Returns whether a workspace may queue another request when `limit` are allowed in all: any
    /// number if no other one waits, else an even part.
    pub(super) fn has_share(&self, workspace: Option<WorkspaceKey>, limit: u32) -> bool {
        !self.has_others(workspace) || self.queued_of(workspace) < self.fair_part(workspace, limit)
    }

    /// Returns the start tag of a workspace's next request.
    fn start_tag(&self, workspace: Option<WorkspaceKey>) -> Duration {
        let finish = self.finish_tags.iter().find(|(key, _)| *key == workspace);
        finish.map_or(self.virtual_time, |(_, tag)| self.virtual_time.max(*tag))
    }

    /// Advances the tags for a request that has left the queue to be served.
    fn count_served(&mut self, call: &QueuedCall) {
        let workspace = call.urgency.workspace;
        let start = self.start_tag(workspace);
        self.virtual_time = start;
        self.finish_tags.retain(|(key, tag)| *key != workspace && *tag > start);
        match self.has_others(workspace) {
            true => self.finish_tags.push((workspace, start + call.work.max(MIN_WORK))),
            false if self.calls.is_empty() => self.finish_tags.clear(),
            false => {}
        }
    }

    /// Returns whether requests of another workspace wait.
    fn has_others(&self, workspace: Option<WorkspaceKey>) -> bool {
        self.calls.iter().any(|call| call.urgency.workspace != workspace)
    }

    fn queued_of(&self, workspace: Option<WorkspaceKey>) -> u32 {
        // The queue's limit bounds it.
        self.calls.iter().filter(|call| call.urgency.workspace == workspace).count() as u32
    }

    /// Returns the even part of `limit` places among the workspaces that wait and another one.
    fn fair_part(&self, workspace: Option<WorkspaceKey>, limit: u32) -> u32 {
        let waiting = self.calls.iter().map(|call| call.urgency.workspace);
        let mut workspaces: Vec<_> = waiting.chain([workspace]).collect();
        workspaces.sort_unstable();
        workspaces.dedup();
        // The queue's limit bounds their number.
        (limit / workspaces.len() as u32).max(1)
    }

    /// Removes and returns the least urgent request that a new one may displace: a more urgent one
    /// any of its own workspace or of a lower rank, and one whose workspace holds less than its part
    /// of the `limit` places any of its rank or a lower one whose workspace holds more.
    pub(super) fn pop_less_urgent(
        &mut self,
        urgency: Urgency,
        work: Duration,
        limit: u32,
        now: Duration,
    ) -> Option<Ticket> {
        let own = order_key(urgency, work, self.sequence + 1, now);
        let part = self.fair_part(urgency.workspace, limit);
        let lacks_part = self.queued_of(urgency.workspace) < part;
        let is_displaced = |call: &QueuedCall| {
            let (key, other) = (call.key(now), call.urgency.workspace);
            let (rank, own_rank) = ((key.0, key.1), (own.0, own.1));
            match other == urgency.workspace {
                true => key > own,
                false if rank > own_rank => true,
                false => rank == own_rank && lacks_part && self.queued_of(other) > part,
            }
        };
        let displaced = self.calls.iter().enumerate().filter(|(_, call)| is_displaced(call));
        let last = displaced.max_by_key(|(_, call)| call.key(now));
        let index = last.map(|(index, _)| index)?;
        Some(self.calls.swap_remove(index).ticket)
    }

    pub(super) fn remove(&mut self, ticket: Ticket) {
        self.calls.retain(|call| call.ticket != ticket);
    }

    /// Returns the number of queued calls of requests that have started elsewhere.
    pub(super) fn nested_len(&self) -> u32 {
        // The queue's limit bounds it.
        self.calls.iter().filter(|call| call.urgency.is_nested).count() as u32
    }

    pub(super) fn tickets(&self) -> impl Iterator<Item = Ticket> {
        self.calls.iter().map(|call| call.ticket)
    }

    /// Returns the work of all requests that would start before a new one.
    pub(super) fn work_ahead(&self, urgency: Urgency, work: Duration, now: Duration) -> Duration {
        if self.has_others(urgency.workspace) {
            return self.fair_work_ahead(urgency, work, now);
        }
        let own = order_key(urgency, work, self.sequence + 1, now);
        self.calls.iter().filter(|call| call.key(now) < own).map(|call| call.work).sum()
    }

    /// Returns the same among several workspaces, by serving a copy of the queue.
    fn fair_work_ahead(&self, urgency: Urgency, work: Duration, now: Duration) -> Duration {
        let mut queue = self.clone();
        let own = Ticket::default();
        queue.push(own, urgency, work);
        let total: Duration = queue.calls.iter().map(|call| call.work).sum();
        while queue.pop(now).is_some_and(|ticket| ticket != own) {}
        let behind: Duration = queue.calls.iter().map(|call| call.work).sum();
        total.saturating_sub(behind + work)
    }
}
