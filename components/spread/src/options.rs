//! Options of the control thread: how versions are forwarded, which daemons watch the
//! configuration source, and the time limits that follow from the heartbeat interval.

use std::{net::SocketAddr, time::Duration};

use sk_member::PollOptions;

/// Time by which each daemon waits longer than the one that precedes it before it takes over
/// watching the source. One read of the source takes milliseconds, and its success is sent to the
/// neighbours at once.
const TAKEOVER_STEP: Duration = Duration::from_millis(100);

/// How a daemon forwards a new version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ForwardMode {
    /// Sends the change along the tree; converges fastest.
    #[default]
    Push,
    /// Sends the version's number and hash, and peers fetch what they lack; uses the fewest
    /// control bytes.
    Announce,
}

/// Options of the control thread.
#[derive(Clone, Debug)]
pub struct SpreadOptions {
    /// Secret shared by all daemons of the fleet.
    pub secret: String,
    /// Control addresses tried when joining the fleet.
    pub seeds: Vec<SocketAddr>,
    /// Whether changes are pushed or announced.
    pub mode: ForwardMode,
    /// Number of daemons that each daemon forwards a version to.
    pub fan_out: usize,
    /// Mean time between reconciliations with a random member.
    pub repair_interval: Duration,
    /// Daemons per data centre that watch the configuration source.
    pub relays: usize,
    /// Maximum number of fetches served at once.
    pub max_fetches: usize,
    /// Time between heartbeats over a link.
    pub heartbeat: Duration,
    /// Time without a heartbeat until a neighbour is suspected.
    pub suspect_after: Duration,
    /// Window over which daemons that start together spread their own reads of the configuration
    /// source, unless a relay has read it for them.
    pub start_window: Duration,
}

impl SpreadOptions {
    /// Returns the longest wait of one watch call at the configuration source.
    ///
    /// A watch that ends without a new version proves that the source has nothing newer. Peers
    /// receive that proof with heartbeats, so it need not be renewed much more often than those.
    pub fn max_watch_wait(&self) -> Duration {
        self.heartbeat * 3 / 2
    }

    /// Returns when daemons take over watching the source from those that fail to. The staleness
    /// limit is the wait of one watch, one long pause between heartbeats (1.5 times the mean) and
    /// half a heartbeat interval as margin.
    pub(crate) fn takeover_options(&self) -> PollOptions {
        let stale_after = self.max_watch_wait() + self.heartbeat * 2;
        PollOptions { relays: self.relays, stale_after, takeover_step: TAKEOVER_STEP }
    }
}

impl Default for SpreadOptions {
    fn default() -> Self {
        Self {
            secret: String::new(),
            seeds: Vec::new(),
            mode: ForwardMode::Push,
            fan_out: 6,
            repair_interval: Duration::from_secs(2),
            relays: 2,
            max_fetches: 4,
            heartbeat: Duration::from_millis(500),
            suspect_after: Duration::from_secs(2),
            start_window: Duration::from_secs(2),
        }
    }
}
