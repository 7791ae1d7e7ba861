//! Large answers of the local backend server and uploads to it, which take turns on the instance's link.

use std::{
    future::Future,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, Waker},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use sk_decide::{
    admitting::LinkAhead,
    transferring::{TransferId, TransferQueue, TransferTurn},
};
use slotmap::SecondaryMap;
use tokio::time::{Sleep, sleep};

use crate::{clock::process_now, gate::AdmissionGate};

/// Size from which a body takes turns: several of the packets' worth that a short answer is.
const LARGE_BYTES: u64 = 32 * 1024;

/// Tells whether a body takes turns. One of unknown length may be large.
pub(crate) fn is_large(body: &impl Body) -> bool {
    body.size_hint().upper().is_none_or(|size| size >= LARGE_BYTES)
}

#[derive(Default)]
struct LineState {
    queue: TransferQueue,
    wakers: SecondaryMap<TransferId, Waker>,
}

/// The large bodies that go one way between the link and one server.
#[derive(Default)]
pub(crate) struct TransferLine {
    state: Mutex<LineState>,
    /// Is told how many answers wait, since more of them would only wait longer.
    gate: Option<Arc<AdmissionGate>>,
}

impl TransferLine {
    /// Makes the line of the answers to what a gate admits.
    pub(crate) fn of_answers(gate: Arc<AdmissionGate>) -> Self {
        Self { gate: Some(gate), ..Self::default() }
    }

    /// Gives what the link carries before a body that comes now.
    pub(crate) fn ahead(&self) -> LinkAhead {
        self.lock().queue.ahead(process_now())
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

    fn end(&self, id: TransferId, is_whole: bool) {
        self.change(|state| {
            if is_whole {
                state.queue.note_whole(id, process_now());
            }
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
        if let Some(gate) = &self.gate
            && held_back != before
        {
            gate.note_held_back(held_back);
        }
        changed
    }
}

/// The place of one body in the line, given back when dropped.
struct LinePlace {
    line: Arc<TransferLine>,
    id: TransferId,
    /// Ends a wait when the turn of a body that stands still lapses.
    lapse: Option<Pin<Box<Sleep>>>,
    is_whole: bool,
}

impl Drop for LinePlace {
    fn drop(&mut self) {
        self.line.end(self.id, self.is_whole);
    }
}

/// A body that waits for its turn where it is large.
pub(crate) struct TurnBody<B> {
    inner: B,
    place: Option<LinePlace>,
}

impl<B: Body> TurnBody<B> {
    /// Wraps the body of an answer or upload.
    pub(crate) fn new(inner: B, line: &Arc<TransferLine>) -> Self {
        let place = is_large(&inner).then(|| {
            let id = line.lock().queue.begin();
            LinePlace { line: line.clone(), id, lapse: None, is_whole: false }
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

impl<B: Body<Data = Bytes> + Unpin> Body for TurnBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        if let Some(place) = &mut self.place
            && place.poll_turn(context).is_pending()
        {
            return Poll::Pending;
        }
        let frame = Pin::new(&mut self.inner).poll_frame(context);
        let is_cut = matches!(frame, Poll::Ready(Some(Err(_))));
        if (is_cut || matches!(frame, Poll::Ready(None)) || self.inner.is_end_stream())
            && let Some(mut place) = self.place.take()
        {
            place.is_whole = !is_cut;
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
