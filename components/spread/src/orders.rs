//! What the parts of the control thread ask of each other.

use std::sync::Arc;

use sk_model::{ConfigSnapshot, ProxyId, Version};

use crate::marks::RootMark;

/// How a daemon came by a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VersionOrigin {
    /// It watches the configuration source and saw it there.
    Source,
    /// It was pushed along the tree of `root`.
    Pushed {
        /// The daemon at which the tree begins.
        root: ProxyId,
    },
    /// It was announced along the tree of `root`, and fetched.
    Announced {
        /// The daemon at which the tree begins.
        root: ProxyId,
    },
    /// It was found by comparison with a peer, or at the start.
    Found,
}

/// A version that is to be passed on.
pub(crate) struct PassOrder {
    pub(crate) base: Arc<ConfigSnapshot>,
    pub(crate) newest: Arc<ConfigSnapshot>,
    pub(crate) origin: VersionOrigin,
}

/// A version to fetch, and from whom.
pub(crate) struct FetchWant {
    pub(crate) version: Version,
    pub(crate) mark: RootMark,
    pub(crate) from: ProxyId,
    pub(crate) origin: VersionOrigin,
}

/// What a look at the configuration source gave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConfirmOutcome {
    /// The newest accepted version is held.
    Held,
    /// The newest accepted version fails validation here.
    Refused,
    /// The source is away.
    Away,
}
