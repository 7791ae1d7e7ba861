//! State of one workspace at a daemon that receives its requests.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use sk_decide::allowance::{HolderTerms, TakeStep, TokenGrant, TokenHolder, TokenWant};
use tokio::sync::oneshot;

use crate::{
    book::{AllowanceVerdict, WorkspaceCounts},
    log_pace::LimitLog,
};

/// Time after which a call counts as lost and the owner may be asked again.
const CALL_LIFETIME: Duration = Duration::from_millis(1_500);
/// Time between calls to an owner that does not answer.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Answers a request that waits for the owner; the wait ends without an answer if it is dropped.
type WaitingRequest = oneshot::Sender<AllowanceVerdict>;

/// A call to the owner that is not answered.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingCall {
    pub(crate) number: u64,
    pub(crate) began: Duration,
}

/// State of one workspace as a holder.
pub(crate) struct HolderEntry {
    pub(crate) name: Arc<str>,
    pub(crate) holder: TokenHolder,
    /// Daemon that owns the bucket, `None` while no daemon is known.
    pub(crate) owner: Option<Arc<str>>,
    pub(crate) pending: Option<PendingCall>,
    pub(crate) counts: WorkspaceCounts,
    pub(crate) limit_log: LimitLog,
    waiting: VecDeque<WaitingRequest>,
    asked_at: Option<Duration>,
}

impl HolderEntry {
    pub(crate) fn new(name: Arc<str>, terms: HolderTerms, now: Duration) -> Self {
        Self {
            name,
            holder: TokenHolder::new(terms, now),
            owner: None,
            pending: None,
            counts: WorkspaceCounts::default(),
            limit_log: LimitLog::default(),
            waiting: VecDeque::new(),
            asked_at: None,
        }
    }

    /// Sets the owner. A new one is asked at once, whether or not the last one answered.
    pub(crate) fn set_owner(&mut self, owner: Option<Arc<str>>) {
        if self.owner != owner {
            (self.owner, self.pending, self.asked_at) = (owner, None, None);
        }
    }

    /// Counts a decision and returns it.
    pub(crate) fn conclude(&mut self, step: TakeStep, now: Duration) -> AllowanceVerdict {
        match step {
            TakeStep::Granted => {
                self.counts.used += 1;
                self.limit_log.record_time(&self.name, now);
                AllowanceVerdict::Granted
            }
            TakeStep::Refused { retry_after } => {
                self.counts.refused += 1;
                self.limit_log.record_refusal(&self.name, retry_after, now);
                AllowanceVerdict::Refused { retry_after }
            }
            // Reached only by a request without an owner to ask, which the caller excludes.
            TakeStep::Ask => AllowanceVerdict::Refused { retry_after: Duration::ZERO },
        }
    }

    /// Decides by this daemon's own part of the rate.
    pub(crate) fn fall_back(&mut self, now: Duration) -> AllowanceVerdict {
        if !self.holder.is_silent() {
            let owner = self.owner.as_deref().unwrap_or("-");
            log::debug!(workspace = &*self.name, owner; "allowance: the owner does not answer.");
        }
        self.counts.fallback += 1;
        let step = self.holder.take_fallback(rand::random(), now);
        self.conclude(step, now)
    }

    /// Adds a request that waits for the owner.
    pub(crate) fn wait(&mut self) -> oneshot::Receiver<AllowanceVerdict> {
        let (sender, receiver) = oneshot::channel();
        self.waiting.push_back(sender);
        receiver
    }

    /// Returns whether the owner should be asked now.
    pub(crate) fn is_ask_due(&mut self, now: Duration) -> bool {
        let is_pending = |call: PendingCall| now.saturating_sub(call.began) < CALL_LIFETIME;
        let is_probe_due = self.asked_at.is_none_or(|at| now.saturating_sub(at) >= PROBE_INTERVAL);
        match self.pending {
            Some(call) if is_pending(call) => false,
            _ if self.holder.is_silent() => is_probe_due,
            _ => !self.waiting.is_empty() || self.holder.should_ask(now),
        }
    }

    /// Returns what to ask of the owner, and records the call.
    pub(crate) fn begin_call(&mut self, number: u64, now: Duration) -> TokenWant {
        self.waiting.retain(|request| !request.is_closed());
        self.pending = Some(PendingCall { number, began: now });
        self.asked_at = Some(now);
        self.holder.want(self.waiting.len() as u32, now)
    }

    /// Records the owner's answer and answers the requests that waited for it. Those that came after
    /// the call and got no token wait for the next one.
    pub(crate) fn receive(&mut self, want: TokenWant, grant: TokenGrant, now: Duration) {
        self.holder.receive(want, grant, now);
        let is_short = grant.tokens < want.needed;
        let mut number = 0;
        while let Some(request) = self.waiting.pop_front() {
            if request.is_closed() {
                continue;
            }
            number += 1;
            let step = match self.holder.take_held(now) {
                true => TakeStep::Granted,
                false if is_short => TakeStep::Refused { retry_after: self.holder.refuse(now) },
                false if number > want.needed => {
                    self.waiting.push_front(request);
                    return;
                }
                false => TakeStep::Refused { retry_after: grant.retry_after },
            };
            let verdict = self.conclude(step, now);
            if request.send(verdict).is_err() && verdict == AllowanceVerdict::Granted {
                self.counts.used -= 1;
                self.holder.give_back(now);
            }
        }
    }

    /// Records that the owner did not answer a call, and answers the waiting requests by this
    /// daemon's own part.
    pub(crate) fn record_silence(&mut self, want: TokenWant, now: Duration) {
        self.holder.record_silence(want);
        let waiting = std::mem::take(&mut self.waiting);
        for request in waiting.into_iter().filter(|request| !request.is_closed()) {
            let verdict = self.fall_back(now);
            // A request that has just gone has no use for the answer.
            let _ = request.send(verdict);
        }
        self.holder.set_silent(now);
    }
}
