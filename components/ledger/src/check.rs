//! Bounds of a request. They are checked first, so that a request out of bounds is rejected without
//! a call to the platform.

use sk_model::{
    ChangeRecord, ChangeRequest, ContentHash, SettingBody, SettingPath, UnixMillis, Version,
    check_path, hash_json, team_of,
};

use crate::MalformedChange;

/// Longest change id in bytes. A UUID or a commit hash fits; the id becomes part of a key.
pub const MAX_CHANGE_ID_BYTES: usize = 64;
/// Longest author and longest revision in bytes. An address, or a commit hash with a branch name,
/// fits; every record in the head contains both.
pub const MAX_LABEL_BYTES: usize = 200;
/// Largest number of writes in one change. All declarations of a team fit; larger changes have to
/// be split.
pub const MAX_WRITES: usize = 1000;
/// Largest record in bytes of JSON. 8 of them, one history chunk, stay below half of a platform
/// value, which is the space that the head has for records not yet in a chunk.
pub const MAX_RECORD_BYTES: usize = 48 * 1024;

/// Checks everything that does not depend on the configuration.
///
/// # Errors
///
/// Returns the first violation.
pub(crate) fn check_request(request: &ChangeRequest) -> Result<(), MalformedChange> {
    check_change_id(&request.change_id)?;
    check_label("author", &request.author)?;
    check_label("revision", &request.revision)?;
    match request.writes.len() {
        0 => return Err(MalformedChange::Empty),
        count if count > MAX_WRITES => return Err(MalformedChange::TooManyWrites(count)),
        _ => {}
    }
    request.writes.iter().try_for_each(|(path, body)| check_write(request, path, body.as_ref()))?;
    let record = record_of(request, Version::MAX, UnixMillis::MAX);
    match encoded_size(&record) {
        size if size > MAX_RECORD_BYTES => Err(MalformedChange::RecordTooLarge(size)),
        _ => Ok(()),
    }
}

/// Checks that an id may be part of a key.
///
/// # Errors
///
/// Returns [`MalformedChange::ChangeId`] otherwise.
pub(crate) fn check_change_id(change_id: &str) -> Result<(), MalformedChange> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    let has_valid_start = change_id.bytes().next().is_some_and(|byte| byte.is_ascii_alphanumeric());
    match has_valid_start
        && change_id.len() <= MAX_CHANGE_ID_BYTES
        && change_id.bytes().all(is_allowed)
    {
        true => Ok(()),
        false => Err(MalformedChange::ChangeId),
    }
}

fn check_label(field: &'static str, label: &str) -> Result<(), MalformedChange> {
    match label.is_empty() || label.len() > MAX_LABEL_BYTES || label.chars().any(char::is_control) {
        true => Err(MalformedChange::Label { field }),
        false => Ok(()),
    }
}

/// Checks that a path lies in the subtree of the request's team and that its body is within bounds.
fn check_write(
    request: &ChangeRequest,
    path: &SettingPath,
    body: Option<&SettingBody>,
) -> Result<(), MalformedChange> {
    check_path(path)?;
    if team_of(path) != request.team {
        let (path, team) = (path.clone(), request.team.clone());
        return Err(MalformedChange::ForeignPath { path, team });
    }
    body.map_or(Ok(()), SettingBody::check_bounds)
        .map_err(|err| MalformedChange::Body { path: path.clone(), reason: err.to_string() })
}

/// Returns the digest of a request, which distinguishes a repeated request from another one with
/// the same id.
///
/// The base is part of the digest: a request made for a newer base is another decision of the
/// operator and needs an id of its own once the first one was accepted.
pub fn request_digest(request: &ChangeRequest) -> ContentHash {
    hash_json(request)
}

/// Returns the record of a request that is accepted at the given version and time.
pub fn record_of(request: &ChangeRequest, version: Version, now: UnixMillis) -> ChangeRecord {
    let paths_of = |is_written: bool| {
        let selected_writes =
            request.writes.iter().filter(move |(_, body)| body.is_some() == is_written);
        selected_writes.map(|(path, _)| path.clone()).collect()
    };
    ChangeRecord {
        version,
        change_id: request.change_id.clone(),
        team: request.team.clone(),
        author: request.author.clone(),
        revision: request.revision.clone(),
        accepted_at: now,
        written: paths_of(true),
        withdrawn: paths_of(false),
    }
}

fn encoded_size(record: &ChangeRecord) -> usize {
    serde_json::to_vec(record).map_or(usize::MAX, |bytes| bytes.len())
}
