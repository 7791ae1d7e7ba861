//! Checks of operators' tokens, of which only hashes are stored.

use sk_model::content_hash;
use subtle::ConstantTimeEq;

/// Returns the SHA-256 of a token in lower-case hexadecimal. Only hashes are stored.
pub fn hash_token(token: &str) -> String {
    content_hash(token.as_bytes())
}

/// Returns whether a token has the stored hash, compared in constant time. An empty hash matches no
/// token.
pub fn is_token(token: &str, hash: &str) -> bool {
    let is_equal: bool = hash_token(token).as_bytes().ct_eq(hash.as_bytes()).into();
    !hash.is_empty() && is_equal
}
