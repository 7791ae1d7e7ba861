//! A short summary of all records, by which two daemons find where their beliefs differ.

use sk_model::{ProxyId, content_hash};

use crate::MemberRecord;

/// Buckets of a digest. At 780 daemons one changed record costs the about 25 records of its
/// bucket, and an exchange between equals costs the 256 bytes of the digest.
pub const DIGEST_BUCKETS: usize = 32;

/// Hashes of the records by bucket, independent of the order in which the records came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberDigest {
    buckets: [u64; DIGEST_BUCKETS],
}

impl Default for MemberDigest {
    fn default() -> Self {
        Self { buckets: [0; DIGEST_BUCKETS] }
    }
}

impl MemberDigest {
    /// Reads a digest from a peer; buckets that the peer did not send count as empty.
    pub fn from_buckets(buckets: impl IntoIterator<Item = u64>) -> Self {
        let mut digest = Self::default();
        for (held, bucket) in digest.buckets.iter_mut().zip(buckets) {
            *held = bucket;
        }
        digest
    }

    /// Gives the buckets in order.
    pub fn buckets(&self) -> &[u64; DIGEST_BUCKETS] {
        &self.buckets
    }

    /// Lists the buckets whose records differ from a peer's.
    pub fn differing(&self, other: &Self) -> Vec<usize> {
        let is_different = |index: &usize| self.buckets[*index] != other.buckets[*index];
        (0..DIGEST_BUCKETS).filter(is_different).collect()
    }

    // A wrapping sum, unlike an exclusive or, is undone by `remove` alone: two equal hashes do
    // not cancel each other out.
    pub(crate) fn add(&mut self, record: &MemberRecord) {
        let bucket = &mut self.buckets[bucket_of(&record.proxy)];
        *bucket = bucket.wrapping_add(rank_hash(record));
    }

    pub(crate) fn remove(&mut self, record: &MemberRecord) {
        let bucket = &mut self.buckets[bucket_of(&record.proxy)];
        *bucket = bucket.wrapping_sub(rank_hash(record));
    }
}

/// Gives the bucket of a daemon, the same on every daemon.
pub fn bucket_of(proxy: &ProxyId) -> usize {
    (short_hash(proxy) % DIGEST_BUCKETS as u64) as usize
}

// Only the rank is hashed: records of one rank are copies of what the owner said, and daemons of
// two releases that encode a record differently still find that they agree.
fn rank_hash(record: &MemberRecord) -> u64 {
    let (incarnation, sequence, status) = record.rank();
    short_hash(&format!("{} {incarnation} {sequence} {status}", record.proxy))
}

pub(crate) fn short_hash(text: &str) -> u64 {
    // The first 16 digits of a hexadecimal SHA-256 always fit.
    u64::from_str_radix(&content_hash(text.as_bytes())[..16], 16).unwrap_or_default()
}
