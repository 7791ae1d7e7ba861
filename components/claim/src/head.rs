//! The head and the chunks of a partition, as stored in the platform.

use serde::{Deserialize, Serialize};
use sk_model::{ContentHash, UnixMillis, content_hash};

/// Hash of the service and the idempotency key of a request.
pub type ClaimKey = String;
/// Random identifier of one attempt to run a request, drawn by the guard.
pub type AttemptId = u64;

/// Hex digits of a claim key. With half of a SHA-256 hash, the probability of a collision among a
/// billion keys is below one in 10^20.
const KEY_DIGITS: usize = 32;

/// Returns the claim key of a request.
pub fn claim_key(service: &str, idempotency_key: &str) -> ClaimKey {
    let mut hash = content_hash(format!("{service}\n{idempotency_key}").as_bytes());
    hash.truncate(KEY_DIGITS);
    hash
}

/// State of the granted attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ClaimState {
    /// Granted; whether it ran is unknown.
    #[serde(rename = "c")]
    Claimed,
    /// It ran, and this HTTP status was returned.
    #[serde(rename = "r")]
    Ran(u16),
}

/// A granted claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ClaimEntry {
    /// Key of the request.
    #[serde(rename = "k")]
    pub key: ClaimKey,
    /// Attempt that was granted.
    #[serde(rename = "a")]
    pub attempt: AttemptId,
    /// State of the attempt.
    #[serde(rename = "s")]
    pub state: ClaimState,
    /// Time of the grant on the clock of the writer.
    #[serde(rename = "t")]
    pub granted_at: UnixMillis,
}

/// Reference to an immutable chunk of older claims.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ChunkRef {
    /// Hash of the content, which is part of the key: writers with different chunks never use the
    /// same key.
    pub hash: ContentHash,
    /// Time of the newest grant in the chunk.
    pub newest_at: UnixMillis,
}

/// The head of a partition. A claim is granted only by replacing the head under a condition on its
/// revision, so two writers can never both grant one key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct PartitionHead {
    /// Chunks with claims that have not expired, oldest first.
    pub chunks: Vec<ChunkRef>,
    /// Claims that have not moved to a chunk, oldest first. An entry here overrides one in a
    /// chunk.
    pub tail: Vec<ClaimEntry>,
}
