//! Which versions of a service may get requests now, as the request path reads it.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use sk_decide::rollout::RolloutPhase;
use sk_member::ServerVersion;
use sk_model::ServiceName;

use crate::orders::OrderId;

/// Rules for all services that have any. A service without rules has one version only, or its
/// versions are not distinguished.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RolloutView {
    /// Whether this deployment has roll-outs.
    pub is_enabled: bool,
    /// Rules by service.
    pub services: BTreeMap<ServiceName, Arc<ServiceView>>,
}

/// Rules for the versions of one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceView {
    /// Versions that may get requests where the service has several.
    pub admitted: BTreeSet<ServerVersion>,
    /// Versions that get nothing, also if there is no other.
    pub blocked: BTreeSet<ServerVersion>,
    /// The order that is running.
    pub order: Option<ActiveOrder>,
}

/// An order that is running, as the entry and the guard apply it.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveOrder {
    /// The order.
    pub id: OrderId,
    /// Version that is to get the traffic.
    pub target: ServerVersion,
    /// Phase, `None` while no stage is known.
    pub phase: Option<RolloutPhase>,
    /// Part of the requests that the target version may get, 0 to 1.
    pub share: f64,
    /// Servers of the target version that get them.
    pub servers: u32,
    /// Whether servers of other versions are known to have run beside the target version.
    pub has_base: bool,
}

/// How a version is treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionGroup {
    /// As any server of the service.
    Open,
    /// By the share of the running order.
    Target,
    /// It gets what the target version does not get.
    Base,
    /// It gets nothing.
    Blocked,
}

impl RolloutView {
    /// Returns the rules of a service.
    pub fn service(&self, service: &str) -> Option<&Arc<ServiceView>> {
        self.services.get(service)
    }

    /// Returns how a version is treated, if `present` are the versions of the service.
    pub fn group_of(&self, service: &str, version: &str, present: &BTreeSet<&str>) -> VersionGroup {
        if !self.is_enabled {
            return VersionGroup::Open;
        }
        let is_single = present.len() <= 1;
        match self.service(service) {
            None if is_single => VersionGroup::Open,
            None if guess_oldest(present.iter().copied()) == Some(version) => VersionGroup::Open,
            None => VersionGroup::Blocked,
            Some(view) => view.group_of(version, is_single),
        }
    }
}

impl ServiceView {
    fn group_of(&self, version: &str, is_single: bool) -> VersionGroup {
        match &self.order {
            _ if self.blocked.contains(version) => VersionGroup::Blocked,
            Some(order) if order.target == version && is_single && !order.has_base => {
                VersionGroup::Open
            }
            Some(order) if order.target == version => VersionGroup::Target,
            // A server that has not stated its version yet may be one of the target version.
            Some(_) if version.is_empty() && !is_single => VersionGroup::Blocked,
            Some(_) => VersionGroup::Base,
            None if is_single || self.admitted.contains(version) => VersionGroup::Open,
            None => VersionGroup::Blocked,
        }
    }
}

/// Returns the version that is most likely the oldest, by its name: a daemon that has just started
/// and knows nothing of the orders has to send requests somewhere. A server that has not stated its
/// version comes last.
pub(crate) fn guess_oldest<'a>(versions: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    versions.min_by_key(|version| (version.is_empty(), version.len(), *version))
}
