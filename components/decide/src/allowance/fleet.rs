//! Which daemons share an allowance, and which of them owns its bucket.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::OwnerTerms;

/// Time for which a daemon that is no longer heard of counts as one that may still serve.
const KNOWN_TIME: Duration = Duration::from_secs(20);

/// How a daemon takes part, as another one sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberPresence {
    /// It is heard of.
    Alive,
    /// It is not heard of any more, and may still serve requests.
    Lost,
    /// It belongs to the fleet and is not heard of, perhaps never since the start of the observer.
    Missing,
    /// It is not heard of at a daemon that does not know the fleet, and counts as serving.
    Unheard,
    /// It has said that it leaves.
    Left,
}

/// The daemons that share an allowance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetView {
    /// Daemons that are alive, in the order of their names.
    pub alive: Vec<Arc<str>>,
    /// Number of daemons known in the last 20 s that have not left.
    pub known: u32,
}

impl FleetView {
    /// Returns the numbers of daemons for the owner of a bucket.
    pub fn owner_terms(&self) -> OwnerTerms {
        OwnerTerms { alive: self.alive.len() as u32, known: self.known }
    }
}

/// Remembers until when daemons count as ones that may serve.
#[derive(Clone, Debug, Default)]
pub struct FleetTracker {
    /// When each daemon was last alive or first missed; `None` for those that have left.
    last_counted: BTreeMap<Arc<str>, Option<Duration>>,
}

impl FleetTracker {
    /// Records the members as they are now, and returns who shares an allowance.
    pub fn observe<'a>(
        &mut self,
        members: impl Iterator<Item = (&'a str, MemberPresence)>,
        now: Duration,
    ) -> FleetView {
        let (mut alive, mut counted) = (Vec::new(), BTreeMap::new());
        for (name, presence) in members {
            let name: Arc<str> = Arc::from(name);
            let before = self.last_counted.remove(&name);
            let at = match presence {
                MemberPresence::Alive | MemberPresence::Unheard => Some(now),
                MemberPresence::Missing => before.unwrap_or(Some(now)),
                MemberPresence::Lost => before.flatten(),
                MemberPresence::Left => None,
            };
            if presence == MemberPresence::Alive {
                alive.push(name.clone());
            }
            counted.insert(name, at);
        }
        // A daemon whose record has been dropped counts as long as one that is lost.
        let is_recent =
            |at: &Option<Duration>| at.is_some_and(|at| now.saturating_sub(at) <= KNOWN_TIME);
        self.last_counted.retain(|_, at| is_recent(at));
        self.last_counted.extend(counted);
        alive.sort_unstable();
        let known = self.last_counted.values().filter(|at| is_recent(at)).count() as u32;
        FleetView { alive, known }
    }
}

/// Returns the owner of a workspace's bucket by rendezvous hashing: the same daemon wherever the
/// same daemons are alive, and unchanged when another one leaves.
pub fn choose_owner<'a>(workspace: &str, alive: &'a [Arc<str>]) -> Option<&'a Arc<str>> {
    alive.iter().max_by_key(|name| rendezvous_weight(workspace, name))
}

/// Returns a hash of two names (FNV-1a with the finalizer of SplitMix64), the same in all releases.
fn rendezvous_weight(workspace: &str, daemon: &str) -> u64 {
    let bytes = workspace.bytes().chain([0]).chain(daemon.bytes());
    let mut hash = bytes.fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
