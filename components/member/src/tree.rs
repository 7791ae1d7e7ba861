//! The tree along which a data centre's relay passes configuration on.

use sk_model::ProxyId;

use crate::{
    MemberView,
    digest::{name_hash, pair_hash},
};

/// The members of one data centre as a tree with a given root, the same on every daemon.
///
/// Made for pushes to a data centre of about 87 daemons: a relay that sends to all of them itself
/// uses its control budget at once and is a single place where a push ends. In a tree each daemon
/// sends to at most `fan_out` others. The order behind the root is drawn by hash, so that two
/// roots load different daemons.
#[derive(Clone, Debug)]
pub struct PushTree {
    members: Vec<ProxyId>,
    fan_out: usize,
}

impl PushTree {
    /// Makes the tree of the present members of a data centre. A fan-out of 0 counts as 1.
    pub fn new(view: &MemberView, data_centre: &str, root: &str, fan_out: usize) -> Self {
        let is_member = |proxy: &&ProxyId| {
            let record = &view[*proxy];
            record.data_centre == data_centre && record.is_present()
        };
        let mut members: Vec<ProxyId> = view.keys().filter(is_member).cloned().collect();
        let seed = name_hash(root);
        members.sort_by_cached_key(|proxy| (proxy != root, pair_hash(seed, name_hash(proxy))));
        Self { members, fan_out: fan_out.max(1) }
    }

    /// Lists the children of a daemon; none for a leaf or a daemon outside the tree.
    pub fn children(&self, proxy: &str) -> Vec<ProxyId> {
        let Some(place) = self.members.iter().position(|member| member == proxy) else {
            return Vec::new();
        };
        let first = (place * self.fan_out + 1).min(self.members.len());
        let last = (first + self.fan_out).min(self.members.len());
        self.members[first..last].to_vec()
    }

    /// Lists whom to send to in place of a child that failed: the failed child's own children.
    ///
    /// Without this, a child that dies in mid-push leaves its whole subtree to the slower repair.
    pub fn adopted(&self, failed: &str) -> Vec<ProxyId> {
        self.children(failed)
    }
}

/// Lists the children of `own` in the tree of its data centre under `root`.
pub fn push_targets(view: &MemberView, own: &str, root: &str, fan_out: usize) -> Vec<ProxyId> {
    let data_centre = view.get(own).map(|record| record.data_centre.as_str());
    data_centre.map_or_else(Vec::new, |data_centre| {
        PushTree::new(view, data_centre, root, fan_out).children(own)
    })
}
