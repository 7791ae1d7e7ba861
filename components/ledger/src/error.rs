//! Failures of the ledger.

use std::time::Duration;

use sk_model::{ChangeId, ChangeRecord, ConfigFault, PathError, SettingPath, TeamName, Version};
use sk_store::StoreError;
use thiserror::Error;

use crate::{MAX_CHANGE_ID_BYTES, MAX_LABEL_BYTES, MAX_RECORD_BYTES, MAX_WRITES};

/// Why a change was not accepted, or why that cannot be told.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SubmitError {
    /// The team's subtree changed after the request's base. Nothing was done.
    #[error("the subtree changed since: {} newer changes", conflicting.len())]
    Raced {
        /// Who changed what since, oldest first; the newest sixteen that the head still keeps,
        /// and never none.
        conflicting: Vec<ChangeRecord>,
    },
    /// The configuration would be at fault with this change. Nothing was done.
    #[error("the configuration would have {} faults", faults.len())]
    Invalid {
        /// All faults found.
        faults: Vec<ConfigFault>,
    },
    /// The request itself is not acceptable, whatever the configuration. Nothing was done.
    #[error(transparent)]
    Malformed(#[from] MalformedChange),
    /// The id belongs to an accepted change of other content. Nothing was done.
    #[error("change id {} is version {} with other content", record.change_id, record.version)]
    IdReused {
        /// The change that has the id.
        record: Box<ChangeRecord>,
    },
    /// The platform is away or too busy. Nothing was done, and nothing will be done later.
    #[error("not accepted; come back in {}ms", retry_after.as_millis())]
    NotAccepted {
        /// When to come back.
        retry_after: Duration,
    },
    /// The commit's answer was lost and the platform does not tell what became of it. The change
    /// may be in force or may yet come into force. Submitting the same request again settles it.
    #[error("outcome unknown; ask for change {change_id}")]
    Unknown {
        /// The id to ask for.
        change_id: ChangeId,
    },
    /// The subtree or the head would outgrow a platform value. Nothing was done.
    #[error("the change makes a value of {size} bytes; at most {limit}")]
    TooLarge {
        /// Size it would have, in bytes.
        size: usize,
        /// Largest size, in bytes.
        limit: usize,
    },
    /// What the platform holds is not what the ledger writes. Nothing was done.
    #[error(transparent)]
    Corrupt(#[from] CorruptData),
}

/// Why a request is not acceptable, whatever the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MalformedChange {
    /// A path has a bad shape.
    #[error(transparent)]
    Path(#[from] PathError),
    /// A path lies outside the team's subtree.
    #[error("path {path} is outside the subtree of team {team}")]
    ForeignPath {
        /// The path.
        path: SettingPath,
        /// The team of the request.
        team: TeamName,
    },
    /// A body has a field out of bounds.
    #[error("setting {path}: {reason}")]
    Body {
        /// Path of the setting.
        path: SettingPath,
        /// What is wrong, in the words of the declaration's own check.
        reason: String,
    },
    /// The change id is empty, too long or has a character outside `A-Z a-z 0-9 - _ .`.
    #[error(
        "bad change id; allowed: 1 to {MAX_CHANGE_ID_BYTES} of A-Z a-z 0-9 - _ . beginning with none of - _ ."
    )]
    ChangeId,
    /// The author or the revision is empty, too long or has control characters.
    #[error("bad {field}; allowed: 1 to {MAX_LABEL_BYTES} bytes without control characters")]
    Label {
        /// Name of the field.
        field: &'static str,
    },
    /// The request writes nothing.
    #[error("the change writes nothing")]
    Empty,
    /// The request has more writes than one change may have.
    #[error("the change has {0} writes; at most {MAX_WRITES}")]
    TooManyWrites(usize),
    /// The paths together make a record larger than history keeps.
    #[error("the change makes a record of {0} bytes; at most {MAX_RECORD_BYTES}")]
    RecordTooLarge(usize),
    /// The base is newer than any version accepted, so it was read from another ledger.
    #[error("base {base} is newer than the newest version {newest}")]
    BaseAhead {
        /// Base of the request.
        base: Version,
        /// Newest version accepted.
        newest: Version,
    },
    /// A withdrawn path holds no setting.
    #[error("path {path} holds no setting to withdraw")]
    NothingToWithdraw {
        /// The path.
        path: SettingPath,
    },
    /// The fleet has as many teams as the head holds.
    #[error("team {team} would be one too many")]
    TooManyTeams {
        /// The new team.
        team: TeamName,
    },
}

/// Data in the platform that the ledger did not write so, or that was lost there.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CorruptData {
    /// A value cannot be decoded.
    #[error("object {key} cannot be read: {reason}")]
    Undecodable {
        /// Key of the object.
        key: String,
        /// What the decoder saw.
        reason: String,
    },
    /// A subtree's content does not match its hash.
    #[error("object {key} does not match its hash")]
    HashMismatch {
        /// Key of the object.
        key: String,
    },
    /// An object that the head relies on is gone.
    #[error("object {key} is missing")]
    Missing {
        /// Key of the object.
        key: String,
    },
    /// The head's tail does not join its version and its history.
    #[error("the head at version {version} has a broken tail")]
    BrokenTail {
        /// Version of the head.
        version: Version,
    },
    /// The platform's head gives a version other content than is held here for it.
    #[error("the platform holds another version {version} than is held here")]
    Diverged {
        /// The version.
        version: Version,
    },
    /// The platform's head is older than one already held: it was reset or restored.
    #[error("the platform holds version {found}, older than version {held} held here")]
    Regressed {
        /// Version found in the platform.
        found: Version,
        /// Version held.
        held: Version,
    },
}

/// Why a read of the ledger gave no result.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LedgerError {
    /// The platform is away or too busy.
    #[error("the platform is away; come back in {}ms", retry_after.as_millis())]
    Unavailable {
        /// When to come back.
        retry_after: Duration,
    },
    /// What the platform holds is not what the ledger writes.
    #[error(transparent)]
    Corrupt(#[from] CorruptData),
}

/// Why a read gave nothing, before it is known whose answer it spoils.
#[derive(Debug)]
pub(crate) enum ReadError {
    /// The platform failed.
    Store(StoreError),
    /// The platform's data is not the ledger's.
    Corrupt(CorruptData),
}

impl From<CorruptData> for ReadError {
    fn from(fault: CorruptData) -> Self {
        Self::Corrupt(fault)
    }
}
