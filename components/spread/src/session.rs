//! One open connection to an authenticated peer, and the state that its users share with the task
//! that runs it.

use std::{cell::Cell, rc::Rc, time::Duration};

use sk_model::ProxyId;
use tokio::{sync::Notify, time::Instant};

use crate::peer_capnp::peer;

/// An open connection to an authenticated peer.
pub(crate) struct PeerSession {
    /// Name of the peer.
    pub(crate) proxy: ProxyId,
    /// Client for calls to the peer.
    pub(crate) client: peer::Client,
    /// When the last call used the connection.
    used_at: Cell<Instant>,
    connection: SharedConnectionState,
}

/// Connection state shared between the session and the task that runs it.
pub(crate) type SharedConnectionState = Rc<ConnectionState>;

/// Requests the close of a connection and reports whether and how it ended.
pub(crate) struct ConnectionState {
    /// Signals the connection's task to close it.
    pub(crate) close: Notify,
    /// Whether the connection has ended or is being closed.
    pub(crate) is_closed: Cell<bool>,
    /// Whether the connection ended without this side closing it.
    pub(crate) is_lost: Cell<bool>,
    /// When the last bytes arrived from the peer.
    received_at: Cell<Instant>,
}

impl Default for ConnectionState {
    fn default() -> Self {
        let (is_closed, is_lost) = (Cell::default(), Cell::default());
        let received_at = Cell::new(Instant::now());
        Self { close: Notify::new(), is_closed, is_lost, received_at }
    }
}

impl ConnectionState {
    /// Records that bytes have arrived.
    pub(crate) fn record_received(&self) {
        self.received_at.set(Instant::now());
    }

    /// Requests the close of the connection.
    pub(crate) fn close(&self) {
        self.is_closed.set(true);
        self.close.notify_one();
    }
}

impl PeerSession {
    pub(crate) fn new(
        proxy: ProxyId,
        client: peer::Client,
        connection: SharedConnectionState,
    ) -> Rc<Self> {
        Rc::new(Self { proxy, client, used_at: Cell::new(Instant::now()), connection })
    }

    /// Records that the connection is used for a call.
    pub(crate) fn record_used(&self) {
        self.used_at.set(Instant::now());
    }

    /// Returns the time since the last call over the connection.
    pub(crate) fn idle_time(&self) -> Duration {
        self.used_at.get().elapsed()
    }

    /// Returns when the last bytes arrived from the peer.
    pub(crate) fn received_at(&self) -> Instant {
        self.connection.received_at.get()
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.connection.is_closed.get()
    }

    /// Returns whether the connection ended without this side closing it.
    pub(crate) fn is_lost(&self) -> bool {
        self.connection.is_lost.get()
    }

    pub(crate) fn close(&self) {
        self.connection.close();
    }
}
