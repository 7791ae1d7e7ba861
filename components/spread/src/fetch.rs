//! Fetches a version that a peer holds, with retries at other peers. Queued fetches run one at a
//! time, and one prompted by a heartbeat waits for a grace period, so that a version is not
//! transferred twice when the tree delivers it as well.

use std::{rc::Rc, time::Duration};

use capnp::Error;
use rand::seq::IndexedRandom;
use sk_model::{ConfigSnapshot, ProxyId, Version};
use tokio::sync::mpsc;

use crate::{
    backoff::{RetryPause, jittered, random_up_to},
    codec,
    config_holder::OfferOutcome,
    hash_prefix::{RootHashPrefix, root_hash_prefix},
    node::{CALL_TIMEOUT, SpreadNode},
    options::ForwardMode,
    peer_capnp::{fetch_answer, peer},
    state::CallKind,
    tasks::{FetchTask, VersionOrigin},
    update::{TreeHashes, apply_update, tree_hashes},
};

/// Tries of one fetch before the version is left to the next reconciliation.
const MAX_TRIES: usize = 6;
/// Upper bound of the first pause after a failed try.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after a failed try. It keeps all tries within a few seconds.
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
    pub(crate) is_source_unreachable: bool,
    /// The peer itself is ready.
    pub(crate) is_ready: bool,
    /// The result for the version.
    pub(crate) outcome: FetchOutcome,
}

/// Result of one fetch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FetchOutcome {
    /// The peer's version or a newer one is held here.
    UpToDate,
    /// The peer's version fails validation here.
    Rejected,
    /// The peer serves too many fetches; it asks for this pause.
    Busy(Duration),
    /// The peer needs the hashes of the subtrees held here.
    NeedsHashes,
}

impl SpreadNode {
    /// Queues the fetch of a version. If the queue is full, the version is left to the next
    /// reconciliation.
    pub(crate) fn queue_fetch(&self, task: FetchTask) {
        if self.is_missing(task.version, task.hash_prefix) {
            let _ = self.fetch_tasks.try_send(task);
        }
    }

    /// Compares a peer's version from a heartbeat or a reconciliation with the held one. Schedules
    /// a fetch of a newer version in case the tree does not deliver it, and reports different
    /// content under the same version.
    pub(crate) fn record_version(
        self: &Rc<Self>,
        from: &str,
        version: Version,
        hash_prefix: RootHashPrefix,
    ) {
        let (newest, newest_prefix) = self.config.newest_id();
        if version == newest && hash_prefix != newest_prefix && newest > 0 {
            return self.report_diverged(version, from);
        }
        if !self.is_missing(version, hash_prefix) || self.scheduled_fetch.get() >= version {
            return;
        }
        self.scheduled_fetch.set(version);
        let task =
            FetchTask { version, hash_prefix, from: from.to_owned(), origin: VersionOrigin::Found };
        let is_stale = self.freshness.borrow().is_stale(self.started_at.elapsed());
        let grace = match self.options.mode {
            // No daemon of this data centre reaches the source, so no tree will deliver the
            // version.
            _ if is_stale => Duration::ZERO,
            ForwardMode::Push => PUSH_GRACE,
            ForwardMode::Announce => ANNOUNCE_GRACE,
        };
        let node = self.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(jittered(grace)).await;
            node.scheduled_fetch.set(0);
            node.queue_fetch(task);
        });
    }

    /// Returns whether a version is newer than the held one and was not rejected.
    fn is_missing(&self, version: Version, hash_prefix: RootHashPrefix) -> bool {
        version > self.config.newest_id().0 && !self.config.was_rejected(version, hash_prefix)
    }

    /// Fetches a peer's version if it is newer. With `confirm` a peer that is a relay reads the
    /// configuration source first.
    pub(crate) async fn fetch(
        self: &Rc<Self>,
        from: &str,
        confirm: bool,
        origin: &VersionOrigin,
    ) -> Result<FetchReply, Error> {
        let base = self.config.newest();
        let reply = self.fetch_once(from, confirm, &base, &TreeHashes::new(), origin).await?;
        if reply.outcome != FetchOutcome::NeedsHashes {
            return Ok(reply);
        }
        let again = self.fetch_once(from, false, &base, &tree_hashes(&base), origin).await?;
        Ok(FetchReply { outcome: again.outcome, ..reply })
    }

    /// Sends one fetch request; `hashes` is empty in the first request of a fetch, and names the
    /// held subtrees after the answer `needTrees`.
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
            params.set_held_mark(root_hash_prefix(&base.root.hash()));
            params.set_confirm(confirm);
            codec::write_hashes(hashes, params);
            self.stats.sent(CallKind::Fetch, request.get().into_reader().total_size()?);
            let response = request.send().promise.await?;
            let answer = response.get()?.get_answer()?;
            self.stats.received(CallKind::Fetch, answer.total_size()?);
            let outcome = self.apply_answer(answer, base, from, origin)?;
            Ok(FetchReply {
                is_fresh: answer.get_is_fresh(),
                is_source_unreachable: answer.get_is_away(),
                is_ready: answer.get_is_ready(),
                outcome,
            })
        };
        self.call(from, CALL_TIMEOUT, call).await
    }

    /// Applies a fetch answer to `base` and offers the result.
    fn apply_answer(
        &self,
        answer: fetch_answer::Reader<'_>,
        base: &ConfigSnapshot,
        from: &str,
        origin: &VersionOrigin,
    ) -> Result<FetchOutcome, Error> {
        let update = match answer.which()? {
            fetch_answer::Same(()) => return Ok(FetchOutcome::UpToDate),
            fetch_answer::NeedTrees(()) => return Ok(FetchOutcome::NeedsHashes),
            fetch_answer::BusyMillis(pause) => {
                let pause = Duration::from_millis(pause.into()).min(MAX_BUSY_PAUSE);
                return Ok(FetchOutcome::Busy(pause));
            }
            fetch_answer::Update(update) => codec::read_update(update?)?,
        };
        let snapshot = apply_update(base, update).map_err(|err| {
            log::warn!("spread: cannot apply the update fetched from {from}: {err}.");
            Error::failed(err.to_string())
        })?;
        match self.offer(snapshot, from, origin.clone()) {
            OfferOutcome::Rejected(_) => Ok(FetchOutcome::Rejected),
            _ => Ok(FetchOutcome::UpToDate),
        }
    }
}

/// Runs queued fetches, one at a time.
pub(crate) async fn run_fetches(node: &Rc<SpreadNode>, mut tasks: mpsc::Receiver<FetchTask>) {
    while let Some(task) = tasks.recv().await {
        fetch_version(node, task).await;
    }
}

/// Tries at most [`MAX_TRIES`] times, until the version is held or rejected: first at the peer that
/// holds it, then at random daemons of the data centre, as the first peer may have died since.
async fn fetch_version(node: &Rc<SpreadNode>, task: FetchTask) {
    let mut pause = RetryPause::new(FIRST_PAUSE, LONGEST_PAUSE);
    let mut from = task.from;
    for _ in 0..MAX_TRIES {
        if !node.is_missing(task.version, task.hash_prefix) {
            return;
        }
        match node.fetch(&from, false, &task.origin).await.map(|reply| reply.outcome) {
            Ok(FetchOutcome::Rejected) => return,
            Ok(FetchOutcome::Busy(busy_pause)) => {
                tokio::time::sleep(busy_pause + random_up_to(busy_pause)).await
            }
            Ok(_) if !node.is_missing(task.version, task.hash_prefix) => return,
            Ok(_) => tokio::time::sleep(pause.next()).await,
            Err(err) => {
                log::info!("spread: fetch from {from} failed: {err}.");
                tokio::time::sleep(pause.next()).await;
            }
        }
        from = node.pick_nearby().unwrap_or(from);
    }
}

impl SpreadNode {
    /// Picks a random other daemon of this data centre, or of any data centre if there is none.
    fn pick_nearby(&self) -> Option<ProxyId> {
        let data_centre = &self.members.own().data_centre;
        let others = self.other_members();
        let local: Vec<_> =
            others.iter().filter(|record| record.data_centre == *data_centre).collect();
        let mut rng = rand::rng();
        let chosen = local.choose(&mut rng).copied().or_else(|| others.choose(&mut rng));
        chosen.map(|record| record.proxy.clone())
    }
}
