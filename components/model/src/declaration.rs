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
/// Largest weight of a part. Sums of thousands of parts stay far below what a number holds.
const MAX_WEIGHT: u32 = 1_000_000;
/// Servers that one request may be sent to. More than the replicas that a request could try within
/// its deadline only feeds an overload.
const ATTEMPTS: std::ops::RangeInclusive<u8> = 1..=16;
/// Smallest bound on heads that still lets ordinary clients in.
const MIN_HEAD_BYTES: u64 = 1024;
/// Shortest time for a caller to send a head or to stay idle; a round trip between continents
/// takes longer than a shorter one.
const MIN_CALLER_MS: u64 = 100;

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
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ServiceSetting {
    /// What the service is for, shown in reports.
    #[serde(default)]
    pub description: String,
    /// Connections that each of its servers accepts from all callers together. Absent where only
    /// the settings of the daemon beside a server bound them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub connections: Option<u32>,
    /// Path at which its servers say how they are. Absent where they are never asked.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub health_path: Option<String>,
}

/// What may be done with the requests of a route, whatever their method says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum RouteKind {
    /// Requests that may run more than once.
    Safe,
    /// Requests that run at most once, also those whose method only reads by its name.
    Unsafe,
    /// Requests that may run more than once and whose answers are large.
    Download,
    /// Requests that run at most once and whose bodies are large.
    Upload,
}

/// A service that takes a part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SplitPart {
    /// Path of the service setting.
    pub service: ServiceName,
    /// Weight among the parts of the route.
    pub weight: u32,
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
    /// Path of the service setting, of this team or another. Empty where `split` is given.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub service: ServiceName,
    /// Services among which the requests are divided by weight, in place of `service`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub split: Vec<SplitPart>,
    /// What may be done with the requests. Absent where the method and `repeatable` tell.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub handling: Option<RouteKind>,
    /// Whether a request may run twice without harm, beyond the methods that always may.
    #[serde(default)]
    pub repeatable: bool,
    /// Share of a server the work belongs to.
    #[serde(default)]
    pub class: WorkClass,
    /// Deadline in milliseconds for requests that bring none of their own.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Response-time goal in milliseconds: an answer is worth less after it. Absent for none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub goal_ms: Option<u64>,
    /// Servers that one request may be sent to, 1 to 16. Absent for the daemon's own bound.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_attempts: Option<u8>,
    /// Rank among the requests that wait for a server, 0 first. Default 0.
    #[serde(default, skip_serializing_if = "is_first_rank")]
    pub rank: u8,
}

impl RouteSetting {
    /// Makes a route with the defaults of a declaration that names its prefix and service only.
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
        }
    }

    /// Lists the services that the requests may go to, with their weights.
    pub fn targets(&self) -> impl Iterator<Item = (&ServiceName, u32)> {
        let single = self.split.is_empty().then_some((&self.service, 1));
        single.into_iter().chain(self.split.iter().map(|part| (&part.service, part.weight)))
    }
}

/// Bounds on what callers may send, and on how long they may take or stay idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct LimitSetting {
    /// Largest head of a request, in bytes.
    pub max_head_bytes: u64,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: u64,
    /// Milliseconds that a caller may take to send a whole head.
    pub head_timeout_ms: u64,
    /// Milliseconds that a caller's connection may stay idle.
    pub idle_timeout_ms: u64,
}

fn default_deadline_ms() -> u64 {
    10_000
}

// The signature is what serde calls it with.
#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_first_rank(rank: &u8) -> bool {
    *rank == 0
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
    /// Bounds callers. Of several, the strictest figures hold.
    Limits(LimitSetting),
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
    #[error("`kind` is missing or no text; allowed: service, route, value, limits")]
    NoKind,
    /// The kind is not known.
    #[error("`kind` is {0}; allowed: service, route, value, limits")]
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
        "limits" => LimitSetting::deserialize(fields).map(SettingBody::Limits),
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

impl LimitSetting {
    /// Tells whether ordinary callers can keep the bounds.
    fn is_sound(&self) -> bool {
        self.max_head_bytes >= MIN_HEAD_BYTES
            && self.max_body_bytes > 0
            && self.head_timeout_ms >= MIN_CALLER_MS
            && self.idle_timeout_ms >= MIN_CALLER_MS
    }
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
            Self::Route(route) if route.service.is_empty() == route.split.is_empty() => {
                bound("service", &route.service, "one service, or else a `split`")
            }
            Self::Route(route) if route.split.iter().any(|part| part.weight > MAX_WEIGHT) => {
                bound("split", &"a larger weight", "weights of 0 to 1000000")
            }
            Self::Route(route) if route.targets().all(|(_, weight)| weight == 0) => {
                bound("split", &"no weight", "at least one weight above 0")
            }
            Self::Route(route)
                if route.max_attempts.is_some_and(|most| !ATTEMPTS.contains(&most)) =>
            {
                bound("max_attempts", &route.max_attempts.unwrap_or_default(), "1 to 16")
            }
            Self::Route(route) if route.goal_ms == Some(0) => {
                bound("goal_ms", &0, "1 millisecond or more")
            }
            Self::Limits(limits) if !limits.is_sound() => bound(
                "limits",
                &"a figure out of bounds",
                "heads of 1024 bytes or more, bodies of 1 byte or more, times of 100 ms or more",
            ),
            Self::Value(value) if value.text.len() > MAX_DECLARATION_BYTES => {
                bound("text", &value.text.len(), "at most 65536 bytes")
            }
            _ => Ok(()),
        }
    }
}
