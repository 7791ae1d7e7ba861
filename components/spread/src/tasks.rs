//! Work items and results that the tasks of the control thread pass to each other.

use std::sync::Arc;

use sk_model::{ConfigSnapshot, ProxyId, Version};

use crate::hash_prefix::RootHashPrefix;

/// How a daemon received a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VersionOrigin {
    /// It read the version at the configuration source that it watches.
    Source,
    /// The version was pushed along the tree of `root`.
    Pushed {
        /// The daemon at the root of the tree.
        root: ProxyId,
    },
    /// The version was announced along the tree of `root`, and fetched.
    Announced {
        /// The daemon at the root of the tree.
        root: ProxyId,
    },
    /// The version was found by reconciliation with a peer, or at the start.
    Found,
}

/// A version to forward, with the base of its change.
pub(crate) struct ForwardTask {
    /// The version that a receiver is expected to hold.
    pub(crate) base: Arc<ConfigSnapshot>,
    /// The version to forward.
    pub(crate) newest: Arc<ConfigSnapshot>,
    pub(crate) origin: VersionOrigin,
}

/// A version to fetch, and the peer that holds it.
pub(crate) struct FetchTask {
    pub(crate) version: Version,
    /// Hash prefix of the version's root.
    pub(crate) hash_prefix: RootHashPrefix,
    /// The peer that holds the version.
    pub(crate) from: ProxyId,
    pub(crate) origin: VersionOrigin,
}

/// Result of a batched read of the configuration source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConfirmOutcome {
    /// The newest accepted version is held.
    UpToDate,
    /// The newest accepted version fails validation here.
    Rejected,
    /// The source is unreachable.
    Unreachable,
}
