//! Acknowledgements: what a proxy reports about the configuration that it applies.
//!
//! A report says that a version is in force only where the proxy itself acknowledged it, so that a
//! version which was merely sent never counts as applied.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{DataCentre, ProxyId, UnixMillis, Version};

/// A version that a proxy rejected as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct RejectedVersion {
    /// The rejected version.
    pub version: Version,
    /// Why it was rejected.
    pub reason: String,
}

/// A proxy's own acknowledgement of the version that it applies.
///
/// Nothing but this record makes a report show a version as "in force".
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ProxyAck {
    /// The proxy that acknowledges.
    pub proxy: ProxyId,
    /// Start of the proxy's process, in milliseconds since the Unix epoch.
    pub incarnation: UnixMillis,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The version in force on the proxy.
    pub version: Version,
    /// When that version came into force, on the proxy's clock.
    pub since: UnixMillis,
    /// The daemon that sent the version, or `platform`.
    pub source: ProxyId,
    /// The newest version that the proxy rejected, if it is newer than the one in force.
    pub rejected: Option<RejectedVersion>,
}
