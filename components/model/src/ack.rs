//! What a proxy itself says about the configuration it holds.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{DataCentre, ProxyId, UnixMillis, Version};

/// A version that a proxy refused whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct RejectedVersion {
    /// The version.
    pub version: Version,
    /// Why it was refused.
    pub reason: String,
}

/// A proxy's own word on what it holds. Nothing else makes a report say "in force".
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ProxyAck {
    /// The proxy.
    pub proxy: ProxyId,
    /// Start of the proxy's process, in milliseconds since the epoch.
    pub incarnation: UnixMillis,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The version in force there.
    pub version: Version,
    /// Since when, on the proxy's clock.
    pub since: UnixMillis,
    /// The daemon the version came from, or `platform`.
    pub source: ProxyId,
    /// The newest version it refused, if that is newer than the one in force.
    pub rejected: Option<RejectedVersion>,
}
