//! One open connection to an authenticated peer, and the state that its users share with the task
//! that runs it.

use std::{cell::Cell, rc::Rc, time::Duration};

use sk_model::ProxyId;
use tokio::{sync::Notify, time::Instant};

use crate::peer_capnp::peer;

/// An open connection to an authenticated peer.
pub(crate) struct PeerSession {
    pub(crate) proxy: ProxyId,
    pub(crate) client: peer::Client,
    used: Cell<Instant>,
    link: SessionLink,
}

/// Connection state shared between the session and the task that runs it.
pub(crate) type SessionLink = Rc<SessionSignal>;

/// Requests the close of a connection and reports whether and how it ended.
pub(crate) struct SessionSignal {
    pub(crate) close: Notify,
    pub(crate) is_closed: Cell<bool>,
    pub(crate) is_lost: Cell<bool>,
    /// When the last bytes arrived from the peer.
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

    /// Returns when the last bytes arrived from the peer.
    pub(crate) fn heard_at(&self) -> Instant {
        self.link.heard_at.get()
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.link.is_closed.get()
    }

    /// Returns whether the connection ended without this side closing it.
    pub(crate) fn is_lost(&self) -> bool {
        self.link.is_lost.get()
    }

    pub(crate) fn close(&self) {
        self.link.close();
    }
}
