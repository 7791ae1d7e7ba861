//! Failures of reading settings.

use std::path::PathBuf;

use thiserror::Error;

/// Why settings cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{}: {source}", file.display())]
    Read {
        /// The file.
        file: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The text is not TOML, has an unknown key or a value of the wrong type.
    #[error("{}: {reason}", file.display())]
    Syntax {
        /// The file.
        file: PathBuf,
        /// Line, key and what is expected there.
        reason: String,
    },
    /// A value is outside its bounds.
    #[error("{}: `{key}` is {found}; allowed: {allowed}", file.display())]
    Bound {
        /// The file.
        file: PathBuf,
        /// Dotted key.
        key: &'static str,
        /// What was found.
        found: String,
        /// What is allowed.
        allowed: &'static str,
    },
    /// Two keys name the same address.
    #[error("{}: `{first}` and `{second}` are both {address}; allowed: distinct addresses", file.display())]
    Clash {
        /// The file.
        file: PathBuf,
        /// The first dotted key.
        first: &'static str,
        /// The second dotted key.
        second: &'static str,
        /// The address.
        address: String,
    },
}
