//! Which daemons the fleet has, which of them this daemon reaches, and whether these suffice to
//! decide for all. The design note is `docs/design/fleet-knowledge.md`.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use sk_model::ProxyId;

use crate::{LocalReachability, MemberRecord, MemberSnapshot, MemberStatus, ReachabilityMarks};

/// Time without a sign of life after which a name is removed from the roster.
const FORGET_TIME: Duration = Duration::from_secs(60);
/// Time for which a removed name still counts. A daemon that runs and reaches the store adds its
/// name again in this time.
const OBJECTION_TIME: Duration = Duration::from_secs(30);

/// Names of daemons, as stored in the platform.
pub type FleetRoster = BTreeSet<ProxyId>;

/// The daemons of the fleet as one of them knows them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetKnowledge {
    /// Whether the roster has been read.
    has_roster: bool,
    known: BTreeSet<ProxyId>,
    reached: BTreeSet<ProxyId>,
    /// Known daemons of which there is no record here.
    unheard: BTreeSet<ProxyId>,
}

impl FleetKnowledge {
    /// Assesses the members in view of the roster, `None` while that has not been read.
    pub fn assess(
        own: &str,
        members: &MemberSnapshot,
        marks: &ReachabilityMarks,
        roster: Option<&FleetRoster>,
    ) -> Self {
        let is_leaving = |name: &ProxyId| {
            members.get(name).is_some_and(|record| record.status == MemberStatus::Leaving)
        };
        let active = members.values().filter(|record| record.is_active());
        let mut known: BTreeSet<ProxyId> = active.map(|record| record.proxy.clone()).collect();
        let listed = roster.into_iter().flatten().filter(|name| !is_leaving(name));
        known.extend(listed.cloned());
        let is_reached = |name: &&ProxyId| {
            let record = members.get(*name);
            *name == own || record.is_some_and(|record| is_within_reach(record, marks))
        };
        let reached = known.iter().filter(is_reached).cloned().collect();
        let unheard = known.iter().filter(|name| !members.contains_key(*name)).cloned().collect();
        Self { has_roster: roster.is_some(), known, reached, unheard }
    }

    /// Returns whether this daemon may decide for the fleet: it reaches most of the daemons, or half
    /// of them and among these the first by name. This holds for one of any groups at most that do
    /// not reach each other.
    pub fn knows_fleet(&self) -> bool {
        let (known, reached) = (self.known.len(), self.reached.len());
        let has_first = self.known.first().is_some_and(|first| self.reached.contains(first));
        self.has_roster && (reached * 2 > known || reached * 2 == known && has_first)
    }

    /// Returns whether the roster has been read.
    pub fn is_roster_read(&self) -> bool {
        self.has_roster
    }

    /// Returns whether the fleet is known, with the record of each of its daemons.
    pub fn is_complete(&self) -> bool {
        self.knows_fleet() && self.unheard.is_empty()
    }

    /// Returns whether a daemon belongs to the fleet, as far as is known here.
    pub fn has(&self, proxy: &str) -> bool {
        self.known.contains(proxy)
    }

    /// Returns whether this daemon reaches another one.
    pub fn reaches(&self, proxy: &str) -> bool {
        self.reached.contains(proxy)
    }

    /// Returns the daemons of the roster of which there is no record here.
    pub fn unheard(&self) -> impl Iterator<Item = &ProxyId> {
        self.unheard.iter()
    }

    /// Returns the number of daemons of the fleet, at least one.
    pub fn daemon_count(&self) -> usize {
        self.known.len().max(1)
    }
}

/// Returns whether a daemon takes part and is not marked as unreachable here.
fn is_within_reach(record: &MemberRecord, marks: &ReachabilityMarks) -> bool {
    record.is_active() && marks.get(&record.proxy) != Some(&LocalReachability::Unreachable)
}

/// Decides which names the roster of one data centre should have.
#[derive(Clone, Debug, Default)]
pub struct RosterUpkeep {
    silent_since: BTreeMap<ProxyId, Duration>,
    removed_at: BTreeMap<ProxyId, Duration>,
}

impl RosterUpkeep {
    /// Returns the names that the roster of `data_centre` should have in place of `stored`: those of
    /// its members within reach, and stored ones that have neither left nor been silent for long.
    pub fn update(
        &mut self,
        data_centre: &str,
        stored: &FleetRoster,
        members: &MemberSnapshot,
        marks: &ReachabilityMarks,
        now: Duration,
    ) -> FleetRoster {
        let of_centre = members.values().filter(|record| record.data_centre == data_centre);
        let within_reach = of_centre.filter(|record| is_within_reach(record, marks));
        let mut wanted: FleetRoster = within_reach.map(|record| record.proxy.clone()).collect();
        self.silent_since.retain(|name, _| stored.contains(name) && !wanted.contains(name));
        self.removed_at
            .retain(|name, at| !wanted.contains(name) && now.saturating_sub(*at) < OBJECTION_TIME);
        let status = |name: &ProxyId| members.get(name).map(|record| record.status);
        let mut removed = Vec::new();
        for name in stored.difference(&wanted) {
            let since = *self.silent_since.entry(name.clone()).or_insert(now);
            match status(name) {
                Some(MemberStatus::Leaving) => {}
                _ if now.saturating_sub(since) >= FORGET_TIME => removed.push(name.clone()),
                _ => continue,
            }
            self.silent_since.remove(name);
        }
        wanted.extend(self.silent_since.keys().cloned());
        self.removed_at.extend(removed.into_iter().map(|name| (name, now)));
        wanted
    }

    /// Returns the names that were removed here and still count.
    pub fn removed(&self) -> impl Iterator<Item = &ProxyId> {
        self.removed_at.keys()
    }
}
