//! The overlay network: which daemons keep a control connection to each other.
//!
//! Every daemon computes the same links from the same records. A few links for each daemon keep
//! the number of heartbeats low, and several disjoint paths keep the fleet connected when daemons
//! or whole data centres fail.

use std::collections::{BTreeMap, BTreeSet};

use sk_model::{DataCentre, ProxyId};

use crate::{
    MemberRecord, MemberSnapshot,
    digest::{name_hash, pair_hash},
};

/// Salts of the rings through all members of a data centre; each ring is ordered by another hash,
/// and each daemon links to the next one in each ring.
///
/// Together the rings are close to a random regular graph: every daemon has 8 neighbours, a flood
/// doubles with each step, and the loss of one daemon in ten separates no daemon from the others.
///
/// Rejected alternatives: fingers by rank in the order of names, where each restart moves the
/// links of the whole data centre, and fingers by position on one hashed ring, where one daemon of
/// 780 had 32 neighbours.
const RING_SALTS: [u64; 4] = [1, 2, 3, 4];
/// Base of the distances between linked data centres: fingers reach 1, 2, 4, … positions ahead. At
/// 9 data centres two steps connect any two. At 780 daemons a flood takes 8 steps; with base 3 it
/// takes 9.
const CENTRE_FINGER_BASE: usize = 2;
/// Number of links between two linked data centres. 3 links on different daemons stay connected
/// through any two failures; a fourth shortens no flood and only adds heartbeats between regions.
const BRIDGES_PER_CENTRE_PAIR: usize = 3;
/// Largest number of links that one daemon opens. It bounds the heartbeats also if each data
/// centre has only one daemon.
const MAX_OPENED_LINKS: usize = 10;

/// The links of all daemons, computed identically on each daemon from one snapshot of the records.
///
/// Designed for 780 daemons in 9 data centres: several rings within each data centre, and bridges
/// between data centres, which form a ring with fingers ordered by region. A daemon that joins or
/// leaves changes its own links and few others.
#[derive(Clone, Debug)]
pub struct OverlayPlan {
    /// Members that the links were computed from, in order of their names.
    members: Vec<PlanMember>,
    /// Links by index in `members`.
    links: Vec<LinkList>,
}

/// The parts of a record that determine the links.
#[derive(Clone, Debug, PartialEq, Eq)]
struct PlanMember {
    proxy: ProxyId,
    data_centre: DataCentre,
    region: String,
    hash: u64,
}

/// Links of one member: those that it opens, and all that it shares with another member.
#[derive(Clone, Debug, Default)]
struct LinkList {
    opened: Vec<usize>,
    shared: Vec<usize>,
}

impl OverlayPlan {
    /// Computes the links between the running members.
    pub fn new(snapshot: &MemberSnapshot) -> Self {
        let member = |record: &MemberRecord| PlanMember {
            proxy: record.proxy.clone(),
            data_centre: record.data_centre.clone(),
            region: record.region.clone(),
            hash: name_hash(&record.proxy),
        };
        let members: Vec<PlanMember> = running(snapshot).map(member).collect();
        let links = vec![LinkList::default(); members.len()];
        let mut plan = Self { members, links };
        let centres = group_members(running(snapshot));
        for centre in &centres {
            plan.add_rings(&centre.members);
        }
        for (index, near) in centres.iter().enumerate() {
            for step in ring_steps(centres.len()) {
                plan.add_bridges(near, &centres[(index + step) % centres.len()]);
            }
        }
        plan
    }

    /// Returns whether a snapshot leads to the same links. Drains and changed endpoints do not
    /// change links.
    pub fn is_current_for(&self, snapshot: &MemberSnapshot) -> bool {
        let is_same = |(member, record): (&PlanMember, &MemberRecord)| {
            member.proxy == record.proxy
                && member.data_centre == record.data_centre
                && member.region == record.region
        };
        running(snapshot).count() == self.members.len()
            && self.members.iter().zip(running(snapshot)).all(is_same)
    }

    /// Returns the daemons that `proxy` opens a connection to.
    pub fn opened_links(&self, proxy: &str) -> Vec<ProxyId> {
        let links = self.links_of(proxy);
        links
            .into_iter()
            .flat_map(|links| &links.opened)
            .map(|to| self.members[*to].proxy.clone())
            .collect()
    }

    /// Returns the daemons that `proxy` shares a link with, whichever side opened it. These are
    /// the daemons to monitor.
    pub fn neighbours(&self, proxy: &str) -> impl Iterator<Item = &ProxyId> {
        let links = self.links_of(proxy);
        links.into_iter().flat_map(|links| &links.shared).map(|to| &self.members[*to].proxy)
    }

    /// Returns `own` and the daemons that a flood from `starts` reaches without passing `own` or
    /// any of the closed links.
    pub(crate) fn find_reached<'a>(
        &'a self,
        own: &'a ProxyId,
        starts: impl Iterator<Item = &'a ProxyId>,
        closed: impl Iterator<Item = (&'a ProxyId, &'a ProxyId)>,
    ) -> BTreeSet<&'a ProxyId> {
        let pair = |(first, second): (&'a ProxyId, &'a ProxyId)| {
            Some((self.index_of(first)?, self.index_of(second)?))
        };
        let closed: BTreeSet<(usize, usize)> = closed.filter_map(pair).collect();
        let mut is_reached = vec![false; self.members.len()];
        let own_index = self.index_of(own);
        own_index.into_iter().for_each(|index| is_reached[index] = true);
        let mut frontier: Vec<usize> = starts.filter_map(|proxy| self.index_of(proxy)).collect();
        while let Some(index) = frontier.pop() {
            if std::mem::replace(&mut is_reached[index], true) {
                continue;
            }
            let is_open = |next: &&usize| {
                !closed.contains(&(index, **next)) && !closed.contains(&(**next, index))
            };
            frontier.extend(self.links[index].shared.iter().filter(is_open));
        }
        let reached = self.members.iter().zip(is_reached).filter(|(_, is_reached)| *is_reached);
        reached.map(|(member, _)| &member.proxy).chain([own]).collect()
    }

    fn index_of(&self, proxy: &str) -> Option<usize> {
        self.members.binary_search_by(|member| member.proxy.as_str().cmp(proxy)).ok()
    }

    fn links_of(&self, proxy: &str) -> Option<&LinkList> {
        let index = self.index_of(proxy)?;
        self.links.get(index)
    }

    /// Links each member to the next one on every ring of the data centre.
    fn add_rings(&mut self, members: &[usize]) {
        let mut ring = members.to_vec();
        for salt in RING_SALTS {
            ring.sort_by_cached_key(|member| {
                (pair_hash(salt, self.members[*member].hash), *member)
            });
            for (rank, member) in ring.iter().enumerate() {
                self.add_link(*member, ring[(rank + 1) % ring.len()]);
            }
        }
    }

    /// Links the ends of the bridges between two data centres.
    fn add_bridges(&mut self, near: &CentreGroup, far: &CentreGroup) {
        let near_ends = self.bridge_ends(near, far.name);
        let far_ends = self.bridge_ends(far, near.name);
        for (first, second) in near_ends.into_iter().zip(far_ends) {
            self.add_link(first, second);
        }
    }

    // Ordered by hash, so that the bridges to different data centres end on different daemons.
    fn bridge_ends(&self, centre: &CentreGroup, far: &str) -> Vec<usize> {
        let mut ends = centre.members.clone();
        let far = name_hash(far);
        ends.sort_by_cached_key(|member| (pair_hash(far, self.members[*member].hash), *member));
        ends.truncate(BRIDGES_PER_CENTRE_PAIR);
        ends
    }

    /// Adds a link that `first` opens, unless it exists or `first` opens enough links already.
    fn add_link(&mut self, first: usize, second: usize) {
        let links = &mut self.links[first];
        let is_linked = first == second || links.shared.contains(&second);
        if is_linked || links.opened.len() >= MAX_OPENED_LINKS {
            return;
        }
        links.opened.push(second);
        links.shared.push(second);
        self.links[second].shared.push(first);
    }
}

/// Returns the daemons that `own` opens a control connection to.
pub fn choose_links(snapshot: &MemberSnapshot, own: &str) -> Vec<ProxyId> {
    OverlayPlan::new(snapshot).opened_links(own)
}

/// A data centre with the indices of its members.
struct CentreGroup<'a> {
    name: &'a str,
    members: Vec<usize>,
}

fn running(snapshot: &MemberSnapshot) -> impl Iterator<Item = &MemberRecord> {
    snapshot.values().map(|record| &**record).filter(|record| record.is_running())
}

// Ordered by region, data centre and name, which is the same on every daemon.
fn group_members<'a>(records: impl Iterator<Item = &'a MemberRecord>) -> Vec<CentreGroup<'a>> {
    let mut centres: BTreeMap<(&str, &str), Vec<usize>> = BTreeMap::new();
    for (index, record) in records.enumerate() {
        centres.entry((&record.region, &record.data_centre)).or_default().push(index);
    }
    let group = |((_, name), members)| CentreGroup { name, members };
    centres.into_iter().map(group).collect()
}

/// Returns the distances between linked data centres on a ring of `len` data centres.
fn ring_steps(len: usize) -> impl Iterator<Item = usize> {
    // Beyond half the ring, a finger only repeats a shorter one from the other direction.
    std::iter::successors(Some(1), |step| Some(step * CENTRE_FINGER_BASE))
        .take_while(move |step| *step <= len / 2)
}
