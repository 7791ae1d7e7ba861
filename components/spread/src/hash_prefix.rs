//! Short prefix of a root hash, which heartbeats carry instead of the whole hash so that daemons
//! can compare their contents.

use sk_model::ContentHash;

/// First 8 bytes of a root's hash: enough to detect that two daemons hold different contents.
pub(crate) type RootHashPrefix = u64;

/// Returns the prefix of a root's hash. On the wire it is `rootHash` or `heldMark`.
pub(crate) fn root_hash_prefix(hash: &ContentHash) -> RootHashPrefix {
    // The first 16 digits of a hexadecimal SHA-256 always fit. A malformed hash yields 0, which
    // equals no other hash's prefix in practice.
    hash.get(..16).and_then(|digits| u64::from_str_radix(digits, 16).ok()).unwrap_or_default()
}
