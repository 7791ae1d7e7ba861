//! Rumors that wait to be sent to the neighbours in the overlay.
//!
//! Each link has a bounded queue that keeps only the newest rumor about each subject. On overflow
//! the records are discarded and a comparison of digests is requested instead, so that neither
//! memory nor traffic grows with the number of changes.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use sk_model::ProxyId;

use crate::{MemberRecord, MemberSuspicion};

/// Largest number of rumors waiting on one link. It holds two records of each of 780 daemons;
/// beyond that, comparing digests is cheaper than sending the rumors.
const MAX_PENDING_PER_LINK: usize = 2_048;

/// A change to send to other daemons.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberRumor {
    /// A newly learnt record.
    Record(Arc<MemberRecord>),
    /// A newly learnt suspicion, or its withdrawal.
    Suspicion(MemberSuspicion),
}

/// Subject of a rumor: a daemon, or a daemon and its observer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum RumorKey {
    Record(ProxyId),
    Suspicion(ProxyId, ProxyId),
}

/// Rumors that wait on one link, and whether digests have to be compared over it.
#[derive(Debug, Default)]
struct LinkQueue {
    rumors: BTreeMap<RumorKey, MemberRumor>,
    send_order: VecDeque<RumorKey>,
    needs_repair: bool,
}

/// Rumors to send, by link. Each rumor is sent over each link at most once and not back to its
/// sender.
///
/// In a restart of the whole fleet every daemon changes its record several times within a second.
/// A newer rumor therefore replaces a waiting one about the same subject. A full queue discards
/// its records and requests a comparison of digests, so that neither memory nor control traffic
/// grows with the duration of the restart. No records are queued until that comparison starts,
/// because it covers everything learnt before. A daemon that joins learns the whole fleet from one
/// contact, and would otherwise send all of it over each of its links.
#[derive(Debug, Default)]
pub struct RumorQueue {
    links: BTreeMap<ProxyId, LinkQueue>,
}

impl RumorQueue {
    /// Creates a queue without links.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a link. Its digests are to be compared first; rumors from before the link was added
    /// are not sent over it.
    pub fn add_link(&mut self, link: ProxyId) {
        let queue = LinkQueue { needs_repair: true, ..LinkQueue::default() };
        self.links.entry(link).or_insert(queue);
    }

    /// Removes a link and the rumors that wait for it.
    pub fn remove_link(&mut self, link: &ProxyId) {
        self.links.remove(link);
    }

    /// Returns the links in order of their names.
    pub fn links(&self) -> impl Iterator<Item = &ProxyId> {
        self.links.keys()
    }

    /// Queues a newly learnt rumor for every link except the one it arrived on.
    ///
    /// The caller passes only records for which merging returned
    /// [`Newer`](crate::MergeOutcome::Newer) or [`Refuted`](crate::MergeOutcome::Refuted), and
    /// suspicions that were new to the monitor. This ends the flood of each rumor.
    pub fn push(&mut self, rumor: &MemberRumor, from: Option<&ProxyId>) {
        for (link, queue) in &mut self.links {
            match rumor {
                _ if Some(link) == from => queue.remove_older(rumor),
                MemberRumor::Record(_) if queue.needs_repair => (),
                _ => queue.push(rumor.clone()),
            }
        }
    }

    /// Removes and returns up to `max_count` rumors for a link, oldest first.
    pub fn take(&mut self, link: &ProxyId, max_count: usize) -> Vec<MemberRumor> {
        let Some(queue) = self.links.get_mut(link) else { return Vec::new() };
        let mut taken = Vec::new();
        while taken.len() < max_count
            && let Some(key) = queue.send_order.pop_front()
        {
            taken.extend(queue.rumors.remove(&key));
        }
        taken
    }

    /// Returns the number of rumors that wait for a link.
    pub fn pending(&self, link: &ProxyId) -> usize {
        self.links.get(link).map_or(0, |queue| queue.send_order.len())
    }

    /// Returns whether digests are to be compared over a link, because it is new or lost rumors,
    /// and clears the request. The caller takes the digest right after this call, before it merges
    /// more records.
    pub fn take_digest_request(&mut self, link: &ProxyId) -> bool {
        let queue = self.links.get_mut(link);
        queue.is_some_and(|queue| std::mem::take(&mut queue.needs_repair))
    }

    /// Requests a comparison of digests over a link after sending over it failed.
    pub fn request_digest(&mut self, link: &ProxyId) {
        if let Some(queue) = self.links.get_mut(link) {
            queue.request_repair();
        }
    }
}

impl LinkQueue {
    /// Queues a rumor, unless a newer one about the same subject waits already.
    fn push(&mut self, rumor: MemberRumor) {
        let key = rumor.key();
        match self.rumors.get(&key) {
            Some(queued) if !rumor.is_newer(queued) => return,
            Some(_) => (),
            None => self.send_order.push_back(key.clone()),
        }
        self.rumors.insert(key, rumor);
        if self.send_order.len() > MAX_PENDING_PER_LINK {
            self.request_repair();
        }
    }

    // Suspicions are not part of digests, so they are kept as long as they fit.
    fn request_repair(&mut self) {
        let is_suspicion = |rumor: &MemberRumor| matches!(rumor, MemberRumor::Suspicion(_));
        self.rumors.retain(|_, rumor| is_suspicion(rumor));
        if self.rumors.len() > MAX_PENDING_PER_LINK {
            self.rumors.clear();
        }
        let rumors = &self.rumors;
        self.send_order.retain(|key| rumors.contains_key(key));
        self.needs_repair = true;
    }

    // The neighbour that sent the rumor has it and needs nothing older.
    fn remove_older(&mut self, rumor: &MemberRumor) {
        let key = rumor.key();
        let is_outdated = |queued: &MemberRumor| !queued.is_newer(rumor);
        if self.rumors.get(&key).is_some_and(is_outdated) {
            self.rumors.remove(&key);
            self.send_order.retain(|waiting| *waiting != key);
        }
    }
}

impl MemberRumor {
    fn key(&self) -> RumorKey {
        match self {
            Self::Record(record) => RumorKey::Record(record.proxy.clone()),
            Self::Suspicion(suspicion) => {
                RumorKey::Suspicion(suspicion.proxy.clone(), suspicion.observer.clone())
            }
        }
    }

    /// Returns whether this rumor replaces a queued one about the same subject.
    fn is_newer(&self, queued: &Self) -> bool {
        match (self, queued) {
            (Self::Record(record), Self::Record(queued)) => record.rank() > queued.rank(),
            (Self::Suspicion(suspicion), Self::Suspicion(queued)) => {
                suspicion.number > queued.number
            }
            _ => false,
        }
    }
}
