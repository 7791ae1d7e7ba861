//! The tree along which the relay of a data centre distributes configuration.

use sk_model::ProxyId;

use crate::{
    MemberSnapshot,
    digest::{name_hash, pair_hash},
};

/// The members of one data centre as a tree with a given root, which is the same on every daemon.
///
/// A relay that sent to all of the about 87 daemons of a data centre itself would use up its
/// budget of control traffic at once and be a single point of failure of a push. In a tree each
/// daemon sends to at most `fan_out` others. The order after the root is drawn by hash, so that
/// two roots load different daemons.
#[derive(Clone, Debug)]
pub struct PushTree {
    members: Vec<ProxyId>,
    fan_out: usize,
}

impl PushTree {
    /// Creates the tree of the present members of a data centre. A fan-out of 0 counts as 1.
    pub fn new(snapshot: &MemberSnapshot, data_centre: &str, root: &str, fan_out: usize) -> Self {
        let is_member = |proxy: &&ProxyId| {
            let record = &snapshot[*proxy];
            record.data_centre == data_centre && record.is_active()
        };
        let mut members: Vec<ProxyId> = snapshot.keys().filter(is_member).cloned().collect();
        let seed = name_hash(root);
        members.sort_by_cached_key(|proxy| (proxy != root, pair_hash(seed, name_hash(proxy))));
        Self { members, fan_out: fan_out.max(1) }
    }

    /// Returns the children of a daemon, which are none for a leaf or for a daemon outside the
    /// tree.
    pub fn children(&self, proxy: &str) -> Vec<ProxyId> {
        let Some(position) = self.members.iter().position(|member| member == proxy) else {
            return Vec::new();
        };
        let first = (position * self.fan_out + 1).min(self.members.len());
        let last = (first + self.fan_out).min(self.members.len());
        self.members[first..last].to_vec()
    }

    /// Returns the daemons to send to in place of a child that failed, which are the children of
    /// that child.
    ///
    /// Otherwise a child that fails during a push leaves its whole subtree to the slower repair.
    pub fn replacement_targets(&self, failed: &str) -> Vec<ProxyId> {
        self.children(failed)
    }
}

/// Returns the children of `own` in the tree of its data centre with the root `root`.
pub fn push_targets(
    snapshot: &MemberSnapshot,
    own: &str,
    root: &str,
    fan_out: usize,
) -> Vec<ProxyId> {
    let data_centre = snapshot.get(own).map(|record| record.data_centre.as_str());
    data_centre.map_or_else(Vec::new, |data_centre| {
        PushTree::new(snapshot, data_centre, root, fan_out).children(own)
    })
}
