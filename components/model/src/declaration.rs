//! The kinds of settings and their TOML form.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use toml::{
    Spanned,
    de::{DeTable, DeValue, Deserializer},
};

use crate::{ServiceName, TextPlace};

/// Largest declaration accepted, in bytes. A team of a thousand still fits one platform value.
pub const MAX_DECLARATION_BYTES: usize = 64 * 1024;
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
    #[error("declaration is larger than {MAX_DECLARATION_BYTES} bytes")]
    TooLarge,
    /// The text is not TOML, or has an unknown key or a value of the wrong type.
    #[error("{0}")]
    Syntax(String),
    /// The text does not say what kind of setting it declares.
    #[error("`kind` is missing or no text; allowed: service, route, value")]
    NoKind,
    /// The kind is not known.
    #[error("`kind` is {0}; allowed: service, route, value")]
    UnknownKind(String),
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

/// A declaration's error and where in the text it stands.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{place}: {error}")]
pub struct DeclarationFault {
    /// Line and column.
    pub place: TextPlace,
    /// What is wrong there.
    pub error: DeclarationError,
}

/// Reads one declaration from its TOML text.
///
/// # Errors
///
/// Returns a [`DeclarationFault`] for text that is too large, not TOML, of an unknown kind, with
/// an unknown key, or with a field out of bounds.
pub fn parse_declaration(text: &str) -> Result<SettingBody, DeclarationFault> {
    if text.len() > MAX_DECLARATION_BYTES {
        let error = DeclarationError::TooLarge;
        return Err(DeclarationFault { place: TextPlace::START, error });
    }
    let body = parse_body(text)?;
    match body.check() {
        Ok(()) => Ok(body),
        Err(error) => Err(DeclarationFault { place: place_of(text, &error), error }),
    }
}

/// Reads the kind first and then its own fields.
///
/// A tagged enum is read by way of a buffer that forgets where things stood, so its errors would
/// name no line.
fn parse_body(text: &str) -> Result<SettingBody, DeclarationFault> {
    let syntax = |err: toml::de::Error| DeclarationFault {
        place: TextPlace::of_error(text, &err),
        error: DeclarationError::Syntax(TextPlace::describe_error(text, &err)),
    };
    let mut table = DeTable::parse(text).map_err(syntax)?;
    let kind = table.get_mut().remove("kind");
    let Some((kind, place)) = kind.as_ref().and_then(|kind| kind_of(text, kind)) else {
        let place = TextPlace::of_key(text, "kind").unwrap_or(TextPlace::START);
        return Err(DeclarationFault { place, error: DeclarationError::NoKind });
    };
    let fields = Deserializer::from(table);
    match kind {
        "service" => ServiceSetting::deserialize(fields).map(SettingBody::Service),
        "route" => RouteSetting::deserialize(fields).map(SettingBody::Route),
        "value" => ValueSetting::deserialize(fields).map(SettingBody::Value),
        kind => {
            let error = DeclarationError::UnknownKind(kind.to_owned());
            return Err(DeclarationFault { place, error });
        }
    }
    .map_err(syntax)
}

fn kind_of<'a>(text: &str, kind: &'a Spanned<DeValue<'_>>) -> Option<(&'a str, TextPlace)> {
    let place = TextPlace::of_offset(text, kind.span().start);
    kind.get_ref().as_str().map(|kind| (kind, place))
}

fn place_of(text: &str, error: &DeclarationError) -> TextPlace {
    let place = match error {
        DeclarationError::Bound { field, .. } => TextPlace::of_key(text, field),
        _ => None,
    };
    place.unwrap_or(TextPlace::START)
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
