//! Which daemons keep a control connection to each other.

use std::collections::{BTreeMap, BTreeSet};

use sk_model::ProxyId;

use crate::{MemberRecord, MemberView, digest::short_hash};

/// Fingers of a daemon in the ring of its data centre reach 1, 3, 9, 27, … places ahead. Links
/// serve both ways, so any distance is a sum of few fingers (balanced ternary): at 87 daemons 4
/// fingers reach everyone in at most 5 steps, where powers of two need 7 fingers for 4 steps.
const RING_BASE: usize = 3;
/// Links between two data centres that are joined. Three ends on different daemons, so that no
/// two failures separate them; more would only add heartbeats between regions.
const BRIDGES: usize = 3;
/// Most links one daemon chooses. Bounds heartbeats also for data centres of one daemon each.
const MAX_LINKS: usize = 10;

/// Links that every daemon chooses, computed alike from one view.
///
/// Made for 780 daemons in 9 data centres: a ring with fingers in each data centre, and bridges
/// between data centres that are themselves a ring with fingers, ordered by region.
#[derive(Clone, Debug)]
pub struct OverlayPlan {
    chosen: BTreeMap<ProxyId, BTreeSet<ProxyId>>,
    linked: BTreeMap<ProxyId, BTreeSet<ProxyId>>,
}

impl OverlayPlan {
    /// Plans the links between the present members.
    pub fn new(view: &MemberView) -> Self {
        let mut plan = Self { chosen: BTreeMap::new(), linked: BTreeMap::new() };
        let centres = group_members(view);
        for members in &centres {
            plan.add_ring(members);
        }
        for (place, near) in centres.iter().enumerate() {
            for step in ring_steps(centres.len()) {
                plan.add_bridges(near, &centres[(place + step) % centres.len()]);
            }
        }
        plan
    }

    /// Lists the daemons that `proxy` connects to.
    pub fn chosen(&self, proxy: &str) -> Vec<ProxyId> {
        self.chosen.get(proxy).into_iter().flatten().cloned().collect()
    }

    /// Lists the daemons that `proxy` shares a link with, whoever opened it.
    pub fn neighbours(&self, proxy: &str) -> impl Iterator<Item = &ProxyId> {
        self.linked.get(proxy).into_iter().flatten()
    }

    fn add_ring(&mut self, members: &[&MemberRecord]) {
        for (place, member) in members.iter().enumerate() {
            self.linked.entry(member.proxy.clone()).or_default();
            for step in ring_steps(members.len()) {
                self.add_link(member, members[(place + step) % members.len()]);
            }
        }
    }

    fn add_bridges(&mut self, near: &[&MemberRecord], far: &[&MemberRecord]) {
        let near_ends = bridge_ends(near, &far[0].data_centre);
        let far_ends = bridge_ends(far, &near[0].data_centre);
        for (first, second) in near_ends.iter().zip(far_ends) {
            self.add_link(first, second);
        }
    }

    fn add_link(&mut self, first: &MemberRecord, second: &MemberRecord) {
        let (first, second) = (&first.proxy, &second.proxy);
        let chosen = self.chosen.entry(first.clone()).or_default();
        let is_linked = self.linked.get(first).is_some_and(|linked| linked.contains(second));
        if first == second || is_linked || chosen.len() >= MAX_LINKS {
            return;
        }
        chosen.insert(second.clone());
        self.linked.entry(first.clone()).or_default().insert(second.clone());
        self.linked.entry(second.clone()).or_default().insert(first.clone());
    }
}

/// Lists the few daemons that `own` keeps a control connection to.
pub fn choose_links(view: &MemberView, own: &str) -> Vec<ProxyId> {
    OverlayPlan::new(view).chosen(own)
}

// Ordered by region, then data centre, then name: the same on every daemon.
fn group_members(view: &MemberView) -> Vec<Vec<&MemberRecord>> {
    let mut centres: BTreeMap<(&str, &str), Vec<&MemberRecord>> = BTreeMap::new();
    for record in view.values().filter(|record| record.is_present()) {
        let centre = (record.region.as_str(), record.data_centre.as_str());
        centres.entry(centre).or_default().push(record);
    }
    centres.into_values().collect()
}

fn ring_steps(len: usize) -> impl Iterator<Item = usize> {
    // Beyond half the ring, a finger only repeats a shorter one from the other side.
    std::iter::successors(Some(1), |step| Some(step * RING_BASE))
        .take_while(move |step| *step <= len / 2)
}

// Drawn by hash, so that the bridges to different data centres end on different daemons.
fn bridge_ends<'a>(members: &[&'a MemberRecord], far: &str) -> Vec<&'a MemberRecord> {
    let mut ends = members.to_vec();
    ends.sort_by_cached_key(|record| short_hash(&format!("{far} {}", record.proxy)));
    ends.truncate(BRIDGES);
    ends
}
