//! The liveness of all daemons as concluded from the suspicions of all observers.
//!
//! Single observers err, and whole data centres may be cut off. The rules here decide who is only
//! avoided by this daemon and who is declared gone for the whole fleet.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use sk_model::ProxyId;

use crate::{LocalReachability, MemberSnapshot, OverlayPlan, ReachabilityMarks};

/// Inputs of one liveness assessment.
pub(crate) struct LivenessAssessment<'a> {
    pub(crate) own: &'a ProxyId,
    pub(crate) snapshot: &'a MemberSnapshot,
    pub(crate) plan: &'a OverlayPlan,
    /// Observers by suspected daemon, from suspicions that are valid for the current records.
    pub(crate) observers_by_suspect: BTreeMap<&'a ProxyId, Vec<&'a ProxyId>>,
    /// Neighbours of this daemon, each with whether it is silent.
    pub(crate) neighbours: BTreeMap<&'a ProxyId, bool>,
    pub(crate) quorum: usize,
}

impl<'a> LivenessAssessment<'a> {
    /// Returns the daemons that this one can reach over links that no observer reports as silent.
    /// The search starts with the links of this daemon, whose state it knows itself.
    pub(crate) fn find_reached(&self) -> BTreeSet<&'a ProxyId> {
        let heard_neighbours = self.neighbours.iter().filter(|(_, is_silent)| !**is_silent);
        let starts = heard_neighbours.map(|(proxy, _)| *proxy);
        let closed_links = self.observers_by_suspect.iter().flat_map(|(proxy, observers)| {
            observers.iter().map(move |observer| (*proxy, *observer))
        });
        self.plan.find_reached(self.own, starts, closed_links)
    }

    /// Returns the marks of all daemons that are suspected or cannot be reached.
    pub(crate) fn make_marks(&self, reached: &BTreeSet<&ProxyId>) -> ReachabilityMarks {
        let suspects = self.observers_by_suspect.keys().copied();
        let silent = self.neighbours.iter().filter(|(_, is_silent)| **is_silent);
        let suspects = suspects.chain(silent.map(|(proxy, _)| *proxy));
        let suspects = suspects.filter(|proxy| *proxy != self.own);
        let mut marks: BTreeMap<ProxyId, LocalReachability> =
            suspects.map(|proxy| (proxy.clone(), LocalReachability::Suspect)).collect();
        let running = self.snapshot.values().filter(|record| record.is_running());
        let unreachable_records = running.filter(|record| !reached.contains(&record.proxy));
        marks.extend(
            unreachable_records
                .map(|record| (record.proxy.clone(), LocalReachability::Unreachable)),
        );
        Arc::new(marks)
    }

    /// Returns the daemons that count as gone.
    pub(crate) fn find_gone(&self, reached: &BTreeSet<&ProxyId>) -> Vec<ProxyId> {
        let suspected = self.observers_by_suspect.keys().filter(|proxy| **proxy != self.own);
        suspected
            .filter(|proxy| self.is_gone(proxy, reached))
            .map(|proxy| (*proxy).clone())
            .collect()
    }

    /// Returns whether enough observers agree that the process of a daemon has ended.
    ///
    /// Single observers err daily (a broken link, a pause, an overloaded instance), and whole data
    /// centres may be cut off. Removing a running daemon takes its backend server out of use
    /// everywhere. A daemon therefore counts as gone only if all four conditions are met:
    ///
    /// - a quorum of observers that this daemon reaches, because a single one may err;
    /// - half of the neighbours within reach, because a few instances of one rack fail together;
    /// - a quorum from the same data centre (or all of its daemons within reach, if these are
    ///   fewer), because silence between data centres is as often a network cut, which must not
    ///   erase the other side;
    /// - more than half of the data centre within reach, so that the smaller part of a split data
    ///   centre never removes the larger one.
    ///
    /// If one of them is not met, the daemon is at most marked as unreachable.
    fn is_gone(&self, proxy: &ProxyId, reached: &BTreeSet<&ProxyId>) -> bool {
        let observers =
            self.observers_by_suspect[proxy].iter().filter(|observer| reached.contains(**observer));
        let observers: BTreeSet<&ProxyId> = observers.copied().collect();
        let data_centre = self.data_centre_of(proxy);
        let near_count = observers
            .iter()
            .filter(|observer| self.data_centre_of(observer) == data_centre)
            .count();
        let centre_members = self.snapshot.values().filter(|record| record.is_running());
        let centre_members: Vec<_> =
            centre_members.filter(|record| Some(&*record.data_centre) == data_centre).collect();
        let is_within = |member: &ProxyId| member != proxy && reached.contains(member);
        let within_reach_count =
            centre_members.iter().filter(|record| is_within(&record.proxy)).count();
        let neighbour_count =
            self.plan.neighbours(proxy).filter(|next| reached.contains(next)).count();
        let near_quorum = self.quorum.min(within_reach_count).max(1);
        observers.len() >= self.quorum
            && observers.len() * 2 >= neighbour_count
            && near_count >= near_quorum
            && within_reach_count * 2 > centre_members.len()
    }

    /// Returns the data centre of a daemon, or `None` if it is not known.
    fn data_centre_of(&self, proxy: &ProxyId) -> Option<&str> {
        self.snapshot.get(proxy).map(|record| record.data_centre.as_str())
    }
}
