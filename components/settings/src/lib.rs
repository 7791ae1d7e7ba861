//! Checked settings of the daemon, read from TOML.
//!
//! Settings are read and checked whole before the daemon binds or connects anything, so that a
//! mistake stops it with the file, the key and what is allowed.

mod check;
mod daemon_settings;
mod error;

pub use daemon_settings::{
    DaemonSettings, GuardSettings, InstanceSettings, ListenSettings, MemberSettings,
    MetricSettings, OperatorSettings, PeerSettings, PlatformSettings, SpreadMode, SpreadSettings,
};
pub use error::SettingsError;

use std::path::Path;

/// Reads and checks the settings in a file.
///
/// # Errors
///
/// Returns a [`SettingsError`] that names the file, the key and what is allowed.
pub fn read_settings(file: &Path) -> Result<DaemonSettings, SettingsError> {
    let text = std::fs::read_to_string(file)
        .map_err(|source| SettingsError::Read { file: file.to_owned(), source })?;
    parse_settings(file, &text)
}

/// Parses and checks settings; `file` is named in errors only.
///
/// # Errors
///
/// Returns a [`SettingsError`] that names the file, the key and what is allowed.
pub fn parse_settings(file: &Path, text: &str) -> Result<DaemonSettings, SettingsError> {
    let settings: DaemonSettings = toml::from_str(text)
        .map_err(|err| SettingsError::Syntax { file: file.to_owned(), reason: err.to_string() })?;
    check::check_settings(file, &settings)?;
    Ok(settings)
}
