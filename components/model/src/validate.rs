//! Checks that span a whole configuration.
//!
//! They refuse a change that is valid by itself but not together with other teams' settings, such
//! as a route to a service that does not exist.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{ServiceName, SettingBody, SettingPath, TeamName, TeamTree, check_path, team_of};

/// Why a whole configuration cannot be accepted.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "fault", rename_all = "kebab-case")]
pub enum ConfigFault {
    /// A route names a service that no setting declares.
    #[error("route {route} names the service {service}, which does not exist")]
    MissingService {
        /// Path of the route.
        route: SettingPath,
        /// The missing service.
        service: ServiceName,
    },
    /// Two routes match the same requests, so their order would decide.
    #[error("routes {first} and {second} both claim {claim}")]
    RouteClash {
        /// Path of the first route.
        first: SettingPath,
        /// Path of the second route.
        second: SettingPath,
        /// Host and prefix that both match.
        claim: String,
    },
    /// Two workspaces have the same name or the same key, so it is not known whose a request is.
    #[error("workspaces {first} and {second} have the same {shared}")]
    WorkspaceClash {
        /// Path of the first workspace.
        first: SettingPath,
        /// Path of the second workspace.
        second: SettingPath,
        /// What they share: `name` or `key`.
        shared: String,
    },
    /// A path is malformed or lies outside the subtree that holds it.
    #[error("setting {path} does not belong in the subtree of {team}")]
    ForeignPath {
        /// The path.
        path: SettingPath,
        /// The team whose subtree holds it.
        team: TeamName,
    },
    /// A field of a setting is out of bounds.
    #[error("setting {path}: {reason}")]
    #[serde(rename = "bad-body")]
    InvalidBody {
        /// Path of the setting.
        path: SettingPath,
        /// What is wrong and what is allowed.
        reason: String,
    },
}

/// Checks all subtrees together and returns every fault found; the list is empty for a valid
/// configuration.
pub fn validate_trees(trees: &BTreeMap<TeamName, Arc<TeamTree>>) -> Vec<ConfigFault> {
    let mut faults = Vec::new();
    let mut services = BTreeSet::new();
    for (team, tree) in trees {
        for (path, body) in &tree.settings {
            check_setting(team, path, body, &mut faults);
            if matches!(body, SettingBody::Service(_)) {
                services.insert(path);
            }
        }
    }
    check_routes(trees, &services, &mut faults);
    check_workspaces(trees, &mut faults);
    faults
}

/// Checks that a setting lies in its team's subtree and that its fields are within bounds.
fn check_setting(
    team: &TeamName,
    path: &SettingPath,
    body: &SettingBody,
    faults: &mut Vec<ConfigFault>,
) {
    if check_path(path).is_err() || team_of(path) != team {
        faults.push(ConfigFault::ForeignPath { path: path.clone(), team: team.clone() });
    }
    if let Err(err) = body.check_bounds() {
        faults.push(ConfigFault::InvalidBody { path: path.clone(), reason: err.to_string() });
    }
}

/// Checks that the services of all routes exist and that no two routes match the same requests.
fn check_routes(
    trees: &BTreeMap<TeamName, Arc<TeamTree>>,
    services: &BTreeSet<&SettingPath>,
    faults: &mut Vec<ConfigFault>,
) {
    let mut claims: BTreeMap<(Option<&str>, &str), &SettingPath> = BTreeMap::new();
    for (path, body) in trees.values().flat_map(|tree| &tree.settings) {
        let SettingBody::Route(route) = body else { continue };
        for (service, _) in route.targets().filter(|(service, _)| !services.contains(service)) {
            faults.push(ConfigFault::MissingService {
                route: path.clone(),
                service: service.clone(),
            });
        }
        if let Some(first) = claims.insert((route.host.as_deref(), &route.prefix), path) {
            faults.push(ConfigFault::RouteClash {
                first: first.clone(),
                second: path.clone(),
                claim: format!("{}{}", route.host.as_deref().unwrap_or("*"), route.prefix),
            });
        }
    }
}

/// Checks that no two workspaces have the same name or a key in common.
fn check_workspaces(trees: &BTreeMap<TeamName, Arc<TeamTree>>, faults: &mut Vec<ConfigFault>) {
    let mut names: BTreeMap<&str, &SettingPath> = BTreeMap::new();
    let mut keys: BTreeMap<&str, &SettingPath> = BTreeMap::new();
    for (path, body) in trees.values().flat_map(|tree| &tree.settings) {
        let SettingBody::Workspace(workspace) = body else { continue };
        let same_name = names.insert(&workspace.name, path).map(|first| (first, "name"));
        let mut shared_keys = workspace.key_sha256.iter().filter_map(|key| keys.insert(key, path));
        let same_key = shared_keys.next().map(|first| (first, "key"));
        for (first, shared) in same_name.into_iter().chain(same_key) {
            faults.push(ConfigFault::WorkspaceClash {
                first: first.clone(),
                second: path.clone(),
                shared: shared.to_owned(),
            });
        }
    }
}
