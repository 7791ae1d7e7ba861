//! A partition's head and chunks, as the platform holds them.

use serde::{Deserialize, Serialize};
use sk_model::{ContentHash, UnixMillis, content_hash};

/// Hash of what identifies a request: its service and its idempotency key.
pub type ClaimKey = String;
/// Identifier of one attempt to run a request, drawn at random by the guard that attempts it.
pub type AttemptId = u64;

/// Half a SHA-256: a collision among a billion keys stays below one in 10^20.
const KEY_DIGITS: usize = 32;

/// Makes the claim key of a request.
pub fn claim_key(service: &str, idempotency_key: &str) -> ClaimKey {
    let mut hash = content_hash(format!("{service}\n{idempotency_key}").as_bytes());
    hash.truncate(KEY_DIGITS);
    hash
}

/// What is known of the one attempt that was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ClaimState {
    /// Granted; whether it ran is not known.
    #[serde(rename = "c")]
    Claimed,
    /// It ran and was answered with this status.
    #[serde(rename = "r")]
    Ran(u16),
}

/// One claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ClaimEntry {
    /// Key of the request.
    #[serde(rename = "k")]
    pub key: ClaimKey,
    /// The attempt that was granted.
    #[serde(rename = "a")]
    pub attempt: AttemptId,
    /// What is known of it.
    #[serde(rename = "s")]
    pub state: ClaimState,
    /// When it was granted, on the writer's clock.
    #[serde(rename = "t")]
    pub granted_at: UnixMillis,
}

/// Names an immutable chunk of older claims.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ChunkRef {
    /// Hash of the chunk's content, which is its key: writers with different chunks never meet.
    pub hash: ContentHash,
    /// The newest claim in it.
    pub newest_at: UnixMillis,
}

/// The head of a partition. Replacing it under a condition on its revision is the only way a
/// claim is granted, so two writers can never both grant one key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct PartitionHead {
    /// Chunks that hold claims not yet expired, oldest first.
    pub chunks: Vec<ChunkRef>,
    /// Claims not yet moved to a chunk, oldest first. An entry here goes before one in a chunk.
    pub tail: Vec<ClaimEntry>,
}
