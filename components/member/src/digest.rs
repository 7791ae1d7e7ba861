//! A short summary of all records, from which two daemons learn where their records differ.
//!
//! Gossip messages may be lost. Comparing digests finds the missing records without sending all of
//! them.

use crate::MemberRecord;

/// Number of buckets in a digest. At 780 daemons, one changed record costs sending the about 25
/// records of its bucket, and a comparison of equal digests costs the 256 bytes of the digest.
pub const DIGEST_BUCKETS: usize = 32;

/// Sums of the record hashes by bucket, independent of the order in which the records were added.
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
    /// Creates a digest from the buckets that a peer sent; buckets that the peer did not send
    /// count as empty.
    pub fn from_buckets(buckets: impl IntoIterator<Item = u64>) -> Self {
        let mut digest = Self::default();
        for (bucket_sum, bucket) in digest.buckets.iter_mut().zip(buckets) {
            *bucket_sum = bucket;
        }
        digest
    }

    /// Returns the buckets in order.
    pub fn buckets(&self) -> &[u64; DIGEST_BUCKETS] {
        &self.buckets
    }

    /// Returns the indices of the buckets that differ from those of a peer.
    pub fn differing_buckets(&self, other: &Self) -> Vec<usize> {
        let is_differing = |index: &usize| self.buckets[*index] != other.buckets[*index];
        (0..DIGEST_BUCKETS).filter(is_differing).collect()
    }

    // A wrapping sum is used rather than an exclusive or, under which two equal hashes would
    // cancel each other out.
    pub(crate) fn add(&mut self, record: &MemberRecord) {
        let bucket = &mut self.buckets[bucket_of(&record.proxy)];
        *bucket = bucket.wrapping_add(rank_hash(record));
    }

    pub(crate) fn remove(&mut self, record: &MemberRecord) {
        let bucket = &mut self.buckets[bucket_of(&record.proxy)];
        *bucket = bucket.wrapping_sub(rank_hash(record));
    }
}

/// Returns the bucket index of a daemon, which is the same on every daemon.
pub fn bucket_of(proxy: &str) -> usize {
    (name_hash(proxy) % DIGEST_BUCKETS as u64) as usize
}

// Hashes only the rank: records of one rank are copies of the same owner's record, and daemons of
// two releases that encode a record differently still find that they agree.
fn rank_hash(record: &MemberRecord) -> u64 {
    let (incarnation, sequence, status) = record.rank();
    let parts = [incarnation, sequence, u64::from(status)];
    parts.into_iter().fold(name_hash(&record.proxy), |hash, part| mix(hash ^ part))
}

/// Hashes a name to the same value on every daemon and in every release, which the hasher of the
/// standard library does not guarantee. Peers are authenticated, so nobody chooses names that
/// collide.
pub(crate) fn name_hash(name: &str) -> u64 {
    // FNV-1a.
    let mut hash = 0xcbf2_9ce4_8422_2325;
    for byte in name.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    mix(hash)
}

/// Combines the hash of a salt with the hash of a name.
pub(crate) fn pair_hash(salt: u64, name: u64) -> u64 {
    mix(name ^ mix(salt))
}

// The finalizer of SplitMix64: names that differ in one digit get unrelated hashes, which FNV-1a
// alone does not provide.
fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
