//! Admission to the local backend server: applies the decisions of [`AdmissionGuard`] to the tasks
//! that wait for a slot. A slot is returned however its request ends, because a lost slot would
//! reduce the server's capacity until the daemon restarts.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use sk_decide::{
    admitting::{
        Admission, AdmissionGuard, GuardRequest, GuardSettings, GuardState, LinkBacklog, Refusal,
        RefusalReason, Released, ServerLoad, StatedRate, Ticket,
    },
    quarantine::Fingerprint,
};
use slotmap::SecondaryMap;
use tokio::sync::{Notify, oneshot};

use crate::clock::time_since_start;

type WaitSender = oneshot::Sender<Result<(), RefusalReason>>;
type WaitReceiver = oneshot::Receiver<Result<(), RefusalReason>>;

/// Time for which a server may still work on an abandoned request. Without it, a request that
/// crashes servers, sent by a caller who never waits, would not be found among those in flight.
const ABANDONED_WINDOW: Duration = Duration::from_secs(1);
/// Number of abandoned requests remembered.
const MAX_ABANDONED: usize = 64;

/// A request that the server is running, or was when its connection broke.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InFlightRequest {
    pub(crate) fingerprint: Fingerprint,
    pub(crate) is_trial: bool,
}

struct GateState {
    guard: AdmissionGuard,
    waiting: SecondaryMap<Ticket, WaitSender>,
    /// Requests that were sent to the server at least in part.
    sent: SecondaryMap<Ticket, Fingerprint>,
    /// Requests whose connection broke, until it is known whether the server died.
    broken: Vec<InFlightRequest>,
    /// Abandoned requests and the time at which their callers left, the newest last.
    abandoned: VecDeque<(Duration, InFlightRequest)>,
    has_expiry_task: bool,
}

/// Admits requests to one process of a backend server.
pub(crate) struct AdmissionGate {
    state: Mutex<GateState>,
    queued: Notify,
}

/// An admitted request. Its slot is free again when this is dropped, for whatever reason: a slot
/// that a departed caller kept would be lost until the daemon's end.
pub(crate) struct AdmitPermit {
    gate: Arc<AdmissionGate>,
    ticket: Ticket,
    is_ended: bool,
}

impl AdmissionGate {
    /// Creates the gate of a server that started at `started_at`.
    pub(crate) fn new(settings: GuardSettings, started_at: Duration) -> Self {
        let state = GateState {
            guard: AdmissionGuard::new(settings, started_at),
            waiting: SecondaryMap::new(),
            sent: SecondaryMap::new(),
            broken: Vec::new(),
            abandoned: VecDeque::new(),
            has_expiry_task: false,
        };
        Self { state: Mutex::new(state), queued: Notify::new() }
    }

    /// Admits a request, at once or after waiting in the queue.
    ///
    /// # Errors
    ///
    /// Returns the final [`Refusal`]; the request did not run.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        request: &GuardRequest,
    ) -> Result<AdmitPermit, Refusal> {
        let (permit, decision) = self.offer(request)?;
        let Some(decision) = decision else { return Ok(permit) };
        match decision.await {
            Ok(Ok(())) => Ok(permit),
            Ok(Err(reason)) => Err(self.refuse(reason)),
            // The gate keeps the sender as long as the ticket is queued.
            Err(_) => Err(self.refuse(RefusalReason::Draining)),
        }
    }

    /// Decides whether an upload is worth receiving over the link.
    ///
    /// # Errors
    ///
    /// Returns the final [`Refusal`]; the request did not run.
    pub(crate) fn consider_upload(
        &self,
        request: &GuardRequest,
        link: &LinkBacklog,
    ) -> Result<(), Refusal> {
        self.lock().guard.consider_upload(request, link, time_since_start(), &mut rand::rng())
    }

    /// Refuses all new and queued requests from now on; running ones continue.
    pub(crate) fn drain(&self) {
        let mut state = self.lock();
        let released = state.guard.drain();
        state.deliver(released);
    }

    /// Returns the load in percent and the time that a request would now wait for a slot; `is_nested`
    /// as in [`GuardRequest::is_nested`].
    pub(crate) fn load_and_wait(&self, is_nested: bool) -> (u32, Duration) {
        let (state, now) = (self.lock(), time_since_start());
        ((state.guard.load(now) * 100.0).round() as u32, state.guard.wait_hint(is_nested, now))
    }

    /// Lets only a few requests through until an answer tells whether the server limits them.
    pub(crate) fn expect_limit(&self) {
        self.lock().guard.expect_limit(time_since_start());
    }

    /// Ends that caution, unless a limit was heard.
    pub(crate) fn expect_no_limit(&self) {
        self.lock().guard.expect_no_limit();
    }

    /// Records what the answer to a request that was sent at `sent_at` states about the requests
    /// that the server takes, and returns whether that has changed.
    pub(crate) fn record_stated_rate(&self, rate: StatedRate, sent_at: Duration) -> bool {
        let mut state = self.lock();
        let (has_changed, released) =
            state.guard.record_stated_rate(rate, sent_at, time_since_start());
        state.deliver(released);
        has_changed
    }

    /// Returns the counts.
    pub(crate) fn state(&self) -> GuardState {
        self.lock().guard.state(time_since_start())
    }

    /// Sets how many large answers wait for the link while they occupy slots, and what the link has
    /// to carry in all.
    pub(crate) fn set_answers(&self, waiting: usize, backlog: LinkBacklog) {
        let now = time_since_start();
        let mut state = self.lock();
        let released = state.guard.set_waiting_answers(waiting, now);
        state.deliver(released);
        let released = state.guard.set_answer_backlog(backlog, now);
        state.deliver(released);
    }

    /// Takes the requests whose connection broke since the last call, and returns them with those
    /// that the server runs or may still be working on.
    pub(crate) fn take_in_flight(&self) -> Vec<InFlightRequest> {
        let mut state = self.lock();
        let mut requests = std::mem::take(&mut state.broken);
        let since = time_since_start().saturating_sub(ABANDONED_WINDOW);
        let abandoned = std::mem::take(&mut state.abandoned).into_iter();
        requests.extend(abandoned.filter(|(at, _)| *at >= since).map(|(_, request)| request));
        let running = state.sent.iter().map(|(ticket, fingerprint)| InFlightRequest {
            fingerprint: *fingerprint,
            is_trial: state.guard.is_trial(ticket),
        });
        requests.extend(running);
        requests
    }

    /// Forgets broken connections, once it is known that the server is alive.
    pub(crate) fn forget_broken(&self) {
        self.lock().broken.clear();
    }

    /// Returns the number of broken connections since the last check.
    pub(crate) fn broken_count(&self) -> usize {
        self.lock().broken.len()
    }

    /// Offers a request to the guard; the receiver is present if the request is queued.
    fn offer(
        self: &Arc<Self>,
        request: &GuardRequest,
    ) -> Result<(AdmitPermit, Option<WaitReceiver>), Refusal> {
        let mut state = self.lock();
        let released = state.guard.evict_less_urgent(request, time_since_start());
        state.deliver(released);
        let admission = state.guard.offer(request, time_since_start(), &mut rand::rng());
        match admission {
            Admission::Refused(refusal) => Err(refusal),
            Admission::Run(ticket) => Ok((self.permit(ticket), None)),
            Admission::Queued(ticket) => {
                let (sender, receiver) = oneshot::channel();
                state.waiting.insert(ticket, sender);
                let is_first = !std::mem::replace(&mut state.has_expiry_task, true);
                drop(state);
                match is_first {
                    true => drop(tokio::spawn(expire_queued(self.clone()))),
                    false => self.queued.notify_one(),
                }
                Ok((self.permit(ticket), Some(receiver)))
            }
        }
    }

    fn permit(self: &Arc<Self>, ticket: Ticket) -> AdmitPermit {
        AdmitPermit { gate: self.clone(), ticket, is_ended: false }
    }

    /// Creates the refusal for a reason.
    pub(crate) fn refuse(&self, reason: RefusalReason) -> Refusal {
        self.lock().guard.refuse(reason, time_since_start(), &mut rand::rng())
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl GateState {
    /// Wakes the tasks whose queued requests were admitted or refused.
    fn deliver(&mut self, released: Released) {
        for ticket in released.start {
            if let Some(sender) = self.waiting.remove(ticket) {
                // Nobody waits any more: the permit's own end returns the slot.
                let _ = sender.send(Ok(()));
            }
        }
        for (ticket, reason) in released.refused {
            if let Some(sender) = self.waiting.remove(ticket) {
                let _ = sender.send(Err(reason));
            }
        }
    }

    /// Returns the slot or queue place of a ticket; a sent request without a complete answer is
    /// remembered as abandoned.
    fn end(&mut self, ticket: Ticket, is_complete: bool) {
        if let Some(fingerprint) = self.sent.remove(ticket).filter(|_| !is_complete) {
            let is_trial = self.guard.is_trial(ticket);
            self.abandoned
                .push_back((time_since_start(), InFlightRequest { fingerprint, is_trial }));
            if self.abandoned.len() > MAX_ABANDONED {
                self.abandoned.pop_front();
            }
        }
        self.waiting.remove(ticket);
        let released = match is_complete {
            true => self.guard.finish(ticket, time_since_start()),
            false => self.guard.cancel(ticket, time_since_start()),
        };
        self.deliver(released);
    }
}

impl AdmitPermit {
    /// Records that the request is being sent to the server.
    ///
    /// # Errors
    ///
    /// Returns the reason why it may not be: since the request was admitted, the server may have begun
    /// to drain, or its limit may have come down.
    pub(crate) fn record_sent(&self, fingerprint: Fingerprint) -> Result<(), RefusalReason> {
        let mut state = self.gate.lock();
        if state.guard.is_draining() {
            return Err(RefusalReason::Draining);
        }
        if !state.guard.record_sent(self.ticket, time_since_start()) {
            return Err(RefusalReason::RateLimited);
        }
        state.sent.insert(self.ticket, fingerprint);
        Ok(())
    }

    /// Records that nothing was sent after all.
    pub(crate) fn record_unsent(&self) {
        let mut state = self.gate.lock();
        state.guard.record_unsent(self.ticket, time_since_start());
        state.sent.remove(self.ticket);
    }

    /// Records that the server refused the request without running it, although a slot was free.
    pub(crate) fn record_rejected(&self) {
        let mut state = self.gate.lock();
        let released = state.guard.record_rejected(self.ticket, time_since_start());
        state.deliver(released);
        // What still waits may start when the guard's pause is over.
        self.gate.queued.notify_one();
    }

    /// Records the load that the server reports with the request's answer.
    pub(crate) fn record_load(&self, load: &ServerLoad) {
        self.gate.lock().guard.record_load(self.ticket, load, time_since_start());
    }

    /// Records that the connection broke while the server had the request.
    pub(crate) fn record_broken(&self) {
        let mut state = self.gate.lock();
        if let Some(fingerprint) = state.sent.remove(self.ticket) {
            let is_trial = state.guard.is_trial(self.ticket);
            state.broken.push(InFlightRequest { fingerprint, is_trial });
        }
    }

    /// Ends a request whose answer is complete, which counts as a service time.
    pub(crate) fn finish(mut self) {
        self.is_ended = true;
        self.gate.lock().end(self.ticket, true);
    }
}

impl Drop for AdmitPermit {
    fn drop(&mut self) {
        if !self.is_ended {
            self.gate.lock().end(self.ticket, false);
        }
    }
}

/// Refuses queued requests that have waited too long, until none is queued.
async fn expire_queued(gate: Arc<AdmissionGate>) {
    loop {
        let next = {
            let mut state = gate.lock();
            let released = state.guard.expire(time_since_start());
            state.deliver(released);
            let next = state.guard.next_expiry();
            state.has_expiry_task = next.is_some();
            next
        };
        let Some(next) = next else { return };
        tokio::select! {
            () = tokio::time::sleep(next.saturating_sub(time_since_start())) => (),
            () = gate.queued.notified() => (),
        }
    }
}
