//! Tokens of operators.

use sk_model::content_hash;
use subtle::ConstantTimeEq;

/// Hashes a token; only hashes are kept anywhere.
pub fn hash_token(token: &str) -> String {
    content_hash(token.as_bytes())
}

/// Compares a token with a kept hash, in constant time. An empty hash refuses every token.
pub fn is_token(token: &str, hash: &str) -> bool {
    let is_equal: bool = hash_token(token).as_bytes().ct_eq(hash.as_bytes()).into();
    !hash.is_empty() && is_equal
}
