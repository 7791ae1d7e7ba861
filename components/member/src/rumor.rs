//! News on their way to the neighbours.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use sk_model::ProxyId;

use crate::{MemberRecord, MemberSuspicion};

/// News of one link that wait at most. Two whole fleets of 780 records fit; beyond that the
/// exchange of digests is cheaper than the news themselves.
const MAX_PENDING: usize = 2_048;

/// One piece of news.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberRumor {
    /// A record that was newly learnt.
    Record(Arc<MemberRecord>),
    /// An observer's word that was newly learnt.
    Suspicion(MemberSuspicion),
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum RumorKey {
    Record(ProxyId),
    Suspicion(ProxyId, ProxyId),
}

#[derive(Debug, Default)]
struct LinkQueue {
    rumors: BTreeMap<RumorKey, MemberRumor>,
    order: VecDeque<RumorKey>,
    needs_repair: bool,
}

/// News to send, by link. Each is sent over each link at most once, and not back to its sender.
///
/// Made for a herd restart, in which every daemon changes its record several times within a
/// second: news of one daemon replace each other while they wait, and a queue that is full forgets
/// them all and asks for a comparison of digests instead, so that neither memory nor control bytes
/// grow with the length of the storm. Until that comparison starts, nothing is queued, because it
/// covers everything learnt before: a daemon that joins learns the whole fleet from one contact,
/// and would otherwise send all of it over each of its links.
#[derive(Debug, Default)]
pub struct RumorQueue {
    links: BTreeMap<ProxyId, LinkQueue>,
}

impl RumorQueue {
    /// Makes a queue without links.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a link, over which digests are to be compared first: news that came before it are not
    /// sent over it.
    pub fn add_link(&mut self, link: ProxyId) {
        let queue = LinkQueue { needs_repair: true, ..LinkQueue::default() };
        self.links.entry(link).or_insert(queue);
    }

    /// Removes a link and the news that wait for it.
    pub fn remove_link(&mut self, link: &ProxyId) {
        self.links.remove(link);
    }

    /// Lists the links.
    pub fn links(&self) -> impl Iterator<Item = &ProxyId> {
        self.links.keys()
    }

    /// Queues newly learnt news for every link but the one they came by.
    ///
    /// The caller passes only what merging called [`Newer`](crate::MergeOutcome::Newer) or
    /// [`Refuted`](crate::MergeOutcome::Refuted), or what the monitor called new; this is what
    /// ends a flood.
    pub fn push(&mut self, rumor: &MemberRumor, from: Option<&ProxyId>) {
        for (link, queue) in &mut self.links {
            match rumor {
                _ if Some(link) == from => queue.forget(rumor),
                MemberRumor::Record(_) if queue.needs_repair => (),
                _ => queue.push(rumor.clone()),
            }
        }
    }

    /// Takes up to `most` news for a link, oldest first.
    pub fn take(&mut self, link: &ProxyId, most: usize) -> Vec<MemberRumor> {
        let Some(queue) = self.links.get_mut(link) else { return Vec::new() };
        let mut taken = Vec::new();
        while taken.len() < most
            && let Some(key) = queue.order.pop_front()
        {
            taken.extend(queue.rumors.remove(&key));
        }
        taken
    }

    /// Tells how many news wait for a link.
    pub fn pending(&self, link: &ProxyId) -> usize {
        self.links.get(link).map_or(0, |queue| queue.order.len())
    }

    /// Tells, once, whether digests are to be compared over a link, because it is new or news for
    /// it were lost. The digest is to be taken right after this call, before more is merged.
    pub fn take_repair(&mut self, link: &ProxyId) -> bool {
        let queue = self.links.get_mut(link);
        queue.is_some_and(|queue| std::mem::take(&mut queue.needs_repair))
    }

    /// Asks for a comparison of digests over a link, after sending over it failed.
    pub fn mark_failed(&mut self, link: &ProxyId) {
        if let Some(queue) = self.links.get_mut(link) {
            queue.start_repair();
        }
    }
}

impl LinkQueue {
    fn push(&mut self, rumor: MemberRumor) {
        let key = rumor.key();
        match self.rumors.get(&key) {
            Some(held) if !rumor.is_newer(held) => return,
            Some(_) => (),
            None => self.order.push_back(key.clone()),
        }
        self.rumors.insert(key, rumor);
        if self.order.len() > MAX_PENDING {
            self.start_repair();
        }
    }

    // Words are no part of digests: the newest ones of each observer are kept where they fit.
    fn start_repair(&mut self) {
        let is_word = |rumor: &MemberRumor| matches!(rumor, MemberRumor::Suspicion(_));
        self.rumors.retain(|_, rumor| is_word(rumor));
        if self.rumors.len() > MAX_PENDING {
            self.rumors.clear();
        }
        let rumors = &self.rumors;
        self.order.retain(|key| rumors.contains_key(key));
        self.needs_repair = true;
    }

    // The neighbour that sent it holds it, and anything older.
    fn forget(&mut self, rumor: &MemberRumor) {
        let key = rumor.key();
        let is_older = |held: &MemberRumor| !held.is_newer(rumor);
        if self.rumors.get(&key).is_some_and(is_older) {
            self.rumors.remove(&key);
            self.order.retain(|waiting| *waiting != key);
        }
    }
}

impl MemberRumor {
    fn key(&self) -> RumorKey {
        match self {
            Self::Record(record) => RumorKey::Record(record.proxy.clone()),
            Self::Suspicion(word) => RumorKey::Suspicion(word.proxy.clone(), word.observer.clone()),
        }
    }

    fn is_newer(&self, held: &Self) -> bool {
        match (self, held) {
            (Self::Record(record), Self::Record(held)) => record.rank() > held.rank(),
            (Self::Suspicion(word), Self::Suspicion(held)) => word.round > held.round,
            _ => false,
        }
    }
}
