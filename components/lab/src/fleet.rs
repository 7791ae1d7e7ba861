//! Servers and daemons of a scenario, with the decisions' own state.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use sk_decide::{
    admitting::{AdmissionGuard, GuardSettings, Ticket},
    placing::{EndpointDistance, EndpointRecord, PlacementSettings, PlacementTable},
};

use crate::scenario::Scenario;

/// Servers are older than any warm-up at the start.
const OLD: Duration = Duration::from_secs(3600);

/// The daemons' settings that are tried.
#[derive(Clone, Copy, Debug)]
pub struct LabPolicy {
    /// Placing.
    pub placement: PlacementSettings,
    /// Admission; each server's slots are the scenario's.
    pub guard: GuardSettings,
    /// Attempts that no server took in and that are made again elsewhere.
    pub free_moves: u8,
}

/// Place of a call among all of a run.
pub(crate) type CallIndex = usize;
/// Place of a server among all, which is that of the daemon beside it too.
pub(crate) type ServerIndex = usize;

/// A backend server with its guard.
pub(crate) struct LabServer {
    pub(crate) service: String,
    pub(crate) data_centre: String,
    /// Factor on the work of each request.
    pub(crate) slowness: f64,
    pub(crate) guard: AdmissionGuard,
    /// Calls that run or wait here.
    pub(crate) held: BTreeMap<Ticket, CallIndex>,
}

/// What one daemon knows of each service.
pub(crate) type DaemonTables = BTreeMap<String, Arc<PlacementTable>>;

/// Makes the servers of a scenario, in the order of its file.
pub(crate) fn make_servers(scenario: &Scenario, policy: &LabPolicy) -> Vec<LabServer> {
    let groups = scenario.servers.iter();
    let all = groups.flat_map(|plan| std::iter::repeat_n(plan, plan.count));
    all.map(|plan| LabServer {
        service: plan.service.clone(),
        data_centre: plan.data_centre.clone(),
        slowness: plan.slowness,
        guard: AdmissionGuard::new(
            GuardSettings { slots: plan.slots, ..policy.guard },
            Duration::ZERO,
        ),
        held: BTreeMap::new(),
    })
    .collect()
}

/// Makes what the daemon beside a server knows: all servers, and nothing of their load.
pub(crate) fn make_tables(
    servers: &[LabServer],
    daemon: ServerIndex,
    policy: &LabPolicy,
) -> DaemonTables {
    let mut records: BTreeMap<String, Vec<EndpointRecord>> = BTreeMap::new();
    for (index, server) in servers.iter().enumerate() {
        let distance = match server.data_centre == servers[daemon].data_centre {
            true => EndpointDistance::SameCentre,
            false => EndpointDistance::SameRegion,
        };
        let slots = server.guard.state(Duration::ZERO).slots;
        let record = EndpointRecord { id: index as u64, incarnation: 1, slots, distance, age: OLD };
        records.entry(server.service.clone()).or_default().push(record);
    }
    let table = |records: &Vec<EndpointRecord>| {
        Arc::new(PlacementTable::new(policy.placement).rebuild(records, Duration::ZERO))
    };
    records.iter().map(|(service, records)| (service.clone(), table(records))).collect()
}
