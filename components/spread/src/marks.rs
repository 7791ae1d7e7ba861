//! Marks by which daemons compare what they hold.

use sk_model::ContentHash;

/// First bytes of a root's hash: enough to notice that two daemons hold different contents.
pub(crate) type RootMark = u64;

/// Gives the mark of a root's hash.
pub(crate) fn root_mark(hash: &ContentHash) -> RootMark {
    // The first 16 digits of a hexadecimal SHA-256 always fit; a malformed hash matches nothing
    // that it could be mistaken for.
    hash.get(..16).and_then(|digits| u64::from_str_radix(digits, 16).ok()).unwrap_or_default()
}
