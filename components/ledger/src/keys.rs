//! Keys of the objects of the ledger in the platform.

use sk_model::Version;
use sk_store::ObjectKey;

/// Builds the keys of all objects below one prefix.
#[derive(Clone, Debug)]
pub(crate) struct KeySpace {
    prefix: String,
}

impl KeySpace {
    pub(crate) fn new(prefix: &str) -> Self {
        Self { prefix: prefix.to_owned() }
    }

    /// Returns the key of the head, which is the commit point.
    pub(crate) fn head(&self) -> ObjectKey {
        format!("{}head", self.prefix)
    }

    /// Returns the key of the subtree of a team, by the hash of its content.
    pub(crate) fn tree(&self, hash: &str) -> ObjectKey {
        format!("{}trees/{hash}", self.prefix)
    }

    /// Returns the key of the entry of a change that has left the tail of the head.
    pub(crate) fn change(&self, change_id: &str) -> ObjectKey {
        format!("{}changes/{change_id}", self.prefix)
    }

    /// Returns the key of a history chunk. 20 digits hold any version, so that keys sort in the
    /// order of versions.
    pub(crate) fn history(&self, first: Version) -> ObjectKey {
        format!("{}history/{first:020}", self.prefix)
    }
}
