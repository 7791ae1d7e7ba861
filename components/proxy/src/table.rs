//! The immutable table that requests are routed by.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use http::uri::Authority;
use sk_decide::{
    admitting::TeamKey,
    placing::{
        EndpointDistance, EndpointId, EndpointRecord as PlacedRecord, PlacementSettings,
        PlacementTable,
    },
    retrying::{RetryBudget, RetrySettings},
};
use sk_member::{EndpointRecord, EndpointStatus, MemberRecord, MemberStatus};
use sk_model::{
    ConfigSnapshot, DataCentre, LimitSetting, ProxyId, RouteSetting, ServiceName, SettingBody,
    TeamName, TeamTree, Version, team_of,
};
use slotmap::{SlotMap, new_key_type};

use crate::clock::stable_hash;

/// Time after the start of this daemon in which servers it hears of count as warm. Most of them
/// have run for long; taking all for cold would send each the same trickle.
const STARTUP_WINDOW: Duration = Duration::from_secs(10);
/// Age of such a server, above any warm-up.
const WARM_AGE: Duration = Duration::from_secs(3600);

new_key_type! {
    /// Key of a service in one table.
    pub struct ServiceKey;
}

/// The table in force, swapped whole.
pub type SharedTable = Arc<ArcSwap<RouteTable>>;

/// Which daemon a table is for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TablePlace {
    /// The daemon.
    pub proxy: ProxyId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its region.
    pub region: String,
    /// How requests are placed and tried again.
    pub tuning: TableTuning,
}

/// How requests are placed and tried again, the same for all services.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TableTuning {
    /// Placing.
    pub placement: PlacementSettings,
    /// Trying again.
    pub retry: RetrySettings,
}

/// A daemon whose backend server takes new work for a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableEndpoint {
    /// The daemon beside the server.
    pub proxy: ProxyId,
    /// The server's process.
    pub server: Arc<str>,
    /// Where the daemon takes requests for the server.
    pub guard: Authority,
    /// Whether it is the daemon that the table is for.
    pub is_own: bool,
}

/// A service with its endpoints.
#[derive(Clone, Debug)]
pub struct TableService {
    /// Name of the service.
    pub name: Arc<str>,
    /// Endpoints that take new work.
    pub endpoints: HashMap<EndpointId, TableEndpoint>,
    /// How requests are placed among them.
    pub(crate) placement: Arc<PlacementTable>,
    /// Retries the service may still be sent.
    pub(crate) budget: Arc<RetryBudget>,
    /// The part of them that may follow a server's failure.
    pub(crate) failure_budget: Arc<RetryBudget>,
    /// Whether the budget was empty when last asked, so that the log tells of each change once.
    is_budget_empty: Arc<AtomicBool>,
}

/// A service that takes a part of a route's requests, by weight.
type RoutePart = (ServiceKey, u32);

#[derive(Clone, Debug)]
struct TableRoute {
    setting: RouteSetting,
    team: TeamKey,
    parts: Vec<RoutePart>,
    /// Requests divided so far, from a random start.
    counter: Arc<AtomicU64>,
}

/// Routes by host, each list with the longest_match prefix first.
#[derive(Clone, Debug, Default)]
struct RouteMap {
    /// Those that name a host, in lower case.
    named: HashMap<String, Vec<TableRoute>>,
    /// Those for any host.
    any: Vec<TableRoute>,
}

/// Routes, services and endpoints of one moment.
///
/// Routes hold keys into the table's own services, so none can point at a service it lacks.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    version: Version,
    /// The configuration that the table was built from.
    trees: BTreeMap<TeamName, Arc<TeamTree>>,
    services: SlotMap<ServiceKey, TableService>,
    /// Shared with the tables of the same configuration that were built before.
    routes: Arc<RouteMap>,
    limits: Option<LimitSetting>,
}

/// The route that a request takes.
pub struct RouteMatch<'a> {
    /// The route's setting.
    pub setting: &'a RouteSetting,
    /// The team that declared the route.
    pub(crate) team: TeamKey,
    /// The service with its endpoints.
    pub service: &'a TableService,
}

impl RouteTable {
    /// Builds the table of a configuration and of the members as they are believed to be, at `now`.
    ///
    /// Where the configuration is that of the table before, its routes are kept and not built anew.
    /// In a rolling restart the members change ten times a second, and building two thousand routes
    /// each time took a small instance's processor from its callers; splits would begin anew too, and
    /// miss their weights.
    ///
    /// What requests have shown of a server goes over from the table before to the same process of
    /// it only.
    pub fn build<'a>(
        before: &Self,
        snapshot: &ConfigSnapshot,
        members: impl Iterator<Item = &'a MemberRecord>,
        place: &TablePlace,
        now: Duration,
    ) -> Self {
        let members: Vec<&MemberRecord> = members.collect();
        let fleet = members.iter().filter(|record| record.is_present()).count();
        let mut found = find_endpoints(members.into_iter());
        let mut build = |name: &str, previous: Option<&TableService>| {
            let endpoints = found.remove(name).unwrap_or_default();
            let service = build_service(previous, name, &endpoints, place, now);
            service.budget.set_fleet(fleet);
            service.failure_budget.set_fleet(fleet);
            service
        };
        if before.is_built_from(snapshot) {
            let mut next = before.clone();
            for service in next.services.values_mut() {
                *service = build(&service.name, Some(service));
            }
            return next;
        }
        let mut services = SlotMap::with_key();
        let mut keys = BTreeMap::new();
        for (path, body) in snapshot.settings() {
            if matches!(body, SettingBody::Service(_)) {
                let previous = before.services.values().find(|service| *service.name == **path);
                keys.insert(path, services.insert(build(path, previous)));
            }
        }
        let routes = Arc::new(collect_routes(snapshot, &keys));
        let limits = snapshot.settings().filter_map(|(_, body)| match body {
            SettingBody::Limits(limits) => Some(*limits),
            _ => None,
        });
        let limits = limits.reduce(strictest);
        let trees = snapshot.trees.clone();
        Self { version: snapshot.version(), trees, services, routes, limits }
    }

    /// Returns whether the table was built from this very configuration.
    fn is_built_from(&self, snapshot: &ConfigSnapshot) -> bool {
        let is_same =
            |(previous, given): (&Arc<TeamTree>, &Arc<TeamTree>)| Arc::ptr_eq(previous, given);
        self.version == snapshot.version()
            && self.trees.len() == snapshot.trees.len()
            && self.trees.values().zip(snapshot.trees.values()).all(is_same)
    }

    /// Returns the version of the configuration the table was built from.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the bounds on callers, where the configuration sets any.
    pub fn limits(&self) -> Option<&LimitSetting> {
        self.limits.as_ref()
    }

    /// Lists the services.
    pub fn services(&self) -> impl Iterator<Item = &TableService> {
        self.services.values()
    }

    /// Finds the route of a request: the longest_match prefix, a named host before any host.
    pub fn find(&self, host: Option<&str>, path: &str) -> Option<RouteMatch<'_>> {
        let host = host.map(str::to_ascii_lowercase);
        let bare = host.as_deref().and_then(|host| host.rsplit_once(':')).map(|(name, _)| name);
        let of_host = |host: Option<&str>| longest_match(self.routes.named.get(host?)?, path);
        let named = of_host(host.as_deref()).or_else(|| of_host(bare));
        let any = longest_match(&self.routes.any, path);
        // On equal prefixes the route that names the host holds.
        let route = match (named, any) {
            (Some(named), Some(any)) if any.setting.prefix.len() > named.setting.prefix.len() => {
                any
            }
            (named, any) => named.or(any)?,
        };
        let service = self.services.get(route.pick_service()?)?;
        Some(RouteMatch { setting: &route.setting, team: route.team, service })
    }
}

impl TableRoute {
    /// Returns the service whose counter it is, in the proportion of the weights.
    ///
    /// Multiples of the golden ratio fall evenly on any interval, so a part has its share of every
    /// few dozen requests already, where independent draws would be off by a tenth and more.
    fn pick_service(&self) -> Option<ServiceKey> {
        const GOLDEN: u64 = 0x9e37_79b9_7f4a_7c15;
        if let [(service, _)] = self.parts[..] {
            return Some(service);
        }
        let total: u64 = self.parts.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let counter = self.counter.fetch_add(1, Ordering::Relaxed).wrapping_mul(GOLDEN);
        // The upper half of a product of two 64-bit numbers: a point below the total.
        let mut point = ((u128::from(counter) * u128::from(total)) >> 64) as u64;
        for (service, weight) in &self.parts {
            match point.checked_sub(u64::from(*weight)) {
                Some(rest) => point = rest,
                None => return Some(*service),
            }
        }
        None
    }
}

impl TableService {
    /// Records whether the retry budget was found empty.
    pub(crate) fn record_budget_state(&self, is_budget_empty: bool) {
        match self.is_budget_empty.swap(is_budget_empty, Ordering::Relaxed) {
            was if was == is_budget_empty => {}
            false => log::warn!("proxy: the retry budget of {} is empty.", self.name),
            true => log::info!("proxy: the retry budget of {} is paid in again.", self.name),
        }
    }

    /// Returns the whole retries that the service may still be sent.
    pub fn retries_left(&self) -> u64 {
        self.budget.left()
    }

    /// Returns the state of each endpoint, by its daemon.
    pub fn endpoint_states(
        &self,
        now: Duration,
    ) -> BTreeMap<ProxyId, sk_decide::placing::EndpointState> {
        let states = self.placement.states(now).into_iter();
        let named = |state: sk_decide::placing::EndpointState| {
            Some((self.endpoints.get(&state.id)?.proxy.clone(), state))
        };
        states.filter_map(named).collect()
    }
}

type FoundEndpoints<'a> = BTreeMap<&'a str, Vec<(&'a MemberRecord, &'a EndpointRecord)>>;

/// Gathers the endpoints that take work, by service.
///
/// A suspected daemon counts only for a service that has no other: it is likely gone, but a request
/// that would fail without it loses nothing by the try.
fn find_endpoints<'a>(members: impl Iterator<Item = &'a MemberRecord>) -> FoundEndpoints<'a> {
    let mut alive = FoundEndpoints::new();
    let mut suspect = FoundEndpoints::new();
    for record in members {
        let found = match record.status {
            MemberStatus::Alive => &mut alive,
            MemberStatus::Suspect => &mut suspect,
            MemberStatus::Leaving | MemberStatus::Gone => continue,
        };
        for endpoint in &record.endpoints {
            if endpoint.status == EndpointStatus::Ready {
                found.entry(endpoint.service.as_str()).or_default().push((record, endpoint));
            }
        }
    }
    for (service, endpoints) in suspect {
        alive.entry(service).or_insert(endpoints);
    }
    alive
}

fn build_service(
    previous: Option<&TableService>,
    name: &str,
    found: &[(&MemberRecord, &EndpointRecord)],
    place: &TablePlace,
    now: Duration,
) -> TableService {
    let endpoints: HashMap<EndpointId, TableEndpoint> = found
        .iter()
        .filter_map(|(member, endpoint)| make_endpoint(member, endpoint, place))
        .collect();
    let records: Vec<PlacedRecord> =
        found.iter().map(|(member, endpoint)| place_record(member, endpoint, place, now)).collect();
    let placement = match previous {
        Some(previous) => previous.placement.rebuild(&records, now),
        None => PlacementTable::new(place.tuning.placement).rebuild(&records, now),
    };
    let retry = place.tuning.retry;
    let (budget, failure_budget) = match previous {
        Some(previous) => (previous.budget.clone(), previous.failure_budget.clone()),
        None => (
            Arc::new(RetryBudget::new(retry, now)),
            Arc::new(RetryBudget::new(retry.after_failures(), now)),
        ),
    };
    let name = previous.map_or_else(|| Arc::from(name), |previous| previous.name.clone());
    let is_budget_empty =
        previous.map(|previous| previous.is_budget_empty.clone()).unwrap_or_default();
    TableService {
        name,
        endpoints,
        placement: Arc::new(placement),
        budget,
        failure_budget,
        is_budget_empty,
    }
}

fn make_endpoint(
    member: &MemberRecord,
    endpoint: &EndpointRecord,
    place: &TablePlace,
) -> Option<(EndpointId, TableEndpoint)> {
    let endpoint = TableEndpoint {
        proxy: member.proxy.clone(),
        server: Arc::from(endpoint.server.as_str()),
        guard: member.guard.to_string().parse().ok()?,
        is_own: member.proxy == place.proxy,
    };
    Some((endpoint_id(member), endpoint))
}

fn place_record(
    member: &MemberRecord,
    endpoint: &EndpointRecord,
    place: &TablePlace,
    now: Duration,
) -> PlacedRecord {
    let distance = match member {
        _ if member.data_centre == place.data_centre => EndpointDistance::SameCentre,
        _ if member.region == place.region => EndpointDistance::SameRegion,
        _ => EndpointDistance::OtherRegion,
    };
    // The daemon's process is a part: a guard that leaves says so for good, and the next daemon
    // beside the same server must not be taken for it.
    let daemon = member.incarnation.to_le_bytes();
    PlacedRecord {
        id: endpoint_id(member),
        incarnation: stable_hash(&[endpoint.server.as_bytes(), &daemon]),
        slots: endpoint.slots,
        distance,
        age: if now < STARTUP_WINDOW { WARM_AGE } else { Duration::ZERO },
    }
}

fn endpoint_id(member: &MemberRecord) -> EndpointId {
    stable_hash(&[member.proxy.as_bytes()])
}

fn collect_routes(
    snapshot: &ConfigSnapshot,
    keys: &BTreeMap<&ServiceName, ServiceKey>,
) -> RouteMap {
    let mut routes = RouteMap::default();
    for (path, body) in snapshot.settings() {
        let SettingBody::Route(setting) = body else { continue };
        // Validation refuses a route without its service; skipping it keeps the table sound even
        // if that ever failed.
        let parts: Option<Vec<RoutePart>> = setting
            .targets()
            .map(|(service, weight)| Some((*keys.get(service)?, weight)))
            .collect();
        let Some(parts) = parts else { continue };
        let route = TableRoute {
            setting: setting.clone(),
            team: stable_hash(&[team_of(path).as_bytes()]),
            parts,
            counter: Arc::new(AtomicU64::new(rand::random())),
        };
        match &setting.host {
            Some(host) => routes.named.entry(host.to_ascii_lowercase()).or_default().push(route),
            None => routes.any.push(route),
        }
    }
    for list in routes.named.values_mut().chain([&mut routes.any]) {
        list.sort_by_key(|route| std::cmp::Reverse(route.setting.prefix.len()));
    }
    routes
}

/// Returns bounds that keep both of two.
fn strictest(one: LimitSetting, other: LimitSetting) -> LimitSetting {
    LimitSetting {
        max_head_bytes: one.max_head_bytes.min(other.max_head_bytes),
        max_body_bytes: one.max_body_bytes.min(other.max_body_bytes),
        head_timeout_ms: one.head_timeout_ms.min(other.head_timeout_ms),
        idle_timeout_ms: one.idle_timeout_ms.min(other.idle_timeout_ms),
    }
}

/// Returns the route with the longest_match prefix that covers a path.
fn longest_match<'a>(routes: &'a [TableRoute], path: &str) -> Option<&'a TableRoute> {
    routes.iter().find(|route| is_prefix(&route.setting.prefix, path))
}

/// Matches at segment borders: `/board` covers `/board` and `/board/1` but not `/boards`.
fn is_prefix(prefix: &str, path: &str) -> bool {
    let rest = path.strip_prefix(prefix);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/'))
}
