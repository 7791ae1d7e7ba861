//! Which daemons the fleet has, which of them this daemon reaches, and whether these suffice to
//! decide for all. The design note is `docs/design/fleet-knowledge.md`.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
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
#[derive(Clone, Debug)]
pub struct FleetKnowledge {
    own: ProxyId,
    members: MemberSnapshot,
    marks: ReachabilityMarks,
    /// `None` while it has not been read.
    roster: Option<Arc<FleetRoster>>,
    /// Numbers of daemons that belong to the fleet, and of those within reach among them.
    known: usize,
    reached: usize,
    /// Whether the first of the known daemons by name is within reach.
    reaches_first: bool,
}

impl FleetKnowledge {
    /// Assesses the members in view of the roster, `None` while that has not been read.
    pub fn assess(
        own: &str,
        members: &MemberSnapshot,
        marks: &ReachabilityMarks,
        roster: Option<&Arc<FleetRoster>>,
    ) -> Self {
        let mut fleet = Self {
            own: own.to_owned(),
            members: members.clone(),
            marks: marks.clone(),
            roster: roster.cloned(),
            known: 0,
            reached: 0,
            reaches_first: false,
        };
        let active = members.values().filter(|record| record.is_active());
        fleet.reached = active.clone().filter(|record| fleet.reaches(&record.proxy)).count();
        fleet.known = active.clone().count() + fleet.missing().count();
        let first_active = active.map(|record| &record.proxy).next();
        let first = first_active.into_iter().chain(fleet.missing().next()).min();
        fleet.reaches_first = first.is_some_and(|first| fleet.reaches(first));
        fleet
    }

    /// Returns whether it was assessed from these very parts.
    pub(crate) fn is_of(
        &self,
        members: &MemberSnapshot,
        marks: &ReachabilityMarks,
        roster: Option<&Arc<FleetRoster>>,
    ) -> bool {
        let is_same_roster = match (&self.roster, roster) {
            (Some(known), Some(roster)) => Arc::ptr_eq(known, roster),
            (known, roster) => known.is_none() && roster.is_none(),
        };
        is_same_roster && Arc::ptr_eq(&self.members, members) && Arc::ptr_eq(&self.marks, marks)
    }

    /// Returns whether this daemon may decide for the fleet: it reaches most of the daemons, or half
    /// of them and among these the first by name. This holds for one of any groups at most that do
    /// not reach each other.
    pub fn knows_fleet(&self) -> bool {
        let (known, reached) = (self.known, self.reached);
        let is_most = reached * 2 > known || reached * 2 == known && self.reaches_first;
        self.is_roster_read() && is_most
    }

    /// Returns whether the roster has been read.
    pub fn is_roster_read(&self) -> bool {
        self.roster.is_some()
    }

    /// Returns whether the fleet is known, with the record of each of its daemons.
    pub fn is_complete(&self) -> bool {
        self.knows_fleet() && self.unheard().next().is_none()
    }

    /// Returns whether a daemon belongs to the fleet, as far as is known here.
    pub fn has(&self, proxy: &str) -> bool {
        let is_listed = || self.roster.as_ref().is_some_and(|roster| roster.contains(proxy));
        match self.members.get(proxy) {
            Some(record) if record.is_active() => true,
            Some(record) => record.status != MemberStatus::Leaving && is_listed(),
            None => is_listed(),
        }
    }

    /// Returns whether this daemon reaches another one.
    pub fn reaches(&self, proxy: &str) -> bool {
        let record = self.members.get(proxy).filter(|record| record.is_active());
        record.is_some_and(|record| proxy == self.own || is_within_reach(record, &self.marks))
    }

    /// Returns the daemons of the roster of which there is no record here.
    pub fn unheard(&self) -> impl Iterator<Item = &ProxyId> {
        let listed = self.roster.iter().flat_map(|roster| roster.iter());
        listed.filter(|name| !self.members.contains_key(*name))
    }

    /// Returns the number of daemons of the fleet, at least one.
    pub fn daemon_count(&self) -> usize {
        self.known.max(1)
    }

    /// Returns the daemons of the roster that are not active members and have not left.
    fn missing(&self) -> impl Iterator<Item = &ProxyId> {
        let listed = self.roster.iter().flat_map(|roster| roster.iter());
        listed.filter(|name| match self.members.get(*name) {
            Some(record) => !record.is_active() && record.status != MemberStatus::Leaving,
            None => true,
        })
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
