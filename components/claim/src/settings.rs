//! Settings of claims.

use std::time::Duration;

/// Limits and timeouts of claims.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimSettings {
    /// Prefix of all keys that claims write.
    pub key_prefix: String,
    /// Number of partitions, 1 to 1024, each with its own head object. It has to be the same on
    /// every daemon of a fleet. Writers of one partition wait for each other; each partition costs
    /// its writer one head.
    pub partitions: u32,
    /// Time for which a claim is kept, at least ten minutes. A copy inside the system is refused
    /// after its deadline, 120 s at most, so that only a caller who resends after the retention is
    /// served again.
    pub retention: Duration,
    /// Number of claims in a head above which the oldest move to a chunk. 256 claims make a head
    /// of about 25 KB, which each commit writes.
    pub tail_claims: usize,
    /// Largest number of operations in one commit. It bounds a head to twice the tail.
    pub max_batch: usize,
    /// Largest number of operations that wait for a commit in one partition. Further ones are
    /// refused as unavailable, because a platform that slow would answer them after their
    /// deadlines.
    pub max_queued: usize,
    /// Largest number of tries of one commit before its claims are refused as unavailable.
    pub max_tries: u32,
    /// Longest pause between two commits of one partition while the platform rejects calls above
    /// its rate. The pause starts at a hundredth of this, doubles with each rejection and shrinks
    /// with each successful commit, so that batches grow until the platform can carry them.
    pub max_commit_pause: Duration,
    /// Mean delay after a try that lost against another writer; it doubles with each further try.
    pub retry_delay: Duration,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            key_prefix: "sapphirekeel/".to_owned(),
            partitions: 32,
            retention: Duration::from_secs(3_600),
            tail_claims: 256,
            max_batch: 256,
            max_queued: 1_024,
            max_tries: 8,
            max_commit_pause: Duration::from_millis(1_000),
            retry_delay: Duration::from_millis(4),
        }
    }
}
