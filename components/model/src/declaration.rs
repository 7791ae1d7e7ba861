//! The kinds of settings and how operators declare them in TOML.
//!
//! Declarations are read and checked whole, with the line and column of the first error, so that a
//! mistake is refused before it becomes part of a configuration.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use toml::{
    Spanned,
    de::{DeTable, DeValue, Deserializer},
};

use crate::{ServiceName, TextPosition, WorkspaceSetting};

/// Largest accepted declaration, in bytes. Settings are usually far smaller, so that a team with a
/// thousand of them still fits one platform value.
pub const MAX_DECLARATION_BYTES: usize = 64 * 1024;
/// Longest deadline that a route may set, in milliseconds. Longer work belongs in a job queue, not
/// in a call.
const MAX_ROUTE_DEADLINE_MS: u64 = 120_000;
/// Largest weight of one part of a split. Sums over thousands of parts cannot overflow.
pub const MAX_SPLIT_WEIGHT: u32 = 1_000_000;
/// Allowed numbers of servers that one request may be sent to. A request cannot try more replicas
/// within its deadline, and further attempts only feed an overload.
const ALLOWED_MAX_ATTEMPTS: std::ops::RangeInclusive<u8> = 1..=16;
/// Smallest allowed bound on request heads, in bytes. The heads of ordinary clients are smaller.
const MIN_HEAD_BYTES: u64 = 1024;
/// Shortest allowed timeout for a caller to send a head or to stay idle, in milliseconds. A round
/// trip between continents takes longer than a shorter timeout.
const MIN_CALLER_TIMEOUT_MS: u64 = 100;

/// How long the work of a route usually takes. It decides which share of a server's slots the route
/// may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum WorkClass {
    /// Interactive work that takes a few milliseconds.
    #[default]
    Short,
    /// Documents and other work that occupies a slot for a long time.
    Long,
}

/// A service for which backend servers can announce themselves.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ServiceSetting {
    /// What the service is for, shown in reports.
    #[serde(default)]
    pub description: String,
    /// Connections that each of its servers accepts from all callers together. Absent where only
    /// the settings of the daemon beside the server limit them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub connections: Option<u32>,
    /// Path of the health check of its servers. Absent where there is none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub health_path: Option<String>,
}

/// How the requests of a route may be handled, regardless of their method.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum RouteHandling {
    /// Requests that may run more than once.
    Safe,
    /// Requests that run at most once, even where their method is a read such as GET.
    Unsafe,
    /// Requests that may run more than once and whose answers are large.
    Download,
    /// Requests that run at most once and whose bodies are large.
    Upload,
}

/// A service that receives a weighted part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SplitPart {
    /// Path of the service setting.
    pub service: ServiceName,
    /// Weight relative to the other parts of the route, 0 to 1000000.
    pub weight: u32,
}

/// A route that sends matching requests to a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RouteSetting {
    /// Host header that the route matches. Absent for any host.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<String>,
    /// Prefix of the request path, matched at segment boundaries; the longest match wins.
    pub prefix: String,
    /// Path of the service setting, of this team or another. Empty where `split` is given.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub service: ServiceName,
    /// Services among which the requests are divided by weight, in place of `service`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub split: Vec<SplitPart>,
    /// How the requests may be handled. Absent where the method and `repeatable` decide.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub handling: Option<RouteHandling>,
    /// Whether requests may run twice without harm, in addition to methods that always may.
    #[serde(default)]
    pub repeatable: bool,
    /// Class of the work, which decides the share of a server that it may use.
    #[serde(default)]
    pub class: WorkClass,
    /// Deadline in milliseconds for requests that carry none of their own.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Response-time goal in milliseconds; a later answer is worth less. Absent for none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub goal_ms: Option<u64>,
    /// Servers that one request may be sent to, 1 to 16. Absent for the daemon's default.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_attempts: Option<u8>,
    /// Priority among the requests that wait for a server, 0 is served first. Default 0.
    #[serde(default, skip_serializing_if = "is_first_rank")]
    pub rank: u8,
    /// Whether callers need no key of a workspace. Without workspaces no route needs one.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_public: bool,
}

impl RouteSetting {
    /// Creates a route with the defaults of a declaration that sets only `prefix` and `service`.
    pub fn new(prefix: impl Into<String>, service: impl Into<ServiceName>) -> Self {
        Self {
            host: None,
            prefix: prefix.into(),
            service: service.into(),
            split: Vec::new(),
            handling: None,
            repeatable: false,
            class: WorkClass::Short,
            deadline_ms: default_deadline_ms(),
            goal_ms: None,
            max_attempts: None,
            rank: 0,
            is_public: false,
        }
    }

    /// Returns the services that the requests may be sent to, with their weights.
    pub fn targets(&self) -> impl Iterator<Item = (&ServiceName, u32)> {
        let single = self.split.is_empty().then_some((&self.service, 1));
        single.into_iter().chain(self.split.iter().map(|part| (&part.service, part.weight)))
    }
}

/// Limits on what callers may send, and on how long they may take or stay idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct LimitSetting {
    /// Largest request head, in bytes.
    pub max_head_bytes: u64,
    /// Largest request body, in bytes.
    pub max_body_bytes: u64,
    /// Milliseconds that a caller may take to send a complete head.
    pub head_timeout_ms: u64,
    /// Milliseconds that a caller's connection may stay idle.
    pub idle_timeout_ms: u64,
}

fn default_deadline_ms() -> u64 {
    10_000
}

// serde passes the value by reference.
#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_first_rank(rank: &u8) -> bool {
    *rank == 0
}

/// A value that is distributed for a team and that the daemons do not interpret.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ValueSetting {
    /// The value as text.
    pub text: String,
}

/// The body of one setting, by kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum SettingBody {
    /// Declares a service.
    Service(ServiceSetting),
    /// Declares a route.
    Route(RouteSetting),
    /// Holds an opaque value.
    Value(ValueSetting),
    /// Limits what callers may send. Where several are declared, the strictest values apply.
    Limits(LimitSetting),
    /// Declares a workspace. Where there is one, routes that are not public need a key.
    Workspace(WorkspaceSetting),
}

/// Why a declaration cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DeclarationError {
    /// The text is larger than [`MAX_DECLARATION_BYTES`].
    #[error("declaration is larger than {MAX_DECLARATION_BYTES} bytes")]
    TooLarge,
    /// The text is not TOML, or has an unknown key or a value of the wrong type.
    #[error("{0}")]
    Syntax(String),
    /// The key `kind` is missing or is not a string.
    #[error("`kind` is missing or not a string; allowed: service, route, value, limits, workspace")]
    NoKind,
    /// The kind is unknown.
    #[error("`kind` is {0}; allowed: service, route, value, limits, workspace")]
    UnknownKind(String),
    /// A field has a value outside its bounds.
    #[error("`{field}` is {found}; allowed: {allowed}")]
    Bound {
        /// Name of the field.
        field: &'static str,
        /// The value found.
        found: String,
        /// The allowed values.
        allowed: &'static str,
    },
}

/// An error in a declaration together with its position in the text.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{position}: {error}")]
pub struct LocatedDeclarationError {
    /// Line and column of the error.
    pub position: TextPosition,
    /// The error itself.
    pub error: DeclarationError,
}

/// Parses one declaration from its TOML text.
///
/// # Errors
///
/// Returns a [`LocatedDeclarationError`] for text that is too large, not TOML, of an unknown kind,
/// with an unknown key, or with a field out of bounds.
pub fn parse_declaration(text: &str) -> Result<SettingBody, LocatedDeclarationError> {
    if text.len() > MAX_DECLARATION_BYTES {
        let error = DeclarationError::TooLarge;
        return Err(LocatedDeclarationError { position: TextPosition::START, error });
    }
    let body = parse_body(text)?;
    match body.check_bounds() {
        Ok(()) => Ok(body),
        Err(error) => Err(LocatedDeclarationError { position: locate_error(text, &error), error }),
    }
}

/// Parses the kind first and then the fields of that kind.
///
/// serde deserializes a tagged enum through a buffer that loses positions, so its errors would name
/// no line.
fn parse_body(text: &str) -> Result<SettingBody, LocatedDeclarationError> {
    let syntax_fault = |err: toml::de::Error| LocatedDeclarationError {
        position: TextPosition::of_error(text, &err),
        error: DeclarationError::Syntax(TextPosition::describe_error(text, &err)),
    };
    let mut table = DeTable::parse(text).map_err(syntax_fault)?;
    let kind = table.get_mut().remove("kind");
    let Some((kind, position)) = kind.as_ref().and_then(|kind| read_kind(text, kind)) else {
        let position = TextPosition::of_key(text, "kind").unwrap_or(TextPosition::START);
        return Err(LocatedDeclarationError { position, error: DeclarationError::NoKind });
    };
    let fields = Deserializer::from(table);
    match kind {
        "service" => ServiceSetting::deserialize(fields).map(SettingBody::Service),
        "route" => RouteSetting::deserialize(fields).map(SettingBody::Route),
        "value" => ValueSetting::deserialize(fields).map(SettingBody::Value),
        "limits" => LimitSetting::deserialize(fields).map(SettingBody::Limits),
        "workspace" => WorkspaceSetting::deserialize(fields).map(SettingBody::Workspace),
        kind => {
            let error = DeclarationError::UnknownKind(kind.to_owned());
            return Err(LocatedDeclarationError { position, error });
        }
    }
    .map_err(syntax_fault)
}

/// Returns the kind and its position, `None` where it is not a string.
fn read_kind<'a>(text: &str, kind: &'a Spanned<DeValue<'_>>) -> Option<(&'a str, TextPosition)> {
    let position = TextPosition::of_offset(text, kind.span().start);
    kind.get_ref().as_str().map(|kind| (kind, position))
}

/// Returns the position of the field at fault, or the start of the text.
fn locate_error(text: &str, error: &DeclarationError) -> TextPosition {
    let position = match error {
        DeclarationError::Bound { field, .. } => TextPosition::of_key(text, field),
        _ => None,
    };
    position.unwrap_or(TextPosition::START)
}

impl LimitSetting {
    /// Returns whether ordinary callers can meet the limits.
    fn is_within_bounds(&self) -> bool {
        self.max_head_bytes >= MIN_HEAD_BYTES
            && self.max_body_bytes > 0
            && self.head_timeout_ms >= MIN_CALLER_TIMEOUT_MS
            && self.idle_timeout_ms >= MIN_CALLER_TIMEOUT_MS
    }
}

impl SettingBody {
    /// Checks the bounds of each field, also for bodies that were not parsed from TOML.
    ///
    /// # Errors
    ///
    /// Returns [`DeclarationError::Bound`] for the first field out of bounds.
    pub fn check_bounds(&self) -> Result<(), DeclarationError> {
        let out_of_bounds = |field, found: &dyn ToString, allowed| {
            Err(DeclarationError::Bound { field, found: found.to_string(), allowed })
        };
        match self {
            Self::Route(route) if !route.prefix.starts_with('/') => {
                out_of_bounds("prefix", &route.prefix, "a path that begins with `/`")
            }
            Self::Route(route) if !(1..=MAX_ROUTE_DEADLINE_MS).contains(&route.deadline_ms) => {
                out_of_bounds("deadline_ms", &route.deadline_ms, "1 to 120000 milliseconds")
            }
            Self::Route(route) if route.service.is_empty() == route.split.is_empty() => {
                out_of_bounds("service", &route.service, "one service, or else a `split`")
            }
            Self::Route(route) if route.split.iter().any(|part| part.weight > MAX_SPLIT_WEIGHT) => {
                out_of_bounds("split", &"a larger weight", "weights of 0 to 1000000")
            }
            Self::Route(route) if route.targets().all(|(_, weight)| weight == 0) => {
                out_of_bounds("split", &"no weight", "at least one weight above 0")
            }
            Self::Route(route)
                if route
                    .max_attempts
                    .is_some_and(|attempts| !ALLOWED_MAX_ATTEMPTS.contains(&attempts)) =>
            {
                out_of_bounds("max_attempts", &route.max_attempts.unwrap_or_default(), "1 to 16")
            }
            Self::Route(route) if route.goal_ms == Some(0) => {
                out_of_bounds("goal_ms", &0, "1 millisecond or more")
            }
            Self::Limits(limits) if !limits.is_within_bounds() => out_of_bounds(
                "limits",
                &"a value out of bounds",
                "heads of 1024 bytes or more, bodies of 1 byte or more, times of 100 ms or more",
            ),
            Self::Value(value) if value.text.len() > MAX_DECLARATION_BYTES => {
                out_of_bounds("text", &value.text.len(), "at most 65536 bytes")
            }
            Self::Workspace(workspace) => match workspace.find_fault() {
                Some((field, allowed)) => out_of_bounds(field, &"out of bounds", allowed),
                None => Ok(()),
            },
            _ => Ok(()),
        }
    }
}
