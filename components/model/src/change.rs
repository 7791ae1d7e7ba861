//! Changes as operators submit them and as the ledger records them.

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{ChangeId, SettingBody, SettingPath, TeamName, UnixMillis, Version};

/// Writes of a change: a body to hold, or none to withdraw the setting.
pub type SettingWrites = BTreeMap<SettingPath, Option<SettingBody>>;

/// A change that an operator asks for. It is applied whole or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    /// Chosen by the operator; the same id never takes effect twice.
    pub change_id: ChangeId,
    /// The team whose subtree changes.
    pub team: TeamName,
    /// Who asks, as shown in reports.
    pub author: String,
    /// Revision of the declarations in version control.
    pub revision: String,
    /// Version of the team's subtree that the operator saw, zero for none.
    pub base: Version,
    /// What to write and what to withdraw.
    pub writes: SettingWrites,
}

/// A change that was accepted, as history keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ChangeRecord {
    /// The version the change became.
    pub version: Version,
    /// The operator's id for it.
    pub change_id: ChangeId,
    /// The team whose subtree changed.
    pub team: TeamName,
    /// Who asked for it.
    pub author: String,
    /// Revision of the declarations in version control.
    pub revision: String,
    /// When it was accepted, on the accepting daemon's clock.
    pub accepted_at: UnixMillis,
    /// Paths that were written.
    pub written: Vec<SettingPath>,
    /// Paths that were withdrawn.
    pub withdrawn: Vec<SettingPath>,
}

/// Gives the writes that lead from the accepted settings to the declared ones.
pub fn make_writes(
    accepted: &BTreeMap<SettingPath, SettingBody>,
    declared: &BTreeMap<SettingPath, SettingBody>,
) -> SettingWrites {
    let mut writes = SettingWrites::new();
    for (path, body) in declared {
        if accepted.get(path) != Some(body) {
            writes.insert(path.clone(), Some(body.clone()));
        }
    }
    for path in accepted.keys().filter(|path| !declared.contains_key(*path)) {
        writes.insert(path.clone(), None);
    }
    writes
}
