//! Which daemons keep a control connection to each other.

use std::collections::{BTreeMap, BTreeSet};

use sk_model::{DataCentre, ProxyId};

use crate::{
    MemberRecord, MemberView,
    digest::{name_hash, pair_hash},
};

/// Rings through all members of a data centre, each in an order drawn by another hash; a daemon
/// links to the next one in each. Together they are close to a random regular graph: everyone has
/// 8 neighbours there, a flood doubles and doubles again, and losing one in ten parts nobody.
///
/// Ruled out: fingers by rank in order of names, where each restart moves the links of its whole
/// data centre; fingers by place on one hashed ring, where one daemon of 780 had 32 neighbours.
const RING_SALTS: [u64; 4] = [1, 2, 3, 4];
/// Fingers between data centres reach 1, 2, 4, … places ahead: at 9 data centres two steps join
/// any two. Measured at 780 daemons, a flood takes 8 steps; with base 3 it takes 9.
const CENTRE_BASE: usize = 2;
/// Links between two data centres that are joined. Three ends on different daemons, so that no
/// two failures separate them; a fourth shortens no flood and only adds heartbeats between regions.
const BRIDGES: usize = 3;
/// Most links one daemon chooses. Bounds heartbeats also for data centres of one daemon each.
const MAX_LINKS: usize = 10;

/// Links that every daemon chooses, computed alike from one view.
///
/// Made for 780 daemons in 9 data centres: several rings within each data centre, and bridges
/// between data centres that form a ring with fingers, ordered by region. A daemon that comes or
/// goes changes its own links and few others.
#[derive(Clone, Debug)]
pub struct OverlayPlan {
    /// What the links were planned from, in order of names.
    members: Vec<PlanMember>,
    /// Links by place in `members`.
    links: Vec<LinkList>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct PlanMember {
    proxy: ProxyId,
    data_centre: DataCentre,
    region: String,
    hash: u64,
}

#[derive(Clone, Debug, Default)]
struct LinkList {
    chosen: Vec<usize>,
    linked: Vec<usize>,
}

impl OverlayPlan {
    /// Plans the links between the members that run.
    pub fn new(view: &MemberView) -> Self {
        let member = |record: &MemberRecord| PlanMember {
            proxy: record.proxy.clone(),
            data_centre: record.data_centre.clone(),
            region: record.region.clone(),
            hash: name_hash(&record.proxy),
        };
        let members: Vec<PlanMember> = running(view).map(member).collect();
        let links = vec![LinkList::default(); members.len()];
        let mut plan = Self { members, links };
        let centres = group_members(running(view));
        for centre in &centres {
            plan.add_rings(&centre.members);
        }
        for (place, near) in centres.iter().enumerate() {
            for step in ring_steps(centres.len()) {
                plan.add_bridges(near, &centres[(place + step) % centres.len()]);
            }
        }
        plan
    }

    /// Tells whether a view leads to the same links: drains and changed endpoints move none.
    pub fn is_plan_of(&self, view: &MemberView) -> bool {
        let is_same = |(member, record): (&PlanMember, &MemberRecord)| {
            member.proxy == record.proxy
                && member.data_centre == record.data_centre
                && member.region == record.region
        };
        running(view).count() == self.members.len()
            && self.members.iter().zip(running(view)).all(is_same)
    }

    /// Lists the daemons that `proxy` connects to.
    pub fn chosen(&self, proxy: &str) -> Vec<ProxyId> {
        let links = self.links_of(proxy);
        links
            .into_iter()
            .flat_map(|links| &links.chosen)
            .map(|to| self.members[*to].proxy.clone())
            .collect()
    }

    /// Lists the daemons that `proxy` shares a link with, whoever opened it. These are to be
    /// watched.
    pub fn neighbours(&self, proxy: &str) -> impl Iterator<Item = &ProxyId> {
        let links = self.links_of(proxy);
        links.into_iter().flat_map(|links| &links.linked).map(|to| &self.members[*to].proxy)
    }

    /// Finds the daemons that a flood from `starts` reaches without passing `own` and without the
    /// closed links, together with `own`.
    pub(crate) fn reach<'a>(
        &'a self,
        own: &'a ProxyId,
        starts: impl Iterator<Item = &'a ProxyId>,
        closed: impl Iterator<Item = (&'a ProxyId, &'a ProxyId)>,
    ) -> BTreeSet<&'a ProxyId> {
        let pair = |(first, second): (&'a ProxyId, &'a ProxyId)| {
            Some((self.place_of(first)?, self.place_of(second)?))
        };
        let closed: BTreeSet<(usize, usize)> = closed.filter_map(pair).collect();
        let mut is_reached = vec![false; self.members.len()];
        let own_place = self.place_of(own);
        own_place.into_iter().for_each(|place| is_reached[place] = true);
        let mut frontier: Vec<usize> = starts.filter_map(|proxy| self.place_of(proxy)).collect();
        while let Some(place) = frontier.pop() {
            if std::mem::replace(&mut is_reached[place], true) {
                continue;
            }
            let is_open = |next: &&usize| {
                !closed.contains(&(place, **next)) && !closed.contains(&(**next, place))
            };
            frontier.extend(self.links[place].linked.iter().filter(is_open));
        }
        let reached = self.members.iter().zip(is_reached).filter(|(_, is_reached)| *is_reached);
        reached.map(|(member, _)| &member.proxy).chain([own]).collect()
    }

    fn place_of(&self, proxy: &str) -> Option<usize> {
        self.members.binary_search_by(|member| member.proxy.as_str().cmp(proxy)).ok()
    }

    fn links_of(&self, proxy: &str) -> Option<&LinkList> {
        let place = self.place_of(proxy)?;
        self.links.get(place)
    }

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

    fn add_bridges(&mut self, near: &CentreGroup, far: &CentreGroup) {
        let near_ends = self.bridge_ends(near, far.name);
        let far_ends = self.bridge_ends(far, near.name);
        for (first, second) in near_ends.into_iter().zip(far_ends) {
            self.add_link(first, second);
        }
    }

    // Drawn by hash, so that the bridges to different data centres end on different daemons.
    fn bridge_ends(&self, centre: &CentreGroup, far: &str) -> Vec<usize> {
        let mut ends = centre.members.clone();
        let far = name_hash(far);
        ends.sort_by_cached_key(|member| (pair_hash(far, self.members[*member].hash), *member));
        ends.truncate(BRIDGES);
        ends
    }

    fn add_link(&mut self, first: usize, second: usize) {
        let links = &mut self.links[first];
        let is_linked = first == second || links.linked.contains(&second);
        if is_linked || links.chosen.len() >= MAX_LINKS {
            return;
        }
        links.chosen.push(second);
        links.linked.push(second);
        self.links[second].linked.push(first);
    }
}

/// Lists the few daemons that `own` keeps a control connection to.
pub fn choose_links(view: &MemberView, own: &str) -> Vec<ProxyId> {
    OverlayPlan::new(view).chosen(own)
}

struct CentreGroup<'a> {
    name: &'a str,
    members: Vec<usize>,
}

fn running(view: &MemberView) -> impl Iterator<Item = &MemberRecord> {
    view.values().map(|record| &**record).filter(|record| record.is_running())
}

// Ordered by region, then data centre, then name: the same on every daemon.
fn group_members<'a>(records: impl Iterator<Item = &'a MemberRecord>) -> Vec<CentreGroup<'a>> {
    let mut centres: BTreeMap<(&str, &str), Vec<usize>> = BTreeMap::new();
    for (place, record) in records.enumerate() {
        centres.entry((&record.region, &record.data_centre)).or_default().push(place);
    }
    let group = |((_, name), members)| CentreGroup { name, members };
    centres.into_iter().map(group).collect()
}

fn ring_steps(len: usize) -> impl Iterator<Item = usize> {
    // Beyond half the ring, a finger only repeats a shorter one from the other side.
    std::iter::successors(Some(1), |step| Some(step * CENTRE_BASE))
        .take_while(move |step| *step <= len / 2)
}
