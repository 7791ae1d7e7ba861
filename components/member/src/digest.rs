//! A short summary of all records, by which two daemons find where their beliefs differ.

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
pub fn bucket_of(proxy: &str) -> usize {
    (name_hash(proxy) % DIGEST_BUCKETS as u64) as usize
}

// Only the rank is hashed: records of one rank are copies of what the owner said, and daemons of
// two releases that encode a record differently still find that they agree.
fn rank_hash(record: &MemberRecord) -> u64 {
    let (incarnation, sequence, status) = record.rank();
    let parts = [incarnation, sequence, u64::from(status)];
    parts.into_iter().fold(name_hash(&record.proxy), |hash, part| mix(hash ^ part))
}

/// Hashes a name alike on every daemon and in every release, which the standard library's hasher
/// does not promise. Peers are authenticated, so nobody chooses names to collide.
pub(crate) fn name_hash(name: &str) -> u64 {
    // FNV-1a.
    let mut hash = 0xcbf2_9ce4_8422_2325;
    for byte in name.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    mix(hash)
}

/// Hashes the pair of a purpose and a name, given the hashes of both.
pub(crate) fn pair_hash(purpose: u64, name: u64) -> u64 {
    mix(name ^ mix(purpose))
}

// The finishing step of SplitMix64: names that differ in a digit get unrelated hashes, which
// FNV-1a alone does not give.
fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
