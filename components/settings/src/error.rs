//! Errors of reading settings.
//!
//! Each one names the file and, where possible, the line, the key and the allowed values.

use std::path::PathBuf;

use sk_model::TextPosition;
use thiserror::Error;

use crate::MAX_SETTINGS_BYTES;

/// Why settings cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{}: {source}", file.display())]
    Read {
        /// The file.
        file: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// The file is larger than [`MAX_SETTINGS_BYTES`].
    #[error("{}: larger than {MAX_SETTINGS_BYTES} bytes", file.display())]
    TooLarge {
        /// The file.
        file: PathBuf,
    },
    /// The text is not TOML, has an unknown key or a value of the wrong type.
    #[error("{}:{position}: {reason}", file.display())]
    Syntax {
        /// The file.
        file: PathBuf,
        /// Line and column of the error.
        position: TextPosition,
        /// The key and what is expected there.
        reason: String,
    },
    /// A value is outside its bounds.
    #[error("{}:{position}: `{key}` is {found}; allowed: {allowed}", file.display())]
    Bound {
        /// The file.
        file: PathBuf,
        /// Line and column of the key; the start of the file where a default is out of bounds.
        position: TextPosition,
        /// Dotted key.
        key: &'static str,
        /// The value found.
        found: String,
        /// The allowed values.
        allowed: &'static str,
    },
    /// Two listeners have the same address.
    #[error(
        "{}:{position}: `{first}` and `{second}` are both {address}; allowed: distinct addresses",
        file.display()
    )]
    Clash {
        /// The file.
        file: PathBuf,
        /// Line and column of the first of the two that the file sets.
        position: TextPosition,
        /// The first dotted key.
        first: &'static str,
        /// The second dotted key.
        second: &'static str,
        /// The address of both.
        address: String,
    },
}
