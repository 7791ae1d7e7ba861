//! The order in which daemons poll the configuration source.
//!
//! Each proof of freshness contains which daemon last read the source and when. If proofs grow old,
//! the next daemon in the order polls too, so that a data centre does not fall behind because its
//! relay cannot reach the source.

use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

use sk_model::ProxyId;

use crate::digest::name_hash;

/// Hash of the name of a daemon that polled the source. Heartbeats carry it several times a
/// second, and a name would double their size.
pub type PollerHash = u64;

/// Position in the history of the source up to which everything is known; zero if there is none.
pub type HistoryPosition = u64;

/// Position of a daemon that is not in the polling order, because it belongs to another data
/// centre or is no longer known.
const NO_POSITION: usize = usize::MAX;

/// Proof that at `polled_at` the source had nothing newer than what this daemon has.
///
/// Times count from any fixed start on a monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessProof {
    /// Hash of the name of the daemon that polled.
    pub poller: PollerHash,
    /// Time of the poll, never later than the actual time.
    pub polled_at: Duration,
    /// Position from which the history of the source can be followed.
    pub history: HistoryPosition,
}

/// Bounds that decide when further daemons poll the source.
#[derive(Clone, Copy, Debug)]
pub struct PollOptions {
    /// Number of daemons of the data centre that always poll.
    pub relays: usize,
    /// Age of the newest proof from which on the next daemon polls too.
    pub stale_after: Duration,
    /// Additional delay of each further daemon. It is long enough for a proof from the previous
    /// daemon to arrive, and short because several daemons in a row may be unable to reach the
    /// source.
    pub takeover_step: Duration,
}

/// The current proof of freshness, and the time at which this daemon has to poll.
///
/// The source may answer some daemons and not others, and a relay may be cut off, frozen or slow
/// while its peers still hear it. Membership alone would then never replace the relay, and callers
/// would be sent along outdated routes for as long as the fault lasts. The decision therefore
/// depends on the age of the proof and not on liveness: once the proof is too old, for whatever
/// reason, the next daemon in the order polls. All others do not poll, so that the load on the
/// source does not grow with the fleet.
#[derive(Debug)]
pub struct FreshnessTracker {
    own: PollerHash,
    options: PollOptions,
    positions: BTreeMap<PollerHash, usize>,
    proof: Option<FreshnessProof>,
    /// Time of the last poll by a daemon that precedes this one in the order.
    predecessor_polled_at: Duration,
}

impl FreshnessTracker {
    /// Creates an instance without an order and without a proof.
    pub fn new(own: &str, options: PollOptions) -> Self {
        let own = name_hash(own);
        Self {
            own,
            options,
            positions: BTreeMap::new(),
            proof: None,
            predecessor_polled_at: Duration::ZERO,
        }
    }

    /// Returns the hash of the name of this daemon.
    pub fn own(&self) -> PollerHash {
        self.own
    }

    /// Returns the current proof.
    pub fn proof(&self) -> Option<FreshnessProof> {
        self.proof
    }

    /// Sets the order in which the daemons of the data centre poll.
    pub fn set_poll_order<'a>(&mut self, order: impl IntoIterator<Item = &'a ProxyId>) {
        let hashes = order.into_iter().map(|proxy| name_hash(proxy));
        self.positions = hashes.enumerate().map(|(position, hash)| (hash, position)).collect();
    }

    /// Discards the current proof and restarts the delay at `now`. After a pause of this process,
    /// heartbeats that waited to be read make proofs appear newer than they are.
    pub fn reset(&mut self, now: Duration) {
        self.proof = None;
        self.predecessor_polled_at = now;
    }

    /// Adds a proof from a poll of this daemon or from a peer.
    ///
    /// Among fresh proofs, the one of the first daemon in the order is kept and passed on, so that
    /// daemons which took over for it learn that it polls again.
    pub fn add_proof(&mut self, proof: FreshnessProof, now: Duration) {
        if self.position_of(proof.poller) < self.position_of(self.own) {
            self.predecessor_polled_at = self.predecessor_polled_at.max(proof.polled_at);
        }
        let is_preferred = |current| self.preference(&proof, now) > self.preference(&current, now);
        if self.proof.is_none_or(is_preferred) {
            self.proof = Some(proof);
        }
    }

    /// Returns the time until this daemon has to poll, or `None` if it is not in the order, for
    /// example while it leaves.
    pub fn poll_due_in(&self, now: Duration) -> Option<Duration> {
        match self.takeovers_before()? {
            0 => Some(Duration::ZERO),
            takeovers => {
                let step_count = u32::try_from(takeovers - 1).unwrap_or(u32::MAX);
                let delay = self.options.stale_after
                    + self.options.takeover_step.saturating_mul(step_count);
                Some((self.predecessor_polled_at + delay).saturating_sub(now))
            }
        }
    }

    /// Returns the number of takeovers before this daemon polls: zero for the relays, which always
    /// poll, and one for the first daemon that takes over from them. Returns `None` if this daemon
    /// is not in the order.
    pub fn takeovers_before(&self) -> Option<usize> {
        match self.position_of(self.own) {
            NO_POSITION => None,
            position => Some((position + 1).saturating_sub(self.options.relays)),
        }
    }

    /// Returns whether no daemon of the data centre is known to have polled the source recently.
    pub fn is_stale(&self, now: Duration) -> bool {
        self.proof.is_none_or(|current| !self.is_fresh(&current, now))
    }

    /// Returns whether a proof is recent enough to rely on.
    fn is_fresh(&self, proof: &FreshnessProof, now: Duration) -> bool {
        now.saturating_sub(proof.polled_at) < self.options.stale_after
    }

    /// Returns the order of proofs: fresh ones first, then by polling order, then by time.
    fn preference(
        &self,
        proof: &FreshnessProof,
        now: Duration,
    ) -> (bool, Reverse<usize>, Duration) {
        match self.is_fresh(proof, now) {
            true => (true, Reverse(self.position_of(proof.poller)), proof.polled_at),
            false => (false, Reverse(NO_POSITION), proof.polled_at),
        }
    }

    /// Returns the position of a daemon in the polling order.
    fn position_of(&self, poller: PollerHash) -> usize {
        self.positions.get(&poller).copied().unwrap_or(NO_POSITION)
    }
}
