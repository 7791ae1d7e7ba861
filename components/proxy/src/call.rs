//! What the daemon of entry tells a guard about a request.

use std::{sync::Arc, time::Duration};

use hmac::{Hmac, KeyInit, Mac};
use http::{HeaderMap, HeaderName, HeaderValue};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use sk_decide::{
    WorkKey,
    admitting::{CallerKey, FlowKey, TeamKey},
    deadline::CallContext,
    quarantine::Fingerprint,
    trip::{ClockId, LinkOpening, TripClocks},
};
use sk_model::WorkClass;
use subtle::ConstantTimeEq;

use crate::clock::{clock_id, trip_now, whole_micros};

const CALL_HEADER: &str = "x-sapphirekeel-call";
const TOKEN_HEADER: &str = "x-sapphirekeel-token";
/// What the token is made over, so that no other use of the secret gives the same bytes.
const TOKEN_PURPOSE: &[u8] = b"sapphirekeel guard listener";

/// A request for the backend server beside a guard.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct GuardCall {
    /// Service.
    pub(crate) service: Arc<str>,
    /// The server's process that was chosen. Another one at the same place refuses the request: it
    /// was placed by what its predecessor could take.
    pub(crate) server: Arc<str>,
    /// Service beside the daemon of entry, for the server to know where the request began.
    pub(crate) from: Option<Arc<str>>,
    /// Microseconds left.
    remaining_us: u64,
    hops: u8,
    retried: u8,
    /// Class of the work.
    pub(crate) class: WorkClass,
    /// Whether it may run twice without harm.
    pub(crate) is_repeatable: bool,
    /// What a crash is remembered by.
    pub(crate) fingerprint: Fingerprint,
    team: TeamKey,
    caller: CallerKey,
    /// Microseconds until the response-time goal ends, where there is one.
    goal_us: Option<u64>,
    /// Rank among the requests that wait.
    pub(crate) rank: u8,
    /// What the service time depends on.
    pub(crate) work: WorkKey,
    /// Microseconds that it may wait for a slot, none for any time.
    most_wait_us: Option<u64>,
    /// The sender's clock, and the microsecond by it at which this was sent; zero until it departs.
    clock: ClockId,
    sent_us: u64,
    /// The opening of the connection, on calls that closely follow it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    opening: Option<CallOpening>,
}

/// The opening of a connection, in microseconds by the clock of the side that opened it.
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

/// Who a request is counted against.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallSource {
    pub(crate) team: TeamKey,
    pub(crate) caller: CallerKey,
}

/// What does not change between the attempts of one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallTraits {
    pub(crate) class: WorkClass,
    pub(crate) is_repeatable: bool,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) source: CallSource,
    /// Response-time goal of the route, from the arrival at the daemon of entry.
    pub(crate) goal: Option<Duration>,
    pub(crate) rank: u8,
    pub(crate) work: WorkKey,
}

/// What holds for one attempt only.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptTerms {
    pub(crate) context: CallContext,
    /// Time since the request arrived.
    pub(crate) elapsed: Duration,
    /// How long it may wait for a slot, none for any time.
    pub(crate) most_wait: Option<Duration>,
}

impl GuardCall {
    /// Describes one attempt.
    pub(crate) fn new(
        service: Arc<str>,
        server: Arc<str>,
        from: Option<Arc<str>>,
        terms: &AttemptTerms,
        traits: &CallTraits,
    ) -> Self {
        let context = &terms.context;
        let goal = traits.goal.map(|goal| goal.saturating_sub(terms.elapsed));
        Self {
            service,
            server,
            from,
            remaining_us: whole_micros(context.remaining),
            hops: context.hops,
            retried: context.retried_above,
            class: traits.class,
            is_repeatable: traits.is_repeatable,
            fingerprint: traits.fingerprint,
            team: traits.source.team,
            caller: traits.source.caller,
            goal_us: goal.map(whole_micros),
            rank: traits.rank,
            work: traits.work,
            most_wait_us: terms.most_wait.map(whole_micros),
            clock: clock_id(),
            sent_us: 0,
            opening: None,
        }
    }

    /// Takes off the time that the call waited for a connection, and notes that it leaves now.
    pub(crate) fn depart(&mut self, waited: Duration, opening: LinkOpening) {
        let now = trip_now();
        self.spend(waited);
        self.sent_us = whole_micros(now);
        self.opening = opening.is_followed_by(now).then(|| opening.into());
    }

    /// Takes off what the call lost on its way behind other bytes, and gives how long that was.
    /// `accepted_at` is when its connection was accepted, on the clock that goes on while suspended.
    pub(crate) fn arrive(&mut self, clocks: &mut TripClocks, accepted_at: Duration) -> Duration {
        if let Some(opening) = self.opening {
            clocks.note_opening(self.clock, opening.into(), accepted_at);
        }
        let late = clocks.note(self.clock, Duration::from_micros(self.sent_us), trip_now());
        self.spend(late);
        late
    }

    fn spend(&mut self, time: Duration) {
        let micros = whole_micros(time);
        self.remaining_us = self.remaining_us.saturating_sub(micros);
        self.goal_us = self.goal_us.map(|goal| goal.saturating_sub(micros));
    }

    /// Gives the context of the call at its arrival.
    pub(crate) fn context(&self) -> CallContext {
        CallContext {
            remaining: Duration::from_micros(self.remaining_us),
            hops: self.hops,
            retried_above: self.retried,
        }
    }

    /// Gives the time until the response-time goal ends.
    pub(crate) fn goal(&self) -> Option<Duration> {
        self.goal_us.map(Duration::from_micros)
    }

    /// Gives how long it may wait for a slot, none for any time.
    pub(crate) fn most_wait(&self) -> Option<Duration> {
        self.most_wait_us.map(Duration::from_micros)
    }

    /// Gives whom the request is counted against.
    pub(crate) fn flow(&self) -> FlowKey {
        FlowKey { team: self.team, caller: self.caller }
    }

    /// Writes the call into a request's head.
    pub(crate) fn write(&self, headers: &mut HeaderMap) {
        let text = serde_json::to_vec(self).expect("a call of plain fields can be written");
        let value = HeaderValue::from_bytes(&text).expect("paths and numbers make a header");
        headers.insert(HeaderName::from_static(CALL_HEADER), value);
    }

    /// Reads the call from a request's head.
    pub(crate) fn read(headers: &HeaderMap) -> Option<Self> {
        serde_json::from_slice(headers.get(CALL_HEADER)?.as_bytes()).ok()
    }
}

/// What shows a guard that a request comes from a daemon of its fleet.
///
/// Anyone else who reaches the guard's listener could pass by routes, fairness and the check for
/// repeats. The token is as safe as the network between instances, like all control traffic.
#[derive(Clone, Debug)]
pub struct GuardToken(HeaderValue);

impl GuardToken {
    /// Makes the token of a fleet from the secret that its daemons share.
    ///
    /// # Panics
    ///
    /// Never: a MAC takes keys of any length and its hexadecimal form is a header's value.
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

    /// Compares the token of a request in constant time.
    pub(crate) fn is_in(&self, headers: &HeaderMap) -> bool {
        let found = headers.get(TOKEN_HEADER).map_or(&b""[..], HeaderValue::as_bytes);
        self.0.as_bytes().ct_eq(found).into()
    }
}
