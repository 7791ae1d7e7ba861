//! The report on the whole fleet.

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sk_model::{ChangeRecord, DataCentre, ProxyAck, ProxyId, UnixMillis, Version};

/// Where a proxy stands towards the newest version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "state", rename_all = "kebab-case")]
pub enum ProxyState {
    /// It has itself acknowledged the newest version.
    InForce,
    /// It is present and has acknowledged an older version or none.
    Pending,
    /// It refused the newest version whole.
    Rejected {
        /// Why.
        reason: String,
    },
    /// Nothing is heard of it; what it holds now is not known.
    Unreachable {
        /// Since when, on the clock of the daemon that made the report.
        unreachable_since: UnixMillis,
    },
    /// It acknowledged once and no daemon knows of it now.
    Unknown,
}

/// A proxy that membership knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownProxy {
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Start of its process, in milliseconds since the epoch.
    pub incarnation: UnixMillis,
    /// Since when it is not reachable, on this daemon's clock; none while it is believed present.
    pub unreachable_since: Option<UnixMillis>,
}

/// What is known of one proxy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ProxyReport {
    /// The proxy.
    pub proxy: ProxyId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The version it last acknowledged, zero for none.
    pub version: Version,
    /// Since when, on the proxy's clock; zero for never.
    pub since: UnixMillis,
    /// The daemon the version came from, or `platform`.
    pub source: ProxyId,
    /// Where it stands.
    #[serde(flatten)]
    pub state: ProxyState,
}

/// Who holds which configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct FleetReport {
    /// The newest accepted version.
    pub version: Version,
    /// The change that made it.
    pub change: Option<ChangeRecord>,
    /// Proxies that hold it.
    pub in_force: usize,
    /// All proxies that membership knows.
    pub total: usize,
    /// Milliseconds from acceptance to the last acknowledgement, by the clocks of the accepting
    /// daemon and the proxies; absent until every proxy has acknowledged.
    pub convergence_ms: Option<u64>,
    /// Each proxy that membership knows.
    pub proxies: Vec<ProxyReport>,
    /// Proxies that acknowledged once and that membership no longer knows, such as replaced ones.
    pub departed: Vec<ProxyReport>,
}

/// Makes the report from the newest change, the proxies known and their acknowledgements.
pub fn make_report(
    change: Option<ChangeRecord>,
    known: &BTreeMap<ProxyId, KnownProxy>,
    acks: &BTreeMap<ProxyId, ProxyAck>,
) -> FleetReport {
    let version = change.as_ref().map_or(0, |change| change.version);
    let report = |(proxy, known): (&ProxyId, &KnownProxy)| {
        // An ack of an earlier process says nothing about the one that runs now.
        let ack = acks.get(proxy).filter(|ack| ack.incarnation >= known.incarnation);
        report_proxy(version, proxy, known, ack)
    };
    let departed = |(proxy, ack): (&ProxyId, &ProxyAck)| {
        report_held(proxy, &ack.data_centre, Some(ack), ProxyState::Unknown)
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

fn report_proxy(
    newest: Version,
    proxy: &ProxyId,
    known: &KnownProxy,
    ack: Option<&ProxyAck>,
) -> ProxyReport {
    let refusal = ack.and_then(|ack| ack.rejected.as_ref());
    let refusal = refusal.filter(|rejected| rejected.version == newest);
    let state = match (known.unreachable_since, ack, refusal) {
        (Some(unreachable_since), ..) => ProxyState::Unreachable { unreachable_since },
        (None, Some(ack), _) if ack.version >= newest => ProxyState::InForce,
        (None, _, Some(rejected)) => ProxyState::Rejected { reason: rejected.reason.clone() },
        _ => ProxyState::Pending,
    };
    report_held(proxy, &known.data_centre, ack, state)
}

fn report_held(
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
