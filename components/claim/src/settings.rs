//! Settings of the claims.

use std::time::Duration;

/// How claims use the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimSettings {
    /// Prefix of every key written.
    pub key_prefix: String,
    /// Objects that claims are spread over, 1 to 1024. Every daemon of a fleet needs the same.
    /// Writers of one partition wait for each other; each partition costs its writer one head.
    pub partitions: u32,
    /// Time a claim is kept, at least ten minutes. A copy inside the system is refused after its
    /// deadline, 120 s at most, so that only a caller who sends again later than this is served
    /// as a new one.
    pub retention: Duration,
    /// Claims in a head before the oldest move to a chunk. 256 make a head of about 25 KB, which
    /// each commit writes.
    pub tail_claims: usize,
    /// Claims and outcomes committed together at most. Bounds a head at twice the tail.
    pub batch: usize,
    /// Claims waiting for a commit in one partition; more are refused as unavailable, because a
    /// platform that is so slow would answer them after their deadlines.
    pub queue: usize,
    /// Tries of one commit before its claims are refused as unavailable.
    pub tries: u32,
    /// Longest pause between two commits of one partition while the platform refuses calls over its
    /// rate. It begins at a hundredth of this, doubles with each refusal and shrinks with each
    /// commit that comes through, so that groups grow until the platform can carry them.
    pub max_linger: Duration,
    /// Mean pause after a try that lost against another writer, doubled from try to try.
    pub backoff: Duration,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            key_prefix: "sapphirekeel/".to_owned(),
            partitions: 32,
            retention: Duration::from_secs(3_600),
            tail_claims: 256,
            batch: 256,
            queue: 1_024,
            tries: 8,
            max_linger: Duration::from_millis(1_000),
            backoff: Duration::from_millis(4),
        }
    }
}
