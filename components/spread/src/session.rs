//! An open connection to a peer.

use std::{cell::Cell, rc::Rc, time::Duration};

use sk_model::ProxyId;
use tokio::{sync::Notify, time::Instant};

use crate::peer_capnp::peer;

/// An open connection to a proven peer.
pub(crate) struct PeerSession {
    pub(crate) proxy: ProxyId,
    pub(crate) client: peer::Client,
    used: Cell<Instant>,
    link: SessionLink,
}

/// What ends a connection.
pub(crate) type SessionLink = Rc<SessionSignal>;

/// Carries the wish to close to the task that runs the connection, and back how that fares.
pub(crate) struct SessionSignal {
    pub(crate) close: Notify,
    pub(crate) is_closed: Cell<bool>,
    pub(crate) is_lost: Cell<bool>,
    /// When the peer's last bytes came.
    heard_at: Cell<Instant>,
}

impl Default for SessionSignal {
    fn default() -> Self {
        let (is_closed, is_lost) = (Cell::default(), Cell::default());
        let heard_at = Cell::new(Instant::now());
        Self { close: Notify::new(), is_closed, is_lost, heard_at }
    }
}

impl SessionSignal {
    pub(crate) fn note_heard(&self) {
        self.heard_at.set(Instant::now());
    }

    pub(crate) fn close(&self) {
        self.is_closed.set(true);
        self.close.notify_one();
    }
}

impl PeerSession {
    pub(crate) fn new(proxy: ProxyId, client: peer::Client, link: SessionLink) -> Rc<Self> {
        Rc::new(Self { proxy, client, used: Cell::new(Instant::now()), link })
    }

    pub(crate) fn touch(&self) {
        self.used.set(Instant::now());
    }

    pub(crate) fn idle(&self) -> Duration {
        self.used.get().elapsed()
    }

    /// Gives when the peer's last bytes came.
    pub(crate) fn heard_at(&self) -> Instant {
        self.link.heard_at.get()
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.link.is_closed.get()
    }

    /// Tells whether the connection ended without this side's wish.
    pub(crate) fn is_lost(&self) -> bool {
        self.link.is_lost.get()
    }

    pub(crate) fn close(&self) {
        self.link.close();
    }
}
