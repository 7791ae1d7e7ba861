//! Bodies of the operators' interface.

use std::{collections::BTreeMap, net::SocketAddr};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sk_model::{
    DataCentre, ProxyId, RejectedVersion, ServiceName, SettingBody, SettingPath, TeamName,
    UnixMillis, Version,
};

/// What a backend server says of itself to the daemon beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ServerAnnouncement {
    /// Service it runs.
    pub service: ServiceName,
    /// Identifier its process drew at its start.
    pub server: String,
    /// Where it listens, as IP and port.
    pub address: String,
    /// Requests it works on at once, 1 to 10000.
    pub slots: u32,
    /// Whether it takes no new work.
    #[serde(default)]
    pub is_draining: bool,
}

/// A heartbeat of the local backend server, in the platform's form. Fields that are not listed are
/// of no use here.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ServerBeat {
    /// Service it runs, as the platform names it.
    pub service: String,
    /// Where it listens, as IP and port.
    pub address: String,
    /// Requests it works on at once, 1 to 10000.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: ServerState,
    /// Milliseconds for which it is still slow after its start.
    #[serde(default)]
    pub warm_up_left: u64,
    /// Counts its heartbeats.
    pub sequence: u64,
    /// Start of its process in milliseconds since the epoch, on its own clock.
    #[serde(default)]
    pub born: Option<UnixMillis>,
}

/// Whether a backend server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// Takes new work.
    Ready,
    /// Finishes what it has.
    Draining,
}

/// Answer to a heartbeat or a good-bye that was taken.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct BeatAnswer {}

/// Answer of a daemon that is ready.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ReadyView {
    /// Version of the configuration in force.
    pub version: Version,
}

/// A team as the platform keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TeamRecord {
    /// SHA-256 of the team's token in hexadecimal.
    pub token_sha256: String,
}

/// A team's settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct TeamView {
    /// Version that last changed them, the base of the next change.
    pub version: Version,
    /// Settings by path.
    pub settings: BTreeMap<SettingPath, SettingBody>,
}

/// The accepted configuration as the caller may see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct HeldView {
    /// Version of the whole.
    pub version: Version,
    /// Teams.
    pub teams: BTreeMap<TeamName, TeamView>,
}

/// Another daemon as this one believes it to be.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct PeerView {
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Start of its process, in milliseconds since the epoch.
    pub incarnation: u64,
    /// Its own count of changes.
    pub sequence: u64,
    /// Whether it takes part.
    pub status: String,
    /// What this daemon alone believes of it: `reachable`, `suspect` or `unreachable`.
    pub mark: String,
    /// Services of the backend servers beside it, with their status.
    pub services: BTreeMap<ServiceName, String>,
}

/// A backend server beside this daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ServerView {
    /// Its process.
    pub server: String,
    /// Whether it takes new work.
    pub status: String,
    /// Requests it works on at once.
    pub slots: u32,
    /// Slots the guard uses now: fewer while the server is cold.
    pub open_slots: u32,
    /// Requests that run there, short and long.
    pub running: [u32; 2],
    /// Requests that wait for a slot, short and long.
    pub queued: [u32; 2],
}

/// The control traffic of one daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ControlView {
    /// Whether the daemon holds what it must before it serves.
    pub is_ready: bool,
    /// Whether it watches the platform for its data centre.
    pub is_relay: bool,
    /// The relays of its data centre, first choice first.
    pub relays: Vec<ProxyId>,
    /// Daemons it exchanges heartbeats with.
    pub links: Vec<ProxyId>,
    /// What the platform said last; none while it answers.
    pub source_fault: Option<String>,
    /// Milliseconds since the platform was known to have nothing newer than what is held here; none
    /// where that is not known.
    pub source_age_ms: Option<u64>,
    /// Fetches served to other daemons.
    pub fetches_served: u64,
    /// Fetches refused because too many were served at once.
    pub fetches_refused: u64,
    /// Newest version under which another daemon holds another content; zero where none does.
    pub diverged: Version,
    /// Payload bytes sent, by kind of call.
    pub sent_bytes: BTreeMap<String, u64>,
    /// Data centres whose acknowledgements wait to be kept in the platform.
    pub pending_reports: u64,
}

/// Callers' requests of one daemon since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct RequestView {
    /// In this daemon now.
    pub in_flight: u64,
    /// Answered by a server.
    pub ran: u64,
    /// Not run.
    pub not_run: u64,
    /// Not known whether run.
    pub unknown: u64,
    /// Answers of the daemon's own, by reason.
    pub refused: BTreeMap<String, u64>,
    /// Attempts after the first.
    pub retries: u64,
    /// Whole retries that each service may still be sent.
    pub retries_left: BTreeMap<ServiceName, u64>,
}

/// The state of one daemon. Holds no secret.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct StateDump {
    /// This daemon.
    pub proxy: ProxyId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Version in force.
    pub version: Version,
    /// Since when, on its clock.
    pub since: UnixMillis,
    /// Where the version came from.
    pub source: ProxyId,
    /// The newest version refused.
    pub rejected: Option<RejectedVersion>,
    /// Control bytes sent.
    pub control_sent: u64,
    /// Control bytes received.
    pub control_received: u64,
    /// Requests suspected of crashing servers.
    pub suspects: u64,
    /// Of these, requests that are refused for it.
    pub quarantined: u64,
    /// Address for callers.
    pub proxy_address: SocketAddr,
    /// The control traffic.
    pub control: ControlView,
    /// Callers' requests since the start.
    pub requests: RequestView,
    /// Backend servers beside it, by service.
    pub servers: BTreeMap<ServiceName, ServerView>,
    /// Other daemons and this one.
    pub members: BTreeMap<ProxyId, PeerView>,
}
