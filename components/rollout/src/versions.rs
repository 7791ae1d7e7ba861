//! Versions that a daemon sees at the services, and since when.

use std::collections::{BTreeMap, BTreeSet};

use sk_decide::rollout::VersionCapacity;
use sk_member::{EndpointStatus, MemberRecord, ServerId, ServerVersion};
use sk_model::{ProxyId, ServiceName};
use std::time::Duration;
use tokio::time::Instant;

use crate::view::guess_oldest;

/// Longest time for which a version is held back while the orders cannot be read.
const MAX_HOLD: Duration = Duration::from_secs(10);
/// Age from which a server counts as warm.
const WARM_AGE: Duration = Duration::from_secs(3);

/// Servers of one service and version.
#[derive(Clone, Debug)]
pub struct VersionSighting {
    /// Since when the version is known.
    first_seen: Instant,
    /// Servers that are ready.
    servers: BTreeMap<ServerId, SeenServer>,
}

/// A server that is ready.
#[derive(Clone, Debug)]
pub(crate) struct SeenServer {
    /// The daemon beside it.
    pub(crate) host: ProxyId,
    slots: u32,
    /// Since when it is known.
    since: Instant,
}

/// Versions of all services.
#[derive(Debug, Default)]
pub(crate) struct VersionTable {
    services: BTreeMap<ServiceName, BTreeMap<ServerVersion, VersionSighting>>,
}

impl VersionTable {
    /// Takes over what the members say now.
    pub(crate) fn observe<'a>(
        &mut self,
        members: impl Iterator<Item = &'a MemberRecord>,
        now: Instant,
    ) {
        let mut before = std::mem::take(&mut self.services);
        for record in members.filter(|record| record.is_active()) {
            for endpoint in &record.endpoints {
                if endpoint.status != EndpointStatus::Ready {
                    continue;
                }
                let old = before
                    .get_mut(&endpoint.service)
                    .and_then(|versions| versions.get_mut(&endpoint.version));
                let first_seen = old.as_ref().map_or(now, |old| old.first_seen);
                let since = old
                    .and_then(|old| old.servers.get(&endpoint.server))
                    .map_or(now, |server| server.since);
                let versions = self.services.entry(endpoint.service.clone()).or_default();
                let sighting = versions
                    .entry(endpoint.version.clone())
                    .or_insert_with(|| VersionSighting { first_seen, servers: BTreeMap::new() });
                let host = record.proxy.clone();
                let server = SeenServer { host, slots: endpoint.slots, since };
                sighting.servers.insert(endpoint.server.clone(), server);
            }
        }
    }

    /// Returns the services with their versions.
    pub(crate) fn services(
        &self,
    ) -> impl Iterator<Item = (&ServiceName, &BTreeMap<ServerVersion, VersionSighting>)> {
        self.services.iter()
    }

    /// Returns the versions of a service.
    pub(crate) fn of_service(
        &self,
        service: &str,
    ) -> Option<&BTreeMap<ServerVersion, VersionSighting>> {
        self.services.get(service)
    }

    /// Returns the capacity of the servers of a service whose version passes `is_wanted`.
    pub(crate) fn capacity(
        &self,
        service: &str,
        now: Instant,
        is_wanted: impl Fn(&str) -> bool,
    ) -> VersionCapacity {
        let mut capacity = VersionCapacity::default();
        let versions = self.services.get(service).into_iter().flatten();
        for (_, sighting) in versions.filter(|(version, _)| is_wanted(version)) {
            for server in sighting.servers.values() {
                capacity.servers += 1;
                capacity.slots += server.slots;
                capacity.warm_servers += u32::from(now.duration_since(server.since) >= WARM_AGE);
            }
        }
        capacity
    }
}

/// Returns the versions that are not held back: the orders are known as of a time after the daemon
/// first saw them, or cannot be read for long. If that holds for none, one of them is chosen, so
/// that the service is not without servers.
pub(crate) fn admitted_versions(
    versions: &BTreeMap<ServerVersion, VersionSighting>,
    read_at: Option<Instant>,
    now: Instant,
) -> BTreeSet<ServerVersion> {
    let is_known = |sighting: &VersionSighting| {
        read_at.is_some_and(|read_at| read_at > sighting.first_seen)
            || now.duration_since(sighting.first_seen) >= MAX_HOLD
    };
    let admitted: BTreeSet<ServerVersion> = versions
        .iter()
        .filter(|(_, sighting)| is_known(sighting))
        .map(|(version, _)| version.clone())
        .collect();
    match admitted.is_empty() {
        true => guess_oldest(versions.keys().map(String::as_str))
            .map(str::to_owned)
            .into_iter()
            .collect(),
        false => admitted,
    }
}

impl VersionSighting {
    /// Returns the servers that are ready.
    pub(crate) fn servers(&self) -> impl Iterator<Item = (&ServerId, &SeenServer)> {
        self.servers.iter()
    }
}
