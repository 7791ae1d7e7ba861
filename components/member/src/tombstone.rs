//! Records of daemons that are gone, kept so that late copies cannot revive them.

use std::{collections::BTreeMap, time::Duration};

use sk_model::ProxyId;

/// Time for which a tombstone is passed on to others. Ten minutes reach everyone who runs; a
/// tombstone that were passed on until it is dropped would travel from those who dropped it last
/// to those who dropped it first, and never end.
const PASS_ON: Duration = Duration::from_secs(10 * 60);
/// Time for which a tombstone is kept: an hour is far beyond any pause or cut after which a
/// daemon still sends what it believed before. Should an older copy come back, the daemons in
/// that data centre find it silent and remove it again within seconds.
const KEEP: Duration = Duration::from_secs(60 * 60);
/// Tombstones kept at most, the oldest dropped first: more than the whole fleet restarted under
/// new names within an hour.
const MAX_TOMBSTONES: usize = 1_024;

#[derive(Clone, Copy, Debug)]
struct TombstoneState {
    since: Duration,
    is_hidden: bool,
}

/// Since when daemons are known to be gone.
#[derive(Clone, Debug, Default)]
pub(crate) struct TombstoneList {
    states: BTreeMap<ProxyId, TombstoneState>,
}

/// What a sweep found.
#[derive(Debug, Default)]
pub(crate) struct SweepOutcome {
    /// Tombstones that are kept but no longer passed on.
    pub(crate) hidden: Vec<ProxyId>,
    /// Tombstones that are to be dropped.
    pub(crate) dropped: Vec<ProxyId>,
}

impl TombstoneList {
    pub(crate) fn is_hidden(&self, proxy: &str) -> bool {
        self.states.get(proxy).is_some_and(|state| state.is_hidden)
    }

    pub(crate) fn forget(&mut self, proxy: &str) {
        self.states.remove(proxy);
    }

    /// Takes in who is gone now, and finds what is to be hidden and dropped.
    pub(crate) fn sweep<'a>(
        &mut self,
        gone: impl Iterator<Item = &'a ProxyId>,
        now: Duration,
    ) -> SweepOutcome {
        for proxy in gone {
            let state = TombstoneState { since: now, is_hidden: false };
            self.states.entry(proxy.clone()).or_insert(state);
        }
        let mut outcome = SweepOutcome { dropped: self.expired(now), ..SweepOutcome::default() };
        for (proxy, state) in &mut self.states {
            let is_due = !state.is_hidden && now.saturating_sub(state.since) >= PASS_ON;
            if is_due && !outcome.dropped.contains(proxy) {
                state.is_hidden = true;
                outcome.hidden.push(proxy.clone());
            }
        }
        outcome
    }

    fn expired(&self, now: Duration) -> Vec<ProxyId> {
        let mut by_age: Vec<(Duration, &ProxyId)> =
            self.states.iter().map(|(proxy, state)| (state.since, proxy)).collect();
        by_age.sort_unstable();
        let surplus = by_age.len().saturating_sub(MAX_TOMBSTONES);
        let is_expired = |(place, (since, _)): &(usize, &(Duration, &ProxyId))| {
            *place < surplus || now.saturating_sub(*since) >= KEEP
        };
        by_age
            .iter()
            .enumerate()
            .filter(is_expired)
            .map(|(_, (_, proxy))| (*proxy).clone())
            .collect()
    }
}
