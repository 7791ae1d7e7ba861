//! Changes as operators submit them and as the ledger records them.

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{ChangeId, SettingBody, SettingPath, TeamName, UnixMillis, Version};

/// Writes of a change by path: the new body, or `None` to withdraw the setting.
pub type SettingWrites = BTreeMap<SettingPath, Option<SettingBody>>;

/// A change that an operator submits. It is applied as a whole or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    /// Identifier chosen by the operator; the same identifier never takes effect twice.
    pub change_id: ChangeId,
    /// The team whose subtree changes.
    pub team: TeamName,
    /// Author of the change, as shown in reports.
    pub author: String,
    /// Revision of the declarations in version control.
    pub revision: String,
    /// Version of the team's subtree that the operator last read, 0 for none.
    pub base: Version,
    /// Settings to write and to withdraw.
    pub writes: SettingWrites,
}

/// An accepted change, as the history keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ChangeRecord {
    /// The version that the change created.
    pub version: Version,
    /// The identifier that the operator chose.
    pub change_id: ChangeId,
    /// The team whose subtree changed.
    pub team: TeamName,
    /// Author of the change.
    pub author: String,
    /// Revision of the declarations in version control.
    pub revision: String,
    /// When the change was accepted, on the accepting daemon's clock.
    pub accepted_at: UnixMillis,
    /// Paths of the written settings.
    pub written: Vec<SettingPath>,
    /// Paths of the withdrawn settings.
    pub withdrawn: Vec<SettingPath>,
}

/// Returns the writes that turn the accepted settings into the declared ones.
///
/// Settings that are equal on both sides are not written.
pub fn diff_settings(
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
