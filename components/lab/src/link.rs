//! The link of a simulated instance, which carries the large answers of its server.

use std::time::Duration;

use sk_decide::{
    admitting::{LinkBacklog, Ticket},
    transfer_queue::{TransferId, TransferPermit, TransferQueue},
};

use crate::fleet::CallIndex;

/// Longest time between two steps of a link that sends, below the one after which a transfer counts
/// as stalled.
const MAX_STEP: Duration = Duration::from_millis(100);
/// Bytes below which an answer counts as sent; the steps are rounded to nanoseconds.
const SENT_BYTES: f64 = 0.5;

/// An answer on its way over the link.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SimulatedTransfer {
    pub(crate) call: CallIndex,
    /// The slot that it occupies until it is sent, if it was not read ahead.
    pub(crate) ticket: Option<Ticket>,
    id: TransferId,
    left: f64,
    is_sending: bool,
}

/// A link with the transfer queue of its daemon. The answers that send have equal shares of it.
#[derive(Clone, Debug)]
pub(crate) struct SimulatedLink {
    bytes_per_s: f64,
    queue: TransferQueue,
    open: Vec<SimulatedTransfer>,
    updated_at: Duration,
    /// When it is brought forward next; steps planned for other times are outdated.
    step_at: Option<Duration>,
}

impl SimulatedLink {
    /// Creates an idle link.
    pub(crate) fn new(mbps: f64) -> Self {
        let (queue, open) = (TransferQueue::default(), Vec::new());
        let bytes_per_s = mbps * 1e6 / 8.0;
        Self { bytes_per_s, queue, open, updated_at: Duration::ZERO, step_at: None }
    }

    /// Adds an answer. The link has to be brought forward to this time before.
    pub(crate) fn begin(&mut self, call: CallIndex, ticket: Option<Ticket>, bytes: u64) {
        let id = match ticket {
            Some(_) => self.queue.begin(self.updated_at),
            None => self.queue.begin_kept(self.updated_at),
        };
        let left = bytes as f64;
        self.open.push(SimulatedTransfer { call, ticket, id, left, is_sending: false });
    }

    /// Brings the link forward to `now` and returns the answers that it has carried.
    pub(crate) fn advance(&mut self, now: Duration) -> Vec<SimulatedTransfer> {
        let sent = self.bytes_per_s * now.saturating_sub(self.updated_at).as_secs_f64();
        let share = sent / self.sending_count().max(1) as f64;
        self.updated_at = now;
        let sending = self.open.iter_mut().filter(|transfer| transfer.is_sending);
        sending.for_each(|transfer| transfer.left -= share);
        let is_sent = |transfer: &mut SimulatedTransfer| transfer.left < SENT_BYTES;
        let carried: Vec<_> = self.open.extract_if(.., is_sent).collect();
        for transfer in &carried {
            self.queue.record_completed(transfer.id, now);
            self.queue.end(transfer.id, now);
        }
        carried
    }

    /// Gives permits to the answers that may send now.
    pub(crate) fn grant_permits(&mut self, now: Duration) {
        for transfer in &mut self.open {
            let permit = self.queue.request_permit(transfer.id, now);
            transfer.is_sending = permit == TransferPermit::Granted;
        }
    }

    /// Plans the time at which the link has to be brought forward, and returns it, if it sends.
    pub(crate) fn plan_step(&mut self, now: Duration) -> Option<Duration> {
        let sending = self.open.iter().filter(|transfer| transfer.is_sending);
        let least = sending.map(|transfer| transfer.left).min_by(f64::total_cmp);
        let seconds = least.map(|least| least * self.sending_count() as f64 / self.bytes_per_s);
        let step = seconds.map(|seconds| Duration::from_secs_f64(seconds).min(MAX_STEP));
        // At least a microsecond, or rounding could stop the time.
        self.step_at = step.map(|step| now + step.max(Duration::from_micros(1)));
        self.step_at
    }

    /// Returns whether the link is to be brought forward at `now`.
    pub(crate) fn is_step_due(&self, now: Duration) -> bool {
        self.step_at == Some(now)
    }

    /// Returns the number of answers that wait in their slots, and what the link has to carry.
    pub(crate) fn backlog(&self, now: Duration) -> (usize, LinkBacklog) {
        (self.queue.waiting_in_slots(), self.queue.moving_backlog(now))
    }

    fn sending_count(&self) -> usize {
        self.open.iter().filter(|transfer| transfer.is_sending).count()
    }
}
