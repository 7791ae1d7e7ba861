//! What is played: a fleet, its callers and its faults.

use std::collections::BTreeSet;

use serde::Deserialize;
use thiserror::Error;

/// A fleet with its load. All times are in milliseconds or seconds, as the names say.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Seconds that are played, 1 to 3600.
    pub seconds: f64,
    /// One way between daemons of one data centre, in milliseconds.
    pub near_ms: f64,
    /// One way between data centres, in milliseconds.
    pub far_ms: f64,
    /// Groups of equal backend servers.
    pub servers: Vec<ServerPlan>,
    /// Kinds of requests.
    pub routes: Vec<RoutePlan>,
    /// Requests by data centre.
    pub load: Vec<LoadPlan>,
    /// What goes wrong.
    #[serde(default)]
    pub faults: Vec<FaultPlan>,
}

/// Equal backend servers in one data centre.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerPlan {
    /// Service that they run.
    pub service: String,
    /// Data centre.
    pub data_centre: String,
    /// How many, 1 to 1000.
    pub count: usize,
    /// Requests that each runs at once, 1 to 1000.
    pub slots: u32,
    /// Factor on the work of each request.
    pub slowness: f64,
}

/// A kind of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoutePlan {
    /// Name in the figures.
    pub name: String,
    /// Service that runs them.
    pub service: String,
    /// Mean work in milliseconds.
    pub work_ms: f64,
    /// Deviation of the work, as a part of its mean; the work is log-normal.
    pub spread: f64,
    /// Response-time goal in milliseconds.
    pub goal_ms: f64,
    /// Time that a caller waits, in milliseconds.
    pub deadline_ms: f64,
    /// Rank, 0 the most urgent.
    pub rank: u8,
    /// Bytes of a request with its answer.
    pub bytes: u64,
    /// Requests of this kind among all, as a weight.
    pub weight: f64,
    /// Times that a refused caller comes back.
    pub returns: u8,
}

/// Callers of one data centre.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadPlan {
    /// Where they call.
    pub data_centre: String,
    /// Requests a second.
    pub rate: f64,
}

/// Something that goes wrong for a time.
#[derive(Clone, Debug, Deserialize)]
pub struct FaultPlan {
    /// Second at which it begins.
    pub at: f64,
    /// Seconds that it lasts.
    pub lasts: f64,
    /// What it is.
    #[serde(flatten)]
    pub kind: FaultKind,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum FaultKind {
    /// All requests come so many times as often.
    Burst {
        /// Factor on all rates.
        factor: f64,
    },
    /// Every server takes so many times as long, as where all have just started.
    Slow {
        /// Factor on all work.
        factor: f64,
    },
    /// One server takes so many times as long.
    SlowServer {
        /// Its place among all servers, in the order of the file.
        server: usize,
        /// Factor on its work.
        factor: f64,
    },
}

impl Scenario {
    /// Gives the factor on the rates of all callers at a second.
    pub(crate) fn rate_factor(&self, second: f64) -> f64 {
        self.factor(second, |kind| match kind {
            FaultKind::Burst { factor } => Some(factor),
            FaultKind::Slow { .. } | FaultKind::SlowServer { .. } => None,
        })
    }

    /// Gives the factor on the work of a server at a second, by its place among all.
    pub(crate) fn work_factor(&self, server: usize, second: f64) -> f64 {
        self.factor(second, |kind| match kind {
            FaultKind::Slow { factor } => Some(factor),
            FaultKind::SlowServer { server: slow, factor } if slow == server => Some(factor),
            FaultKind::SlowServer { .. } | FaultKind::Burst { .. } => None,
        })
    }

    fn factor(&self, second: f64, of: impl Fn(FaultKind) -> Option<f64>) -> f64 {
        let running =
            self.faults.iter().filter(|fault| (fault.at..fault.at + fault.lasts).contains(&second));
        running.filter_map(|fault| of(fault.kind)).product()
    }
}

/// A scenario that cannot be played.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// The text is no scenario.
    #[error("scenario cannot be read: {0}")]
    Malformed(#[from] toml::de::Error),
    /// A value is out of its bounds.
    #[error("`{key}` of {place} is {found}; allowed: {allowed}")]
    Bound {
        /// Key.
        key: &'static str,
        /// Which entry.
        place: String,
        /// What stands there.
        found: String,
        /// What may.
        allowed: &'static str,
    },
}

/// Reads and checks a scenario.
///
/// # Errors
///
/// Returns a [`ScenarioError`] that names the key and what is allowed.
pub fn parse_scenario(text: &str) -> Result<Scenario, ScenarioError> {
    let scenario: Scenario = toml::from_str(text)?;
    check_number("seconds", "the scenario", scenario.seconds, 1.0, 3600.0, "1 to 3600")?;
    let services: BTreeSet<&str> =
        scenario.servers.iter().map(|server| server.service.as_str()).collect();
    let centres: BTreeSet<&str> =
        scenario.servers.iter().map(|server| server.data_centre.as_str()).collect();
    for server in &scenario.servers {
        check_number("count", &server.service, server.count as f64, 1.0, 1000.0, "1 to 1000")?;
        check_number("slots", &server.service, server.slots.into(), 1.0, 1000.0, "1 to 1000")?;
        check_number("slowness", &server.service, server.slowness, 0.01, 100.0, "0.01 to 100")?;
    }
    for route in &scenario.routes {
        check_known("service", &route.name, &route.service, &services)?;
        check_number("work_ms", &route.name, route.work_ms, 0.1, 60_000.0, "0.1 to 60000")?;
        check_number("spread", &route.name, route.spread, 0.0, 10.0, "0 to 10")?;
        check_number("weight", &route.name, route.weight, 0.0, 1e6, "0 to 1000000")?;
    }
    for load in &scenario.load {
        // A caller enters by the daemon beside a server.
        check_known("data_centre", "load", &load.data_centre, &centres)?;
        check_number("rate", "load", load.rate, 0.0, 100_000.0, "0 to 100000")?;
    }
    Ok(scenario)
}

fn check_number(
    key: &'static str,
    place: &str,
    found: f64,
    least: f64,
    most: f64,
    allowed: &'static str,
) -> Result<(), ScenarioError> {
    match (least..=most).contains(&found) {
        true => Ok(()),
        false => Err(bound(key, place, &found.to_string(), allowed)),
    }
}

fn check_known(
    key: &'static str,
    place: &str,
    found: &str,
    known: &BTreeSet<&str>,
) -> Result<(), ScenarioError> {
    match known.contains(found) {
        true => Ok(()),
        false => Err(bound(key, place, found, "one that a server has")),
    }
}

fn bound(key: &'static str, place: &str, found: &str, allowed: &'static str) -> ScenarioError {
    ScenarioError::Bound { key, place: place.to_owned(), found: found.to_owned(), allowed }
}
