//! Content hashes, over the canonical JSON encoding.

use serde::Serialize;
use sha2::{Digest, Sha256};

use crate::ContentHash;

/// Hashes bytes with SHA-256 and gives the digest in hexadecimal.
pub fn content_hash(bytes: &[u8]) -> ContentHash {
    use std::fmt::Write;
    let digest = Sha256::digest(bytes);
    digest.iter().fold(String::with_capacity(64), |mut hash, byte| {
        // Writing to a string cannot fail.
        let _ = write!(hash, "{byte:02x}");
        hash
    })
}

/// Tells whether a text is a digest as written here. One in upper case would never be equal to it.
pub fn is_hash(hash: &str) -> bool {
    hash.len() == 64 && hash.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'))
}

/// Hashes the JSON encoding of a value whose maps are all ordered.
///
/// # Panics
///
/// Panics if the value cannot be encoded as JSON, which no type of this crate can cause.
pub fn hash_json<T: Serialize>(value: &T) -> ContentHash {
    content_hash(&serde_json::to_vec(value).expect("model types encode as JSON"))
}
