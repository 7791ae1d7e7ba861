//! The report on how one change spread through the fleet.

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sk_model::{ChangeRecord, ProxyAck, ProxyId, UnixMillis, Version};

use crate::fleet::KnownProxy;

/// Time at which each proxy put one version in force, on the clocks of the proxies.
pub type InForceTimes = BTreeMap<ProxyId, UnixMillis>;

/// Delays from acceptance to enforcement in milliseconds, by the clocks of the accepting daemon
/// and the proxies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct DelaySummary {
    /// Median delay in milliseconds.
    pub p50_ms: u64,
    /// Delay in milliseconds that 99 in 100 proxies did not exceed.
    pub p99_ms: u64,
    /// Largest delay in milliseconds.
    pub max_ms: u64,
}

/// Progress of one change through the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ChangeReport {
    /// Record of the change.
    pub change: ChangeRecord,
    /// Number of proxies that acknowledged exactly this version, including those that no longer
    /// exist.
    pub acknowledged: usize,
    /// Number of proxies known to membership that have this version or a later one.
    pub in_force: usize,
    /// Number of all proxies known to membership.
    pub total: usize,
    /// Known proxies that have not acknowledged this version or a later one.
    pub missing: Vec<ProxyId>,
    /// Delays of the proxies that acknowledged exactly this version.
    pub delays: Option<DelaySummary>,
}

/// Returns the report on one change.
pub fn make_change_report(
    change: ChangeRecord,
    times: &InForceTimes,
    known: &BTreeMap<ProxyId, KnownProxy>,
    acks: &BTreeMap<ProxyId, ProxyAck>,
) -> ChangeReport {
    let has_version = |(proxy, known): &(&ProxyId, &KnownProxy)| {
        let ack = acks.get(*proxy).filter(|ack| ack.incarnation >= known.incarnation);
        ack.is_some_and(|ack| ack.version >= change.version)
    };
    let missing: Vec<ProxyId> =
        known.iter().filter(|entry| !has_version(entry)).map(|(proxy, _)| proxy.clone()).collect();
    ChangeReport {
        acknowledged: times.len(),
        in_force: known.len() - missing.len(),
        total: known.len(),
        missing,
        delays: summarise_delays(times, change.accepted_at),
        change,
    }
}

/// Returns the delays from acceptance, or `None` if no proxy has put the version in force.
fn summarise_delays(times: &InForceTimes, accepted_at: UnixMillis) -> Option<DelaySummary> {
    // A proxy whose clock is behind that of the accepting daemon seems to be early; its delay
    // counts as zero.
    let mut delays: Vec<u64> = times.values().map(|at| at.saturating_sub(accepted_at)).collect();
    delays.sort_unstable();
    let max_ms = *delays.last()?;
    let quantile = |percent: usize| delays[(delays.len() * percent).div_ceil(100).max(1) - 1];
    Some(DelaySummary { p50_ms: quantile(50), p99_ms: quantile(99), max_ms })
}

/// Returns the key of the times of one version in one data centre.
pub(crate) fn times_key(prefix: &str, version: Version, data_centre: &str) -> String {
    format!("{prefix}changes/{version:012}/{data_centre}")
}
