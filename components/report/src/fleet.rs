//! The report on the versions of all proxies. A version counts as in force only at a proxy whose
//! current process has acknowledged it, so that a restarted proxy is not shown with the version of
//! its predecessor.

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sk_model::{ChangeRecord, DataCentre, ProxyAck, ProxyId, UnixMillis, Version};

/// State of a proxy with respect to the newest version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "state", rename_all = "kebab-case")]
pub enum ProxyState {
    /// The proxy has acknowledged the newest version.
    InForce,
    /// The proxy is present and has acknowledged an older version or none.
    Pending,
    /// The proxy rejected the newest version as a whole.
    Rejected {
        /// Reason of the rejection.
        reason: String,
    },
    /// The proxy cannot be reached; its current version is unknown.
    Unreachable {
        /// Start of the unreachability, on the clock of the daemon that made the report.
        unreachable_since: UnixMillis,
    },
    /// The proxy acknowledged a version before, and no daemon knows it now.
    Unknown,
}

/// A proxy known to membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownProxy {
    /// Data centre of the proxy.
    pub data_centre: DataCentre,
    /// Start of its process in milliseconds since the Unix epoch.
    pub incarnation: UnixMillis,
    /// Start of the unreachability on the clock of this daemon, or `None` while the proxy is
    /// believed present.
    pub unreachable_since: Option<UnixMillis>,
}

/// Version and state of one proxy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ProxyReport {
    /// Name of the proxy.
    pub proxy: ProxyId,
    /// Data centre of the proxy.
    pub data_centre: DataCentre,
    /// Version that the proxy acknowledged last, or zero for none.
    pub version: Version,
    /// Time at which the version was put in force, on the clock of the proxy; zero for none.
    pub since: UnixMillis,
    /// Daemon that the version came from, or `platform`.
    pub source: ProxyId,
    /// State with respect to the newest version.
    #[serde(flatten)]
    pub state: ProxyState,
}

/// The versions of all proxies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct FleetReport {
    /// Newest accepted version.
    pub version: Version,
    /// Record of the newest change.
    pub change: Option<ChangeRecord>,
    /// Number of proxies that have the newest version.
    pub in_force: usize,
    /// Number of all proxies known to membership.
    pub total: usize,
    /// Milliseconds from acceptance until the last proxy put the version in force, by the clocks of
    /// the accepting daemon and the proxies; absent until every proxy has acknowledged it.
    pub convergence_ms: Option<u64>,
    /// Proxies known to membership.
    pub proxies: Vec<ProxyReport>,
    /// Proxies that acknowledged a version before and that membership no longer knows, such as
    /// replaced ones.
    pub departed: Vec<ProxyReport>,
}

/// Returns the report from the newest change, the known proxies and their acknowledgements.
pub fn make_fleet_report(
    change: Option<ChangeRecord>,
    known: &BTreeMap<ProxyId, KnownProxy>,
    acks: &BTreeMap<ProxyId, ProxyAck>,
) -> FleetReport {
    let version = change.as_ref().map_or(0, |change| change.version);
    let report = |(proxy, known): (&ProxyId, &KnownProxy)| {
        // An acknowledgement of an earlier process says nothing about the current one.
        let ack = acks.get(proxy).filter(|ack| ack.incarnation >= known.incarnation);
        report_known_proxy(version, proxy, known, ack)
    };
    let departed = |(proxy, ack): (&ProxyId, &ProxyAck)| {
        build_report(proxy, &ack.data_centre, Some(ack), ProxyState::Unknown)
    };
    let is_departed = |(proxy, _): &(&ProxyId, &ProxyAck)| !known.contains_key(*proxy);
    let departed = acks.iter().filter(is_departed).map(departed).collect();
    let proxies: Vec<ProxyReport> = known.iter().map(report).collect();
    let is_in_force = |proxy: &&ProxyReport| proxy.state == ProxyState::InForce;
    let in_force = proxies.iter().filter(is_in_force).count();
    let last = proxies.iter().map(|proxy| proxy.since).max();
    let accepted = change.as_ref().map(|change| change.accepted_at);
    let convergence_ms = match (last, accepted) {
        (Some(last), Some(accepted)) if in_force == proxies.len() => {
            Some(last.saturating_sub(accepted))
        }
        _ => None,
    };
    FleetReport {
        version,
        change,
        in_force,
        total: proxies.len(),
        convergence_ms,
        proxies,
        departed,
    }
}

/// Returns the entry of a proxy that membership knows, with the state that its acknowledgement
/// shows.
fn report_known_proxy(
    newest: Version,
    proxy: &ProxyId,
    known: &KnownProxy,
    ack: Option<&ProxyAck>,
) -> ProxyReport {
    let rejection = ack.and_then(|ack| ack.rejected.as_ref());
    let rejection = rejection.filter(|rejected| rejected.version == newest);
    let state = match (known.unreachable_since, ack, rejection) {
        (Some(unreachable_since), ..) => ProxyState::Unreachable { unreachable_since },
        (None, Some(ack), _) if ack.version >= newest => ProxyState::InForce,
        (None, _, Some(rejected)) => ProxyState::Rejected { reason: rejected.reason.clone() },
        _ => ProxyState::Pending,
    };
    build_report(proxy, &known.data_centre, ack, state)
}

/// Returns the entry of a proxy in a given state.
fn build_report(
    proxy: &ProxyId,
    data_centre: &DataCentre,
    ack: Option<&ProxyAck>,
    state: ProxyState,
) -> ProxyReport {
    ProxyReport {
        proxy: proxy.clone(),
        data_centre: data_centre.clone(),
        version: ack.map_or(0, |ack| ack.version),
        since: ack.map_or(0, |ack| ack.since),
        source: ack.map_or_else(ProxyId::new, |ack| ack.source.clone()),
        state,
    }
}
