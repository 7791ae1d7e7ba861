//! The description of a request that the entry daemon sends to a guard, and the token that proves
//! the sender to be a daemon of the fleet.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
    time::Duration,
};

use hmac::{Hmac, KeyInit, Mac};
use http::{HeaderMap, HeaderName, HeaderValue};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use sk_decide::{
    WorkKey,
    admitting::{CallerKey, FlowKey, TeamKey, WorkspaceKey},
    deadline::CallContext,
    quarantine::Fingerprint,
    transit_time::{AnswerClock, ClockBound, ClockId, LinkOpening, TransitClocks},
};
use sk_model::WorkClass;
use subtle::ConstantTimeEq;

use crate::clock::{clock_id, transit_now, whole_micros};

const CALL_HEADER: &str = "x-sapphirekeel-call";
const TOKEN_HEADER: &str = "x-sapphirekeel-token";
/// Input of the token's MAC, so that no other use of the secret yields the same bytes.
const TOKEN_PURPOSE: &[u8] = b"sapphirekeel guard listener";

/// A request for the backend server beside a guard.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct GuardCall {
    /// Service that is to run the request.
    pub(crate) service: Arc<str>,
    /// The chosen process of the server. Another process at the same place refuses the request,
    /// because placement was based on the state of the chosen one.
    pub(crate) server: Arc<str>,
    /// Service beside the entry daemon, so that the server knows where the request originates.
    pub(crate) from: Option<Arc<str>>,
    /// Workspace whose key the caller sent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) workspace: Option<Arc<str>>,
    /// Remaining time in microseconds.
    remaining_us: u64,
    /// Hops of the call, this one included.
    hops: u8,
    /// Retries of the layers above the guard, those of the entry daemon included.
    retried: u8,
    /// Class of the work.
    pub(crate) class: WorkClass,
    /// Whether the request may run twice without harm.
    pub(crate) is_repeatable: bool,
    /// Identifies the request in the quarantine after a crash.
    pub(crate) fingerprint: Fingerprint,
    team: TeamKey,
    caller: CallerKey,
    /// Microseconds until the response-time goal ends, if there is one.
    goal_us: Option<u64>,
    /// Priority among queued requests.
    pub(crate) rank: u8,
    /// Whether a server waits for it, for a request that it runs.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub(crate) is_nested: bool,
    /// Kind of work, by which service times are estimated.
    pub(crate) work: WorkKey,
    /// Longest wait for a slot in microseconds, unbounded if `None`.
    #[serde(rename = "most_wait_us")]
    max_wait_us: Option<u64>,
    /// The sender's clock, and the time of sending by it in microseconds; zero until the call is
    /// sent.
    clock: ClockId,
    sent_us: u64,
    /// When the connection was opened, on calls sent shortly after that.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    opening: Option<CallOpening>,
    /// What the sender knows of the receiver's clock.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    bound: Option<CallClockBound>,
}

/// A [`ClockBound`] of the receiver's clock.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct CallClockBound {
    clock: ClockId,
    ahead_us: i64,
}

impl From<ClockBound> for CallClockBound {
    fn from(bound: ClockBound) -> Self {
        Self { clock: bound.clock, ahead_us: bound.ahead_micros }
    }
}

impl From<CallClockBound> for ClockBound {
    fn from(bound: CallClockBound) -> Self {
        Self { clock: bound.clock, ahead_micros: bound.ahead_us }
    }
}

/// When a connection was opened and how long that took, in microseconds by the clock of the side
/// that opened it.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct CallOpening {
    began_us: u64,
    took_us: u64,
}

impl From<LinkOpening> for CallOpening {
    fn from(opening: LinkOpening) -> Self {
        Self { began_us: whole_micros(opening.began), took_us: whole_micros(opening.took) }
    }
}

impl From<CallOpening> for LinkOpening {
    fn from(opening: CallOpening) -> Self {
        Self {
            began: Duration::from_micros(opening.began_us),
            took: Duration::from_micros(opening.took_us),
        }
    }
}

/// The team and caller that a request is counted against.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallSource {
    pub(crate) team: TeamKey,
    pub(crate) caller: CallerKey,
}

/// Properties shared by all attempts of one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallTraits {
    pub(crate) class: WorkClass,
    pub(crate) is_repeatable: bool,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) source: CallSource,
    /// Response-time goal of the route, counted from the arrival at the entry daemon.
    pub(crate) goal: Option<Duration>,
    pub(crate) rank: u8,
    /// Whether a server waits for it, for a request that it runs.
    pub(crate) is_nested: bool,
    pub(crate) work: WorkKey,
}

/// Properties of a single attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptTerms {
    pub(crate) context: CallContext,
    /// Time until the response-time goal ends, if there is one.
    pub(crate) goal: Option<Duration>,
    /// Longest wait for a slot, unbounded if `None`.
    pub(crate) max_wait: Option<Duration>,
}

impl GuardCall {
    /// Creates the call of one attempt.
    pub(crate) fn new(
        service: Arc<str>,
        server: Arc<str>,
        from: Option<Arc<str>>,
        workspace: Option<Arc<str>>,
        terms: &AttemptTerms,
        traits: &CallTraits,
    ) -> Self {
        let context = &terms.context;
        Self {
            service,
            server,
            from,
            workspace,
            remaining_us: whole_micros(context.remaining),
            hops: context.hops,
            retried: context.retried_above,
            class: traits.class,
            is_repeatable: traits.is_repeatable,
            fingerprint: traits.fingerprint,
            team: traits.source.team,
            caller: traits.source.caller,
            goal_us: terms.goal.map(whole_micros),
            rank: traits.rank,
            is_nested: traits.is_nested,
            work: traits.work,
            max_wait_us: terms.max_wait.map(whole_micros),
            clock: clock_id(),
            sent_us: 0,
            opening: None,
            bound: None,
        }
    }

    /// Subtracts the time that the call waited for a connection, and stamps it with the current
    /// time and with what is known of the receiver's clock.
    pub(crate) fn mark_sent(
        &mut self,
        waited: Duration,
        opening: LinkOpening,
        clock: Option<&AnswerClock>,
    ) {
        let now = transit_now();
        self.bound = clock.map(|clock| clock.bound(now).into());
        self.deduct(waited);
        self.sent_us = whole_micros(now);
        self.opening = opening.is_followed_by(now).then(|| opening.into());
    }

    /// Subtracts the time that the call was delayed in transit behind other bytes, and returns
    /// that delay. `accepted_at` is when the guard accepted its connection, on the clock of
    /// [`transit_now`], which also runs while the instance is suspended.
    pub(crate) fn mark_received(
        &mut self,
        clocks: &mut TransitClocks,
        accepted_at: Duration,
    ) -> Duration {
        if let Some(opening) = self.opening {
            clocks.record_opening(self.clock, opening.into(), accepted_at);
        }
        let (sent_at, now) = (Duration::from_micros(self.sent_us), transit_now());
        let late = clocks.record_message(self.clock, sent_at, now);
        // A bound of another clock is that of an earlier process here.
        let bound = self.bound.filter(|bound| bound.clock == clock_id()).map(ClockBound::from);
        let longest = bound.map(|bound| bound.longest_transit(sent_at, now));
        let delay = late.max(longest.unwrap_or_default());
        self.deduct(delay);
        delay
    }

    /// Subtracts a time from the remaining time and the response-time goal.
    fn deduct(&mut self, time: Duration) {
        let micros = whole_micros(time);
        self.remaining_us = self.remaining_us.saturating_sub(micros);
        self.goal_us = self.goal_us.map(|goal| goal.saturating_sub(micros));
    }

    /// Returns the context of the call at its arrival.
    pub(crate) fn context(&self) -> CallContext {
        CallContext {
            remaining: Duration::from_micros(self.remaining_us),
            hops: self.hops,
            retried_above: self.retried,
        }
    }

    /// Returns the time until the response-time goal ends, if there is one.
    pub(crate) fn goal(&self) -> Option<Duration> {
        self.goal_us.map(Duration::from_micros)
    }

    /// Returns the longest wait for a slot, unbounded if `None`.
    pub(crate) fn max_wait(&self) -> Option<Duration> {
        self.max_wait_us.map(Duration::from_micros)
    }

    /// Returns the team and caller that the request is counted against.
    pub(crate) fn flow(&self) -> FlowKey {
        let workspace = self.workspace.as_deref().map(hash_workspace);
        // Fair queues share between teams first, so a workspace takes the place of the team.
        let team = workspace.unwrap_or(self.team);
        FlowKey { workspace, team, caller: self.caller }
    }

    /// Writes the call into a request's head.
    pub(crate) fn write(&self, headers: &mut HeaderMap) {
        let text = serde_json::to_string(self).expect("a call of plain fields serializes");
        // The only character that JSON leaves as it is and a header must not contain.
        let text = text.replace('\u{7f}', "\\u007f");
        let value = HeaderValue::from_bytes(text.as_bytes())
            .expect("JSON without control characters is a valid header value");
        headers.insert(HeaderName::from_static(CALL_HEADER), value);
    }

    /// Reads the call from a request's head.
    pub(crate) fn read(headers: &HeaderMap) -> Option<Self> {
        serde_json::from_slice(headers.get(CALL_HEADER)?.as_bytes()).ok()
    }
}

/// Returns the key of a workspace at this guard.
fn hash_workspace(name: &str) -> WorkspaceKey {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}

/// Token that proves to a guard that a request comes from a daemon of its fleet.
///
/// Without it, anyone who reaches the guard's listener could bypass routes, fair shares and the
/// duplicate check. The token is as safe as the network between instances, like all control
/// traffic.
#[derive(Clone, Debug)]
pub struct GuardToken(HeaderValue);

impl GuardToken {
    /// Creates the token of a fleet from the secret that its daemons share.
    ///
    /// # Panics
    ///
    /// Never: a MAC accepts keys of any length, and its hexadecimal form is a valid header value.
    pub fn new(secret: &str) -> Self {
        let mut mac = Hmac::<Sha256>::new_from_slice(secret.as_bytes()).expect("any key length");
        mac.update(TOKEN_PURPOSE);
        let text: String =
            mac.finalize().into_bytes().iter().map(|byte| format!("{byte:02x}")).collect();
        Self(HeaderValue::from_str(&text).expect("hexadecimal digits"))
    }

    /// Writes the token into a request's head.
    pub(crate) fn write(&self, headers: &mut HeaderMap) {
        headers.insert(HeaderName::from_static(TOKEN_HEADER), self.0.clone());
    }

    /// Returns whether the headers hold this token, compared in constant time.
    pub(crate) fn is_in(&self, headers: &HeaderMap) -> bool {
        let found = headers.get(TOKEN_HEADER).map_or(&b""[..], HeaderValue::as_bytes);
        self.0.as_bytes().ct_eq(found).into()
    }
}
