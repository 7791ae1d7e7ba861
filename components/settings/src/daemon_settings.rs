//! The settings struct with its defaults.

use std::net::{Ipv4Addr, SocketAddr};

use serde::{Deserialize, Serialize};
use sk_model::{DataCentre, ProxyId};

use crate::ExperimentSettings;

/// Everything that an operator may set for one daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// Which instance this is and where it stands.
    pub instance: InstanceSettings,
    /// Addresses the daemon listens at.
    #[serde(default)]
    pub listen: ListenSettings,
    /// The platform's object API.
    pub platform: PlatformSettings,
    /// Other daemons.
    pub peers: PeerSettings,
    /// How configuration spreads.
    #[serde(default)]
    pub spread: SpreadSettings,
    /// How daemons watch each other.
    #[serde(default)]
    pub member: MemberSettings,
    /// How the guard admits work to the local backend server.
    #[serde(default)]
    pub guard: GuardSettings,
    /// Who may change what.
    #[serde(default)]
    pub operators: OperatorSettings,
    /// Where requests are placed and when they are tried again.
    #[serde(default)]
    pub placing: PlacingSettings,
    /// Where reports are kept.
    #[serde(default)]
    pub report: ReportSettings,
    /// Where metrics go.
    #[serde(default)]
    pub metrics: MetricSettings,
    /// How much is logged.
    #[serde(default)]
    pub logs: LogSettings,
    /// What is left out to find what it is worth.
    #[serde(default)]
    pub experiment: ExperimentSettings,
}

/// Which instance this is and where it stands.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    /// Name of the daemon, unique in the fleet; 1 to 64 characters of a-z 0-9 - _ .
    pub name: ProxyId,
    /// Data centre; the same rule as for the name.
    pub data_centre: DataCentre,
    /// Region of the data centre; the same rule as for the name.
    pub region: String,
    /// Service of the backend server beside the daemon, as the platform names it: backend servers
    /// are told where a call began. Absent tells them nothing.
    #[serde(default)]
    pub service: Option<String>,
    /// Address of that backend server. A daemon that has just started asks it there who it is, where its
    /// service has a path for that, and need not wait for its next heartbeat. Absent asks nobody.
    #[serde(default)]
    pub server: Option<SocketAddr>,
    /// Threads that carry requests, 1 to 64. Default 0, one for each core that the system shows.
    #[serde(default)]
    pub threads: usize,
}

/// Addresses the daemon listens at. Port 0 takes a free port, which the daemon prints.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ListenSettings {
    /// Callers' HTTP requests.
    pub proxy: SocketAddr,
    /// Requests from other daemons for the local backend server.
    pub guard: SocketAddr,
    /// Control traffic between daemons.
    pub control: SocketAddr,
    /// Operators and announcements of the local backend server.
    pub ops: SocketAddr,
    /// A second address for the same calls, for a platform that asks there whether the daemon is
    /// ready. Absent for none.
    pub ready: Option<SocketAddr>,
    /// Address that other daemons are told for requests to the local backend server, where they
    /// reach this instance by another one than it listens at. Absent for `guard`.
    pub advertised_guard: Option<SocketAddr>,
    /// The same for control traffic. Absent for `control`.
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
    /// Prefix of every key of this fleet, so that fleets can share a platform.
    #[serde(default = "default_key_prefix")]
    pub key_prefix: String,
    /// Whose calls, configuration and headers are spoken. Default own.
    #[serde(default)]
    pub form: PlatformForm,
}

/// Whose calls, configuration and headers a daemon speaks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlatformForm {
    /// Sapphirekeel's own: teams change the configuration by way of the daemons.
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
    /// Control addresses tried for joining, in addition to contacts kept in the platform.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Secret shared by the fleet's daemons, at least 16 characters; shorter ones can be guessed.
    pub secret: String,
}

/// What a daemon does with a new version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SpreadMode {
    /// Sends the change at once: least convergence time, and fewest bytes for a change on its own.
    #[default]
    Push,
    /// Gathers changes for a second, then announces the version and lets peers fetch what they
    /// lack: fewest control bytes where many changes come within a second.
    Announce,
}

/// How configuration spreads.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SpreadSettings {
    /// Whether changes are pushed or announced. Default push.
    pub mode: SpreadMode,
    /// Peers each daemon passes a version to, 1 to 64. Default 6.
    pub fan_out: usize,
    /// Mean milliseconds between comparisons with a random peer, 100 to 60000. Default 2000.
    pub repair_interval_ms: u64,
    /// Daemons per data centre that watch the platform, 1 to 8. Default 2.
    pub relays: usize,
    /// Snapshots a daemon serves to peers at once, 1 to 64; more are told to come back. Default 4.
    pub max_fetches: usize,
    /// Milliseconds over which the daemons of a fleet that starts at once spread their own reads of
    /// the platform, 20 to 60000. Default 2000: most then get the configuration from a relay. A
    /// small fleet is ready sooner with less, for one read a daemon.
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

/// How daemons watch each other.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MemberSettings {
    /// Milliseconds between heartbeats to a neighbour, 50 to 10000. Default 500.
    pub heartbeat_ms: u64,
    /// Milliseconds without a heartbeat until a neighbour is suspected; at least three heartbeats,
    /// so that one lost packet or a short pause suspects nobody. Default 1500.
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
    /// Short requests that may wait for a slot, 0 to 1024; long ones get half as many places.
    /// Longer queues only add waiting. Default 24.
    pub queue: usize,
    /// Connections to the backend server at once, 1 to 10000; more are reset by it. Default 100.
    pub connections: u32,
    /// Largest body of a request in bytes, 1024 to 1073741824; larger ones get status 413.
    /// Default 16777216.
    pub max_body_bytes: u64,
    /// Milliseconds a graceful shutdown waits for requests in flight, 0 to 600000. Default 30000.
    pub drain_ms: u64,
    /// Milliseconds without an announcement until the server counts as gone, 200 to 60000.
    /// Default 3000.
    pub announce_ttl_ms: u64,
    /// Milliseconds for which a daemon that was told to stop goes on taking requests, so that
    /// callers notice before they are refused, 0 to 60000. Default 300.
    pub leave_ms: u64,
    /// Shortest milliseconds after which a refused caller may return, 0 to 60000. Default 1000.
    pub retry_least_ms: u64,
    /// Milliseconds over which returns are spread, 1 to 60000. Default 2000.
    pub retry_spread_ms: u64,
    /// Crashes with the same request in flight after which it is held back, 2 to 4. Default 0: it
    /// runs alone after its first crash, which tells it from the others most surely but costs
    /// them the server while it runs.
    pub crash_limit: u32,
}

impl Default for GuardSettings {
    fn default() -> Self {
        Self {
            queue: 24,
            connections: 100,
            max_body_bytes: 16 * 1024 * 1024,
            drain_ms: 30_000,
            announce_ttl_ms: 3_000,
            leave_ms: 300,
            retry_least_ms: 1_000,
            retry_spread_ms: 2_000,
            crash_limit: 0,
        }
    }
}

/// How an endpoint is chosen among those of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlacingOrder {
    /// The better of two drawn by share: for work of a few milliseconds.
    #[default]
    Draw,
    /// Where the answer is expected first, and only where a slot is free while there is one; those
    /// that wait start by rank and response-time goal. For work that is long beside a round trip
    /// between daemons.
    Soonest,
}

/// Where requests are placed and when they are tried again.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlacingSettings {
    /// How an endpoint is chosen. Default draw.
    pub order: PlacingOrder,
    /// Milliseconds in which a new backend server is given its whole share, 0 to 600000. Default
    /// 30000.
    pub warm_up_ms: u64,
    /// Retries that each request pays in for its service, in thousandths, 0 to 1000. Default 100.
    pub retry_deposit: u64,
    /// Retries that a service may be sent at once, 0 to 10000. Default 20.
    pub retry_burst: u64,
    /// Thousandths of the burst that are kept back, 0 to 900. Default 0. For a burst that is
    /// somebody else's bound: daemons learn of each other, and count what a call repeats, a moment
    /// late.
    pub retry_margin: u64,
    /// Thousandths of a retry that a service without traffic gains a second, 0 to 100000. Default
    /// 1000.
    pub retry_floor: u64,
    /// Whether burst and floor are those of the whole fleet, of which each daemon holds its part.
    /// Default false.
    pub retry_shared: bool,
    /// Attempts that no backend server took in and that are made again elsewhere without drawing
    /// on the retries, 0 to 16. Default 0.
    pub free_moves: u8,
}

impl Default for PlacingSettings {
    fn default() -> Self {
        Self {
            order: PlacingOrder::Draw,
            warm_up_ms: 30_000,
            retry_deposit: 100,
            retry_burst: 20,
            retry_margin: 0,
            retry_floor: 1_000,
            retry_shared: false,
            free_moves: 0,
        }
    }
}

/// Where reports are kept.
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

/// Who may change what.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OperatorSettings {
    /// SHA-256 of the managers' token in hexadecimal; empty refuses every manager's call.
    pub manager_sha256: String,
}

/// Where metrics go.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MetricSettings {
    /// Address that takes statsd datagrams; absent sends none.
    pub address: Option<SocketAddr>,
    /// Address at which metrics are served as text in the Prometheus format, at `/metrics`; absent
    /// for none.
    pub listen: Option<SocketAddr>,
}

/// How much is logged. The levels are those of the variable `RUST_LOG`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Routine lines written in a second, 1 to 100000; the others are counted. Default 50.
    pub routine_lines: u32,
    /// Lines about failures written in a second, 1 to 100000. Default 200.
    pub failure_lines: u32,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { routine_lines: 50, failure_lines: 200 }
    }
}
