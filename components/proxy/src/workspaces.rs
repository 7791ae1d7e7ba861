//! Recognition of the workspace that a request belongs to, by the key that its caller sends.

use std::{
    collections::HashMap,
    fmt::{self, Debug, Formatter},
    sync::Arc,
    time::Duration,
};

use http::{HeaderMap, header};
use sha2::{Digest, Sha256};
use sk_model::{ConfigSnapshot, SettingBody, WorkspaceSetting};

/// Scheme of the `Authorization` header that carries a key (RFC 6750).
const BEARER_SCHEME: &str = "bearer";

/// SHA-256 of a key.
type KeyHash = [u8; 32];

/// Requests that a workspace may send, over all daemons together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkspaceAllowance {
    /// Requests a second.
    pub rate_per_s: f64,
    /// Requests at once beyond the rate.
    pub burst: f64,
}

/// A workspace of the configuration in force.
#[derive(Clone, Debug, PartialEq)]
pub struct TableWorkspace {
    /// Name under which backend servers know it.
    pub name: Arc<str>,
    /// Priority of its requests, which precedes the rank of the route.
    pub rank: u8,
    /// Requests that it may send, `None` for any number.
    pub allowance: Option<WorkspaceAllowance>,
}

/// The workspaces of a configuration.
///
/// Keys are found by their hash, so that the time of a look-up tells an attacker who guesses keys
/// nothing about those that exist.
#[derive(Clone, Default)]
pub struct WorkspaceTable {
    by_key: HashMap<KeyHash, Arc<TableWorkspace>>,
    all: Vec<Arc<TableWorkspace>>,
}

/// Why a request is of no workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KeyFault {
    /// There is no key, or more than one.
    Missing,
    /// No workspace of the configuration has the key.
    Unknown,
}

impl WorkspaceTable {
    /// Collects the workspaces of a configuration.
    pub(crate) fn build(snapshot: &ConfigSnapshot) -> Self {
        let mut table = Self::default();
        for (_, body) in snapshot.settings() {
            let SettingBody::Workspace(setting) = body else { continue };
            let workspace = Arc::new(TableWorkspace::new(setting));
            for hash in setting.key_sha256.iter().filter_map(|hash| parse_hash(hash)) {
                table.by_key.insert(hash, workspace.clone());
            }
            table.all.push(workspace);
        }
        table
    }

    /// Returns whether the configuration has workspaces, so that requests need keys.
    pub fn requires_keys(&self) -> bool {
        !self.all.is_empty()
    }

    /// Returns the workspaces.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<TableWorkspace>> {
        self.all.iter()
    }

    /// Returns the workspace whose key a request carries.
    ///
    /// # Errors
    ///
    /// Returns a [`KeyFault`] for a request without exactly one key, or with an unknown one.
    pub(crate) fn find(&self, headers: &HeaderMap) -> Result<&Arc<TableWorkspace>, KeyFault> {
        let key = read_key(headers).ok_or(KeyFault::Missing)?;
        let hash: KeyHash = Sha256::digest(key).into();
        self.by_key.get(&hash).ok_or(KeyFault::Unknown)
    }
}

impl Debug for WorkspaceTable {
    /// Writes the names only: not even hashes of keys belong into logs.
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.debug_list().entries(self.all.iter().map(|workspace| &workspace.name)).finish()
    }
}

impl TableWorkspace {
    fn new(setting: &WorkspaceSetting) -> Self {
        let rate = setting.rate_per_thousand_s.filter(|rate| *rate > 0);
        Self {
            name: Arc::from(setting.name.as_str()),
            rank: setting.rank,
            // The setting's bounds are far below the numbers that lose precision.
            allowance: rate.map(|rate| WorkspaceAllowance {
                rate_per_s: rate as f64 / 1000.0,
                burst: setting.burst as f64,
            }),
        }
    }

    /// Returns the rank among waiting requests of a request on a route with the rank `route`: that
    /// of the workspace decides first.
    pub(crate) fn request_rank(&self, route: u8) -> u8 {
        const RANKS: u8 = 16;
        self.rank.min(RANKS - 1) * RANKS + route.min(RANKS - 1)
    }
}

impl WorkspaceAllowance {
    /// Returns the time in which one request becomes available.
    pub fn interval(&self) -> Duration {
        Duration::from_secs_f64(1.0 / self.rate_per_s.max(f64::EPSILON)).min(Duration::MAX / 2)
    }
}

/// Returns the key in the `Authorization` header; `None` if there is none or more than one header.
fn read_key(headers: &HeaderMap) -> Option<&[u8]> {
    let mut values = headers.get_all(header::AUTHORIZATION).iter();
    let value = values.next().filter(|_| values.next().is_none())?.as_bytes();
    let (scheme, key) = value.split_at_checked(BEARER_SCHEME.len())?;
    let key = key.strip_prefix(b" ")?.trim_ascii();
    let is_bearer = scheme.eq_ignore_ascii_case(BEARER_SCHEME.as_bytes());
    (is_bearer && !key.is_empty()).then_some(key)
}

/// Reads a hash in hexadecimal; `None` if it is malformed.
fn parse_hash(text: &str) -> Option<KeyHash> {
    let mut hash = KeyHash::default();
    if text.len() != hash.len() * 2 {
        return None;
    }
    for (index, byte) in hash.iter_mut().enumerate() {
        *byte = u8::from_str_radix(text.get(index * 2..index * 2 + 2)?, 16).ok()?;
    }
    Some(hash)
}
