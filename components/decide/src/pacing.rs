//! Opening connections to a server, paced and within its limit.
//!
//! After a restart hundreds of requests wait and each would open a connection at once. A server
//! needs about a millisecond for each, so the burst would delay the requests that already run, and
//! connections past its limit are reset, which looks like a failing server.

use std::time::Duration;

/// Settings of connection pacing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PacerSettings {
    /// Least time between two openings. Default 1 ms, what a server takes to accept one.
    pub interval: Duration,
    /// Most connections open at once. Default 100, the lower of the limits that servers state.
    pub limit: u32,
}

impl Default for PacerSettings {
    fn default() -> Self {
        Self { interval: Duration::from_millis(1), limit: 100 }
    }
}

/// Whether a connection may be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectVerdict {
    /// Open it now. It counts as open until [`ConnectPacer::record_closed`] is called.
    Open,
    /// Ask again after this time.
    Wait(Duration),
    /// The server's limit is reached: wait for a connection in use.
    Full,
}

/// Paces the openings of connections to one server.
#[derive(Clone, Debug)]
pub struct ConnectPacer {
    settings: PacerSettings,
    open: u32,
    next_at: Duration,
}

impl ConnectPacer {
    /// Creates a pacer with no connection open.
    pub fn new(settings: PacerSettings) -> Self {
        Self { settings, open: 0, next_at: Duration::ZERO }
    }

    /// Decides whether a connection may be opened at `now`, and counts it if so.
    pub fn request_connection(&mut self, now: Duration) -> ConnectVerdict {
        match self.next_at.checked_sub(now) {
            _ if self.open >= self.settings.limit => ConnectVerdict::Full,
            Some(wait) if !wait.is_zero() => ConnectVerdict::Wait(wait),
            _ => {
                self.open += 1;
                self.next_at = now + self.settings.interval;
                ConnectVerdict::Open
            }
        }
    }

    /// Records that a connection was closed or could not be opened.
    pub fn record_closed(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Returns the number of connections that count as open.
    pub fn open_count(&self) -> u32 {
        self.open
    }
}
