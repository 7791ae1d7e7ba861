//! No table ever has a route to a service or an endpoint that it lacks.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use proptest::prelude::*;
use sk_member::{EndpointRecord, EndpointStatus, MemberRecord, MemberStatus};
use sk_model::{
    ConfigSnapshot, RouteSetting, ServiceSetting, SettingBody, SnapshotRoot, TeamTree,
    validate_trees,
};
use sk_proxy::{RouteTable, TableOwner};

const SERVICES: u8 = 3;

fn service(index: u8) -> String {
    format!("/team/service{index}")
}

fn route(index: u8, service_index: u8) -> (String, SettingBody) {
    let body = RouteSetting {
        deadline_ms: 1_000,
        ..RouteSetting::new(format!("/{index}"), service(service_index))
    };
    (format!("/team/routes/{index}"), SettingBody::Route(body))
}

/// Services, and routes to any of them, also to ones that do not exist.
fn settings() -> impl Strategy<Value = BTreeMap<String, SettingBody>> {
    let services = prop::collection::btree_set(0..SERVICES, 0..=usize::from(SERVICES));
    let routes = prop::collection::btree_map(0..4_u8, 0..SERVICES, 0..4);
    (services, routes).prop_map(|(services, routes)| {
        let body = || SettingBody::Service(ServiceSetting::default());
        let services = services.into_iter().map(|index| (service(index), body()));
        services.chain(routes.into_iter().map(|(index, to)| route(index, to))).collect()
    })
}

fn status() -> impl Strategy<Value = MemberStatus> {
    prop_oneof![
        3 => Just(MemberStatus::Alive),
        1 => Just(MemberStatus::Suspect),
        1 => Just(MemberStatus::Leaving),
        1 => Just(MemberStatus::Gone),
    ]
}

fn record() -> impl Strategy<Value = MemberRecord> {
    let endpoint = (0..SERVICES, any::<bool>()).prop_map(|(index, is_ready)| EndpointRecord {
        service: service(index),
        server: format!("server{index}"),
        slots: 12,
        status: if is_ready { EndpointStatus::Ready } else { EndpointStatus::Draining },
        version: String::new(),
    });
    let endpoints = prop::collection::vec(endpoint, 0..3);
    (0..5_u8, status(), endpoints).prop_map(|(index, status, endpoints)| MemberRecord {
        proxy: format!("proxy{index}"),
        incarnation: 1,
        sequence: 1,
        status,
        data_centre: "lj1".to_owned(),
        region: "slovenia".to_owned(),
        control: SocketAddr::from(([127, 0, 0, 1], 1)),
        guard: SocketAddr::from(([127, 0, 0, 1], 2)),
        endpoints,
    })
}

fn snapshot(settings: BTreeMap<String, SettingBody>) -> ConfigSnapshot {
    let trees = BTreeMap::from([("team".to_owned(), Arc::new(TeamTree { settings }))]);
    ConfigSnapshot { root: SnapshotRoot { version: 1, ..SnapshotRoot::default() }, trees }
}

fn owner() -> TableOwner {
    TableOwner {
        proxy: "proxy0".to_owned(),
        data_centre: "lj1".to_owned(),
        region: "slovenia".to_owned(),
        ..TableOwner::default()
    }
}

/// Returns a description of a route that leads to a missing service or endpoint, if there is one.
fn dangling(table: &RouteTable, members: &BTreeMap<String, MemberRecord>) -> Option<String> {
    for index in 0..4 {
        let Some(found) = table.find(None, &format!("/{index}")) else { continue };
        if !table.services().any(|service| service.name == found.service.name) {
            return Some(format!("/{index} has no service"));
        }
        for endpoint in found.service.endpoints.values() {
            let runs = members.get(&endpoint.proxy).is_some_and(|record| {
                record.endpoints.iter().any(|endpoint| *endpoint.service == *found.service.name)
            });
            if !runs {
                return Some(format!("/{index} leads to {}", endpoint.proxy));
            }
        }
    }
    None
}

proptest! {
    // Guards against a caller on a route without a service or endpoint, which would wait for an
    // answer that cannot come. Endpoints change while configurations follow each other, also ones
    // that validation would have refused.
    #[test]
    fn never_dangling(
        steps in prop::collection::vec((settings(), prop::collection::vec(record(), 0..6)), 1..6),
    ) {
        let mut table = RouteTable::default();
        for (settings, records) in steps {
            let members: BTreeMap<String, MemberRecord> =
                records.into_iter().map(|record| (record.proxy.clone(), record)).collect();
            let snapshot = snapshot(settings);
            let now = Duration::from_secs(1);
            table = RouteTable::build(&table, &snapshot, members.values(), &owner(), now);
            prop_assert_eq!(dangling(&table, &members), None);
            // The table has every route of a valid configuration.
            if validate_trees(&snapshot.trees).is_empty() {
                let routes = snapshot.settings().filter(|(path, _)| path.contains("/routes/"));
                for (path, _) in routes {
                    let prefix = path.replace("/team/routes", "");
                    prop_assert!(table.find(None, &prefix).is_some(), "{} is lost", path);
                }
            }
        }
    }

    // A proxy that applies each setting as it arrives fails: whatever the order, some prefix of a
    // change that moves a route to a new service has the route without the service.
    #[test]
    fn unordered_settings_dangle(is_reversed in any::<bool>()) {
        let mut writes = vec![
            (service(1), SettingBody::Service(ServiceSetting::default())),
            route(0, 1),
        ];
        if is_reversed {
            writes.reverse();
        }
        // Removing the two again passes the same states in reverse.
        let (mut applied, mut has_dangled) = (BTreeMap::new(), false);
        for (path, body) in writes.iter().cloned() {
            applied.insert(path, body);
            has_dangled |= !validate_trees(&snapshot(applied.clone()).trees).is_empty();
        }
        for (path, _) in &writes {
            applied.remove(path);
            has_dangled |= !validate_trees(&snapshot(applied.clone()).trees).is_empty();
        }
        prop_assert!(has_dangled);
    }
}
