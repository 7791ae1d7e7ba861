//! Request and answer bodies of the operators' interface.

use std::{collections::BTreeMap, net::SocketAddr};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sk_model::{
    DataCentre, ProxyId, RejectedVersion, ServiceName, SettingBody, SettingPath, TeamName,
    UnixMillis, Version, deserialize_floor,
};

/// Announcement of a backend server to the daemon beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ServerAnnouncement {
    /// Service it runs.
    pub service: ServiceName,
    /// Identifier that its process chose at its start.
    pub server: String,
    /// Address that it listens on, as IP and port.
    pub address: String,
    /// Requests that it runs concurrently, 1 to 10000.
    pub slots: u32,
    /// Whether it accepts no new work.
    #[serde(default)]
    pub is_draining: bool,
    /// Version of its software, at most 64 characters; empty if it has none.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub version: String,
}

/// A heartbeat of the local backend server, in the platform's format. Other fields are ignored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct HeartbeatBody {
    /// Service it runs, as the platform names it.
    pub service: String,
    /// Address that it listens on, as IP and port.
    pub address: String,
    /// Requests that it runs concurrently, 1 to 10000; a fraction is dropped.
    #[serde(deserialize_with = "deserialize_floor")]
    pub slots: u32,
    /// Whether it accepts new work.
    pub state: ServerState,
    /// Milliseconds for which it will still be slow after its start; a fraction is dropped.
    #[serde(default, deserialize_with = "deserialize_floor")]
    pub warm_up_left: u64,
    /// Sequence number of the heartbeat.
    pub sequence: u64,
    /// Start of its process in milliseconds since the Unix epoch, on its own clock.
    #[serde(default)]
    pub born: Option<UnixMillis>,
    /// Version of its software, at most 64 characters; empty if it has none.
    #[serde(default)]
    pub version: String,
}

/// What a local backend server says when it leaves, in the platform's format. Other fields are
/// ignored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct LeaveBody {
    /// Start of its process in milliseconds since the Unix epoch, on its own clock.
    #[serde(default)]
    pub born: Option<UnixMillis>,
}

/// Whether a backend server accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// It accepts new work.
    Ready,
    /// It finishes its requests in flight and accepts no new ones.
    Draining,
}

/// Answer to an accepted heartbeat or deregistration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct HeartbeatAnswer {}

/// Answer of a daemon that is ready.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ReadyView {
    /// Version of the configuration in force.
    pub version: Version,
}

/// A team as the platform stores it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TeamRecord {
    /// SHA-256 of the team's token in hexadecimal.
    pub token_sha256: String,
}

/// The accepted settings of one team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct TeamView {
    /// Version that last changed them; it is the `base` of the next change.
    pub version: Version,
    /// Settings by path.
    pub settings: BTreeMap<SettingPath, SettingBody>,
}

/// The accepted configuration as the caller may see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct SettingsView {
    /// Version of the configuration.
    pub version: Version,
    /// Settings by team.
    pub teams: BTreeMap<TeamName, TeamView>,
}

/// Another daemon as this daemon knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct PeerView {
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Start of its process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Sequence number of its record, which it raises with every change.
    pub sequence: u64,
    /// Its membership status: `alive`, `suspect`, `leaving` or `gone`.
    pub status: String,
    /// How this daemon alone judges it: `reachable`, `suspect` or `unreachable`.
    pub mark: String,
    /// Services of the backend servers beside it, with their status.
    pub services: BTreeMap<ServiceName, String>,
}

/// A backend server beside this daemon, with the guard's counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ServerView {
    /// Identifier of its process.
    pub server: String,
    /// Whether it accepts new work: `ready` or `draining`.
    pub status: String,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Slots that the guard uses now: fewer while the server is warming up.
    pub open_slots: u32,
    /// Running requests, short and long.
    pub running: [u32; 2],
    /// Requests waiting for a slot, short and long.
    pub queued: [u32; 2],
    /// Requests in a thousand seconds that it states as its limit; absent without one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit_per_thousand_s: Option<u64>,
}

/// The control traffic of one daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ControlView {
    /// Whether the daemon has the configuration and members that it needs to serve.
    pub is_ready: bool,
    /// Whether it watches the platform for its data centre.
    pub is_relay: bool,
    /// The relays of its data centre, in order of preference.
    pub relays: Vec<ProxyId>,
    /// Daemons that it exchanges heartbeats with.
    pub links: Vec<ProxyId>,
    /// The last error of the configuration source, `None` while the source answers.
    pub source_fault: Option<String>,
    /// Milliseconds since the configuration source was known to have no newer version than this
    /// daemon, `None` where that is unknown.
    pub source_age_ms: Option<u64>,
    /// Fetches served to other daemons.
    pub fetches_served: u64,
    /// Fetches refused because too many were being served.
    pub fetches_refused: u64,
    /// Newest version for which another daemon has different content, 0 where there is none.
    pub diverged: Version,
    /// Payload bytes sent, by kind of call.
    pub sent_bytes: BTreeMap<String, u64>,
    /// Data centres whose acknowledgements are not yet stored in the platform.
    pub pending_reports: u64,
}

/// Counts of callers' requests at one daemon since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct RequestView {
    /// Requests in this daemon now.
    pub in_flight: u64,
    /// Requests answered by a server.
    pub ran: u64,
    /// Requests that did not run.
    pub not_run: u64,
    /// Requests of which it is unknown whether they ran.
    pub unknown: u64,
    /// Answers that the daemon gave itself, by reason.
    pub refused: BTreeMap<String, u64>,
    /// Retries, which draw on the retry budget.
    pub retries: u64,
    /// Whole retries left in the retry budget of each service.
    pub retries_left: BTreeMap<ServiceName, u64>,
}

/// The limit of one workspace and its requests at one daemon since that daemon's start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct WorkspaceView {
    /// Requests that it may send in 1000 seconds, over all daemons.
    pub rate_per_thousand_s: u64,
    /// Requests at once beyond that rate.
    pub burst: u64,
    /// The daemon that owns its bucket, as this daemon sees it.
    pub owner: Option<ProxyId>,
    /// Requests within the limit.
    pub used: u64,
    /// Requests refused over the limit.
    pub refused: u64,
    /// Requests decided by this daemon's own part, because the owner did not answer.
    pub fallback: u64,
    /// Tokens returned for requests that did not run.
    pub given_back: u64,
    /// Repeats that reached another server.
    pub charged: u64,
}

/// The state of one daemon. It contains no secret.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct StateDump {
    /// Name of this daemon.
    pub proxy: ProxyId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Version in force.
    pub version: Version,
    /// When that version came into force, on the daemon's clock.
    pub since: UnixMillis,
    /// The daemon that sent the version, or `platform`.
    pub source: ProxyId,
    /// The newest version that was rejected, if any.
    pub rejected: Option<RejectedVersion>,
    /// Control bytes sent.
    pub control_sent: u64,
    /// Control bytes received.
    pub control_received: u64,
    /// Requests suspected of crashing servers.
    pub suspects: u64,
    /// Number of these requests that are refused because of it.
    pub quarantined: u64,
    /// Address that callers connect to.
    pub proxy_address: SocketAddr,
    /// Control traffic.
    pub control: ControlView,
    /// Callers' requests since the start.
    pub requests: RequestView,
    /// Backend servers beside it, by service.
    pub servers: BTreeMap<ServiceName, ServerView>,
    /// Workspaces with a limit, by name.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub workspaces: BTreeMap<String, WorkspaceView>,
    /// All known daemons, this one included.
    pub members: BTreeMap<ProxyId, PeerView>,
    /// Orders that move traffic to other versions; a daemon of an earlier release states none.
    #[serde(default)]
    pub rollouts: Vec<RolloutReport>,
}

/// An order that moves traffic to another version of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct RolloutReport {
    /// The service.
    pub service: ServiceName,
    /// Version that is to get the traffic.
    pub target: String,
    /// How far it has come.
    pub state: String,
    /// Part of the requests that the target version gets, in thousandths.
    pub share_thousandths: u16,
    /// Why it ended, `None` while it runs.
    pub reason: Option<String>,
    /// Requests sent to servers of the service since the order.
    pub sent: u64,
    /// Requests among them that were sent to the target version.
    pub sent_to_target: u64,
    /// What the servers answered, by kind of work.
    pub works: Vec<WorkReport>,
}

/// Answers for one kind of work, as [answers, failures among them].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct WorkReport {
    /// The kind of work.
    pub work: String,
    /// Answers of the target version.
    pub target: [u64; 2],
    /// Answers of the other versions.
    pub base: [u64; 2],
}
