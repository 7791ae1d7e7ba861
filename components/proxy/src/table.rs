//! The immutable table that requests are routed by.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use arc_swap::ArcSwap;
use sk_member::{EndpointStatus, MemberRecord, MemberStatus};
use sk_model::{ConfigSnapshot, ProxyId, RouteSetting, ServiceName, SettingBody, Version};
use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Key of a service in one table.
    pub struct ServiceKey;
}

/// The table in force, swapped whole.
pub type SharedTable = Arc<ArcSwap<RouteTable>>;

/// A daemon whose backend server takes new work for a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableEndpoint {
    /// The daemon beside the server.
    pub proxy: ProxyId,
    /// Data centre of the instance.
    pub data_centre: String,
    /// Where the daemon takes requests for the server.
    pub guard: SocketAddr,
    /// Requests the server works on at once.
    pub slots: u32,
}

/// A service with its endpoints.
#[derive(Clone, Debug, Default)]
pub struct TableService {
    /// Name of the service.
    pub name: ServiceName,
    /// Endpoints that take new work.
    pub endpoints: Vec<TableEndpoint>,
}

#[derive(Clone, Debug)]
struct TableRoute {
    setting: RouteSetting,
    service: ServiceKey,
}

/// Routes, services and endpoints of one moment.
///
/// Routes hold keys into the table's own services, so none can point at a service it lacks.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    version: Version,
    services: SlotMap<ServiceKey, TableService>,
    /// Longest prefix first, and routes with a host before those without.
    routes: Vec<TableRoute>,
}

/// The route that a request takes.
pub struct RouteMatch<'a> {
    /// The route's setting.
    pub setting: &'a RouteSetting,
    /// The service with its endpoints.
    pub service: &'a TableService,
}

impl RouteTable {
    /// Builds the table of a configuration and of the members as they are believed to be.
    pub fn build<'a>(
        snapshot: &ConfigSnapshot,
        members: impl Iterator<Item = &'a MemberRecord>,
    ) -> Self {
        let mut services = SlotMap::with_key();
        let mut keys = BTreeMap::new();
        for (path, body) in snapshot.settings() {
            if matches!(body, SettingBody::Service(_)) {
                let service = TableService { name: path.clone(), endpoints: Vec::new() };
                keys.insert(path, services.insert(service));
            }
        }
        for record in members.filter(|record| record.status == MemberStatus::Alive) {
            add_endpoints(&mut services, &keys, record);
        }
        let routes = collect_routes(snapshot, &keys);
        Self { version: snapshot.version(), services, routes }
    }

    /// Gives the version of the configuration the table was built from.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Lists the services.
    pub fn services(&self) -> impl Iterator<Item = &TableService> {
        self.services.values()
    }

    /// Finds the route of a request: the longest prefix, a named host before any host.
    pub fn find(&self, host: Option<&str>, path: &str) -> Option<RouteMatch<'_>> {
        let is_match = |route: &&TableRoute| {
            is_prefix(&route.setting.prefix, path)
                && route.setting.host.as_deref().is_none_or(|wanted| Some(wanted) == host)
        };
        let route = self.routes.iter().find(is_match)?;
        let service = self.services.get(route.service)?;
        Some(RouteMatch { setting: &route.setting, service })
    }
}

fn add_endpoints(
    services: &mut SlotMap<ServiceKey, TableService>,
    keys: &BTreeMap<&ServiceName, ServiceKey>,
    record: &MemberRecord,
) {
    for endpoint in &record.endpoints {
        let service = keys.get(&endpoint.service).and_then(|key| services.get_mut(*key));
        if let Some(service) = service.filter(|_| endpoint.status == EndpointStatus::Ready) {
            service.endpoints.push(TableEndpoint {
                proxy: record.proxy.clone(),
                data_centre: record.data_centre.clone(),
                guard: record.guard,
                slots: endpoint.slots,
            });
        }
    }
}

fn collect_routes(
    snapshot: &ConfigSnapshot,
    keys: &BTreeMap<&ServiceName, ServiceKey>,
) -> Vec<TableRoute> {
    let mut routes = Vec::new();
    for (_, body) in snapshot.settings() {
        // Validation refuses a route without its service; skipping it keeps the table sound even
        // if that ever failed.
        if let SettingBody::Route(setting) = body
            && let Some(service) = keys.get(&setting.service)
        {
            routes.push(TableRoute { setting: setting.clone(), service: *service });
        }
    }
    routes.sort_by_key(|route| {
        (std::cmp::Reverse(route.setting.prefix.len()), route.setting.host.is_none())
    });
    routes
}

/// Matches at segment borders: `/board` covers `/board` and `/board/1` but not `/boards`.
fn is_prefix(prefix: &str, path: &str) -> bool {
    let rest = path.strip_prefix(prefix);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/'))
}
