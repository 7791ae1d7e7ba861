//! Backend servers beside this daemon, as they announce themselves.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use sk_member::{EndpointRecord, EndpointStatus, ServerId};
use sk_model::ServiceName;

/// A backend server beside this daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalServer {
    /// What the other daemons learn of it.
    pub endpoint: EndpointRecord,
    /// Where it listens.
    pub address: SocketAddr,
    /// Last announcement.
    pub announced: Instant,
}

type ServerMap = BTreeMap<ServiceName, LocalServer>;

/// All backend servers beside this daemon, by service.
#[derive(Default)]
pub struct LocalServers {
    current: ArcSwap<ServerMap>,
    lock: Mutex<()>,
}

impl LocalServers {
    /// Finds the server of a service.
    pub fn find(&self, service: &str) -> Option<LocalServer> {
        self.current.load().get(service).cloned()
    }

    /// Takes an announcement.
    ///
    /// A server that said it drains stays draining until another process takes its place: an
    /// announcement that was under way when it began to drain must not bring work back.
    pub fn announce(&self, mut server: LocalServer) {
        self.change(|servers| {
            let held = servers.get(&server.endpoint.service);
            let is_same = |held: &&LocalServer| held.endpoint.server == server.endpoint.server;
            if held.filter(is_same).is_some_and(|held| is_draining(&held.endpoint)) {
                server.endpoint.status = EndpointStatus::Draining;
            }
            servers.insert(server.endpoint.service.clone(), server);
        });
    }

    /// Removes servers that have not announced themselves for `ttl`.
    pub fn expire(&self, now: Instant, ttl: Duration) {
        self.change(|servers| {
            servers.retain(|_, server| now.duration_since(server.announced) < ttl);
        });
    }

    /// Lists the servers as the other daemons learn of them.
    pub fn endpoints(&self) -> Vec<EndpointRecord> {
        self.current.load().values().map(|server| server.endpoint.clone()).collect()
    }

    /// Tells whether a server with this id is known.
    pub fn has_server(&self, id: &ServerId) -> bool {
        self.current.load().values().any(|server| server.endpoint.server == *id)
    }

    fn change(&self, change: impl FnOnce(&mut ServerMap)) {
        let _guard = self.lock.lock().unwrap_or_else(PoisonError::into_inner);
        let mut servers = ServerMap::clone(&self.current.load());
        change(&mut servers);
        self.current.store(Arc::new(servers));
    }
}

fn is_draining(endpoint: &EndpointRecord) -> bool {
    endpoint.status == EndpointStatus::Draining
}
