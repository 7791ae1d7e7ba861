//! Fetches a version that a peer holds, with retries at other peers. Fetches run one at a time and
//! after a grace period, so that a version is not transferred twice when the tree delivers it as
//! well.

use std::{rc::Rc, time::Duration};

use capnp::Error;
use rand::seq::IndexedRandom;
use sk_model::{ConfigSnapshot, ProxyId, Version};
use tokio::sync::mpsc;

use crate::{
    backoff::{RetryPause, drawn, jittered},
    codec,
    held::OfferOutcome,
    marks::{RootMark, root_mark},
    node::{CALL_TIMEOUT, SpreadNode},
    options::PassMode,
    orders::{FetchWant, VersionOrigin},
    peer_capnp::{fetch_answer, peer},
    state::CallKind,
    update::{TreeHashes, apply_update, tree_hashes},
};

/// Tries of one fetch before the version is left to the next reconciliation.
const MAX_TRIES: usize = 6;
/// First and longest pause after a failed try. The cap keeps all tries within a few seconds.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// Mean time for which a version seen in a heartbeat is left to the tree. Without it every push
/// would also be fetched by whichever daemon sees a heartbeat first.
const PUSH_GRACE: Duration = Duration::from_millis(500);
/// The same in announce mode, where relays batch changes before they announce them.
const ANNOUNCE_GRACE: Duration = Duration::from_millis(2_500);
/// Longest pause that a peer may request, so that a faulty peer cannot stop fetches for long.
const MAX_BUSY_PAUSE: Duration = Duration::from_secs(2);

/// Answer of a peer to a fetch.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FetchReply {
    /// The peer read the configuration source after it was asked.
    pub(crate) is_fresh: bool,
    /// The peer could not read the configuration source.
    pub(crate) is_away: bool,
    /// The peer itself is ready.
    pub(crate) is_ready: bool,
    pub(crate) outcome: FetchOutcome,
}

/// Result of one fetch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FetchOutcome {
    /// The peer's version or a newer one is held here.
    Held,
    /// The peer's version fails validation here.
    Refused,
    /// The peer serves too many fetches; it asks for this pause.
    Busy(Duration),
    /// The peer needs the hashes of the subtrees held here.
    NeedsTrees,
}

impl SpreadNode {
    /// Queues the fetch of a version. If the queue is full, the version is left to the next
    /// reconciliation.
    pub(crate) fn want(&self, want: FetchWant) {
        if self.lacks(want.version, want.mark) {
            let _ = self.wants.try_send(want);
        }
    }

    /// Compares a peer's version from a heartbeat or a reconciliation with the held one, and
    /// schedules a fetch in case the tree does not deliver it.
    pub(crate) fn note_version(self: &Rc<Self>, from: &str, version: Version, mark: RootMark) {
        let (newest, newest_mark) = self.held.newest_mark();
        if version == newest && mark != newest_mark && newest > 0 {
            return self.report_diverged(version, from);
        }
        if !self.lacks(version, mark) || self.expected.get() >= version {
            return;
        }
        self.expected.set(version);
        let want = FetchWant { version, mark, from: from.to_owned(), origin: VersionOrigin::Found };
        let is_stale = self.freshness.borrow().is_stale(self.start.elapsed());
        let grace = match self.options.mode {
            // No daemon of this data centre reaches the source, so no tree will deliver the
            // version.
            _ if is_stale => Duration::ZERO,
            PassMode::Push => PUSH_GRACE,
            PassMode::Announce => ANNOUNCE_GRACE,
        };
        let node = self.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(jittered(grace)).await;
            node.expected.set(0);
            node.want(want);
        });
    }

    fn lacks(&self, version: Version, mark: RootMark) -> bool {
        version > self.held.newest_mark().0 && !self.held.is_refused(version, mark)
    }

    /// Fetches a peer's version if it is newer. With `confirm` a peer that is a relay reads the
    /// configuration source first.
    pub(crate) async fn fetch(
        self: &Rc<Self>,
        from: &str,
        confirm: bool,
        origin: &VersionOrigin,
    ) -> Result<FetchReply, Error> {
        let base = self.held.newest();
        let reply = self.fetch_once(from, confirm, &base, &TreeHashes::new(), origin).await?;
        if reply.outcome != FetchOutcome::NeedsTrees {
            return Ok(reply);
        }
        let again = self.fetch_once(from, false, &base, &tree_hashes(&base), origin).await?;
        Ok(FetchReply { outcome: again.outcome, ..reply })
    }

    async fn fetch_once(
        self: &Rc<Self>,
        from: &str,
        confirm: bool,
        base: &ConfigSnapshot,
        hashes: &TreeHashes,
        origin: &VersionOrigin,
    ) -> Result<FetchReply, Error> {
        let call = async |peer: peer::Client| {
            let mut request = peer.fetch_request();
            let mut params = request.get().init_request();
            params.set_held(base.version());
            params.set_held_mark(root_mark(&base.root.hash()));
            params.set_confirm(confirm);
            codec::write_hashes(hashes, params);
            self.stats.sent(CallKind::Fetch, request.get().into_reader().total_size()?);
            let response = request.send().promise.await?;
            let answer = response.get()?.get_answer()?;
            self.stats.received(CallKind::Fetch, answer.total_size()?);
            let outcome = self.take_answer(answer, base, from, origin)?;
            Ok(FetchReply {
                is_fresh: answer.get_is_fresh(),
                is_away: answer.get_is_away(),
                is_ready: answer.get_is_ready(),
                outcome,
            })
        };
        self.call(from, CALL_TIMEOUT, call).await
    }

    fn take_answer(
        &self,
        answer: fetch_answer::Reader<'_>,
        base: &ConfigSnapshot,
        from: &str,
        origin: &VersionOrigin,
    ) -> Result<FetchOutcome, Error> {
        let update = match answer.which()? {
            fetch_answer::Same(()) => return Ok(FetchOutcome::Held),
            fetch_answer::NeedTrees(()) => return Ok(FetchOutcome::NeedsTrees),
            fetch_answer::BusyMillis(pause) => {
                let pause = Duration::from_millis(pause.into()).min(MAX_BUSY_PAUSE);
                return Ok(FetchOutcome::Busy(pause));
            }
            fetch_answer::Update(update) => codec::read_update(update?)?,
        };
        let snapshot = apply_update(base, update).map_err(|err| {
            log::warn!("spread: cannot apply a fetch from {from}: {err}.");
            Error::failed(err.to_string())
        })?;
        match self.offer(snapshot, from, origin.clone()) {
            OfferOutcome::Rejected(_) => Ok(FetchOutcome::Refused),
            _ => Ok(FetchOutcome::Held),
        }
    }
}

/// Runs queued fetches, one at a time.
pub(crate) async fn fetch_wanted(node: &Rc<SpreadNode>, mut wants: mpsc::Receiver<FetchWant>) {
    while let Some(want) = wants.recv().await {
        fetch_version(node, want).await;
    }
}

/// Retries until the version is held: first at the peer that holds it, then at random daemons of
/// the data centre, as the first peer may have died since.
async fn fetch_version(node: &Rc<SpreadNode>, want: FetchWant) {
    let mut pause = RetryPause::new(FIRST_PAUSE, LONGEST_PAUSE);
    let mut from = want.from;
    for _ in 0..MAX_TRIES {
        if !node.lacks(want.version, want.mark) {
            return;
        }
        match node.fetch(&from, false, &want.origin).await.map(|reply| reply.outcome) {
            Ok(FetchOutcome::Refused) => return,
            Ok(FetchOutcome::Busy(busy)) => tokio::time::sleep(busy + drawn(busy)).await,
            Ok(_) if !node.lacks(want.version, want.mark) => return,
            Ok(_) => tokio::time::sleep(pause.next()).await,
            Err(err) => {
                log::info!("spread: fetch from {from} failed: {err}.");
                tokio::time::sleep(pause.next()).await;
            }
        }
        from = node.pick_near().unwrap_or(from);
    }
}

impl SpreadNode {
    /// Picks a random other daemon of this data centre, or of any data centre if there is none.
    fn pick_near(&self) -> Option<ProxyId> {
        let data_centre = &self.members.own().data_centre;
        let others = self.others();
        let near: Vec<_> =
            others.iter().filter(|record| record.data_centre == *data_centre).collect();
        let mut rng = rand::rng();
        let chosen = near.choose(&mut rng).copied().or_else(|| others.choose(&mut rng));
        chosen.map(|record| record.proxy.clone())
    }
}
