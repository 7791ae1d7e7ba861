//! Which large bodies go over an instance's link at once, answers out of it and uploads into it.
//!
//! A link can be slower than the server beside it: documents of a quarter of a megabyte on 18
//! Mbit/s. Sent all at once, each takes as long as all of them, none arrives in time, and a short
//! answer that another request waits for has to wait behind a quarter of a second of documents.
//! Sent one after the other, the first ones are in time, and the link carries just as many.
//!
//! A body needs a permit to send. A receiver that takes nothing must not delay the others, so a
//! body that stops sending loses its permit.

use std::collections::VecDeque;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

use crate::admitting::{LinkBacklog, estimate::ServiceEstimate};

new_key_type! {
    /// Identifies a large body from its first byte to its end.
    pub struct TransferId;
}

/// Bodies sent at once. Two, so that the link has bytes while one of them waits for its receiver's
/// acknowledgements; more only makes each take longer.
pub(crate) const MAX_SENDING: usize = 2;
/// Time without a byte after which a body loses its permit. Above a round trip over a link whose
/// queue is full, or a full link would let more and more answers send; below what callers would
/// notice when a receiver is gone.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(250);
/// Time without a byte after which a body no longer counts as one that the link has to carry. A
/// receiver that is only busy takes its next bytes sooner.
const GONE_TIMEOUT: Duration = Duration::from_millis(500);

/// Whether a body may go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferPermit {
    /// Its next bytes may be sent.
    Granted,
    /// It waits; request again when another body ends, or after this time.
    Wait(Duration),
}

/// What a body's way over the link was like, for diagnosis.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransferSummary {
    /// Time from its arrival to its first permit, or to its end if it had none.
    pub waited: Duration,
    /// Time from its arrival to its end.
    pub took: Duration,
    /// Number of permits that it had, of which all but the last were withdrawn.
    pub permits: u32,
    /// Number of bodies that were open at its end, itself included.
    pub open: usize,
}

#[derive(Clone, Copy, Debug)]
struct OpenTransfer {
    /// When it came.
    arrived_at: Duration,
    /// Number of permits that it had.
    permits: u32,
    /// Whether it has a permit.
    has_permit: bool,
    /// When it last sent bytes, zero before the first.
    sent_at: Duration,
    /// When it was notified that it could have a permit, while it waits.
    offered_at: Option<Duration>,
    /// When it first had a permit.
    began_at: Option<Duration>,
    /// Time for which it has had a permit, up to the last bytes that it sent.
    held: Duration,
    /// Whether it is in memory and occupies no slot of the server.
    is_kept: bool,
}

/// The large bodies that cross one instance's link in one direction. `now` is the time since any
/// fixed start.
#[derive(Clone, Debug, Default)]
pub struct TransferQueue {
    open: SlotMap<TransferId, OpenTransfer>,
    /// Bodies without a permit, in the order in which they get one.
    waiting: VecDeque<TransferId>,
    /// Time for which a body has a permit.
    transfer_time: ServiceEstimate,
}

impl TransferQueue {
    /// Adds a body, without a permit as yet.
    pub fn begin(&mut self, now: Duration) -> TransferId {
        self.insert(false, now)
    }

    /// Adds a body that is in memory and occupies no slot, without a permit as yet.
    pub fn begin_kept(&mut self, now: Duration) -> TransferId {
        self.insert(true, now)
    }

    fn insert(&mut self, is_kept: bool, now: Duration) -> TransferId {
        self.open.insert(OpenTransfer {
            arrived_at: now,
            permits: 0,
            has_permit: false,
            sent_at: Duration::ZERO,
            offered_at: None,
            began_at: None,
            held: Duration::ZERO,
            is_kept,
        })
    }

    /// Returns whether a body may send its next bytes at `now`. A body without a permit gets one if
    /// it is the first that waits and few enough send. Bodies wait in the order of arrival, but one
    /// that had a permit goes before those that had none, because its reader has begun.
    pub fn request_permit(&mut self, id: TransferId, now: Duration) -> TransferPermit {
        self.revoke_stalled(now);
        let Some(transfer) = self.open.get(id) else { return TransferPermit::Granted };
        let has_permit = transfer.has_permit;
        let is_next = self.waiting.front().is_none_or(|first| *first == id);
        if has_permit || (is_next && self.sending_count() < MAX_SENDING) {
            self.waiting.retain(|waiting| *waiting != id);
            if let Some(transfer) = self.open.get_mut(id) {
                match has_permit {
                    true => transfer.held += now.saturating_sub(transfer.sent_at),
                    false => transfer.permits += 1,
                }
                (transfer.has_permit, transfer.sent_at) = (true, now);
                transfer.offered_at = None;
                transfer.began_at.get_or_insert(now);
            }
            return TransferPermit::Granted;
        }
        if !self.waiting.contains(&id) {
            let is_unbegun = |other: &TransferId| self.began_at(*other).is_none();
            let first_unbegun = self.waiting.iter().position(is_unbegun);
            let place = first_unbegun.filter(|_| self.began_at(id).is_some());
            self.waiting.insert(place.unwrap_or(self.waiting.len()), id);
        }
        TransferPermit::Wait(STALL_TIMEOUT)
    }

    /// Records for how long a body had a permit that has crossed the link whole. While it had none, the
    /// link carried others.
    pub fn record_completed(&mut self, id: TransferId, now: Duration) {
        let Some(transfer) = self.open.get(id).filter(|transfer| transfer.permits > 0) else {
            return;
        };
        let rest = match transfer.has_permit {
            true => now.saturating_sub(transfer.sent_at),
            false => Duration::ZERO,
        };
        self.transfer_time.add(transfer.held + rest, now);
    }

    /// Returns what the link carries before a body that comes now.
    pub fn backlog(&self, now: Duration) -> LinkBacklog {
        // While bodies wait, the link is slow and not idle, and old samples hold: none is older than
        // the start of the clock.
        let at = if self.waiting.is_empty() { now } else { Duration::ZERO };
        let transfer_time = self.transfer_time.expected(at);
        let high_transfer_time = self.transfer_time.high_estimate(at);
        // Bounded by the requests that a guard takes at once.
        let pending = self.open.len() as u32;
        let before = (pending + 1).saturating_sub(MAX_SENDING as u32);
        let wait = transfer_time * before / MAX_SENDING as u32;
        LinkBacklog { wait, transfer_time, high_transfer_time, pending }
    }

    /// Returns the same without the bodies whose receivers take nothing, which leave the link to the
    /// others.
    pub fn moving_backlog(&self, now: Duration) -> LinkBacklog {
        let gone = self.open.iter().filter(|(id, transfer)| {
            let is_silent = now.saturating_sub(transfer.sent_at) >= GONE_TIMEOUT;
            transfer.began_at.is_some() && is_silent && !self.waiting.contains(id)
        });
        let backlog = self.backlog(now);
        // Bounded like the number of all.
        LinkBacklog { pending: backlog.pending - gone.count() as u32, ..backlog }
    }

    /// Ends a body, whether it was sent whole or its receiver left. Returns `None` if it had ended.
    pub fn end(&mut self, id: TransferId, now: Duration) -> Option<TransferSummary> {
        self.waiting.retain(|waiting| *waiting != id);
        let open = self.open.len();
        let OpenTransfer { arrived_at, began_at, permits, .. } = self.open.remove(id)?;
        let waited = began_at.unwrap_or(now).saturating_sub(arrived_at);
        Some(TransferSummary { waited, took: now.saturating_sub(arrived_at), permits, open })
    }

    /// Returns a body that waits and could have a permit now, to be notified of it.
    pub fn next_ready(&mut self, now: Duration) -> Option<TransferId> {
        let next = self.waiting.front().copied().filter(|_| self.sending_count() < MAX_SENDING)?;
        self.open.get_mut(next)?.offered_at.get_or_insert(now);
        Some(next)
    }

    /// Returns how many bodies wait for a permit.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Returns how many bodies wait for a permit and occupy a slot of the server meanwhile.
    pub fn waiting_in_slots(&self) -> usize {
        let is_kept = |id: &TransferId| self.open.get(*id).is_some_and(|body| body.is_kept);
        self.waiting.iter().filter(|id| !is_kept(id)).count()
    }

    /// Returns how many bodies have not ended.
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Returns when a body first had a permit.
    fn began_at(&self, id: TransferId) -> Option<Duration> {
        self.open.get(id).and_then(|transfer| transfer.began_at)
    }

    /// Returns the number of bodies with a permit.
    fn sending_count(&self) -> usize {
        self.open.values().filter(|transfer| transfer.has_permit).count()
    }

    /// Withdraws the permits of bodies that send nothing. They ask again when their receivers take
    /// bytes.
    fn revoke_stalled(&mut self, now: Duration) {
        for transfer in self.open.values_mut() {
            if transfer.has_permit && now.saturating_sub(transfer.sent_at) >= STALL_TIMEOUT {
                transfer.has_permit = false;
                transfer.held += STALL_TIMEOUT;
            }
        }
        // A body whose receiver stopped while it waited does not ask again when it is notified, and
        // must not keep the others waiting.
        let first = self.waiting.front().and_then(|first| self.open.get_mut(*first));
        if let Some(first) = first
            && first.offered_at.is_some_and(|at| now.saturating_sub(at) >= STALL_TIMEOUT)
        {
            first.offered_at = None;
            self.waiting.pop_front();
        }
    }
}
