//! Scenarios: a fleet, its callers and its faults, read from TOML.
//!
//! Values outside their range are rejected with the key and what is allowed, so that no run starts
//! from a scenario that makes no sense or takes too long.

use std::collections::BTreeSet;

use serde::Deserialize;
use sk_decide::admitting::StatedRate;
use thiserror::Error;

/// A fleet with its load and faults. Times are in milliseconds where the name ends in `_ms`,
/// otherwise in seconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Simulated time in seconds, 1 to 3600.
    pub seconds: f64,
    /// One-way transit time between daemons of one data centre, in milliseconds.
    pub near_ms: f64,
    /// One-way transit time between data centres, in milliseconds.
    pub far_ms: f64,
    /// Groups of identical backend servers.
    pub servers: Vec<ServerPlan>,
    /// Kinds of requests.
    pub routes: Vec<RoutePlan>,
    /// Rates of requests by data centre.
    pub load: Vec<LoadPlan>,
    /// Faults during the run.
    #[serde(default)]
    pub faults: Vec<FaultPlan>,
}

/// A group of identical backend servers in one data centre.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerPlan {
    /// Service that the servers run.
    pub service: String,
    /// Data centre of the servers.
    pub data_centre: String,
    /// Number of servers, 1 to 1000.
    pub count: usize,
    /// Requests that each server runs at once, 1 to 1000.
    pub slots: u32,
    /// Factor on the work of each request, 0.01 to 100.
    pub slowness: f64,
    /// Megabits a second of the link that carries large answers, 0.1 to 100000. Absent for one that
    /// is never full.
    #[serde(default)]
    pub link_mbps: Option<f64>,
}

/// A kind of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoutePlan {
    /// Name of the route in the results.
    pub name: String,
    /// Service that runs the requests.
    pub service: String,
    /// Mean work of a request in milliseconds, 0.1 to 60000.
    pub work_ms: f64,
    /// Standard deviation of the work as a multiple of its mean, 0 to 10; the work is log-normal.
    pub spread: f64,
    /// Response-time goal in milliseconds.
    pub goal_ms: f64,
    /// Time that a caller waits for the answer, retries included, in milliseconds.
    pub deadline_ms: f64,
    /// Rank of the requests, 0 the most urgent.
    pub rank: u8,
    /// Bytes of a request and its answer together.
    pub bytes: u64,
    /// Share of this kind among all requests, as a weight from 0 to 1000000.
    pub weight: f64,
    /// Number of times that a caller retries a refused request.
    pub returns: u8,
    /// Whether its answers are large, so that it is long work. Default false.
    #[serde(default)]
    pub is_long: bool,
    /// Calls that a server makes for such a request. It keeps its slot until they have ended.
    #[serde(default)]
    pub calls: Option<NestedPlan>,
}

/// Calls that servers make for the requests of a route, after their own work.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NestedPlan {
    /// Name of the route that the calls take. That route makes no calls itself.
    pub route: String,
    /// Calls for one request, 1 to 10.
    pub times: u32,
    /// Share of the requests that make them, 0 to 1.
    pub share: f64,
    /// Whether they are made at once, and not one after the other. Default false.
    #[serde(default)]
    pub together: bool,
}

/// Callers of one data centre.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadPlan {
    /// Data centre whose daemons receive the requests; some server must run in it.
    pub data_centre: String,
    /// Requests a second, 0 to 100000.
    pub rate: f64,
}

/// A fault with its start and length.
#[derive(Clone, Debug, Deserialize)]
pub struct FaultPlan {
    /// Second at which the fault begins.
    pub at: f64,
    /// Length of the fault in seconds.
    pub lasts: f64,
    /// Kind of the fault.
    #[serde(flatten)]
    pub kind: FaultKind,
}

/// The kinds of fault.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum FaultKind {
    /// All callers send more requests.
    Burst {
        /// Factor on all rates.
        factor: f64,
    },
    /// Every server takes longer, as when all have just started.
    Slow {
        /// Factor on all work.
        factor: f64,
    },
    /// One server takes longer.
    SlowServer {
        /// Index of the server among all servers, in the order of the file.
        server: usize,
        /// Factor on the work of each request on it.
        factor: f64,
    },
    /// One server states in its answers that it takes a number of requests a second.
    StatedLimit {
        /// Index of the server among all servers, in the order of the file.
        server: usize,
        /// Requests a second, 0 to 1000000.
        per_second: f64,
    },
}

impl Scenario {
    /// Returns the factor on the rates of all callers at a second of the run.
    pub(crate) fn rate_factor(&self, second: f64) -> f64 {
        self.active_factor(second, |kind| match kind {
            FaultKind::Burst { factor } => Some(factor),
            FaultKind::Slow { .. }
            | FaultKind::SlowServer { .. }
            | FaultKind::StatedLimit { .. } => None,
        })
    }

    /// Returns the factor on the work of a server, given by its index, at a second of the run.
    pub(crate) fn work_factor(&self, server: usize, second: f64) -> f64 {
        self.active_factor(second, |kind| match kind {
            FaultKind::Slow { factor } => Some(factor),
            FaultKind::SlowServer { server: slow, factor } if slow == server => Some(factor),
            FaultKind::SlowServer { .. }
            | FaultKind::Burst { .. }
            | FaultKind::StatedLimit { .. } => None,
        })
    }

    /// Returns what a server, given by its index, states at a second of the run about the requests
    /// that it takes; the least of several limits.
    pub(crate) fn stated_rate(&self, server: usize, second: f64) -> StatedRate {
        let limits = self.active_faults(second).filter_map(|kind| match kind {
            FaultKind::StatedLimit { server: limited, per_second } if limited == server => {
                Some(per_second)
            }
            _ => None,
        });
        limits.min_by(f64::total_cmp).map_or(StatedRate::Unlimited, StatedRate::PerSecond)
    }

    /// Multiplies the factors that `factor_of` returns for the faults that are active at a second.
    fn active_factor(&self, second: f64, factor_of: impl Fn(FaultKind) -> Option<f64>) -> f64 {
        self.active_faults(second).filter_map(factor_of).product()
    }

    /// Returns the faults that are active at a second.
    fn active_faults(&self, second: f64) -> impl Iterator<Item = FaultKind> {
        let is_active =
            move |fault: &&FaultPlan| (fault.at..fault.at + fault.lasts).contains(&second);
        self.faults.iter().filter(is_active).map(|fault| fault.kind)
    }
}

/// Why a scenario is rejected.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// The text is not a scenario in TOML.
    #[error("cannot parse the scenario: {0}")]
    Malformed(#[from] toml::de::Error),
    /// A value is out of its range, or names a service or data centre without a server.
    #[error("`{key}` of {entry} is {found}; allowed: {allowed}")]
    InvalidValue {
        /// Key of the value.
        key: &'static str,
        /// Entry that has the key.
        entry: String,
        /// Value found.
        found: String,
        /// Values allowed.
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
    check_range("seconds", "the scenario", scenario.seconds, 1.0, 3600.0, "1 to 3600")?;
    let services: BTreeSet<&str> =
        scenario.servers.iter().map(|server| server.service.as_str()).collect();
    let centres: BTreeSet<&str> =
        scenario.servers.iter().map(|server| server.data_centre.as_str()).collect();
    for server in &scenario.servers {
        check_range("count", &server.service, server.count as f64, 1.0, 1000.0, "1 to 1000")?;
        check_range("slots", &server.service, server.slots.into(), 1.0, 1000.0, "1 to 1000")?;
        check_range("slowness", &server.service, server.slowness, 0.01, 100.0, "0.01 to 100")?;
        if let Some(mbps) = server.link_mbps {
            check_range("link_mbps", &server.service, mbps, 0.1, 1e5, "0.1 to 100000")?;
        }
    }
    for route in &scenario.routes {
        check_known("service", &route.name, &route.service, &services)?;
        check_range("work_ms", &route.name, route.work_ms, 0.1, 60_000.0, "0.1 to 60000")?;
        check_range("spread", &route.name, route.spread, 0.0, 10.0, "0 to 10")?;
        check_range("weight", &route.name, route.weight, 0.0, 1e6, "0 to 1000000")?;
        if let Some(calls) = &route.calls {
            check_range("times", &route.name, calls.times.into(), 1.0, 10.0, "1 to 10")?;
            check_range("share", &route.name, calls.share, 0.0, 1.0, "0 to 1")?;
            check_called(route, &scenario.routes)?;
        }
    }
    for fault in &scenario.faults {
        if let FaultKind::StatedLimit { per_second, .. } = fault.kind {
            check_range("per_second", "a stated limit", per_second, 0.0, 1e6, "0 to 1000000")?;
        }
    }
    for load in &scenario.load {
        // Callers connect to daemons, and in a scenario each daemon stands beside a server.
        check_known("data_centre", "load", &load.data_centre, &centres)?;
        check_range("rate", "load", load.rate, 0.0, 100_000.0, "0 to 100000")?;
    }
    Ok(scenario)
}

/// Rejects a number that is not within `min` and `max`; `allowed` states the range in words.
fn check_range(
    key: &'static str,
    entry: &str,
    found: f64,
    min: f64,
    max: f64,
    allowed: &'static str,
) -> Result<(), ScenarioError> {
    match (min..=max).contains(&found) {
        true => Ok(()),
        false => Err(invalid_value(key, entry, &found.to_string(), allowed)),
    }
}

/// Rejects a service or data centre that no server of the scenario has.
fn check_known(
    key: &'static str,
    entry: &str,
    found: &str,
    known: &BTreeSet<&str>,
) -> Result<(), ScenarioError> {
    match known.contains(found) {
        true => Ok(()),
        false => Err(invalid_value(key, entry, found, "one that a server group has")),
    }
}

/// Rejects calls that take an unknown route, or one whose requests make calls.
fn check_called(route: &RoutePlan, routes: &[RoutePlan]) -> Result<(), ScenarioError> {
    let Some(calls) = &route.calls else { return Ok(()) };
    let called = routes.iter().find(|other| other.name == calls.route);
    match called.is_some_and(|called| called.calls.is_none()) {
        true => Ok(()),
        false => Err(invalid_value("route", &route.name, &calls.route, "a route without calls")),
    }
}

fn invalid_value(
    key: &'static str,
    entry: &str,
    found: &str,
    allowed: &'static str,
) -> ScenarioError {
    ScenarioError::InvalidValue { key, entry: entry.to_owned(), found: found.to_owned(), allowed }
}
