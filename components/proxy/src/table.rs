//! The immutable table by which requests are routed. Each change of the configuration or the
//! members builds a new table that replaces the old one as a whole, so that a request never sees a
//! route without its service.

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
use sk_rollout::{RolloutView, VersionGroup};
use slotmap::{SlotMap, new_key_type};

use crate::{
    clock::stable_hash,
    division::{DividedEndpoints, ServiceDivision},
    workspaces::WorkspaceTable,
};

/// Time after the start of this daemon in which newly known servers count as warm. Most of them
/// have run for long; treating all as cold would send each the same small share.
const STARTUP_WINDOW: Duration = Duration::from_secs(10);
/// Age assumed for such a server, above any warm-up.
const WARM_AGE: Duration = Duration::from_secs(3600);

new_key_type! {
    /// Key of a service in one table.
    pub struct ServiceKey;
}

/// The current table, replaced as a whole.
pub type SharedTable = Arc<ArcSwap<RouteTable>>;

/// The daemon that a table is for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TableOwner {
    /// The daemon.
    pub proxy: ProxyId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its region.
    pub region: String,
    /// How requests are placed and retried.
    pub tuning: TableTuning,
}

/// How requests are placed and retried, the same for all services.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TableTuning {
    /// Placement settings.
    pub placement: PlacementSettings,
    /// Retry settings.
    pub retry: RetrySettings,
}

/// A daemon whose backend server accepts new work for a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableEndpoint {
    /// The daemon beside the server.
    pub proxy: ProxyId,
    /// The server's process.
    pub server: Arc<str>,
    /// Address at which the daemon accepts requests for the server.
    pub guard: Authority,
    /// Whether it is the daemon that the table is for.
    pub is_own: bool,
}

/// A service with its endpoints.
#[derive(Clone, Debug)]
pub struct TableService {
    /// Name of the service.
    pub name: Arc<str>,
    /// Endpoints that accept new work.
    pub endpoints: HashMap<EndpointId, TableEndpoint>,
    /// How requests are divided between two versions, while an order is running.
    pub(crate) division: Option<ServiceDivision>,
    /// Placement of requests among them.
    pub(crate) placement: Arc<PlacementTable>,
    /// Budget of retries to the service.
    pub(crate) budget: Arc<RetryBudget>,
    /// The part of it that may follow a server's failure.
    pub(crate) failure_budget: Arc<RetryBudget>,
    /// Whether the last decision on a retry found the budget empty, so that each change is logged
    /// once.
    is_budget_empty: Arc<AtomicBool>,
}

/// A service that receives a part of a route's requests, by weight.
type RoutePart = (ServiceKey, u32);

#[derive(Clone, Debug)]
struct TableRoute {
    setting: RouteSetting,
    team: TeamKey,
    parts: Vec<RoutePart>,
    /// Number of requests so far, from a random start.
    counter: Arc<AtomicU64>,
}

/// Routes by host, each list with the longest prefix first.
#[derive(Clone, Debug, Default)]
struct RouteMap {
    /// Routes that name a host, in lower case.
    named: HashMap<String, Vec<TableRoute>>,
    /// Routes for any host.
    any: Vec<TableRoute>,
}

/// Routes, services and endpoints at one moment.
///
/// Routes hold keys into the table's own services, so none can refer to a service that the table
/// lacks.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    version: Version,
    /// Configuration that the table was built from.
    trees: BTreeMap<TeamName, Arc<TeamTree>>,
    services: SlotMap<ServiceKey, TableService>,
    /// Shared with earlier tables of the same configuration.
    routes: Arc<RouteMap>,
    limits: Option<LimitSetting>,
    /// Shared with earlier tables of the same configuration.
    workspaces: Arc<WorkspaceTable>,
}

/// The route of a request.
pub struct RouteMatch<'a> {
    /// The route's setting.
    pub setting: &'a RouteSetting,
    /// The team that declared the route.
    pub(crate) team: TeamKey,
    /// The service with its endpoints.
    pub service: &'a TableService,
}

impl RouteTable {
    /// Builds the table of a configuration and of the members as they are believed to be, at
    /// `now`.
    ///
    /// If the configuration is the one of the previous table, the routes are kept and not built
    /// anew. In a rolling restart the members change ten times a second, and building two thousand
    /// routes each time took so much of a small instance's processor that its callers were
    /// delayed; splits would also restart and miss their weights.
    ///
    /// Observations about a server are taken over from the previous table for the same process
    /// only.
    pub fn build<'a>(
        before: &Self,
        snapshot: &ConfigSnapshot,
        members: impl Iterator<Item = &'a MemberRecord>,
        owner: &TableOwner,
        now: Duration,
    ) -> Self {
        let members: Vec<&MemberRecord> = members.collect();
        let fleet = members.iter().filter(|record| record.is_active()).count();
        let division = (&RolloutView::default(), fleet);
        Self::build_divided(before, snapshot, members.into_iter(), owner, division, now)
    }

    /// Builds a table like [`RouteTable::build`], whose services are divided by the orders that are
    /// running and lack the versions that get nothing. Retry budgets are divided by `fleet`, the
    /// number of daemons.
    pub fn build_divided<'a>(
        before: &Self,
        snapshot: &ConfigSnapshot,
        members: impl Iterator<Item = &'a MemberRecord>,
        owner: &TableOwner,
        (rollouts, fleet): (&RolloutView, usize),
        now: Duration,
    ) -> Self {
        let mut found = find_endpoints(members);
        let mut build = |name: &str, previous: Option<&TableService>| {
            let mut endpoints = found.remove(name).unwrap_or_default();
            let mut division = None;
            if rollouts.is_enabled {
                let previous = previous.and_then(|previous| previous.division.as_ref());
                division = divide(rollouts, name, &mut endpoints, previous);
            }
            let mut service = build_service(previous, name, &endpoints, owner, now);
            service.division = division;
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
        let workspaces = Arc::new(WorkspaceTable::build(snapshot));
        Self { version: snapshot.version(), trees, services, routes, limits, workspaces }
    }

    /// Returns whether the table was built from exactly this configuration.
    fn is_built_from(&self, snapshot: &ConfigSnapshot) -> bool {
        let is_same = |(own, given): (&Arc<TeamTree>, &Arc<TeamTree>)| Arc::ptr_eq(own, given);
        self.version == snapshot.version()
            && self.trees.len() == snapshot.trees.len()
            && self.trees.values().zip(snapshot.trees.values()).all(is_same)
    }

    /// Returns the version of the configuration that the table was built from.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the limits on callers, if the configuration sets any.
    pub fn limits(&self) -> Option<&LimitSetting> {
        self.limits.as_ref()
    }

    /// Returns the workspaces.
    pub fn workspaces(&self) -> &WorkspaceTable {
        &self.workspaces
    }

    /// Returns the services.
    pub fn services(&self) -> impl Iterator<Item = &TableService> {
        self.services.values()
    }

    /// Returns the longest deadline of a route.
    pub(crate) fn longest_deadline(&self) -> Duration {
        let routes = self.routes.named.values().flatten().chain(&self.routes.any);
        let longest = routes.map(|route| route.setting.deadline_ms).max();
        Duration::from_millis(longest.unwrap_or_default())
    }

    /// Returns the route of a request: the one with the longest prefix that covers its path, and on
    /// equal prefixes the one that names the host.
    pub fn find(&self, host: Option<&str>, path: &str) -> Option<RouteMatch<'_>> {
        let host = host.map(str::to_ascii_lowercase);
        let bare = host.as_deref().and_then(|host| host.rsplit_once(':')).map(|(name, _)| name);
        let of_host = |host: Option<&str>| longest_match(self.routes.named.get(host?)?, path);
        let named = of_host(host.as_deref()).or_else(|| of_host(bare));
        let any = longest_match(&self.routes.any, path);
        // On equal prefixes the route that names the host wins.
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
    /// Returns the service that receives the next request, in proportion to the weights.
    ///
    /// Multiples of the golden ratio are evenly spread over any interval, so a part gets its share
    /// of every few dozen requests already, where independent draws would deviate by a tenth and
    /// more.
    fn pick_service(&self) -> Option<ServiceKey> {
        const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;
        if let [(service, _)] = self.parts[..] {
            return Some(service);
        }
        let total: u64 = self.parts.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let counter = self.counter.fetch_add(1, Ordering::Relaxed).wrapping_mul(GOLDEN_RATIO);
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
    /// Records whether the last decision on a retry found the budget empty, and logs each change.
    pub(crate) fn record_budget_state(&self, is_budget_empty: bool) {
        match self.is_budget_empty.swap(is_budget_empty, Ordering::Relaxed) {
            was if was == is_budget_empty => {}
            false => log::warn!("proxy: the retry budget of service {} is empty.", self.name),
            true => {
                log::info!("proxy: the retry budget of service {} is available again.", self.name)
            }
        }
    }

    /// Returns the number of whole retries left in the budget.
    pub fn remaining_retries(&self) -> u64 {
        self.budget.remaining_retries()
    }

    /// Returns the placement state of each endpoint, by its daemon.
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

/// Returns the endpoints that accept work, by service.
///
/// A suspected daemon counts only for a service that has no other: it is likely gone, but a
/// request that would fail without it loses nothing by the attempt.
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

/// Removes the endpoints of a service whose versions get nothing, and divides the others if an order
/// is running.
fn divide(
    rollouts: &RolloutView,
    service: &str,
    endpoints: &mut Vec<(&MemberRecord, &EndpointRecord)>,
    previous: Option<&ServiceDivision>,
) -> Option<ServiceDivision> {
    let present = endpoints.iter().map(|(_, endpoint)| endpoint.version.as_str()).collect();
    let group = |version: &str| rollouts.group_of(service, version, &present);
    endpoints.retain(|(_, endpoint)| group(&endpoint.version) != VersionGroup::Blocked);
    let order = rollouts.service(service)?.order.as_ref()?;
    let mut divided = DividedEndpoints::default();
    for (member, endpoint) in endpoints.iter() {
        match group(&endpoint.version) {
            VersionGroup::Target => divided.target.push((endpoint_id(member), &endpoint.server)),
            VersionGroup::Base => divided.base.push(endpoint_id(member)),
            VersionGroup::Open | VersionGroup::Blocked => {}
        }
    }
    let is_divided = !divided.target.is_empty();
    is_divided.then(|| ServiceDivision::build(previous, order, divided))
}

/// Builds a service, with the budgets and observations of its previous table.
fn build_service(
    previous: Option<&TableService>,
    name: &str,
    found: &[(&MemberRecord, &EndpointRecord)],
    owner: &TableOwner,
    now: Duration,
) -> TableService {
    let endpoints: HashMap<EndpointId, TableEndpoint> = found
        .iter()
        .filter_map(|(member, endpoint)| make_endpoint(member, endpoint, owner))
        .collect();
    let records: Vec<PlacedRecord> =
        found.iter().map(|(member, endpoint)| place_record(member, endpoint, owner, now)).collect();
    let placement = match previous {
        Some(previous) => previous.placement.rebuild(&records, now),
        None => PlacementTable::new(owner.tuning.placement).rebuild(&records, now),
    };
    let retry = owner.tuning.retry;
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
        division: None,
        placement: Arc::new(placement),
        budget,
        failure_budget,
        is_budget_empty,
    }
}

/// Creates the endpoint of a member; `None` if its guard's address is not a valid authority.
fn make_endpoint(
    member: &MemberRecord,
    endpoint: &EndpointRecord,
    owner: &TableOwner,
) -> Option<(EndpointId, TableEndpoint)> {
    let endpoint = TableEndpoint {
        proxy: member.proxy.clone(),
        server: Arc::from(endpoint.server.as_str()),
        guard: member.guard.to_string().parse().ok()?,
        is_own: member.proxy == owner.proxy,
    };
    Some((endpoint_id(member), endpoint))
}

/// Creates the record of an endpoint for placement.
fn place_record(
    member: &MemberRecord,
    endpoint: &EndpointRecord,
    owner: &TableOwner,
    now: Duration,
) -> PlacedRecord {
    let distance = match member {
        _ if member.data_centre == owner.data_centre => EndpointDistance::SameCentre,
        _ if member.region == owner.region => EndpointDistance::SameRegion,
        _ => EndpointDistance::OtherRegion,
    };
    // The daemon's process is included: a guard that leaves announces this for good, and the next
    // daemon beside the same server must not be mistaken for it.
    let daemon = member.incarnation.to_le_bytes();
    PlacedRecord {
        id: endpoint_id(member),
        incarnation: stable_hash(&[endpoint.server.as_bytes(), &daemon]),
        slots: endpoint.slots,
        distance,
        age: if now < STARTUP_WINDOW { WARM_AGE } else { Duration::ZERO },
    }
}

/// Returns the id of a member's endpoint, the same on every daemon.
fn endpoint_id(member: &MemberRecord) -> EndpointId {
    stable_hash(&[member.proxy.as_bytes()])
}

/// Builds the routes of a configuration, by host.
fn collect_routes(
    snapshot: &ConfigSnapshot,
    keys: &BTreeMap<&ServiceName, ServiceKey>,
) -> RouteMap {
    let mut routes = RouteMap::default();
    for (path, body) in snapshot.settings() {
        let SettingBody::Route(setting) = body else { continue };
        // Validation refuses a route without its service; skipping it keeps the table consistent
        // even if validation failed to.
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

/// Returns limits that satisfy both.
fn strictest(one: LimitSetting, other: LimitSetting) -> LimitSetting {
    LimitSetting {
        max_head_bytes: one.max_head_bytes.min(other.max_head_bytes),
        max_body_bytes: one.max_body_bytes.min(other.max_body_bytes),
        head_timeout_ms: one.head_timeout_ms.min(other.head_timeout_ms),
        idle_timeout_ms: one.idle_timeout_ms.min(other.idle_timeout_ms),
    }
}

/// Returns the route with the longest prefix that covers a path, from a list with the longest
/// first.
fn longest_match<'a>(routes: &'a [TableRoute], path: &str) -> Option<&'a TableRoute> {
    routes.iter().find(|route| is_prefix(&route.setting.prefix, path))
}

/// Returns whether a prefix covers a path. Prefixes match at segment borders: `/board` covers
/// `/board` and `/board/1` but not `/boards`.
fn is_prefix(prefix: &str, path: &str) -> bool {
    let rest = path.strip_prefix(prefix);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/'))
}
