//! Paths of settings and the team each belongs to.

use thiserror::Error;

/// Path of one setting, such as `/ledvica/board/main`.
pub type SettingPath = String;
/// Name of a team: the first segment of a path.
pub type TeamName = String;

/// Longest path accepted, in bytes. Keeps a whole subtree's index well under a platform value.
pub const MAX_PATH_BYTES: usize = 200;

/// Longest name of a team, in bytes. Leaves two thirds of a path to the team's own segments.
pub const MAX_TEAM_BYTES: usize = 64;

/// A path that is not acceptable.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PathError {
    /// The path does not begin with a slash.
    #[error("path `{0}` does not begin with `/`")]
    NotAbsolute(SettingPath),
    /// The path has no segment below the team.
    #[error("path `{0}` names no setting below its team")]
    TooShort(SettingPath),
    /// The path is longer than [`MAX_PATH_BYTES`], or its team longer than [`MAX_TEAM_BYTES`].
    #[error("{0} bytes are too long; allowed: {MAX_PATH_BYTES} a path, {MAX_TEAM_BYTES} a team")]
    TooLong(usize),
    /// A segment is empty or has a character outside `a-z 0-9 - _ .`.
    #[error("path `{path}` has the bad segment `{segment}`; allowed: a-z 0-9 - _ .")]
    BadSegment {
        /// The whole path.
        path: SettingPath,
        /// The segment at fault.
        segment: String,
    },
}

/// Checks the shape of a path: `/team/segment…`.
///
/// # Errors
///
/// Returns a [`PathError`] that names the first fault found.
pub fn check_path(path: &str) -> Result<(), PathError> {
    if path.len() > MAX_PATH_BYTES {
        return Err(PathError::TooLong(path.len()));
    }
    let Some(rest) = path.strip_prefix('/') else {
        return Err(PathError::NotAbsolute(path.to_owned()));
    };
    if let Some(segment) = rest.split('/').find(|segment| !is_segment(segment)) {
        return Err(PathError::BadSegment { path: path.to_owned(), segment: segment.to_owned() });
    }
    if rest.split('/').count() < 2 {
        return Err(PathError::TooShort(path.to_owned()));
    }
    Ok(())
}

/// Checks the name of a team: one segment of a path, which also becomes part of a platform key.
///
/// # Errors
///
/// Returns a [`PathError`] that names the fault.
pub fn check_team(team: &str) -> Result<(), PathError> {
    match team {
        team if team.len() > MAX_TEAM_BYTES => Err(PathError::TooLong(team.len())),
        team if !is_segment(team) => {
            Err(PathError::BadSegment { path: team.to_owned(), segment: team.to_owned() })
        }
        _ => Ok(()),
    }
}

/// Gives the team a path belongs to, or an empty name for a malformed path.
pub fn team_of(path: &str) -> &str {
    path.strip_prefix('/').and_then(|rest| rest.split('/').next()).unwrap_or("")
}

fn is_segment(segment: &str) -> bool {
    let allowed = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' | b'.');
    !segment.is_empty() && segment != "." && segment != ".." && segment.bytes().all(allowed)
}
