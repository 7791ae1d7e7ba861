//! Workspaces: who may send requests, and how many.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{ContentHash, content_hash, is_content_hash};

/// Longest name of a workspace, in bytes. It is a header value at every backend server.
const MAX_NAME_BYTES: usize = 128;
/// Largest rate, in requests per 1000 seconds, and largest burst, in requests. Sums over thousands of
/// workspaces cannot overflow.
const MAX_ALLOWANCE: u64 = 1_000_000_000_000;

/// A workspace: callers that share keys, a priority and an allowance of requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceSetting {
    /// Name under which backend servers know the workspace, 1 to 128 visible ASCII characters.
    pub name: String,
    /// SHA-256 of each of its keys in lower-case hexadecimal; the keys themselves are not kept.
    /// Empty for a workspace whose keys were all taken away.
    #[serde(default)]
    pub key_sha256: Vec<ContentHash>,
    /// Priority of its requests, 0 is served first; it precedes the rank of the route. Default 0.
    #[serde(default)]
    pub rank: u8,
    /// Requests that it may send in 1000 seconds, over all daemons. Absent or 0 for any number.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate_per_thousand_s: Option<u64>,
    /// Requests that it may send at once beyond that rate.
    #[serde(default)]
    pub burst: u64,
}

impl WorkspaceSetting {
    /// Creates a workspace without keys and without a limit.
    pub fn new(name: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            key_sha256: Vec::new(),
            rank: 0,
            rate_per_thousand_s: None,
            burst: 0,
        }
    }

    /// Adds a key, of which only the hash is kept.
    pub fn add_key(&mut self, key: &str) {
        self.key_sha256.push(content_hash(key.as_bytes()));
    }

    /// Returns the first field out of bounds and the allowed values, `None` if all are within.
    pub(crate) fn find_fault(&self) -> Option<(&'static str, &'static str)> {
        let is_visible = |byte: u8| byte.is_ascii_graphic();
        let is_name = (1..=MAX_NAME_BYTES).contains(&self.name.len());
        match self {
            _ if !is_name || !self.name.bytes().all(is_visible) => {
                Some(("name", "1 to 128 visible ASCII characters"))
            }
            _ if !self.key_sha256.iter().all(|hash| is_content_hash(hash)) => {
                Some(("key_sha256", "64 hexadecimal digits in lower case for each key"))
            }
            _ if self.rate_per_thousand_s.is_some_and(|rate| rate > MAX_ALLOWANCE) => {
                Some(("rate_per_thousand_s", "0 to 1000000000000"))
            }
            _ if self.burst > MAX_ALLOWANCE => Some(("burst", "0 to 1000000000000")),
            _ => None,
        }
    }
}
