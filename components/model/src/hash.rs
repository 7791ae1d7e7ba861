//! Content hashes over the canonical JSON encoding.
//!
//! Two daemons that hold the same settings compute the same hash, so a subtree that was damaged or
//! mixed up on the network is detected before it is used.

use serde::Serialize;
use sha2::{Digest, Sha256};

use crate::ContentHash;

/// Hashes bytes with SHA-256 and returns the digest in lower-case hexadecimal.
pub fn content_hash(bytes: &[u8]) -> ContentHash {
    use std::fmt::Write;
    let digest = Sha256::digest(bytes);
    digest.iter().fold(String::with_capacity(64), |mut hash, byte| {
        // Writing to a string cannot fail.
        let _ = write!(hash, "{byte:02x}");
        hash
    })
}

/// Returns whether a text is a digest as [`content_hash`] writes it: 64 hexadecimal digits in lower
/// case. A digest in upper case would never compare equal.
pub fn is_content_hash(hash: &str) -> bool {
    hash.len() == 64 && hash.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'))
}

/// Hashes the JSON encoding of a value. All maps in it must be ordered, or the hash would vary.
///
/// # Panics
///
/// Panics if the value cannot be encoded as JSON, which does not happen with types of this crate.
pub fn hash_json<T: Serialize>(value: &T) -> ContentHash {
    content_hash(&serde_json::to_vec(value).expect("model types encode as JSON"))
}
