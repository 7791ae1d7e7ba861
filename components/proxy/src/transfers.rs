//! Scheduling of large answers of the local backend server, and of uploads to it, on the instance's
//! link. Only few large bodies are sent at a time, because a slow link that shares its speed among
//! all of them would deliver all of them late, and short answers too.

use std::{
    future::Future,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, Waker},
    time::Duration,
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use sk_decide::{
    admitting::LinkBacklog,
    transfer_queue::{STALL_TIMEOUT, TransferId, TransferPermit, TransferQueue, TransferSummary},
};
use slotmap::SecondaryMap;
use tokio::time::{Sleep, sleep};

use crate::{clock::time_since_start, gate::AdmissionGate};

/// Size in bytes from which a body is scheduled: several times the packets that a short answer
/// takes.
pub(crate) const LARGE_BYTES: u64 = 32 * 1024;

/// Time on the link from which a body's transfer is logged.
const SLOW_TRANSFER: Duration = Duration::from_secs(1);

/// Returns whether a body is scheduled. One of unknown length may be large.
pub(crate) fn is_large(body: &impl Body) -> bool {
    body.size_hint().upper().is_none_or(|size| size >= LARGE_BYTES)
}

#[derive(Default)]
struct SchedulerState {
    queue: TransferQueue,
    wakers: SecondaryMap<TransferId, Waker>,
    /// What the gate was last told: answers that wait in slots, and those that the link has to carry.
    reported: (usize, u32),
    has_watch_task: bool,
}

/// Schedules the large bodies that pass in one direction between the link and one server.
#[derive(Default)]
pub(crate) struct TransferScheduler {
    state: Mutex<SchedulerState>,
    /// Told what the link has to carry, because further answers would only wait longer.
    gate: Option<Arc<AdmissionGate>>,
}

impl TransferScheduler {
    /// Creates the scheduler of the answers to the requests that a gate admits.
    pub(crate) fn for_answers(gate: Arc<AdmissionGate>) -> Self {
        Self { gate: Some(gate), ..Self::default() }
    }

    /// Returns the bytes that the link carries before a body that arrives now.
    pub(crate) fn backlog(&self) -> LinkBacklog {
        self.lock().queue.backlog(time_since_start())
    }

    /// Returns the time in which the link is expected to have carried the body that came last.
    pub(crate) fn expected_time(&self) -> Duration {
        let LinkBacklog { wait, transfer_time, .. } = self.backlog();
        wait + transfer_time
    }

    fn lock(&self) -> MutexGuard<'_, SchedulerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether a body may proceed; otherwise its waker is kept.
    fn request_permit(&self, id: TransferId, waker: &Waker) -> TransferPermit {
        self.change(|state| {
            let permit = state.queue.request_permit(id, time_since_start());
            match permit {
                TransferPermit::Granted => drop(state.wakers.remove(id)),
                TransferPermit::Wait(_) => drop(state.wakers.insert(id, waker.clone())),
            }
            permit
        })
    }

    /// Removes a body, and counts its transfer if it was complete.
    fn end(&self, id: TransferId, is_whole: bool) {
        let now = time_since_start();
        let summary = self.change(|state| {
            if is_whole {
                state.queue.record_completed(id, now);
            }
            state.wakers.remove(id);
            state.queue.end(id, now)
        });
        if let Some(summary) = summary.filter(|summary| summary.took >= SLOW_TRANSFER) {
            let TransferSummary { waited, took, permits, open } = summary;
            log::info!(
                waited_ms = waited.as_millis() as u64, took_ms = took.as_millis() as u64, permits,
                open, is_whole;
                "guard: a large body took long on the link."
            );
        }
    }

    /// Applies a change, wakes the next body that may proceed, and tells the gate what the link has
    /// to carry.
    fn change<T>(&self, change: impl FnOnce(&mut SchedulerState) -> T) -> T {
        let now = time_since_start();
        let mut state = self.lock();
        let changed = change(&mut state);
        let next = state.queue.next_ready(now).and_then(|next| state.wakers.remove(next));
        // Under the lock, so that the gate is told of changes in their order.
        if let Some(gate) = &self.gate
            && let Some((waiting, backlog)) = state.take_news(now)
        {
            gate.set_answers(waiting, backlog);
        }
        drop(state);
        if let Some(waker) = next {
            waker.wake();
        }
        changed
    }

    /// Starts to watch for bodies that stop moving, unless this is done already.
    fn watch(self: &Arc<Self>) {
        let has_task = std::mem::replace(&mut self.lock().has_watch_task, true);
        if self.gate.is_some() && !has_task {
            tokio::spawn(watch_stalled(self.clone()));
        }
    }
}

impl SchedulerState {
    /// Returns how many answers wait in slots and what the link has to carry, if their numbers have
    /// changed since the last call.
    fn take_news(&mut self, now: Duration) -> Option<(usize, LinkBacklog)> {
        let (waiting, backlog) = (self.queue.waiting_in_slots(), self.queue.moving_backlog(now));
        let report = (waiting, backlog.pending);
        let before = std::mem::replace(&mut self.reported, report);
        (before != report).then_some((waiting, backlog))
    }
}

/// Tells the gate when bodies stop moving, which is no event by itself, until none is open.
async fn watch_stalled(scheduler: Arc<TransferScheduler>) {
    loop {
        tokio::time::sleep(STALL_TIMEOUT).await;
        let is_idle = scheduler.change(|state| {
            state.has_watch_task = state.queue.open_count() > 0;
            !state.has_watch_task
        });
        if is_idle {
            return;
        }
    }
}

/// The registration of one body at the scheduler, removed when dropped.
struct ScheduledTransfer {
    scheduler: Arc<TransferScheduler>,
    id: TransferId,
    /// Ends a wait when the permit of another body, which has stalled, expires.
    wait_timer: Option<Pin<Box<Sleep>>>,
    is_whole: bool,
}

impl Drop for ScheduledTransfer {
    fn drop(&mut self) {
        self.scheduler.end(self.id, self.is_whole);
    }
}

/// A body that, if large, waits for the scheduler's permit before each frame.
pub(crate) struct ScheduledBody<B> {
    inner: B,
    transfer: Option<ScheduledTransfer>,
}

impl<B: Body> ScheduledBody<B> {
    /// Wraps the body of an answer or upload.
    pub(crate) fn new(inner: B, scheduler: &Arc<TransferScheduler>) -> Self {
        Self::begin(inner, scheduler, TransferQueue::begin)
    }

    /// Wraps the body of an answer that is kept in memory and occupies no slot.
    pub(crate) fn kept(inner: B, scheduler: &Arc<TransferScheduler>) -> Self {
        Self::begin(inner, scheduler, TransferQueue::begin_kept)
    }

    fn begin(
        inner: B,
        scheduler: &Arc<TransferScheduler>,
        begin: fn(&mut TransferQueue, Duration) -> TransferId,
    ) -> Self {
        let transfer = is_large(&inner).then(|| {
            let id = scheduler.change(|state| begin(&mut state.queue, time_since_start()));
            scheduler.watch();
            ScheduledTransfer {
                scheduler: scheduler.clone(),
                id,
                wait_timer: None,
                is_whole: false,
            }
        });
        Self { inner, transfer }
    }
}

impl ScheduledTransfer {
    /// Completes when the body may proceed.
    fn poll_permit(&mut self, context: &mut Context<'_>) -> Poll<()> {
        loop {
            match self.scheduler.request_permit(self.id, context.waker()) {
                TransferPermit::Granted => {
                    self.wait_timer = None;
                    return Poll::Ready(());
                }
                TransferPermit::Wait(wait) => {
                    let wait_timer = self.wait_timer.get_or_insert_with(|| Box::pin(sleep(wait)));
                    if wait_timer.as_mut().poll(context).is_pending() {
                        return Poll::Pending;
                    }
                    self.wait_timer = None;
                }
            }
        }
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for ScheduledBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        if let Some(transfer) = &mut self.transfer
            && transfer.poll_permit(context).is_pending()
        {
            return Poll::Pending;
        }
        let frame = Pin::new(&mut self.inner).poll_frame(context);
        let is_cut = matches!(frame, Poll::Ready(Some(Err(_))));
        if (is_cut || matches!(frame, Poll::Ready(None)) || self.inner.is_end_stream())
            && let Some(mut transfer) = self.transfer.take()
        {
            transfer.is_whole = !is_cut;
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
