//! Switches for the platform's faults.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Faults in force. All are off by default.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFaults {
    /// Whether every call is answered with 503.
    pub is_down: bool,
    /// Milliseconds added to each call.
    pub delay_ms: u64,
    /// Writes still to come whose answer is dropped after they took effect.
    pub lose_write_answers: u32,
    /// Milliseconds that watch events come late.
    pub watch_delay_ms: u64,
}
