//! A queue by urgency, for work that is long beside a round trip.
//!
//! The requests of a server that take a tenth of a second and more differ in what they are worth:
//! calls that other requests wait for, confirmations, look-ups. Calls of requests that have started
//! elsewhere go first, because those hold a slot until the call ends. Of the others the next to start
//! is of the most urgent rank; within it those that can still meet their response-time goal go before
//! those that cannot, and of each the one whose goal ends first. First come, first served would make
//! all of them late once a queue has formed; with this order a queue makes only some late.

use std::time::Duration;

use crate::admitting::Ticket;

/// How urgent a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Urgency {
    /// Whether a request that has started elsewhere waits for it.
    pub is_nested: bool,
    /// Rank of its route, 0 first.
    pub rank: u8,
    /// When its response-time goal ends, or else its deadline, on the clock of `now`.
    pub due: Duration,
}

/// Key that orders queued requests: whether no started request waits for it, rank, whether the goal is
/// out of reach, its end, arrival.
type OrderKey = (bool, u8, bool, Duration, u64);

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
        let next = self.calls.iter().enumerate().min_by_key(|(_, call)| call.key(now));
        let index = next.map(|(index, _)| index)?;
        Some(self.calls.swap_remove(index).ticket)
    }

    /// Removes and returns the least urgent request, if a new one is more urgent.
    pub(super) fn pop_less_urgent(
        &mut self,
        urgency: Urgency,
        work: Duration,
        now: Duration,
    ) -> Option<Ticket> {
        let own = order_key(urgency, work, self.sequence + 1, now);
        let last = self.calls.iter().enumerate().max_by_key(|(_, call)| call.key(now));
        let index = last.filter(|(_, call)| call.key(now) > own).map(|(index, _)| index)?;
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
        let own = order_key(urgency, work, self.sequence + 1, now);
        self.calls.iter().filter(|call| call.key(now) < own).map(|call| call.work).sum()
    }
}
