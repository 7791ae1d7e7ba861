//! Settings of the ledger.

use std::time::Duration;

/// How the ledger uses the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerSettings {
    /// Prefix of every key the ledger writes. Fleets that share a platform need different ones.
    pub key_prefix: String,
    /// Records the head keeps before the oldest move to history. 128 are half a day of changes
    /// and 50 KB of head; every reader of the head pays for a longer tail.
    pub tail_records: usize,
    /// Bytes of records the head keeps before the oldest move to history. 256 KB leave room in a
    /// platform value of a megabyte for the subtrees of a thousand teams.
    pub tail_bytes: usize,
    /// Tries of one submit, from 1. 24 outlast any burst of racing teams that a platform of
    /// several hundred writes a second can carry; more would hold the operator without need.
    pub submit_tries: u32,
    /// Time after which a submit begins no further try. 10 s are as long as an operator waits and
    /// bound the time spent on a platform that answers slowly or never.
    pub submit_time: Duration,
    /// Longest pause before the second try; it doubles from try to try. 10 ms are a few round
    /// trips to the platform, so that two racers come apart.
    pub backoff_base: Duration,
    /// Longest pause between two tries. 500 ms keep all tries together within `submit_time`.
    pub backoff_cap: Duration,
    /// When a caller is told to come back while the platform is away. One second keeps the
    /// operators' retries far below the platform's rate.
    pub retry_after: Duration,
}

impl Default for LedgerSettings {
    fn default() -> Self {
        Self {
            key_prefix: "sapphirekeel/".to_owned(),
            tail_records: 128,
            tail_bytes: 256 * 1024,
            submit_tries: 24,
            submit_time: Duration::from_secs(10),
            backoff_base: Duration::from_millis(10),
            backoff_cap: Duration::from_millis(500),
            retry_after: Duration::from_secs(1),
        }
    }
}
