//! Settings of the ledger.

use std::time::Duration;

/// Limits and timeouts of the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerSettings {
    /// Prefix of all keys that the ledger writes. Fleets that share a platform need different
    /// prefixes.
    pub key_prefix: String,
    /// Number of records in the head at which the oldest move to history. 128 records are half a
    /// day of changes and 50 KB of head; every reader of the head pays for a longer tail.
    pub tail_records: usize,
    /// Size of the records in the head, in bytes of JSON, at which the oldest move to history.
    /// 256 KB leave room in a platform value of a megabyte for the subtrees of a thousand teams.
    pub tail_bytes: usize,
    /// Largest number of tries of one submit, at least 1. 24 tries suffice for any burst of
    /// concurrent teams that a platform with several hundred writes a second can carry; more would
    /// only delay the answer.
    pub submit_tries: u32,
    /// Time after which a submit starts no further try. 10 s are as long as an operator waits, and
    /// bound the time spent on a platform that answers slowly or not at all.
    pub submit_timeout: Duration,
    /// Longest delay before the second try; it doubles with each further try. 10 ms are a few
    /// round trips to the platform, which separates concurrent submits.
    pub backoff_base: Duration,
    /// Longest delay between two tries. 500 ms keep all tries together within `submit_timeout`.
    pub backoff_cap: Duration,
    /// Time after which a caller is told to retry while the platform is unavailable. One second
    /// keeps the retries of operators far below the rate of the platform.
    pub retry_after: Duration,
}

impl Default for LedgerSettings {
    fn default() -> Self {
        Self {
            key_prefix: "sapphirekeel/".to_owned(),
            tail_records: 128,
            tail_bytes: 256 * 1024,
            submit_tries: 24,
            submit_timeout: Duration::from_secs(10),
            backoff_base: Duration::from_millis(10),
            backoff_cap: Duration::from_millis(500),
            retry_after: Duration::from_secs(1),
        }
    }
}
