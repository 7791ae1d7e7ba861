//! Retention of the records of daemons that are gone.
//!
//! A tombstone prevents a late copy of an older record from making a gone daemon look alive again.
//! It is first spread to other daemons, then kept locally, and finally removed, so that memory
//! stays bounded.

use std::{collections::BTreeMap, time::Duration};

use sk_model::ProxyId;

/// Time for which a tombstone is sent to other daemons. 10 minutes suffice to reach every running
/// daemon. If a tombstone were sent until its removal, daemons that removed it late would send it
/// back to daemons that removed it early, without end.
const SPREAD_TIME: Duration = Duration::from_secs(10 * 60);
/// Time for which a tombstone is kept. One hour is far longer than any pause or network cut after
/// which a daemon still sends old records. If an older copy arrives even later, the daemons of
/// that data centre find the daemon silent and remove it again within seconds.
const RETENTION: Duration = Duration::from_secs(60 * 60);
/// Largest number of tombstones; the oldest are removed first. It exceeds the number left by a
/// restart of the whole fleet under new names within one hour.
const MAX_TOMBSTONES: usize = 1_024;

/// Age of a tombstone, and whether it is no longer sent.
#[derive(Clone, Copy, Debug)]
struct TombstoneState {
    gone_since: Duration,
    is_withheld: bool,
}

/// The daemons known to be gone, with the time at which this was learnt.
#[derive(Clone, Debug, Default)]
pub(crate) struct TombstoneList {
    states: BTreeMap<ProxyId, TombstoneState>,
}

/// Result of a sweep.
#[derive(Debug, Default)]
pub(crate) struct SweepOutcome {
    /// Tombstones that are from now on kept locally and no longer sent.
    pub(crate) withheld: Vec<ProxyId>,
    /// Tombstones that the caller has to remove.
    pub(crate) expired: Vec<ProxyId>,
}

impl TombstoneList {
    /// Returns whether a daemon has a tombstone that is no longer sent.
    pub(crate) fn is_withheld(&self, proxy: &str) -> bool {
        self.states.get(proxy).is_some_and(|state| state.is_withheld)
    }

    pub(crate) fn remove(&mut self, proxy: &str) {
        self.states.remove(proxy);
    }

    /// Adds the daemons that are gone now, and returns the tombstones to withhold and those to
    /// remove.
    pub(crate) fn sweep<'a>(
        &mut self,
        gone: impl Iterator<Item = &'a ProxyId>,
        now: Duration,
    ) -> SweepOutcome {
        for proxy in gone {
            let state = TombstoneState { gone_since: now, is_withheld: false };
            self.states.entry(proxy.clone()).or_insert(state);
        }
        let mut outcome =
            SweepOutcome { expired: self.find_expired(now), ..SweepOutcome::default() };
        for (proxy, state) in &mut self.states {
            let is_newly_withheld =
                !state.is_withheld && now.saturating_sub(state.gone_since) >= SPREAD_TIME;
            if is_newly_withheld && !outcome.expired.contains(proxy) {
                state.is_withheld = true;
                outcome.withheld.push(proxy.clone());
            }
        }
        outcome
    }

    /// Returns the tombstones beyond the retention time or beyond the largest number.
    fn find_expired(&self, now: Duration) -> Vec<ProxyId> {
        let mut by_age: Vec<(Duration, &ProxyId)> =
            self.states.iter().map(|(proxy, state)| (state.gone_since, proxy)).collect();
        by_age.sort_unstable();
        let surplus_count = by_age.len().saturating_sub(MAX_TOMBSTONES);
        let is_expired = |(age_rank, (gone_since, _)): &(usize, &(Duration, &ProxyId))| {
            *age_rank < surplus_count || now.saturating_sub(*gone_since) >= RETENTION
        };
        by_age
            .iter()
            .enumerate()
            .filter(is_expired)
            .map(|(_, (_, proxy))| (*proxy).clone())
            .collect()
    }
}
