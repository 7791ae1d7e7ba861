//! Bounds of a request, checked before anything else is done with it.

use sk_model::{
    ChangeRecord, ChangeRequest, ContentHash, SettingBody, SettingPath, UnixMillis, Version,
    check_path, hash_json, team_of,
};

use crate::MalformedChange;

/// Longest change id, in bytes. A UUID or a commit hash fits; it becomes part of a key.
pub const MAX_CHANGE_ID_BYTES: usize = 64;
/// Longest author and longest revision, in bytes. An address and a commit hash with a branch name
/// fit; every record in the head repeats both.
pub const MAX_LABEL_BYTES: usize = 200;
/// Most writes of one change. A whole team's declarations fit; larger ones come in two changes.
pub const MAX_WRITES: usize = 1000;
/// Largest record, in bytes of JSON. Eight of them, a chunk of history, stay below half of a
/// platform value, which is what the head can spare for records that no chunk holds yet.
pub const MAX_RECORD_BYTES: usize = 48 * 1024;

/// Checks what can be checked without the configuration.
///
/// # Errors
///
/// Returns the first fault found.
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

/// Tells whether an id may be part of a key.
pub(crate) fn check_change_id(change_id: &str) -> Result<(), MalformedChange> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    let begins = change_id.bytes().next().is_some_and(|byte| byte.is_ascii_alphanumeric());
    match begins && change_id.len() <= MAX_CHANGE_ID_BYTES && change_id.bytes().all(allowed) {
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
    body.map_or(Ok(()), SettingBody::check)
        .map_err(|err| MalformedChange::Body { path: path.clone(), reason: err.to_string() })
}

/// Gives the digest by which a repeated id is told from a reused one.
///
/// The base counts as content: a request rebuilt on a newer base is another decision of the
/// operator's, so it needs an id of its own once the first was accepted.
pub fn request_digest(request: &ChangeRequest) -> ContentHash {
    hash_json(request)
}

/// Gives the record that a request becomes at a version.
pub fn record_of(request: &ChangeRequest, version: Version, now: UnixMillis) -> ChangeRecord {
    let paths = |is_written: bool| {
        let picked = request.writes.iter().filter(move |(_, body)| body.is_some() == is_written);
        picked.map(|(path, _)| path.clone()).collect()
    };
    ChangeRecord {
        version,
        change_id: request.change_id.clone(),
        team: request.team.clone(),
        author: request.author.clone(),
        revision: request.revision.clone(),
        accepted_at: now,
        written: paths(true),
        withdrawn: paths(false),
    }
}

fn encoded_size(record: &ChangeRecord) -> usize {
    serde_json::to_vec(record).map_or(usize::MAX, |bytes| bytes.len())
}
