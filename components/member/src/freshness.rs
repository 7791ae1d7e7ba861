//! Who looks at the configuration source, judged by how old the word from it is.

use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

use sk_model::ProxyId;

use crate::digest::name_hash;

/// Hash of the name of a daemon that looked at the source. Heartbeats carry it several times a
/// second, and a name would double them.
pub type LookerMark = u64;

/// Place in the source's history up to which everything is known; zero where there is none.
pub type HistoryMark = u64;

/// Place of a looker that is not of this data centre, or not known any more.
const NO_PLACE: usize = usize::MAX;

/// Word from the source: at `seen_at` it had nothing newer than what is held here.
///
/// Times are those since any fixed start, on a clock that does not go back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessProof {
    /// Who looked.
    pub looker: LookerMark,
    /// When, never later than it truly was.
    pub seen_at: Duration,
    /// From where the source's history can be followed.
    pub history: HistoryMark,
}

/// When daemons take over from those that should look.
#[derive(Clone, Copy, Debug)]
pub struct LookOptions {
    /// Daemons of the data centre that always look.
    pub relays: usize,
    /// Age of the word from the source from which on the next daemon looks too.
    pub stale_after: Duration,
    /// Time that each further daemon leaves to the one before it. Long enough for the word to come
    /// from there, and short, as several in a row may be without a way to the source.
    pub step: Duration,
}

/// The word from the source that a daemon goes by, and its turn to look itself.
///
/// Made for a source that answers some daemons and not others, and for daemons that are cut off,
/// frozen or slow. Each is alive to its peers, so nobody would replace it as a relay, while the data
/// centre's routes fall behind; callers would be sent by old routes for as long as it lasts. What
/// counts is therefore not who is alive but how old the word from the source is: where it grows old,
/// for whatever reason, the next daemon in the order looks. Everyone else stays quiet, so that the
/// source's load does not grow with the fleet.
#[derive(Debug)]
pub struct FreshnessBook {
    own: LookerMark,
    options: LookOptions,
    places: BTreeMap<LookerMark, usize>,
    held: Option<FreshnessProof>,
    /// When a daemon that goes before this one last saw the source.
    led_at: Duration,
}

impl FreshnessBook {
    /// Makes a book that knows no order and no proof yet.
    pub fn new(own: &str, options: LookOptions) -> Self {
        let own = name_hash(own);
        Self { own, options, places: BTreeMap::new(), held: None, led_at: Duration::ZERO }
    }

    /// Gives the mark of this daemon.
    pub fn own(&self) -> LookerMark {
        self.own
    }

    /// Gives the proof held.
    pub fn held(&self) -> Option<FreshnessProof> {
        self.held
    }

    /// Sets the order in which the daemons of the data centre look.
    pub fn set_order<'a>(&mut self, order: impl IntoIterator<Item = &'a ProxyId>) {
        let marks = order.into_iter().map(|proxy| name_hash(proxy));
        self.places = marks.enumerate().map(|(place, mark)| (mark, place)).collect();
    }

    /// Begins anew at `now`: what is known may be older than it looks, such as after a pause of this
    /// process, in which heartbeats waited to be read.
    pub fn restart(&mut self, now: Duration) {
        self.held = None;
        self.led_at = now;
    }

    /// Takes a proof, from this daemon's own look or from a peer.
    ///
    /// Of fresh ones that of the first looker in the order is kept and passed on, so that those who
    /// took over for it hear that it is back.
    pub fn offer(&mut self, proof: FreshnessProof, now: Duration) {
        if self.place_of(proof.looker) < self.place_of(self.own) {
            self.led_at = self.led_at.max(proof.seen_at);
        }
        let is_better = |held| self.worth(&proof, now) > self.worth(&held, now);
        if self.held.is_none_or(is_better) {
            self.held = Some(proof);
        }
    }

    /// Gives the time until it is this daemon's turn to look; none while it has no place, as when it
    /// leaves.
    pub fn due_in(&self, now: Duration) -> Option<Duration> {
        match self.turns_before()? {
            0 => Some(Duration::ZERO),
            turns => {
                let steps = u32::try_from(turns - 1).unwrap_or(u32::MAX);
                let pause = self.options.stale_after + self.options.step.saturating_mul(steps);
                Some((self.led_at + pause).saturating_sub(now))
            }
        }
    }

    /// Counts the turns before this daemon's: zero for those that always look, one for the first that
    /// looks in their place; none while it has no place.
    pub fn turns_before(&self) -> Option<usize> {
        match self.place_of(self.own) {
            NO_PLACE => None,
            place => Some((place + 1).saturating_sub(self.options.relays)),
        }
    }

    /// Tells whether nobody of the data centre is known to have seen the source lately.
    pub fn is_stale(&self, now: Duration) -> bool {
        self.held.is_none_or(|held| !self.is_fresh(&held, now))
    }

    fn is_fresh(&self, proof: &FreshnessProof, now: Duration) -> bool {
        now.saturating_sub(proof.seen_at) < self.options.stale_after
    }

    fn worth(&self, proof: &FreshnessProof, now: Duration) -> (bool, Reverse<usize>, Duration) {
        match self.is_fresh(proof, now) {
            true => (true, Reverse(self.place_of(proof.looker)), proof.seen_at),
            false => (false, Reverse(NO_PLACE), proof.seen_at),
        }
    }

    fn place_of(&self, looker: LookerMark) -> usize {
        self.places.get(&looker).copied().unwrap_or(NO_PLACE)
    }
}
