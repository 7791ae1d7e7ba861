//! The kinds of settings and their TOML form.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ServiceName;

/// Largest declaration accepted, in bytes. A team of a thousand still fits one platform value.
const MAX_DECLARATION_BYTES: usize = 64 * 1024;
/// Longest deadline a route may set. Longer work belongs in a job queue, not in a call.
const MAX_DEADLINE_MS: u64 = 120_000;

/// How long work of a route usually takes, which decides the share it may use of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum WorkClass {
    /// Interactive work of a few milliseconds.
    #[default]
    Short,
    /// Documents and other work that holds a slot for long.
    Long,
}

/// A service that backend servers can announce themselves for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ServiceSetting {
    /// What the service is for, shown in reports.
    #[serde(default)]
    pub description: String,
}

/// A route from requests to a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RouteSetting {
    /// Host header the route is for. Absent for any host.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<String>,
    /// Prefix of the request path, matched at segment borders; the longest match wins.
    pub prefix: String,
    /// Path of the service setting, of this team or another.
    pub service: ServiceName,
    /// Whether a request may run twice without harm, beyond the methods that always may.
    #[serde(default)]
    pub repeatable: bool,
    /// Share of a server the work belongs to.
    #[serde(default)]
    pub class: WorkClass,
    /// Deadline in milliseconds for requests that bring none of their own.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
}

fn default_deadline_ms() -> u64 {
    10_000
}

/// A value that the mesh carries for a team without reading it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ValueSetting {
    /// The value as text.
    pub text: String,
}

/// One setting, by kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum SettingBody {
    /// Declares a service.
    Service(ServiceSetting),
    /// Declares a route.
    Route(RouteSetting),
    /// Holds an opaque value.
    Value(ValueSetting),
}

/// A declaration that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DeclarationError {
    /// The file is larger than a declaration may be.
    #[error("declaration of {0} bytes is larger than {MAX_DECLARATION_BYTES}")]
    TooLarge(usize),
    /// The text is not TOML of a known kind.
    #[error("{0}")]
    Syntax(String),
    /// A field has a value outside its bounds.
    #[error("`{field}` is {found}; allowed: {allowed}")]
    Bound {
        /// Name of the field.
        field: &'static str,
        /// What was found.
        found: String,
        /// What is allowed.
        allowed: &'static str,
    },
}

/// Reads one declaration from its TOML text.
///
/// # Errors
///
/// Returns a [`DeclarationError`] for text that is too large, not TOML, of an unknown kind, with
/// an unknown key, or with a field out of bounds.
pub fn parse_declaration(text: &str) -> Result<SettingBody, DeclarationError> {
    if text.len() > MAX_DECLARATION_BYTES {
        return Err(DeclarationError::TooLarge(text.len()));
    }
    let body: SettingBody =
        toml::from_str(text).map_err(|err| DeclarationError::Syntax(err.to_string()))?;
    body.check()?;
    Ok(body)
}

impl SettingBody {
    /// Checks the bounds of each field, for bodies that arrive by other ways than TOML.
    ///
    /// # Errors
    ///
    /// Returns [`DeclarationError::Bound`] for the first field out of bounds.
    pub fn check(&self) -> Result<(), DeclarationError> {
        let bound = |field, found: &dyn ToString, allowed| {
            Err(DeclarationError::Bound { field, found: found.to_string(), allowed })
        };
        match self {
            Self::Route(route) if !route.prefix.starts_with('/') => {
                bound("prefix", &route.prefix, "a path that begins with `/`")
            }
            Self::Route(route) if !(1..=MAX_DEADLINE_MS).contains(&route.deadline_ms) => {
                bound("deadline_ms", &route.deadline_ms, "1 to 120000 milliseconds")
            }
            Self::Value(value) if value.text.len() > MAX_DECLARATION_BYTES => {
                bound("text", &value.text.len(), "at most 65536 bytes")
            }
            _ => Ok(()),
        }
    }
}
