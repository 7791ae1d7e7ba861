//! Faults that the platform's stand-in can be set to.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Faults of the platform's stand-in. All are off by default.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFaults {
    /// Whether every call is answered with 503.
    pub is_down: bool,
    /// Milliseconds by which each call is delayed.
    pub delay_ms: u64,
    /// Number of next writes that take effect but are answered with an error.
    pub lose_write_answers: u32,
    /// Milliseconds by which the answers of watches are delayed.
    pub watch_delay_ms: u64,
}
