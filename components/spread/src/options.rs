//! How the spread behaves.

use std::{net::SocketAddr, time::Duration};

use sk_member::LookOptions;

/// Pause that each daemon leaves to the one before it, before it looks at the source in its place. A
/// look takes milliseconds, and its success is told at once.
const LOOK_STEP: Duration = Duration::from_millis(100);

/// What a daemon does with a new version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PassMode {
    /// Sends the change along the tree: least convergence time.
    #[default]
    Push,
    /// Sends the version's number and hash; peers fetch what they lack: fewest control bytes.
    Announce,
}

/// How the spread behaves.
#[derive(Clone, Debug)]
pub struct SpreadOptions {
    /// Secret shared by the fleet's daemons.
    pub secret: String,
    /// Control addresses tried for joining.
    pub seeds: Vec<SocketAddr>,
    /// Whether changes are pushed or announced.
    pub mode: PassMode,
    /// Daemons each daemon passes a version to.
    pub fan_out: usize,
    /// Mean time between comparisons with a random member.
    pub repair_interval: Duration,
    /// Daemons per data centre that watch the configuration source.
    pub relays: usize,
    /// Fetches that a daemon serves at once.
    pub max_fetches: usize,
    /// Time between heartbeats over a link.
    pub heartbeat: Duration,
    /// Time without a heartbeat until a neighbour is suspected.
    pub suspect_after: Duration,
    /// Time over which the daemons of a fleet that starts at once spread their own reads of the
    /// configuration source, where nobody else has read it for them.
    pub start_window: Duration,
}

impl SpreadOptions {
    /// Gives the longest wait of one watch at the configuration source. A watch that hears nothing
    /// proves by its end that nothing newer is there; peers go by that proof, which comes to them
    /// with heartbeats, so that it need not come much more often.
    pub fn watch_wait(&self) -> Duration {
        self.heartbeat * 3 / 2
    }

    /// Tells when daemons look at the source in place of others. The limit is the wait of a watch,
    /// a long pause between two heartbeats (half more than the mean) and half of one as room.
    pub(crate) fn look_options(&self) -> LookOptions {
        let stale_after = self.watch_wait() + self.heartbeat * 2;
        LookOptions { relays: self.relays, stale_after, step: LOOK_STEP }
    }
}

impl Default for SpreadOptions {
    fn default() -> Self {
        Self {
            secret: String::new(),
            seeds: Vec::new(),
            mode: PassMode::Push,
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
