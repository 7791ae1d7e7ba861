//! Pool of open connections by peer. It reuses them for calls and closes those that are unused, so
//! that their number does not grow to the size of the fleet.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use sk_model::ProxyId;

use crate::session::PeerSession;

/// Time without a call after which a connection that is no link is closed. It is longer than the
/// pause between changes of one series, so that a tree's connections serve all of them, and short
/// enough that reconciliations with random members do not accumulate connections to the whole
/// fleet.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum number of connections; beyond it the one that is unused longest is closed. Links, tree
/// and acknowledgements of a daemon take about 20; a relay's data centre about 90; a seed during a
/// fleet restart hundreds.
const MAX_SESSIONS: usize = 256;

/// Open connections to peers, whichever side opened them.
#[derive(Default)]
pub(crate) struct PeerPool {
    sessions: RefCell<Vec<Rc<PeerSession>>>,
    by_proxy: RefCell<BTreeMap<ProxyId, Rc<PeerSession>>>,
}

impl PeerPool {
    /// Returns the open connection to a peer.
    pub(crate) fn get(&self, proxy: &str) -> Option<Rc<PeerSession>> {
        let found = self.by_proxy.borrow().get(proxy).cloned();
        found.filter(|session| !session.is_closed())
    }

    /// Adds a connection, which becomes the one used for calls to its peer.
    pub(crate) fn add(&self, session: Rc<PeerSession>) {
        self.by_proxy.borrow_mut().insert(session.proxy.clone(), session.clone());
        let mut sessions = self.sessions.borrow_mut();
        sessions.push(session);
        if sessions.len() > MAX_SESSIONS
            && let Some(oldest) = sessions.iter().max_by_key(|session| session.idle_time())
        {
            oldest.close();
        }
    }

    /// Closes unused connections that are no links, and removes those that ended.
    pub(crate) fn sweep(&self, links: &BTreeSet<ProxyId>) -> PoolSweep {
        let mut sessions = self.sessions.borrow_mut();
        for session in sessions.iter() {
            let is_unused = session.idle_time() > IDLE_TIMEOUT && !links.contains(&session.proxy);
            if is_unused && !session.is_closed() {
                session.close();
            }
        }
        sessions.retain(|session| !session.is_closed());
        let mut result = PoolSweep { open: sessions.len(), lost_peers: Vec::new() };
        drop(sessions);
        self.by_proxy.borrow_mut().retain(|proxy, session| {
            if session.is_lost() {
                result.lost_peers.push(proxy.clone());
            }
            !session.is_closed()
        });
        result
    }
}

/// Result of a sweep.
pub(crate) struct PoolSweep {
    /// Number of open connections.
    pub(crate) open: usize,
    /// Peers whose connection ended without this side closing it.
    pub(crate) lost_peers: Vec<ProxyId>,
}
