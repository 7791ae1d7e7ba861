//! All live claims of one partition, and what a batch of requests does to them. No I/O.

use std::{collections::HashMap, time::Duration};

use sk_model::{ContentHash, UnixMillis};

use crate::head::{AttemptId, ChunkRef, ClaimEntry, ClaimKey, ClaimState, PartitionHead};

/// What became of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// This attempt, and no other ever, may run the request.
    Granted,
    /// Another attempt ran it and was answered with this status.
    AlreadyRan(u16),
    /// Another attempt was granted; whether it ran is not known.
    AlreadyClaimed,
}

/// A wish concerning one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ClaimWish {
    /// To be granted.
    Claim { key: ClaimKey, attempt: AttemptId },
    /// To record that the granted attempt ran.
    Ran { key: ClaimKey, attempt: AttemptId, status: u16 },
    /// To give a grant back because the attempt did not run and never will.
    GiveBack { key: ClaimKey, attempt: AttemptId },
}

/// Claims by key. A claim in the tail hides one in a chunk; a given-back one hides it as absent.
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

    fn find(&self, key: &str, now: UnixMillis, retention: Duration) -> Option<&ClaimEntry> {
        let is_live = |entry: &&ClaimEntry| entry.granted_at + millis(retention) > now;
        let in_tail = self.head.tail.iter().rev().find(|entry| entry.key == key);
        in_tail.or_else(|| self.chunked.get(key)).filter(is_live)
    }

    /// Decides on one wish and changes the head by it. Idempotent: after a commit whose answer was
    /// lost, the same wish on the head that was read again gives the same verdict.
    pub(crate) fn decide(
        &mut self,
        wish: &ClaimWish,
        now: UnixMillis,
        retention: Duration,
    ) -> ClaimVerdict {
        match wish {
            ClaimWish::Claim { key, attempt } => self.claim(key, *attempt, now, retention),
            ClaimWish::Ran { key, attempt, status } => {
                self.settle(key, *attempt, Some(ClaimState::Ran(*status)), now, retention)
            }
            ClaimWish::GiveBack { key, attempt } => {
                self.settle(key, *attempt, None, now, retention)
            }
        }
    }

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
        // An expired or given-back entry must not hide the new one.
        self.forget(key);
        let state = ClaimState::Claimed;
        self.head.tail.push(ClaimEntry { key: key.clone(), attempt, state, granted_at: now });
        ClaimVerdict::Granted
    }

    /// Only the attempt that holds the grant can change what is known of it.
    fn settle(
        &mut self,
        key: &ClaimKey,
        attempt: AttemptId,
        state: Option<ClaimState>,
        now: UnixMillis,
        retention: Duration,
    ) -> ClaimVerdict {
        let held = self.find(key, now, retention).filter(|entry| entry.attempt == attempt);
        let Some(held) = held.cloned() else {
            return ClaimVerdict::AlreadyClaimed;
        };
        match state {
            Some(state) => {
                self.forget(key);
                self.head.tail.push(ClaimEntry { state, ..held });
            }
            // In a chunk the entry stays, and with it the grant: the caller's next attempt is then
            // told "unknown", which is true to the letter and never lets it run twice.
            None => self.head.tail.retain(|entry| entry.key != *key),
        }
        ClaimVerdict::Granted
    }

    fn forget(&mut self, key: &ClaimKey) {
        self.head.tail.retain(|entry| entry.key != *key);
    }

    /// Drops what is expired and gives the claims that must move to a chunk, if the tail is full.
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
        // Half a tail at once, so that a chunk is written once in many commits.
        let count = if count > 0 { count + tail_claims / 2 } else { 0 };
        (count > 0).then(|| self.head.tail[..count].to_vec())
    }

    /// Moves the oldest claims of the tail, as [`LiveClaims::overflow`] gave them, behind a chunk
    /// that is already written.
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
