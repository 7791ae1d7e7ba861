//! Committing a batch of wishes to a partition's head.

use std::time::Duration;

use serde::de::DeserializeOwned;
use sk_decide::backoff::{BackoffSettings, draw_around};
use sk_model::{ContentHash, UnixMillis, content_hash};
use sk_store::{ObjectKey, Revision, SharedStore, StoreError};

use crate::{
    error::ClaimError,
    head::{ClaimEntry, PartitionHead},
    partition::{ClaimVerdict, ClaimWish, LiveClaims},
    settings::ClaimSettings,
};

/// A shorter pause than this is below what the runtime's timers keep.
const MIN_LINGER: Duration = Duration::from_millis(1);
/// Doublings of the pause after a lost try; a claim has to be answered within a second or two.
const MAX_DOUBLINGS: u32 = 6;

/// A partition as one writer knows it, with the revision of the head it was read from.
#[derive(Default)]
pub(crate) struct PartitionWriter {
    known: Option<(Option<Revision>, LiveClaims)>,
    /// Pause before the next commit, zero while the platform carries every one.
    linger: Duration,
}

impl PartitionWriter {
    /// Commits wishes together and gives a verdict for each.
    ///
    /// # Errors
    ///
    /// Returns a [`ClaimError`] when no try came through; nothing may run then. A claim may still
    /// stand in the platform, which costs its key an "unknown" and never a second run.
    pub(crate) async fn commit(
        &mut self,
        store: &SharedStore,
        settings: &ClaimSettings,
        number: u32,
        wishes: &[ClaimWish],
        now: UnixMillis,
    ) -> Result<Vec<ClaimVerdict>, ClaimError> {
        let prefix = format!("{}claims/{number}", settings.key_prefix);
        let mut last = ClaimError::Unavailable { reason: "no try".to_owned() };
        for attempt in 0..settings.tries {
            if !self.linger.is_zero() {
                tokio::time::sleep(linger_pause(self.linger)).await;
            }
            let tried = self.try_commit(store, settings, &prefix, wishes, now).await;
            match tried {
                Ok(verdicts) => {
                    self.shrink_linger();
                    return Ok(verdicts);
                }
                // Nothing was done, and asking again at once would take from the rate that the
                // other partitions need.
                Err(ClaimError::Throttled) => {
                    self.grow_linger(settings.max_linger);
                    last = ClaimError::Throttled;
                    continue;
                }
                // A commit whose answer was lost may have landed or may yet land. Reading the head
                // again and committing the same wishes under its revision settles it either way:
                // attempts that are in the head are granted, and of the two writes at one revision
                // the platform takes one.
                Err(err @ ClaimError::Unavailable { .. }) => {
                    self.known = None;
                    last = err;
                }
                Err(err) => return Err(err),
            }
            tokio::time::sleep(lost_pause(settings, attempt)).await;
        }
        Err(last)
    }

    fn grow_linger(&mut self, max_linger: Duration) {
        self.linger = (self.linger * 2).clamp(max_linger / 100, max_linger);
    }

    fn shrink_linger(&mut self) {
        self.linger = self.linger * 19 / 20;
        if self.linger < MIN_LINGER {
            self.linger = Duration::ZERO;
        }
    }

    async fn try_commit(
        &mut self,
        store: &SharedStore,
        settings: &ClaimSettings,
        prefix: &str,
        wishes: &[ClaimWish],
        now: UnixMillis,
    ) -> Result<Vec<ClaimVerdict>, ClaimError> {
        let known = self.known.take();
        let is_cached = known.is_some();
        let (revision, mut after) = match known {
            Some(known) => known,
            None => read_partition(store, prefix).await?,
        };
        let before = after.head.clone();
        let decide = |wish| after.decide(wish, now, settings.retention);
        let verdicts: Vec<ClaimVerdict> = wishes.iter().map(decide).collect();
        // What this writer remembers may be behind: another one may have learnt meanwhile that the
        // request ran. A refusal is worth one read, so that it says as much as is known.
        if is_cached && verdicts.iter().any(|verdict| *verdict != ClaimVerdict::Granted) {
            return Err(ClaimError::Unavailable { reason: "knowledge is old".to_owned() });
        }
        // Nothing new to write, so every grant among the verdicts was committed before.
        if after.head == before && revision.is_some() {
            self.known = Some((revision, after));
            return Ok(verdicts);
        }
        if let Some(entries) = after.overflow(now, settings.retention, settings.tail_claims) {
            let hash = write_chunk(store, prefix, &entries).await?;
            after.move_to_chunk(&entries, hash);
        }
        let value = encode(prefix, &after.head)?;
        let written = match revision {
            Some(revision) => store.replace(prefix, revision, value).await?,
            None => store.create(prefix, value).await?,
        };
        for chunk in before.chunks.iter().filter(|chunk| !after.head.chunks.contains(chunk)) {
            delete_chunk(store, &chunk_key(prefix, &chunk.hash)).await;
        }
        self.known = Some((Some(written), after));
        Ok(verdicts)
    }
}

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
        // Absent only if another writer has expired it meanwhile: then the head moved on and the
        // conditional write will fail, so that what is missing here cannot grant anything.
        if let Some(object) = store.get(&key).await? {
            chunks.push(decode::<Vec<ClaimEntry>>(&key, &object.value)?);
        }
    }
    Ok((Some(object.revision), LiveClaims::new(head, chunks)))
}

/// Writes a chunk before the head that names it and gives its hash. A chunk that is there already
/// has this very content: it was written before a commit that failed or whose answer was lost.
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

async fn delete_chunk(store: &SharedStore, key: &str) {
    let deleted = match store.get(key).await {
        Ok(Some(object)) => store.delete(key, object.revision).await,
        Ok(None) => Ok(()),
        Err(err) => Err(err),
    };
    // A chunk left over holds expired claims and a few kilobytes; nothing refers to it.
    if let Err(err) = deleted {
        log::info!("claim: chunk {key} is left over: {err}.");
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

/// Spreads the pause over half to one and a half of it, so that partitions do not write in step.
fn linger_pause(linger: Duration) -> Duration {
    draw_around(linger, &mut rand::rng())
}

/// Gives how long to stay away after tries that lost against another writer: on average the
/// setting, doubled from try to try.
fn lost_pause(settings: &ClaimSettings, attempt: u32) -> Duration {
    let base = settings.backoff * 2;
    let cap = base * (1 << MAX_DOUBLINGS);
    BackoffSettings { base, cap }.delay(attempt, &mut rand::rng())
}

/// Gives the partition of a key; every daemon gives the same.
pub(crate) fn partition_of(key: &str, partitions: u32) -> u32 {
    let digits = content_hash(key.as_bytes());
    let number = u32::from_str_radix(&digits[..8], 16).unwrap_or(0);
    number % partitions.max(1)
}
