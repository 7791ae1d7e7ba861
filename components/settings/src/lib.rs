//! Checked settings of the daemon, read from TOML.
//!
//! The whole file is read and checked before the daemon binds or connects anything, so that a
//! mistake stops it with an error that names the file, the key and the allowed values.

mod check;
mod daemon_settings;
mod error;
mod experiment;
mod loopback;

pub use daemon_settings::{
    DaemonSettings, ExposureSettings, GuardSettings, InstanceSettings, ListenSettings, LogSettings,
    MemberSettings, MetricSettings, OperatorSettings, PeerSettings, PlacingOrder, PlacingSettings,
    PlatformKind, PlatformSettings, ReportSettings, SpreadMode, SpreadSettings,
};
pub use error::SettingsError;
pub use experiment::{ExperimentSettings, Mechanism};
pub use loopback::{LoopbackSettings, render_loopback_settings};

use std::{fs::File, io::Read, path::Path};

use sk_model::TextPosition;

/// Largest settings file, in bytes. The thousand seeds of a large fleet fit, and a wrong file that
/// is named by mistake does not fill the memory.
pub const MAX_SETTINGS_BYTES: u64 = 64 * 1024;

/// Reads and checks the settings in a file.
///
/// # Errors
///
/// Returns a [`SettingsError`] that names the file, the key and the allowed values.
pub fn read_settings(file: &Path) -> Result<DaemonSettings, SettingsError> {
    let mut text = String::new();
    let opened = File::open(file);
    let read =
        opened.and_then(|opened| opened.take(MAX_SETTINGS_BYTES + 1).read_to_string(&mut text));
    match read {
        Ok(size) if size as u64 > MAX_SETTINGS_BYTES => {
            Err(SettingsError::TooLarge { file: file.to_owned() })
        }
        Ok(_) => parse_settings(file, &text),
        Err(source) => Err(SettingsError::Read { file: file.to_owned(), source }),
    }
}

/// Parses and checks settings; `file` is used in errors only.
///
/// # Errors
///
/// Returns a [`SettingsError`] that names the file, the key and the allowed values.
pub fn parse_settings(file: &Path, text: &str) -> Result<DaemonSettings, SettingsError> {
    let settings: DaemonSettings = toml::from_str(text).map_err(|err| SettingsError::Syntax {
        file: file.to_owned(),
        position: TextPosition::of_error(text, &err),
        reason: redact_secret(TextPosition::describe_error(text, &err)),
    })?;
    check::check_settings(file, text, &settings)?;
    Ok(settings)
}

/// Removes the value that the TOML parser quotes where the secret has the wrong type: the error is
/// logged, and more people read logs than settings.
fn redact_secret(reason: String) -> String {
    match reason.starts_with("`secret`") {
        true => "`secret`: invalid type, expected a string".to_owned(),
        false => reason,
    }
}
