//! Paths of settings and the team that each belongs to. The first segment names the team, so that a
//! change of one team cannot touch the settings of another.

use thiserror::Error;

/// Path of one setting, such as `/ledvica/board/main`.
pub type SettingPath = String;
/// Name of a team: the first segment of a path.
pub type TeamName = String;

/// Longest accepted path, in bytes. The index of a whole subtree then fits in one platform value.
pub const MAX_PATH_BYTES: usize = 200;

/// Longest name of a team, in bytes. Two thirds of a path remain for the team's own segments.
pub const MAX_TEAM_BYTES: usize = 64;

/// Why a path or the name of a team is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PathError {
    /// The path does not begin with a slash.
    #[error("path `{0}` does not begin with `/`")]
    NotAbsolute(SettingPath),
    /// The path has no segment after the team.
    #[error("path `{0}` names no setting below its team")]
    TooShort(SettingPath),
    /// The path is longer than [`MAX_PATH_BYTES`], or its team longer than [`MAX_TEAM_BYTES`].
    #[error("{0} bytes are too long; allowed: {MAX_PATH_BYTES} a path, {MAX_TEAM_BYTES} a team")]
    TooLong(usize),
    /// A segment is empty or has a character outside `a-z 0-9 - _ .`.
    #[error("path `{path}` has the bad segment `{segment}`; allowed: a-z 0-9 - _ .")]
    InvalidSegment {
        /// The whole path.
        path: SettingPath,
        /// The invalid segment.
        segment: String,
    },
}

/// Checks that a path has the form `/team/segment…`.
///
/// # Errors
///
/// Returns a [`PathError`] for the first fault found.
pub fn check_path(path: &str) -> Result<(), PathError> {
    if path.len() > MAX_PATH_BYTES {
        return Err(PathError::TooLong(path.len()));
    }
    let Some(rest) = path.strip_prefix('/') else {
        return Err(PathError::NotAbsolute(path.to_owned()));
    };
    if let Some(segment) = rest.split('/').find(|segment| !is_segment(segment)) {
        return Err(PathError::InvalidSegment {
            path: path.to_owned(),
            segment: segment.to_owned(),
        });
    }
    if rest.split('/').count() < 2 {
        return Err(PathError::TooShort(path.to_owned()));
    }
    Ok(())
}

/// Checks the name of a team. It is one segment of a path and also becomes part of a platform key.
///
/// # Errors
///
/// Returns a [`PathError`] for a name that is too long or not a valid segment.
pub fn check_team(team: &str) -> Result<(), PathError> {
    match team {
        team if team.len() > MAX_TEAM_BYTES => Err(PathError::TooLong(team.len())),
        team if !is_segment(team) => {
            Err(PathError::InvalidSegment { path: team.to_owned(), segment: team.to_owned() })
        }
        _ => Ok(()),
    }
}

/// Returns the team that a path belongs to, or an empty name for a malformed path.
pub fn team_of(path: &str) -> &str {
    path.strip_prefix('/').and_then(|rest| rest.split('/').next()).unwrap_or("")
}

/// Returns whether a segment is not empty, neither `.` nor `..`, and has allowed characters only.
fn is_segment(segment: &str) -> bool {
    let allowed = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' | b'.');
    !segment.is_empty() && segment != "." && segment != ".." && segment.bytes().all(allowed)
}
