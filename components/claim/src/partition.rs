//! The claims of one partition that have not expired, and the effect of operations on them. No
//! I/O.

use std::{collections::HashMap, time::Duration};

use sk_model::{ContentHash, UnixMillis};

use crate::head::{AttemptId, ChunkRef, ClaimEntry, ClaimKey, ClaimState, PartitionHead};

/// Decision on a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// This attempt and no other may run the request.
    Granted,
    /// Another attempt ran, and this HTTP status was returned.
    AlreadyRan(u16),
    /// Another attempt was granted; whether it ran is unknown.
    AlreadyClaimed,
}

/// An operation on one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ClaimOperation {
    /// Requests the grant for an attempt.
    Claim { key: ClaimKey, attempt: AttemptId },
    /// Records that the granted attempt ran.
    Ran { key: ClaimKey, attempt: AttemptId, status: u16 },
    /// Releases a grant because the attempt did not run and never will.
    Release { key: ClaimKey, attempt: AttemptId },
}

/// Claims by key. A claim in the tail overrides one in a chunk. Releasing a claim removes it from
/// the tail only; in a chunk it remains until it expires.
#[derive(Clone, Debug, Default)]
pub(crate) struct LiveClaims {
    pub(crate) head: PartitionHead,
    chunked: HashMap<ClaimKey, ClaimEntry>,
}

impl LiveClaims {
    pub(crate) fn new(head: PartitionHead, chunks: Vec<Vec<ClaimEntry>>) -> Self {
        let mut chunked = HashMap::new();
        for entry in chunks.into_iter().flatten() {
            chunked.insert(entry.key.clone(), entry);
        }
        Self { head, chunked }
    }

    /// Returns the claim on a key unless it has expired.
    fn find(&self, key: &str, now: UnixMillis, retention: Duration) -> Option<&ClaimEntry> {
        let is_live = |entry: &&ClaimEntry| entry.granted_at + millis(retention) > now;
        let tail_entry = self.head.tail.iter().rev().find(|entry| entry.key == key);
        tail_entry.or_else(|| self.chunked.get(key)).filter(is_live)
    }

    /// Applies one operation to the head and returns the verdict. It is idempotent: after a commit
    /// whose answer was lost, the same operation on the newly read head returns the same verdict.
    pub(crate) fn apply(
        &mut self,
        operation: &ClaimOperation,
        now: UnixMillis,
        retention: Duration,
    ) -> ClaimVerdict {
        match operation {
            ClaimOperation::Claim { key, attempt } => self.claim(key, *attempt, now, retention),
            ClaimOperation::Ran { key, attempt, status } => {
                self.update_claim(key, *attempt, Some(ClaimState::Ran(*status)), now, retention)
            }
            ClaimOperation::Release { key, attempt } => {
                self.update_claim(key, *attempt, None, now, retention)
            }
        }
    }

    /// Grants the claim to an attempt, unless another attempt was granted before.
    fn claim(
        &mut self,
        key: &ClaimKey,
        attempt: AttemptId,
        now: UnixMillis,
        retention: Duration,
    ) -> ClaimVerdict {
        match self.find(key, now, retention) {
            Some(entry) if entry.attempt == attempt => return ClaimVerdict::Granted,
            Some(ClaimEntry { state: ClaimState::Ran(status), .. }) => {
                return ClaimVerdict::AlreadyRan(*status);
            }
            Some(_) => return ClaimVerdict::AlreadyClaimed,
            None => (),
        }
        // An expired or released entry must not override the new one.
        self.remove_from_tail(key);
        let state = ClaimState::Claimed;
        self.head.tail.push(ClaimEntry { key: key.clone(), attempt, state, granted_at: now });
        ClaimVerdict::Granted
    }

    /// Updates or removes the claim of an attempt. Only the attempt that was granted can change
    /// its state.
    fn update_claim(
        &mut self,
        key: &ClaimKey,
        attempt: AttemptId,
        state: Option<ClaimState>,
        now: UnixMillis,
        retention: Duration,
    ) -> ClaimVerdict {
        let granted = self.find(key, now, retention).filter(|entry| entry.attempt == attempt);
        let Some(granted) = granted.cloned() else {
            return ClaimVerdict::AlreadyClaimed;
        };
        match state {
            Some(state) => {
                self.remove_from_tail(key);
                self.head.tail.push(ClaimEntry { state, ..granted });
            }
            // In a chunk the entry remains, and with it the grant: the next attempt of the caller
            // is then answered with "unknown" although nothing ran, but the request never runs
            // twice.
            None => self.head.tail.retain(|entry| entry.key != *key),
        }
        ClaimVerdict::Granted
    }

    fn remove_from_tail(&mut self, key: &ClaimKey) {
        self.head.tail.retain(|entry| entry.key != *key);
    }

    /// Removes expired claims, and returns the claims that have to move to a chunk if the tail is
    /// too long.
    pub(crate) fn overflow(
        &mut self,
        now: UnixMillis,
        retention: Duration,
        tail_claims: usize,
    ) -> Option<Vec<ClaimEntry>> {
        let is_live = |at: UnixMillis| at + millis(retention) > now;
        self.head.chunks.retain(|chunk| is_live(chunk.newest_at));
        self.head.tail.retain(|entry| is_live(entry.granted_at));
        self.chunked.retain(|_, entry| is_live(entry.granted_at));
        let count = self.head.tail.len().saturating_sub(tail_claims);
        // Half a tail is moved at once, so that a chunk is written only once in many commits.
        let count = if count > 0 { count + tail_claims / 2 } else { 0 };
        (count > 0).then(|| self.head.tail[..count].to_vec())
    }

    /// Replaces the oldest claims of the tail, as returned by [`LiveClaims::overflow`], by a
    /// reference to a chunk that is already written.
    pub(crate) fn move_to_chunk(&mut self, entries: &[ClaimEntry], hash: ContentHash) {
        let newest_at = entries.iter().map(|entry| entry.granted_at).max().unwrap_or(0);
        self.head.chunks.push(ChunkRef { hash, newest_at });
        for entry in self.head.tail.drain(..entries.len()) {
            self.chunked.insert(entry.key.clone(), entry);
        }
    }
}

fn millis(time: Duration) -> UnixMillis {
    time.as_millis() as UnixMillis
}
