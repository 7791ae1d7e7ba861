//! Decides whether a request is a call that the local backend server makes for a request that it
//! runs. Nothing else may take a request for one: such calls carry no key. The design note is
//! `docs/design/server-calls.md`.

use std::{net::IpAddr, time::Duration};

use async_trait::async_trait;
use hmac::{Hmac, KeyInit, Mac};
use http::{HeaderMap, HeaderName, HeaderValue, header};
use sha2::Sha256;
use sk_model::unix_time_ms;
use subtle::ConstantTimeEq;

use crate::context::ForwardContext;

/// Header with the proof that a call is made for a request that a daemon has sent to the server. A
/// service copies it into nested calls.
pub const PARENT_HEADER: &str = "x-sapphirekeel-parent";
/// Input of the MAC, so that no other use of the secret yields the same bytes.
const PROOF_PURPOSE: &[u8] = b"sapphirekeel server calls";

/// Largest number of suffixes of an id that are taken off to find its parent.
const MAX_SUFFIXES: usize = 4;

/// The peer of a connection to the entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerPeer {
    /// Its address.
    pub address: IpAddr,
    /// Whether it is on the same instance.
    pub is_local: bool,
}

/// Asks the other daemons for the requests that an earlier process of this daemon has sent to the
/// local server.
#[async_trait]
pub trait UnfinishedRecall: Send + Sync {
    /// Adds what other daemons know to the list of requests that the local server may be working on.
    /// Returns at once where nothing is left to ask, and after a bounded time otherwise.
    async fn recall(&self);
}

/// Makes and checks the proofs that native servers copy into their calls.
#[derive(Clone)]
pub struct CallProofs {
    mac: Hmac<Sha256>,
}

impl std::fmt::Debug for CallProofs {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("CallProofs").finish_non_exhaustive()
    }
}

impl CallProofs {
    /// Creates the proofs of one daemon from the secret of its fleet. A later process of the daemon
    /// accepts them as well.
    ///
    /// # Panics
    ///
    /// Never: a MAC accepts keys of any length.
    pub fn new(secret: &str, daemon: &str) -> Self {
        let mut mac = Hmac::<Sha256>::new_from_slice(secret.as_bytes()).expect("any key length");
        mac.update(PROOF_PURPOSE);
        mac.update(&[0]);
        mac.update(daemon.as_bytes());
        mac.update(&[0]);
        Self { mac }
    }

    /// Makes the proof of a request whose deadline passes after `remaining`.
    ///
    /// # Panics
    ///
    /// Never: digits and hexadecimal digits make a valid header value.
    pub fn make(&self, remaining: Duration) -> HeaderValue {
        let until = unix_time_ms().saturating_add(remaining.as_millis() as u64);
        let text = format!("{until}.{}", self.sign(until));
        HeaderValue::from_str(&text).expect("digits")
    }

    /// Returns whether the headers hold a proof whose deadline has not passed.
    pub(crate) fn is_in(&self, headers: &HeaderMap) -> bool {
        let value = headers.get(PARENT_HEADER).and_then(|value| value.to_str().ok());
        let Some((until, signature)) = value.and_then(|value| value.split_once('.')) else {
            return false;
        };
        let Ok(until) = until.parse::<u64>() else { return false };
        let is_signed: bool = self.sign(until).as_bytes().ct_eq(signature.as_bytes()).into();
        is_signed && unix_time_ms() <= until
    }

    fn sign(&self, until: u64) -> String {
        let mut mac = self.mac.clone();
        mac.update(&until.to_be_bytes());
        mac.finalize().into_bytes().iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

/// Writes a proof into the head of a request for a server.
pub(crate) fn write_proof(headers: &mut HeaderMap, proof: HeaderValue) {
    headers.insert(HeaderName::from_static(PARENT_HEADER), proof);
}

/// Returns whether a request is a call of the local server, as far as is known now.
pub(crate) fn is_server_call(
    context: &ForwardContext,
    headers: &HeaderMap,
    peer: CallerPeer,
) -> bool {
    let guard = &context.guard_context;
    let is_running = |parent| guard.running.has_call_of(parent);
    guard.proofs.is_in(headers) || parents_of(context, headers, peer).any(is_running)
}

/// Whether a request is a call of the local server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallVerdict {
    /// It is one.
    Call,
    /// It is none.
    NoCall,
    /// It may be one whose parent is known to no daemon any more.
    Unknown,
}

/// Decides whether a request is a call of the local server. Shortly after the start of the daemon it
/// asks the other daemons about one whose parent is not known here. `longest` returns the longest
/// time that a parent can take.
pub(crate) async fn check_server_call(
    context: &ForwardContext,
    headers: &HeaderMap,
    peer: CallerPeer,
    needs_key: bool,
    longest: impl FnOnce() -> Duration,
) -> CallVerdict {
    if is_server_call(context, headers, peer) {
        return CallVerdict::Call;
    }
    if !needs_key || parents_of(context, headers, peer).next().is_none() {
        return CallVerdict::NoCall;
    }
    if let Some(recall) = &context.recall {
        recall.recall().await;
    }
    match () {
        () if is_server_call(context, headers, peer) => CallVerdict::Call,
        () if context.guard_context.running.may_lack_some(longest()) => CallVerdict::Unknown,
        () => CallVerdict::NoCall,
    }
}

/// Returns the ids that may be those of the parent, if the local server may have sent the request:
/// servers are on the same instance and have no key. What follows the parent's id may have the form
/// of a suffix several times.
fn parents_of<'a>(
    context: &'a ForwardContext,
    headers: &'a HeaderMap,
    peer: CallerPeer,
) -> impl Iterator<Item = &'a str> {
    let has_key = headers.contains_key(header::AUTHORIZATION);
    let is_from_server = peer.is_local || context.guard_context.servers.is_at(peer.address);
    let attempt = context.headers.attempt_id(headers).filter(|_| is_from_server && !has_key);
    let attempt = attempt.and_then(|attempt| attempt.to_str().ok());
    let parent = |id: &&'a str| context.headers.parent_request_id(id);
    std::iter::successors(attempt, parent).skip(1).take(MAX_SUFFIXES)
}
