//! How one change went through the fleet.

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sk_model::{ChangeRecord, ProxyAck, ProxyId, UnixMillis, Version};

use crate::fleet::KnownProxy;

/// When each proxy put one version in force, on the proxies' clocks.
pub type InForceTimes = BTreeMap<ProxyId, UnixMillis>;

/// Delays from acceptance, in milliseconds, by the clocks of the accepting daemon and the proxies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct DelaySummary {
    /// Half the proxies were not slower.
    pub p50_ms: u64,
    /// 99 in 100 were not slower.
    pub p99_ms: u64,
    /// The slowest.
    pub max_ms: u64,
}

/// How one change went through the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ChangeReport {
    /// The change.
    pub change: ChangeRecord,
    /// Proxies that acknowledged this very version, whether or not they are still there.
    pub acknowledged: usize,
    /// Proxies that membership knows and that hold this version or a later one.
    pub in_force: usize,
    /// All proxies that membership knows.
    pub total: usize,
    /// Known proxies that hold neither this version nor a later one, as far as they have said.
    pub missing: Vec<ProxyId>,
    /// Delays of those that acknowledged this very version.
    pub delays: Option<DelaySummary>,
}

/// Makes the report on one change.
pub fn make_change_report(
    change: ChangeRecord,
    times: &InForceTimes,
    known: &BTreeMap<ProxyId, KnownProxy>,
    acks: &BTreeMap<ProxyId, ProxyAck>,
) -> ChangeReport {
    let holds = |(proxy, known): &(&ProxyId, &KnownProxy)| {
        let ack = acks.get(*proxy).filter(|ack| ack.incarnation >= known.incarnation);
        ack.is_some_and(|ack| ack.version >= change.version)
    };
    let missing: Vec<ProxyId> =
        known.iter().filter(|entry| !holds(entry)).map(|(proxy, _)| proxy.clone()).collect();
    ChangeReport {
        acknowledged: times.len(),
        in_force: known.len() - missing.len(),
        total: known.len(),
        missing,
        delays: summarise(times, change.accepted_at),
        change,
    }
}

fn summarise(times: &InForceTimes, accepted_at: UnixMillis) -> Option<DelaySummary> {
    // A proxy whose clock is behind the accepting daemon's seems to be early; it counts as zero.
    let mut delays: Vec<u64> = times.values().map(|at| at.saturating_sub(accepted_at)).collect();
    delays.sort_unstable();
    let max_ms = *delays.last()?;
    let quantile = |percent: usize| delays[(delays.len() * percent).div_ceil(100).max(1) - 1];
    Some(DelaySummary { p50_ms: quantile(50), p99_ms: quantile(99), max_ms })
}

/// Names one version's times in one data centre.
pub(crate) fn times_key(prefix: &str, version: Version, data_centre: &str) -> String {
    format!("{prefix}changes/{version:012}/{data_centre}")
}
