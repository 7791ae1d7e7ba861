//! Large answers of the local backend server, which take turns on the instance's link.

use std::{
    future::Future,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, Waker},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use sk_decide::transferring::{TransferId, TransferQueue, TransferTurn};
use slotmap::SecondaryMap;
use tokio::time::{Sleep, sleep};

use crate::{clock::process_now, gate::AdmissionGate};

/// Size from which an answer takes turns: several of the packets' worth that a short answer is.
const LARGE_BYTES: u64 = 32 * 1024;

#[derive(Default)]
struct LineState {
    queue: TransferQueue,
    wakers: SecondaryMap<TransferId, Waker>,
}

/// The large answers of one server.
pub(crate) struct TransferLine {
    state: Mutex<LineState>,
    /// Is told how many answers wait, since more of them would only wait longer.
    gate: Arc<AdmissionGate>,
}

impl TransferLine {
    pub(crate) fn new(gate: Arc<AdmissionGate>) -> Self {
        Self { state: Mutex::default(), gate }
    }

    fn lock(&self) -> MutexGuard<'_, LineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn ask(&self, id: TransferId, waker: &Waker) -> TransferTurn {
        self.change(|state| {
            let turn = state.queue.ask(id, process_now());
            match turn {
                TransferTurn::Go => drop(state.wakers.remove(id)),
                TransferTurn::Wait(_) => drop(state.wakers.insert(id, waker.clone())),
            }
            turn
        })
    }

    fn end(&self, id: TransferId) {
        self.change(|state| {
            state.queue.end(id);
            state.wakers.remove(id);
        });
    }

    /// Changes the line, wakes whoever has a turn now, and tells the gate.
    fn change<T>(&self, change: impl FnOnce(&mut LineState) -> T) -> T {
        let mut state = self.lock();
        let before = state.queue.held_back();
        let changed = change(&mut state);
        let held_back = state.queue.held_back();
        let next = state.queue.next_ready(process_now()).and_then(|next| state.wakers.remove(next));
        drop(state);
        if let Some(waker) = next {
            waker.wake();
        }
        if held_back != before {
            self.gate.note_held_back(held_back);
        }
        changed
    }
}

/// The place of one answer in the line, given back when dropped.
struct LinePlace {
    line: Arc<TransferLine>,
    id: TransferId,
    /// Ends a wait when the turn of an answer that stands still lapses.
    lapse: Option<Pin<Box<Sleep>>>,
}

impl Drop for LinePlace {
    fn drop(&mut self) {
        self.line.end(self.id);
    }
}

/// An answer's body that waits for its turn where it is large.
pub(crate) struct TurnBody {
    inner: Incoming,
    place: Option<LinePlace>,
}

impl TurnBody {
    /// Wraps an answer of a server.
    pub(crate) fn new(inner: Incoming, line: &Arc<TransferLine>) -> Self {
        // One of unknown length may be large.
        let is_large = inner.size_hint().upper().is_none_or(|size| size >= LARGE_BYTES);
        let place = is_large.then(|| {
            let id = line.lock().queue.begin();
            LinePlace { line: line.clone(), id, lapse: None }
        });
        Self { inner, place }
    }
}

impl LinePlace {
    fn poll_turn(&mut self, context: &mut Context<'_>) -> Poll<()> {
        loop {
            match self.line.ask(self.id, context.waker()) {
                TransferTurn::Go => {
                    self.lapse = None;
                    return Poll::Ready(());
                }
                TransferTurn::Wait(wait) => {
                    let lapse = self.lapse.get_or_insert_with(|| Box::pin(sleep(wait)));
                    if lapse.as_mut().poll(context).is_pending() {
                        return Poll::Pending;
                    }
                    self.lapse = None;
                }
            }
        }
    }
}

impl Body for TurnBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        if let Some(place) = &mut self.place
            && place.poll_turn(context).is_pending()
        {
            return Poll::Pending;
        }
        let frame = Pin::new(&mut self.inner).poll_frame(context);
        if matches!(frame, Poll::Ready(None | Some(Err(_)))) || self.inner.is_end_stream() {
            self.place = None;
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
