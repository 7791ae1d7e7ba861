//! Keys of the ledger's objects in the platform.

use sk_model::Version;
use sk_store::ObjectKey;

/// Names the ledger's objects below one prefix.
#[derive(Clone, Debug)]
pub(crate) struct KeySpace {
    prefix: String,
}

impl KeySpace {
    pub(crate) fn new(prefix: &str) -> Self {
        Self { prefix: prefix.to_owned() }
    }

    /// The commit point.
    pub(crate) fn head(&self) -> ObjectKey {
        format!("{}head", self.prefix)
    }

    /// A team's subtree by content.
    pub(crate) fn tree(&self, hash: &str) -> ObjectKey {
        format!("{}trees/{hash}", self.prefix)
    }

    /// The record of a change that has left the head's tail.
    pub(crate) fn change(&self, change_id: &str) -> ObjectKey {
        format!("{}changes/{change_id}", self.prefix)
    }

    /// A chunk of history. Twenty digits hold any version, so that keys sort as versions do.
    pub(crate) fn history(&self, first: Version) -> ObjectKey {
        format!("{}history/{first:020}", self.prefix)
    }
}
