//! Commits of operations to the head of a partition.
//!
//! The head is replaced under a condition on its revision. A commit that lost against another
//! writer, or whose answer was lost, is repeated on the head that is read again, so that a grant
//! is never given to two attempts.

use std::time::Duration;

use serde::de::DeserializeOwned;
use sk_decide::backoff::{BackoffSettings, draw_around};
use sk_model::{ContentHash, UnixMillis, content_hash};
use sk_store::{ObjectKey, Revision, SharedStore, StoreError};

use crate::{
    error::ClaimError,
    head::{ClaimEntry, PartitionHead},
    partition::{ClaimOperation, ClaimVerdict, LiveClaims},
    settings::ClaimSettings,
};

/// Shortest pause between commits; shorter ones are below the resolution of the timers of the
/// runtime.
const MIN_COMMIT_PAUSE: Duration = Duration::from_millis(1);
/// Largest number of doublings of the delay after a lost try; a claim has to be answered within a
/// second or two.
const MAX_DOUBLINGS: u32 = 6;

/// A cached partition with the revision of the head it was read from.
#[derive(Default)]
pub(crate) struct PartitionWriter {
    cached: Option<(Option<Revision>, LiveClaims)>,
    /// Pause before the next commit; zero while the platform accepts every commit.
    commit_pause: Duration,
}

impl PartitionWriter {
    /// Commits operations together and returns a verdict for each.
    ///
    /// # Errors
    ///
    /// Returns a [`ClaimError`] if no try succeeded; no request may run then. A claim may still
    /// remain in the platform, which causes the answer "unknown" for its key, but never a second
    /// run.
    pub(crate) async fn commit(
        &mut self,
        store: &SharedStore,
        settings: &ClaimSettings,
        number: u32,
        operations: &[ClaimOperation],
        now: UnixMillis,
    ) -> Result<Vec<ClaimVerdict>, ClaimError> {
        let prefix = format!("{}claims/{number}", settings.key_prefix);
        let mut last_error = ClaimError::Unavailable { reason: "no try was made".to_owned() };
        for try_index in 0..settings.max_tries {
            if !self.commit_pause.is_zero() {
                tokio::time::sleep(jittered_pause(self.commit_pause)).await;
            }
            let outcome = self.try_commit(store, settings, &prefix, operations, now).await;
            match outcome {
                Ok(verdicts) => {
                    self.shrink_commit_pause();
                    return Ok(verdicts);
                }
                // The commit had no effect, and repeating it at once would use up the rate that
                // the other partitions need.
                Err(ClaimError::Throttled) => {
                    self.grow_commit_pause(settings.max_commit_pause);
                    last_error = ClaimError::Throttled;
                    continue;
                }
                // A commit whose answer was lost may have taken effect or may still do so. Reading
                // the head again and committing the same operations under its revision resolves
                // both cases: attempts in the head are granted, and of two writes under one
                // revision the platform accepts one.
                Err(err @ ClaimError::Unavailable { .. }) => {
                    self.cached = None;
                    last_error = err;
                }
                Err(err) => return Err(err),
            }
            tokio::time::sleep(lost_try_delay(settings, try_index)).await;
        }
        Err(last_error)
    }

    fn grow_commit_pause(&mut self, max_commit_pause: Duration) {
        self.commit_pause = (self.commit_pause * 2).clamp(max_commit_pause / 100, max_commit_pause);
    }

    fn shrink_commit_pause(&mut self) {
        self.commit_pause = self.commit_pause * 19 / 20;
        if self.commit_pause < MIN_COMMIT_PAUSE {
            self.commit_pause = Duration::ZERO;
        }
    }

    /// Tries once to apply the operations to the partition and to write the result.
    async fn try_commit(
        &mut self,
        store: &SharedStore,
        settings: &ClaimSettings,
        prefix: &str,
        operations: &[ClaimOperation],
        now: UnixMillis,
    ) -> Result<Vec<ClaimVerdict>, ClaimError> {
        let cached = self.cached.take();
        let is_cached = cached.is_some();
        let (revision, mut claims) = match cached {
            Some(cached) => cached,
            None => read_partition(store, prefix).await?,
        };
        let before = claims.head.clone();
        let apply = |operation| claims.apply(operation, now, settings.retention);
        let verdicts: Vec<ClaimVerdict> = operations.iter().map(apply).collect();
        // The cache may be outdated: another writer may have recorded meanwhile that the request
        // ran. Before a refusal, one read is worthwhile, so that the answer says as much as is
        // known.
        if is_cached && verdicts.iter().any(|verdict| *verdict != ClaimVerdict::Granted) {
            return Err(ClaimError::Unavailable {
                reason: "the cached partition may be outdated".to_owned(),
            });
        }
        // There is nothing to write, so every grant among the verdicts was committed before.
        if claims.head == before && revision.is_some() {
            self.cached = Some((revision, claims));
            return Ok(verdicts);
        }
        if let Some(entries) = claims.overflow(now, settings.retention, settings.tail_claims) {
            let hash = write_chunk(store, prefix, &entries).await?;
            claims.move_to_chunk(&entries, hash);
        }
        let value = encode(prefix, &claims.head)?;
        let written = match revision {
            Some(revision) => store.replace(prefix, revision, value).await?,
            None => store.create(prefix, value).await?,
        };
        for chunk in before.chunks.iter().filter(|chunk| !claims.head.chunks.contains(chunk)) {
            delete_chunk(store, &chunk_key(prefix, &chunk.hash)).await;
        }
        self.cached = Some((Some(written), claims));
        Ok(verdicts)
    }
}

/// Reads the head and the chunks of a partition, which are empty before the first commit.
async fn read_partition(
    store: &SharedStore,
    prefix: &str,
) -> Result<(Option<Revision>, LiveClaims), ClaimError> {
    let Some(object) = store.get(prefix).await? else {
        return Ok((None, LiveClaims::default()));
    };
    let head: PartitionHead = decode(prefix, &object.value)?;
    let mut chunks = Vec::with_capacity(head.chunks.len());
    for chunk in &head.chunks {
        let key = chunk_key(prefix, &chunk.hash);
        // A chunk is missing only if another writer has expired it meanwhile. The head has then
        // changed and the conditional write will fail, so that the missing claims cannot lead to a
        // grant.
        if let Some(object) = store.get(&key).await? {
            chunks.push(decode::<Vec<ClaimEntry>>(&key, &object.value)?);
        }
    }
    Ok((Some(object.revision), LiveClaims::new(head, chunks)))
}

/// Writes a chunk before the head that refers to it, and returns its hash. An existing chunk has
/// the same content: it was written before a commit that failed or whose answer was lost.
async fn write_chunk(
    store: &SharedStore,
    prefix: &str,
    entries: &[ClaimEntry],
) -> Result<ContentHash, ClaimError> {
    let value = encode(prefix, &entries)?;
    let hash = content_hash(value.as_bytes());
    match store.create(&chunk_key(prefix, &hash), value).await {
        Ok(_) | Err(StoreError::Conflict { .. }) => Ok(hash),
        Err(err) => Err(err.into()),
    }
}

/// Deletes a chunk that no head refers to any more.
async fn delete_chunk(store: &SharedStore, key: &str) {
    let deleted = match store.get(key).await {
        Ok(Some(object)) => store.delete(key, object.revision).await,
        Ok(None) => Ok(()),
        Err(err) => Err(err),
    };
    // A remaining chunk holds expired claims and a few kilobytes; nothing refers to it.
    if let Err(err) = deleted {
        log::info!("claim: chunk {key} is not deleted: {err}.");
    }
}

fn chunk_key(prefix: &str, hash: &str) -> ObjectKey {
    format!("{prefix}/{hash}")
}

fn encode<T: serde::Serialize>(key: &str, value: &T) -> Result<String, ClaimError> {
    serde_json::to_string(value)
        .map_err(|err| ClaimError::Corrupt { key: key.to_owned(), reason: err.to_string() })
}

fn decode<T: DeserializeOwned>(key: &str, value: &str) -> Result<T, ClaimError> {
    serde_json::from_str(value)
        .map_err(|err| ClaimError::Corrupt { key: key.to_owned(), reason: err.to_string() })
}

/// Returns a random pause of half to one and a half times the given one, so that partitions do not
/// write in step.
fn jittered_pause(commit_pause: Duration) -> Duration {
    draw_around(commit_pause, &mut rand::rng())
}

/// Returns a random delay after tries that lost against another writer: on average the setting,
/// doubled with each further try.
fn lost_try_delay(settings: &ClaimSettings, try_index: u32) -> Duration {
    let base = settings.retry_delay * 2;
    let cap = base * (1 << MAX_DOUBLINGS);
    BackoffSettings { base, cap }.delay(try_index, &mut rand::rng())
}

/// Returns the partition of a key, which is the same on every daemon.
pub(crate) fn partition_of(key: &str, partitions: u32) -> u32 {
    let digits = content_hash(key.as_bytes());
    let number = u32::from_str_radix(&digits[..8], 16).unwrap_or(0);
    number % partitions.max(1)
}
