//! How fresh the held configuration is: when the source was last known to have nothing newer.

use std::time::Duration;

use tokio::time::Instant;

/// Hash of the name of a daemon that looked at the source; heartbeats carry it several times a
/// second, and a name would double them.
pub(crate) type LookerMark = u64;

/// Place in the source's history up to which everything is known; zero where there is none.
pub type HistoryMark = u64;

/// Word from the source: at `seen_at` it had nothing newer than what is held here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FreshnessProof {
    /// Who looked.
    pub(crate) looker: LookerMark,
    /// On this daemon's clock, never later than it truly was.
    pub(crate) seen_at: Instant,
    /// From where the source's history can be followed.
    pub(crate) history: HistoryMark,
}

impl FreshnessProof {
    /// Gives the time since the source was seen.
    pub(crate) fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.seen_at)
    }
}

/// The proof that a daemon goes by.
#[derive(Debug, Default)]
pub(crate) struct FreshnessBook {
    held: Option<FreshnessProof>,
}

impl FreshnessBook {
    /// Gives the proof held.
    pub(crate) fn held(&self) -> Option<FreshnessProof> {
        self.held
    }

    /// Takes a proof if it is fresher than the one held.
    pub(crate) fn offer(&mut self, proof: FreshnessProof) {
        if self.held.is_none_or(|held| proof.seen_at > held.seen_at) {
            self.held = Some(proof);
        }
    }
}
