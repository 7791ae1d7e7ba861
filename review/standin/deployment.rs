//! The small deployment that the scenarios share: its configuration, machines and servers.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex},
};

use crate::{
    fleet::{
        CONTROL, INBOUND, INTERNAL, Machine, Record, Runs, STORE, Server, ServerPlan, Site,
        free_network,
    },
    link::{Cut, open_link},
    store::Store,
    util::{Json, sleep_ms},
};

/// Host of all routes.
pub const HOST: &str = "review.example";

/// A route of the configuration.
pub struct Route {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: f64,
    pub goal_ms: f64,
}

/// What differs between the deployments.
pub struct Plan {
    pub machines: usize,
    /// How many of them, the last ones, are started later by [`Deployment::start_late`].
    pub late: usize,
    pub zones: [&'static str; 3],
    /// Two services, with half of the machines each.
    pub services: [&'static str; 2],
    pub routes: Vec<Route>,
    /// Key, rate and burst of the one tenant, if requests need keys.
    pub tenant: Option<(&'static str, f64, f64)>,
    /// Whether daemons reach each other over links that can be cut.
    pub has_links: bool,
    pub bounds: Json,
    pub server: ServerPlan,
}

/// A deployment that runs. Its daemons end when it is dropped.
pub struct Deployment {
    pub machines: Vec<Arc<Machine>>,
    /// Servers beside the machines that were started, in the same order.
    pub servers: Vec<Arc<Server>>,
    pub runs: Runs,
    /// The part 127.x of the loopback network that it uses.
    pub net: u8,
    /// Machines that are cut off from all others, if there are links.
    pub cut: Cut,
    pub store: Store,
}

impl Deployment {
    /// Starts the store, the daemons and their servers, and waits until all are ready.
    pub fn start(folder: &Path, record: &Record, plan: &Plan) -> Result<Self, String> {
        let net = free_network();
        let address = SocketAddr::from(([127, net, 0, 1], STORE));
        let store = Store::start(address).map_err(|err| err.to_string())?;
        store.put("config", "main", make_config(plan));
        let site = Site {
            net,
            folder: folder.to_owned(),
            store: store.address,
            bounds: plan.bounds.clone(),
            has_links: plan.has_links,
        };
        let machines: Vec<Arc<Machine>> = (0..plan.machines)
            .map(|index| {
                let (zone, service) =
                    (plan.zones[index % 3], plan.services[index * 2 / plan.machines]);
                Arc::new(Machine::new(&site, index, zone, service))
            })
            .collect();
        let cut = Cut::default();
        if plan.has_links {
            let known = Arc::new(Mutex::new(machines.clone()));
            for (index, machine) in machines.iter().enumerate() {
                for port in [INBOUND, INTERNAL] {
                    open_link(machine.link_at(port), machine.at(port), index, &known, &cut)
                        .map_err(|err| err.to_string())?;
                }
            }
        }
        let runs = Runs::default();
        let first = &machines[..plan.machines - plan.late];
        let servers = start_machines(first, 0, "v1", &plan.server, &runs, record)?;
        // Longer than `stable_window`, so that all machines are in touch from here on.
        sleep_ms(4000);
        Ok(Self { machines, servers, runs, net, cut, store })
    }
}

/// Starts machines with servers of a version, and waits until all daemons are ready.
pub fn start_machines(
    machines: &[Arc<Machine>],
    from: usize,
    version: &str,
    plan: &ServerPlan,
    runs: &Runs,
    record: &Record,
) -> Result<Vec<Arc<Server>>, String> {
    machines.iter().for_each(|machine| machine.start());
    let servers: Vec<Arc<Server>> = machines
        .iter()
        .enumerate()
        .map(|(index, machine)| {
            let id = format!("i-{:08x}", 0x7f3a_9100 + from + index);
            let drops_closed = from + index >= plan.keeping;
            let name = (id.as_str(), version);
            Server::start(machine, name, drops_closed, plan.clone(), runs.clone(), record.clone())
        })
        .collect();
    for machine in machines {
        if !machine.wait_ready(15.0) {
            return Err(format!("{} isn't ready", machine.name));
        }
    }
    for (server, machine) in servers.iter().zip(machines) {
        server.keep_reporting(machine.at(CONTROL));
    }
    Ok(servers)
}

fn make_config(plan: &Plan) -> Json {
    let routes = plan.routes.iter().map(|route| {
        Json::map([
            ("name", Json::text(&format!("r-{}", route.prefix.trim_matches('/')))),
            ("host", Json::text(HOST)),
            ("path_prefix", Json::text(route.prefix)),
            ("kind", Json::text(route.kind)),
            ("timeout", Json::Number(route.timeout_ms)),
            ("target_latency", Json::Number(route.goal_ms)),
            ("priority", Json::Number(1.0)),
            ("service", Json::text(route.service)),
            ("max_attempts", Json::Number(3.0)),
            ("public", Json::Bool(false)),
        ])
    });
    let names: BTreeSet<&str> = plan.services.into_iter().collect();
    let services = names.into_iter().map(|name| {
        Json::map([
            ("name", Json::text(name)),
            ("health_check_path", Json::text("/health")),
            ("connection_limit", Json::Number(110.0)),
        ])
    });
    let tenants = plan.tenant.iter().map(|(key, rate, burst)| {
        Json::map([
            ("name", Json::text("pulo780")),
            ("api_keys", Json::List(vec![Json::text(key)])),
            ("priority", Json::Number(1.0)),
            ("rate_per_s", Json::Number(*rate)),
            ("burst", Json::Number(*burst)),
        ])
    });
    let limits = Json::map([
        ("max_header_bytes", Json::Number(16384.0)),
        ("max_body_bytes", Json::Number(67_108_864.0)),
        ("header_timeout", Json::Number(3000.0)),
        ("idle_timeout", Json::Number(15000.0)),
    ]);
    Json::map([
        ("version", Json::Number(7.0)),
        ("routes", Json::List(routes.collect())),
        ("services", Json::List(services.collect())),
        ("limits", limits),
        ("tenants", Json::List(tenants.collect())),
    ])
}
