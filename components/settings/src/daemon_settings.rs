//! The settings of a daemon with their defaults.
//!
//! The doc comments give units, bounds and defaults; the bounds are enforced in `check`.

use std::net::{Ipv4Addr, SocketAddr};

use serde::{Deserialize, Serialize};
use sk_model::{DataCentre, ProxyId, deserialize_floor, deserialize_floor_option};

use crate::ExperimentSettings;

/// Everything that an operator may set for one daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// The instance that the daemon runs on and its location.
    pub instance: InstanceSettings,
    /// Addresses that the daemon listens on.
    #[serde(default)]
    pub listen: ListenSettings,
    /// The platform's object API.
    pub platform: PlatformSettings,
    /// Other daemons.
    pub peers: PeerSettings,
    /// How configuration spreads between daemons.
    #[serde(default)]
    pub spread: SpreadSettings,
    /// How daemons detect failures of each other.
    #[serde(default)]
    pub member: MemberSettings,
    /// How the guard admits work to the local backend server.
    #[serde(default)]
    pub guard: GuardSettings,
    /// Who may change the configuration.
    #[serde(default)]
    pub operators: OperatorSettings,
    /// How requests are placed and retried.
    #[serde(default)]
    pub placing: PlacingSettings,
    /// How reports are stored.
    #[serde(default)]
    pub report: ReportSettings,
    /// Where metrics are sent and served.
    #[serde(default)]
    pub metrics: MetricSettings,
    /// How much is logged.
    #[serde(default)]
    pub logs: LogSettings,
    /// How keys of workspaces are treated.
    #[serde(default)]
    pub workspaces: WorkspaceSettings,
    /// Bounds of roll-outs. Absent: there are none, and versions are not distinguished.
    #[serde(default)]
    pub rollout: Option<ExposureSettings>,
    /// Mechanisms that are disabled to measure their effect.
    #[serde(default)]
    pub experiment: ExperimentSettings,
}

/// The instance that a daemon runs on and its location.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    /// Name of the daemon, unique in the fleet; 1 to 64 characters of a-z 0-9 - _ .
    pub name: ProxyId,
    /// Name of the data centre; the same rule as for `name`.
    pub data_centre: DataCentre,
    /// Name of the data centre's region; the same rule as for `name`.
    pub region: String,
    /// Service of the local backend server, as the platform names it. It is sent to other backend
    /// servers as the origin of a call. Absent sends no origin.
    #[serde(default)]
    pub service: Option<String>,
    /// Address of the local backend server. A daemon that has just started asks it for its
    /// identity, if its service has a `health_path`, rather than wait for the next heartbeat.
    /// Absent asks no server.
    #[serde(default)]
    pub server: Option<SocketAddr>,
    /// Whether no earlier process of the daemon can have sent requests to the local backend server.
    /// Default false: calls that such a server may make for them are refused for some seconds, and not
    /// rejected for good, if they cannot be told from requests without a key.
    #[serde(default)]
    pub first_start: bool,
    /// Threads that forward requests, 1 to 64. Default 0: one for each core of the system.
    #[serde(default)]
    pub threads: usize,
}

/// Addresses that the daemon listens on. Port 0 selects a free port, which the daemon prints at
/// its start.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ListenSettings {
    /// Listener for callers' HTTP requests.
    pub proxy: SocketAddr,
    /// Listener for requests from other daemons to the local backend server.
    pub guard: SocketAddr,
    /// Listener for control traffic between daemons.
    pub control: SocketAddr,
    /// Listener for operators and for announcements of the local backend server.
    pub ops: SocketAddr,
    /// Second listener for the same calls as `ops`, for a platform that checks there whether the
    /// daemon is ready. Absent for none.
    pub ready: Option<SocketAddr>,
    /// Address under which other daemons send requests to the local backend server, if it differs
    /// from the one that the daemon listens on. Absent for `guard`.
    pub advertised_guard: Option<SocketAddr>,
    /// Address under which other daemons send control traffic. Absent for `control`.
    pub advertised_control: Option<SocketAddr>,
}

impl Default for ListenSettings {
    fn default() -> Self {
        let local = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let (proxy, guard) = (local(7400), local(7401));
        Self {
            proxy,
            guard,
            control: local(7402),
            ops: local(7403),
            ready: None,
            advertised_guard: None,
            advertised_control: None,
        }
    }
}

/// The platform's object API.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the platform, as IP and port.
    pub address: SocketAddr,
    /// Milliseconds until an answer counts as lost, 50 to 30000. Default 2000.
    #[serde(default = "default_platform_timeout_ms")]
    pub timeout_ms: u64,
    /// Prefix of every key of this fleet, so that several fleets can share a platform.
    #[serde(default = "default_key_prefix")]
    pub key_prefix: String,
    /// Which platform's calls, configuration and headers are used. Default own.
    #[serde(default)]
    pub form: PlatformKind,
}

/// Which platform's calls, configuration and headers a daemon uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlatformKind {
    /// Sapphirekeel's own: teams change the configuration through the daemons.
    #[default]
    Own,
    /// The users' platform: its operator writes the whole configuration into its store.
    Objects,
}

fn default_platform_timeout_ms() -> u64 {
    2_000
}

fn default_key_prefix() -> String {
    "sapphirekeel/".to_owned()
}

/// Other daemons.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Control addresses to try when joining, in addition to the contacts stored in the platform.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Secret shared by the fleet's daemons, at least 16 characters; shorter ones can be guessed.
    pub secret: String,
}

/// What a daemon does with a new version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SpreadMode {
    /// Sends a change at once: shortest convergence time, and fewest bytes for a single change.
    #[default]
    Push,
    /// Collects changes for a second, then announces the version and lets peers fetch what they
    /// lack: fewest control bytes where many changes are made within a second.
    Announce,
}

/// How configuration spreads between daemons.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SpreadSettings {
    /// Whether changes are pushed or announced. Default push.
    pub mode: SpreadMode,
    /// Peers that each daemon passes a version to, 1 to 64. Default 6.
    pub fan_out: usize,
    /// Mean milliseconds between comparisons of the version with a random peer, 100 to 60000.
    /// Default 2000.
    pub repair_interval_ms: u64,
    /// Daemons per data centre that watch the platform, 1 to 8. Default 2.
    pub relays: usize,
    /// Snapshots that a daemon serves to peers concurrently, 1 to 64; further requests are told to
    /// retry later. Default 4.
    pub max_fetches: usize,
    /// Milliseconds over which daemons that start together spread their own reads of the platform,
    /// 20 to 60000. Default 2000: most daemons then get the configuration from a relay. A small
    /// fleet is ready sooner with less, at the cost of one read per daemon.
    pub start_window_ms: u64,
}

impl Default for SpreadSettings {
    fn default() -> Self {
        Self {
            mode: SpreadMode::Push,
            fan_out: 6,
            repair_interval_ms: 2_000,
            relays: 2,
            max_fetches: 4,
            start_window_ms: 2_000,
        }
    }
}

/// How daemons detect failures of each other.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MemberSettings {
    /// Milliseconds between heartbeats to a neighbour, 50 to 10000. Default 500.
    pub heartbeat_ms: u64,
    /// Milliseconds without a heartbeat after which a neighbour is suspected; at least three
    /// heartbeats, so that one lost packet or a short pause suspects nobody. Default 1500.
    pub suspect_ms: u64,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self { heartbeat_ms: 500, suspect_ms: 1_500 }
    }
}

/// How the guard admits work to the local backend server.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GuardSettings {
    /// Short requests that may wait for a slot, 0 to 1024; half as many long ones may wait. Longer
    /// queues only add waiting time. Default 24.
    pub queue: usize,
    /// Concurrent connections to the backend server, 1 to 10000; the server resets further ones.
    /// Default 100.
    pub connections: u32,
    /// Largest request body in bytes, 1024 to 1073741824; larger ones get status 413.
    /// Default 16777216. Without effect on the users' platform, whose configuration limits bodies.
    pub max_body_bytes: u64,
    /// Milliseconds that a graceful stop waits for requests in flight, 0 to 600000. Default 30000.
    /// Without effect where `grace_s` is set.
    pub drain_ms: u64,
    /// Seconds after the signal to stop at which the platform ends the process, 0.1 to 86400; a
    /// fraction is allowed. All times of a stop follow from it. Absent where nothing ends the
    /// process: a stop then takes `leave_ms` and up to `drain_ms`.
    pub grace_s: Option<f64>,
    /// Milliseconds without an announcement after which the server counts as gone, 200 to 60000.
    /// Default 3000.
    pub announce_ttl_ms: u64,
    /// Milliseconds between two announcements, 1 to 60000, where the platform states them; the server
    /// counts as gone after three. Absent where `announce_ttl_ms` says it; a fraction is dropped.
    #[serde(deserialize_with = "deserialize_floor_option")]
    pub announce_interval_ms: Option<u64>,
    /// Milliseconds for which a stopping daemon still accepts requests, so that callers learn of
    /// the stop before they are refused, 0 to 60000. Default 300. At most about half of `grace_s`.
    pub leave_ms: u64,
    /// Shortest delay in milliseconds before a refused caller may retry, 0 to 60000. Default 1000.
    pub retry_least_ms: u64,
    /// Milliseconds over which the retries of refused callers are spread, 1 to 60000. Default 2000.
    pub retry_spread_ms: u64,
    /// Server crashes with the same request in flight after which the request is refused, 2 to 4.
    /// Default 0: after its first crash the request runs alone, which identifies the cause most
    /// reliably but makes the server unavailable to other requests meanwhile.
    pub crash_limit: u32,
    /// Whether a server that refuses requests although it has a free slot gets fewer of them until it
    /// answers again. Default false. For servers that have less room than they announce; where
    /// servers refuse at random, requests are served worse with it.
    pub limit_by_refusals: bool,
}

impl Default for GuardSettings {
    fn default() -> Self {
        Self {
            queue: 24,
            connections: 100,
            max_body_bytes: 16 * 1024 * 1024,
            drain_ms: 30_000,
            grace_s: None,
            announce_ttl_ms: 3_000,
            announce_interval_ms: None,
            leave_ms: 300,
            retry_least_ms: 1_000,
            retry_spread_ms: 2_000,
            crash_limit: 0,
            limit_by_refusals: false,
        }
    }
}

/// How an endpoint is chosen among those of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlacingOrder {
    /// The better of two that are drawn at random by share: for work of a few milliseconds.
    #[default]
    Draw,
    /// The one whose answer is expected first, and only one with a free slot while there is any;
    /// waiting requests start in order of rank and response-time goal. For work that takes long
    /// compared with a round trip between daemons.
    Soonest,
}

/// How requests are placed and retried.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlacingSettings {
    /// How an endpoint is chosen. Default draw.
    pub order: PlacingOrder,
    /// Milliseconds after which a new backend server receives its full share, 0 to 600000. Default
    /// 30000.
    pub warm_up_ms: u64,
    /// Thousandths of a retry that each request adds to the retry budget of its service, 0 to 1000.
    /// Default 100.
    pub retry_deposit: u64,
    /// Part of a service's requests that may be repeated ones, 0 to 1, where another party states it;
    /// seven tenths of it are used in place of `retry_deposit`. Absent for none.
    pub retry_ratio: Option<f64>,
    /// Largest retry budget of a service, in retries, 0 to 10000; a fraction is dropped. Default 20.
    #[serde(deserialize_with = "deserialize_floor")]
    pub retry_burst: u64,
    /// Thousandths of the burst that are kept in reserve, 0 to 900. Default 0. For a burst that
    /// another party limits: daemons learn of each other, and count the repeats of a call, with a
    /// short delay.
    pub retry_margin: u64,
    /// Thousandths of a retry that the retry budget of a service gains per second even without
    /// traffic, 0 to 100000. Default 1000.
    pub retry_floor: u64,
    /// Whether `retry_burst` and `retry_floor` apply to the whole fleet, of which each daemon has
    /// its part. Default false.
    pub retry_shared: bool,
    /// Attempts that no backend server accepted and that are repeated on another one without
    /// drawing on the retry budget, 0 to 16. Default 0.
    pub free_moves: u8,
}

impl Default for PlacingSettings {
    fn default() -> Self {
        Self {
            order: PlacingOrder::Draw,
            warm_up_ms: 30_000,
            retry_deposit: 100,
            retry_ratio: None,
            retry_burst: 20,
            retry_margin: 0,
            retry_floor: 1_000,
            retry_shared: false,
            free_moves: 0,
        }
    }
}

/// How reports are stored.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ReportSettings {
    /// Milliseconds between writes of acknowledgements to the platform, 50 to 600000. Default 300.
    pub flush_ms: u64,
}

impl Default for ReportSettings {
    fn default() -> Self {
        Self { flush_ms: 300 }
    }
}

/// Who may change the configuration.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OperatorSettings {
    /// SHA-256 of the managers' token in lower-case hexadecimal; empty refuses all managers' calls.
    pub manager_sha256: String,
}

/// How keys of workspaces are treated.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WorkspaceSettings {
    /// Whether a daemon that is cut off from the configuration source accepts no keys, since one of
    /// them may have been taken away. Default false: it serves by the last configuration known.
    pub strict_revocation: bool,
    /// Milliseconds within which a key that is taken away has no effect any more where
    /// `strict_revocation` is set, 1000 to 600000. Default 5000.
    #[serde(deserialize_with = "deserialize_floor")]
    pub revoke_ms: u64,
}

impl Default for WorkspaceSettings {
    fn default() -> Self {
        Self { strict_revocation: false, revoke_ms: 5_000 }
    }
}

/// How much a bad version may get while traffic is moved to it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ExposureSettings {
    /// Part of a service's requests that a bad version may get, 0.01 to 0.5. Default 0.1.
    pub exposure_share: f64,
    /// Requests that it may get beyond that part, 0 to 100000; a fraction is dropped. Default 50.
    #[serde(deserialize_with = "deserialize_floor")]
    pub exposure_slack: u32,
    /// Milliseconds after its 50th bad response within which it gets nothing any more, 1000 to
    /// 600000; a fraction is dropped. Default 5000.
    #[serde(deserialize_with = "deserialize_floor")]
    pub rollback_ms: u64,
}

impl Default for ExposureSettings {
    fn default() -> Self {
        Self { exposure_share: 0.1, exposure_slack: 50, rollback_ms: 5_000 }
    }
}

/// Where metrics are sent and served.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MetricSettings {
    /// Address that receives statsd datagrams. Absent sends none.
    pub address: Option<SocketAddr>,
    /// Address at which metrics are served in the Prometheus text format, at `/metrics`. Absent for
    /// none.
    pub listen: Option<SocketAddr>,
}

/// How much is logged. Levels are set by the environment variable `RUST_LOG`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Routine lines written per second, 1 to 100000; further ones are only counted. Default 50.
    pub routine_lines: u32,
    /// Lines about failures written per second, 1 to 100000. Default 200.
    pub failure_lines: u32,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { routine_lines: 50, failure_lines: 200 }
    }
}
