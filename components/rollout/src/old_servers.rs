//! What a relay knows of the old servers of an order, which is done only once their guards say that
//! these run nothing any more.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use sk_member::{FleetKnowledge, ServerId};
use sk_model::ProxyId;
use tokio::time::Instant;

use crate::{
    orders::RolloutOrder,
    records::{EvidenceRecord, STAGE_ENDED, StageRecord},
    state::RolloutState,
    versions::SeenServer,
};

/// Time after which a daemon that lists no old server any more has none. Longer than a daemon that
/// starts again needs to find the server beside it.
const ABSENT_TIME: Duration = Duration::from_secs(5);

/// What is known of the old servers beside one daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HostState {
    /// The daemon is within reach and lists old servers.
    Present,
    /// The daemon is within reach and lists none, perhaps because it has just started.
    Unclear,
    /// The daemon says that it has none, or has left the fleet.
    Left,
    /// The daemon is not within reach.
    Lost,
}

/// What is known of the old servers of an order.
#[derive(Clone, Debug, Default)]
pub(crate) struct OldServers {
    /// Old servers beside daemons within reach.
    present: BTreeSet<ServerId>,
    /// Daemons that may have old servers which they do not list.
    unclear: u32,
    /// Whether too few daemons are within reach to know what the old servers run.
    pub(crate) is_lost: bool,
}

/// Since when each host of an order is within reach without listing an old server.
#[derive(Clone, Debug, Default)]
pub(crate) struct AbsentHosts(BTreeMap<ProxyId, Instant>);

impl AbsentHosts {
    /// Returns what is known of the old servers of an order.
    pub(crate) fn assess(
        &mut self,
        state: &RolloutState,
        order: &RolloutOrder,
        record: &StageRecord,
        fleet: &FleetKnowledge,
        now: Instant,
    ) -> OldServers {
        let within_reach =
            servers_of(state, order, false).filter(|(_, it)| fleet.reaches(&it.host));
        let (present, listing): (BTreeSet<ServerId>, BTreeSet<&ProxyId>) =
            within_reach.map(|(server, it)| (server.clone(), &it.host)).unzip();
        let replaced: BTreeSet<&ProxyId> =
            servers_of(state, order, true).map(|(_, server)| &server.host).collect();
        let is_absent = |host: &ProxyId| fleet.reaches(host) && !listing.contains(host);
        self.0.retain(|host, _| is_absent(host));
        for host in record.hosts.iter().filter(|host| is_absent(host)) {
            self.0.entry(host.clone()).or_insert(now);
        }
        let state_of = |host: &ProxyId| match self.0.get(host) {
            _ if !fleet.has(host) => HostState::Left,
            _ if !fleet.reaches(host) => HostState::Lost,
            Some(_) if replaced.contains(host) => HostState::Left,
            Some(since) if now.duration_since(*since) >= ABSENT_TIME => HostState::Left,
            Some(_) => HostState::Unclear,
            None => HostState::Present,
        };
        let states: Vec<HostState> = record.hosts.iter().map(state_of).collect();
        let count = |wanted: HostState| states.iter().filter(|state| **state == wanted).count();
        OldServers {
            present,
            unclear: count(HostState::Unclear) as u32,
            // Without any old server known, a daemon that has not been heard of may have one.
            is_lost: match states.is_empty() {
                true => !fleet.is_complete() || !record.base.is_empty(),
                false => count(HostState::Lost) * 2 > states.len(),
            },
        }
    }
}

impl OldServers {
    /// Returns the number of requests on old servers. A guard that does not know yet that all
    /// requests go to the target version counts as running one, and so does a daemon that may have
    /// old servers.
    pub(crate) fn running(&self, state: &RolloutState, order: &RolloutOrder) -> u32 {
        let known = last_records(state, order);
        let running = self.present.iter().map(|server| match known.get(server.as_str()) {
            Some(record) if record.stage_known >= 1000 => record.running,
            Some(record) => record.running.max(1),
            None => 1,
        });
        running.sum::<u32>() + self.unclear
    }

    /// Returns whether the guards of the old servers know that the order has ended and run nothing.
    /// Those of a few daemons that are not within reach are not waited for.
    pub(crate) fn have_ended(&self, state: &RolloutState, order: &RolloutOrder) -> bool {
        let known = last_records(state, order);
        let is_ended =
            |record: &&EvidenceRecord| record.stage_known == STAGE_ENDED && record.running == 0;
        let is_present_ended = |server: &ServerId| known.get(server.as_str()).is_some_and(is_ended);
        !self.is_lost && self.unclear == 0 && self.present.iter().all(is_present_ended)
    }
}

/// Returns the servers of the target version, or the others of its service.
fn servers_of<'a>(
    state: &'a RolloutState,
    order: &'a RolloutOrder,
    is_target: bool,
) -> impl Iterator<Item = (&'a ServerId, &'a SeenServer)> {
    let versions = state.versions.of_service(&order.service).into_iter().flatten();
    let wanted = versions.filter(move |(version, _)| (**version == order.target) == is_target);
    wanted.flat_map(|(_, sighting)| sighting.servers())
}

/// Returns the last record of each server.
fn last_records<'a>(
    state: &'a RolloutState,
    order: &RolloutOrder,
) -> BTreeMap<&'a str, &'a EvidenceRecord> {
    let mut last: BTreeMap<&str, &EvidenceRecord> = BTreeMap::new();
    let id = order.id();
    for record in state.all_evidence().filter(|record| record.order == id) {
        let held = last.entry(&record.server).or_insert(record);
        if held.incarnation < record.incarnation {
            *held = record;
        }
    }
    last
}
