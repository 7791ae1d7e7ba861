//! Servers and daemons of a simulated fleet, with the state that the daemons' decision code keeps.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use sk_decide::{
    admitting::{AdmissionGuard, GuardSettings, Ticket},
    placing::{EndpointDistance, EndpointRecord, PlacementSettings, PlacementTable},
};

use crate::{link::SimulatedLink, scenario::Scenario};

/// Age of all servers when a run starts, above any warm-up time, so that no server counts as new.
const SERVER_AGE_AT_START: Duration = Duration::from_secs(3600);

/// Settings of the daemons in a run.
#[derive(Clone, Copy, Debug)]
pub struct DaemonPolicy {
    /// Placement of requests on servers.
    pub placement: PlacementSettings,
    /// Admission of requests at servers; the number of slots comes from the scenario instead.
    pub guard: GuardSettings,
    /// Refused attempts of one request that the daemon repeats on another server.
    pub free_moves: u8,
    /// Whether large answers are read ahead of the link, so that they occupy no slot meanwhile.
    pub reads_ahead: bool,
}

/// Index of a call among all calls of a run.
pub(crate) type CallIndex = usize;
/// Index of a server among all servers, and of the daemon beside it.
pub(crate) type ServerIndex = usize;

/// A backend server with the admission guard of its daemon.
pub(crate) struct SimulatedServer {
    pub(crate) service: String,
    pub(crate) data_centre: String,
    /// Factor on the work of each request.
    pub(crate) slowness: f64,
    pub(crate) guard: AdmissionGuard,
    /// Calls that run or queue here.
    pub(crate) admitted: BTreeMap<Ticket, CallIndex>,
    /// The link that carries its large answers, if it is bounded.
    pub(crate) link: Option<SimulatedLink>,
}

/// The placement tables of one daemon, by service.
pub(crate) type DaemonTables = BTreeMap<String, Arc<PlacementTable>>;

/// Creates the servers of a scenario, in the order of its file.
pub(crate) fn make_servers(scenario: &Scenario, policy: &DaemonPolicy) -> Vec<SimulatedServer> {
    let plans = scenario.servers.iter();
    let server_plans = plans.flat_map(|plan| std::iter::repeat_n(plan, plan.count));
    server_plans
        .map(|plan| SimulatedServer {
            service: plan.service.clone(),
            data_centre: plan.data_centre.clone(),
            slowness: plan.slowness,
            guard: AdmissionGuard::new(
                GuardSettings { slots: plan.slots, ..policy.guard },
                Duration::ZERO,
            ),
            admitted: BTreeMap::new(),
            link: plan.link_mbps.map(SimulatedLink::new),
        })
        .collect()
}

/// Creates the tables of the daemon beside a server. They list all servers, without any load yet.
pub(crate) fn make_tables(
    servers: &[SimulatedServer],
    daemon: ServerIndex,
    policy: &DaemonPolicy,
) -> DaemonTables {
    let mut records: BTreeMap<String, Vec<EndpointRecord>> = BTreeMap::new();
    for (index, server) in servers.iter().enumerate() {
        let distance = match server.data_centre == servers[daemon].data_centre {
            true => EndpointDistance::SameCentre,
            false => EndpointDistance::SameRegion,
        };
        let slots = server.guard.state(Duration::ZERO).slots;
        let record = EndpointRecord {
            id: index as u64,
            incarnation: 1,
            slots,
            distance,
            age: SERVER_AGE_AT_START,
        };
        records.entry(server.service.clone()).or_default().push(record);
    }
    let table = |records: &Vec<EndpointRecord>| {
        Arc::new(PlacementTable::new(policy.placement).rebuild(records, Duration::ZERO))
    };
    records.iter().map(|(service, records)| (service.clone(), table(records))).collect()
}
