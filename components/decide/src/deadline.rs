//! Deadlines and the limit on hops, carried through nested calls.
//!
//! A call travels with the time it has *left*, never with an absolute time: the clocks of two
//! instances differ, and a deadline read on a slow clock would let work run for a caller that has
//! gone. Each hop takes off the time that it spent and the time that the answer needs to return.

use std::time::Duration;

use thiserror::Error;

/// Depth of the deepest call graph in use.
pub const CALL_DEPTH: u8 = 7;
/// Most hops a call may take. Two more than [`CALL_DEPTH`], so that a call graph may grow by a
/// layer without a release of this proxy, while a routing loop ends after nine calls and not at its
/// deadline with thousands in flight.
pub const HOP_LIMIT: u8 = CALL_DEPTH + 2;
/// Time reserved at each hop for the return of the answer: a round trip between data centres of a
/// region. Without it a server finishes just in time for an answer that arrives late, and its work
/// is lost.
pub const RETURN_MARGIN: Duration = Duration::from_millis(1);
/// Shortest time left with which a call is sent on. Less than this passes on the network alone.
pub const MIN_REMAINING: Duration = Duration::from_millis(2);

/// Time after the deadline for which the daemon beside a server waits for the server's last answer.
/// A server stops at the same deadline and reports that; cut off a moment before, it could not.
pub const GUARD_GRACE: Duration = Duration::from_millis(40);
/// Time after the deadline for which the daemon of entry waits for the answer of the daemon beside
/// the server, which may be that nothing ran. Twice [`GUARD_GRACE`]: a round trip and a busy core.
pub const ENTRY_GRACE: Duration = Duration::from_millis(80);
/// Time after the deadline for the rest of an answer whose head came in time. Work that is done is
/// delivered; an answer is cut off only if no more of it comes.
pub const BODY_GRACE: Duration = Duration::from_secs(2);

/// What a call carries from hop to hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallContext {
    /// Time left until the caller stops waiting, at the moment the call arrived.
    pub remaining: Duration,
    /// Hops taken so far, zero at the first daemon.
    pub hops: u8,
    /// Retries that the layers above this one are making, see [`crate::retrying`].
    pub retried_above: u8,
}

/// Why a call may take no further hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum NextHopError {
    /// The call has taken [`HOP_LIMIT`] hops, most likely in a routing loop.
    #[error("call has taken {0} hops, the most allowed is {HOP_LIMIT}")]
    HopLimit(u8),
    /// Too little time is left for an answer to arrive.
    #[error("call has {0:?} left, less than {MIN_REMAINING:?}")]
    Expired(Duration),
}

impl CallContext {
    /// Creates the context of a call that arrives without one.
    pub fn new(deadline: Duration) -> Self {
        Self { remaining: deadline, hops: 0, retried_above: 0 }
    }

    /// Limits the remaining time to the deadline of the route, if that is nearer.
    #[must_use]
    pub fn limited_to(self, deadline: Duration) -> Self {
        Self { remaining: self.remaining.min(deadline), ..self }
    }

    /// Returns the time left after `elapsed` at this hop, less the return of the answer.
    pub fn remaining_after(&self, elapsed: Duration) -> Duration {
        self.remaining.saturating_sub(elapsed).saturating_sub(RETURN_MARGIN)
    }

    /// Returns the context for the next hop, `elapsed` after arrival, as retry `own_retries` of
    /// this layer (zero for the first attempt).
    ///
    /// # Errors
    ///
    /// Returns a [`NextHopError`] if the call may go no further. Nothing was sent then, so the
    /// answer may say "not run".
    pub fn next_hop(&self, elapsed: Duration, own_retries: u8) -> Result<Self, NextHopError> {
        let remaining = self.remaining_after(elapsed);
        match self.hops.saturating_add(1) {
            hops if hops > HOP_LIMIT => Err(NextHopError::HopLimit(self.hops)),
            _ if remaining < MIN_REMAINING => Err(NextHopError::Expired(remaining)),
            hops => {
                let retried_above = self.retried_above.saturating_add(own_retries);
                Ok(Self { remaining, hops, retried_above })
            }
        }
    }
}
