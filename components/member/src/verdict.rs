//! What the words of all observers amount to.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use sk_model::ProxyId;

use crate::{LocalMark, MemberMarks, MemberView, OverlayPlan};

/// Everything a verdict depends on.
pub(crate) struct VerdictCase<'a> {
    pub(crate) own: &'a ProxyId,
    pub(crate) view: &'a MemberView,
    pub(crate) plan: &'a OverlayPlan,
    /// Who accuses whom, in words that are about the records that hold now.
    pub(crate) accusers: BTreeMap<&'a ProxyId, Vec<&'a ProxyId>>,
    /// This daemon's neighbours, with whether each is silent.
    pub(crate) neighbours: BTreeMap<&'a ProxyId, bool>,
    pub(crate) quorum: usize,
}

impl<'a> VerdictCase<'a> {
    /// Finds the daemons that can be reached from this one over links that nobody calls silent.
    /// This daemon's own links are known first hand, and are where the search starts.
    pub(crate) fn reached(&self) -> BTreeSet<&'a ProxyId> {
        let heard = self.neighbours.iter().filter(|(_, is_silent)| !**is_silent);
        let starts = heard.map(|(proxy, _)| *proxy);
        let closed = self.accusers.iter().flat_map(|(proxy, observers)| {
            observers.iter().map(move |observer| (*proxy, *observer))
        });
        self.plan.reach(self.own, starts, closed)
    }

    /// Makes the marks: who is suspected, and who cannot be reached.
    pub(crate) fn marks(&self, reached: &BTreeSet<&ProxyId>) -> MemberMarks {
        let suspects = self.accusers.keys().copied();
        let silent = self.neighbours.iter().filter(|(_, is_silent)| **is_silent);
        let suspects = suspects.chain(silent.map(|(proxy, _)| *proxy));
        let suspects = suspects.filter(|proxy| *proxy != self.own);
        let mut marks: BTreeMap<ProxyId, LocalMark> =
            suspects.map(|proxy| (proxy.clone(), LocalMark::Suspect)).collect();
        let running = self.view.values().filter(|record| record.is_running());
        let lost = running.filter(|record| !reached.contains(&record.proxy));
        marks.extend(lost.map(|record| (record.proxy.clone(), LocalMark::Unreachable)));
        Arc::new(marks)
    }

    /// Lists the daemons that count as gone.
    pub(crate) fn gone(&self, reached: &BTreeSet<&ProxyId>) -> Vec<ProxyId> {
        let accused = self.accusers.keys().filter(|proxy| **proxy != self.own);
        accused.filter(|proxy| self.is_gone(proxy, reached)).map(|proxy| (*proxy).clone()).collect()
    }

    /// Tells whether enough observers agree that a daemon's process ended.
    ///
    /// Made for a fleet where single observers err daily (a broken link, a pause, an overloaded
    /// instance) and where whole data centres are cut off. Removing a daemon that runs takes its
    /// backend server out of use everywhere, so four things have to come together:
    ///
    /// - a quorum of observers that this daemon reaches, because one alone may err;
    /// - half of the neighbours within reach, because a few instances of one rack err together;
    /// - a quorum from the same data centre, because silence between data centres is as often a
    ///   cut, and a cut must not erase the other side;
    /// - more than half of the data centre within reach, so that the smaller part of a data
    ///   centre that is split never removes the larger one.
    ///
    /// Where one of them lacks, the daemon is at most marked as unreachable.
    fn is_gone(&self, proxy: &ProxyId, reached: &BTreeSet<&ProxyId>) -> bool {
        let observers = self.accusers[proxy].iter().filter(|observer| reached.contains(**observer));
        let observers: BTreeSet<&ProxyId> = observers.copied().collect();
        let centre = self.centre_of(proxy);
        let near = observers.iter().filter(|observer| self.centre_of(observer) == centre).count();
        let members = self.view.values().filter(|record| record.is_running());
        let members: Vec<_> =
            members.filter(|record| Some(&*record.data_centre) == centre).collect();
        let is_within = |member: &ProxyId| member != proxy && reached.contains(member);
        let within = members.iter().filter(|record| is_within(&record.proxy)).count();
        let neighbours = self.plan.neighbours(proxy).filter(|next| reached.contains(next)).count();
        let near_quorum = self.quorum.min(within).max(1);
        observers.len() >= self.quorum
            && observers.len() * 2 >= neighbours
            && near >= near_quorum
            && within * 2 > members.len()
    }

    fn centre_of(&self, proxy: &ProxyId) -> Option<&str> {
        self.view.get(proxy).map(|record| record.data_centre.as_str())
    }
}
