//! The links of a daemon, with the liveness monitor and the rumor queues that work over them.

use std::{cell::Cell, collections::BTreeMap, rc::Rc, time::Duration};

use sk_member::{
    LivenessMonitor, MemberRumor, MemberSnapshot, MemberSuspicion, MonitorEvent, RumorQueue,
};
use sk_model::ProxyId;
use tokio::{sync::Notify, time::Instant};

/// One link of this daemon.
pub(crate) struct LinkState {
    /// Wakes the link's task for rumors, or because the link was removed.
    pub(crate) wakeup: Notify,
    /// Whether this side opens the connection and sends the heartbeats.
    pub(crate) is_initiator: bool,
    /// Whether to send a heartbeat now, even if the other side usually sends them.
    pub(crate) is_beat_requested: Cell<bool>,
}

impl LinkState {
    pub(crate) fn new(is_initiator: bool) -> Self {
        Self { wakeup: Notify::new(), is_initiator, is_beat_requested: Cell::new(false) }
    }
}

/// All links, the liveness monitor and the rumor queues.
pub(crate) struct LinkTable {
    /// Rumors pending per link.
    pub(crate) rumors: RumorQueue,
    /// Detects failed neighbours.
    pub(crate) monitor: LivenessMonitor,
    /// Links by neighbour.
    pub(crate) links: BTreeMap<ProxyId, Rc<LinkState>>,
    started_at: Instant,
}

impl LinkTable {
    pub(crate) fn new(monitor: LivenessMonitor) -> Self {
        Self {
            rumors: RumorQueue::new(),
            monitor,
            links: BTreeMap::new(),
            started_at: Instant::now(),
        }
    }

    /// Returns the time on the monitor's clock.
    pub(crate) fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Runs the monitor and returns the events that are due.
    pub(crate) fn tick(&mut self, members: &MemberSnapshot) -> Vec<MonitorEvent> {
        let now = self.now();
        self.monitor.tick(members, now)
    }

    /// Passes an observer's suspicion to the monitor, and queues it for the other links if it is
    /// new.
    pub(crate) fn record_suspicion(&mut self, suspicion: MemberSuspicion, from: &ProxyId) {
        let now = self.now();
        if self.monitor.add_suspicion(suspicion.clone(), now) {
            self.push(&MemberRumor::Suspicion(suspicion), Some(from));
        }
    }

    /// Requests a heartbeat over every link at once.
    pub(crate) fn request_beats(&self) {
        for link in self.links.values() {
            link.is_beat_requested.set(true);
            link.wakeup.notify_one();
        }
    }

    /// Queues a rumor for every link except the one it came from.
    pub(crate) fn push(&mut self, rumor: &MemberRumor, from: Option<&ProxyId>) {
        self.rumors.push(rumor, from);
        for (proxy, link) in &self.links {
            if self.rumors.pending(proxy) > 0 {
                link.wakeup.notify_one();
            }
        }
    }
}
