//! Errors of the ledger.

use std::time::Duration;

use sk_model::{ChangeId, ChangeRecord, ConfigFault, PathError, SettingPath, TeamName, Version};
use sk_store::StoreError;
use thiserror::Error;

use crate::{MAX_CHANGE_ID_BYTES, MAX_LABEL_BYTES, MAX_RECORD_BYTES, MAX_WRITES};

/// Reason why a change was not accepted, or why its outcome is unknown.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SubmitError {
    /// The subtree of the team changed after the base of the request. The change was not applied.
    #[error("the subtree has {} changes newer than the base", conflicting.len())]
    Conflict {
        /// Changes of the subtree since the base, oldest first: at least one, and at most the
        /// newest 16 that the head still holds.
        conflicting: Vec<ChangeRecord>,
    },
    /// The configuration would be invalid with this change. The change was not applied.
    #[error("the configuration would have {} faults", faults.len())]
    Invalid {
        /// All faults found.
        faults: Vec<ConfigFault>,
    },
    /// The request is invalid for any configuration. The change was not applied.
    #[error(transparent)]
    Malformed(#[from] MalformedChange),
    /// The id belongs to an accepted change with other content. The change was not applied.
    #[error(
        "change id {} already belongs to version {} with other content",
        record.change_id, record.version
    )]
    IdReused {
        /// The accepted change with this id.
        record: Box<ChangeRecord>,
    },
    /// The platform is unavailable or overloaded. The change was not applied and will not be
    /// applied later.
    #[error("change not accepted; retry in {}ms", retry_after.as_millis())]
    NotAccepted {
        /// Time after which to retry.
        retry_after: Duration,
    },
    /// The answer to the commit was lost, and the platform does not report its outcome. The change
    /// may be in force or may yet take effect. Submitting the same request again resolves this.
    #[error("outcome unknown; look up change {change_id}")]
    Unknown {
        /// Id of the change to look up.
        change_id: ChangeId,
    },
    /// The subtree or the head would exceed the size of a platform value. The change was not
    /// applied.
    #[error("the change needs a value of {size} bytes; at most {limit} are allowed")]
    TooLarge {
        /// Size of the value in bytes.
        size: usize,
        /// Largest size in bytes.
        limit: usize,
    },
    /// The platform holds data that the ledger did not write. The change was not applied.
    #[error(transparent)]
    Corrupt(#[from] CorruptData),
}

/// Reason why a request is invalid for any configuration.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MalformedChange {
    /// A path is malformed.
    #[error(transparent)]
    Path(#[from] PathError),
    /// A path lies outside the team's subtree.
    #[error("path {path} is outside the subtree of team {team}")]
    ForeignPath {
        /// Path of the setting.
        path: SettingPath,
        /// Team of the request.
        team: TeamName,
    },
    /// A field of a setting is out of bounds.
    #[error("setting {path}: {reason}")]
    Body {
        /// Path of the setting.
        path: SettingPath,
        /// Violation, as described by the check of the declaration.
        reason: String,
    },
    /// The change id is empty, too long or has a character outside `A-Z a-z 0-9 - _ .`.
    #[error(
        "invalid change id; allowed: 1 to {MAX_CHANGE_ID_BYTES} of A-Z a-z 0-9 - _ . starting with none of - _ ."
    )]
    ChangeId,
    /// The author or the revision is empty, too long or has control characters.
    #[error("invalid {field}; allowed: 1 to {MAX_LABEL_BYTES} bytes without control characters")]
    Label {
        /// Name of the field.
        field: &'static str,
    },
    /// The request has no writes.
    #[error("the change writes nothing")]
    Empty,
    /// The request has more writes than allowed in one change.
    #[error("the change has {0} writes; at most {MAX_WRITES} are allowed")]
    TooManyWrites(usize),
    /// The record of the change would be larger than history can hold.
    #[error("the record of the change has {0} bytes; at most {MAX_RECORD_BYTES} are allowed")]
    RecordTooLarge(usize),
    /// The base is newer than any accepted version, so it was read from another ledger.
    #[error("base {base} is newer than the newest version {newest}")]
    BaseAhead {
        /// Base of the request.
        base: Version,
        /// Newest accepted version.
        newest: Version,
    },
    /// A withdrawn path holds no setting.
    #[error("path {path} holds no setting to withdraw")]
    NothingToWithdraw {
        /// Path of the setting.
        path: SettingPath,
    },
    /// The fleet has as many teams as the head can hold.
    #[error("team {team} would exceed the largest number of teams")]
    TooManyTeams {
        /// Name of the new team.
        team: TeamName,
    },
}

/// Data in the platform that the ledger did not write, or that was lost.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CorruptData {
    /// A value cannot be decoded.
    #[error("object {key} cannot be decoded: {reason}")]
    Undecodable {
        /// Key of the object.
        key: String,
        /// Error of the decoder.
        reason: String,
    },
    /// The content of a subtree does not match its hash.
    #[error("object {key} does not match its hash")]
    HashMismatch {
        /// Key of the object.
        key: String,
    },
    /// An object that the head refers to is missing.
    #[error("object {key} is missing")]
    Missing {
        /// Key of the object.
        key: String,
    },
    /// The tail of the head does not connect history to the version of the head.
    #[error("the head at version {version} has a gap in its tail")]
    BrokenTail {
        /// Version of the head.
        version: Version,
    },
    /// The platform and this daemon have different content for one version.
    #[error("the platform has other content for version {version} than this daemon")]
    Diverged {
        /// The version.
        version: Version,
    },
    /// The head in the platform is older than one read before: the platform was reset or restored.
    #[error("the platform has version {found}, older than the known version {known}")]
    Regressed {
        /// Version in the platform.
        found: Version,
        /// Version known to this daemon.
        known: Version,
    },
}

/// Reason why the ledger could not be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LedgerError {
    /// The platform is unavailable or overloaded.
    #[error("the platform is unavailable; retry in {}ms", retry_after.as_millis())]
    Unavailable {
        /// Time after which to retry.
        retry_after: Duration,
    },
    /// The platform holds data that the ledger did not write.
    #[error(transparent)]
    Corrupt(#[from] CorruptData),
}

/// Reason why a read failed, before it is converted to the error of the caller.
#[derive(Debug)]
pub(crate) enum ReadError {
    /// The platform failed.
    Store(StoreError),
    /// The platform holds data that the ledger did not write.
    Corrupt(CorruptData),
}

impl From<CorruptData> for ReadError {
    fn from(fault: CorruptData) -> Self {
        Self::Corrupt(fault)
    }
}
