//! Server side of the `Peer` interface: what a daemon answers to authenticated peers. Every call
//! checks that the peer has authenticated, and the number and duration of concurrent fetches are
//! bounded so that large answers do not exhaust the memory.

use std::{
    cell::{OnceCell, RefCell},
    rc::{Rc, Weak},
    time::Duration,
};

use capnp::Error;
use sk_member::MemberDigest;
use sk_model::ConfigSnapshot;
use tokio::{sync::OwnedSemaphorePermit, time::Instant};

use crate::{
    allowances::answer_asks,
    backoff::jittered,
    codec,
    hash_prefix::root_hash_prefix,
    node::SpreadNode,
    peer_capnp::{fetch_answer, fetch_request, peer, ticket},
    session::PeerSession,
    state::CallKind,
    tasks::{ConfirmOutcome, FetchTask, VersionOrigin},
    update::{ConfigUpdate, apply_update, make_tree_update, make_update},
};

/// Longest time for which a fetch occupies a slot. A receiver that pauses while it reads would
/// otherwise keep its slot, and a few of them would occupy all slots.
const FETCH_SLOT_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest answer that needs no ticket, in words: 16 kB. It fits into the socket's buffer and
/// frees its slot at once; a ticket would cost more bytes than it saves memory.
const MAX_UNTICKETED_WORDS: u64 = 2_048;
/// How long a fetch waits for a slot before it is refused. All children fetch a large announced
/// version at once, and over a fast link a slot is free again within milliseconds.
const FETCH_SLOT_WAIT: Duration = Duration::from_millis(50);
/// Mean pause requested of a peer whose fetch is refused.
const BUSY_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Answers the calls of one authenticated peer.
pub(crate) struct PeerServer {
    node: Weak<SpreadNode>,
    session: OnceCell<Rc<PeerSession>>,
}

impl PeerServer {
    /// Creates a server that refuses calls until [`PeerServer::set_session`].
    pub(crate) fn new(node: &Rc<SpreadNode>) -> Self {
        Self { node: Rc::downgrade(node), session: OnceCell::new() }
    }

    /// Enables the server's calls, once its peer has authenticated.
    pub(crate) fn set_session(&self, session: &Rc<PeerSession>) {
        // A second call for the same session changes nothing.
        let _ = self.session.set(session.clone());
    }

    /// Returns the node and the session.
    ///
    /// # Errors
    ///
    /// Fails until the peer has authenticated, because the side that opens a connection hands out
    /// this server before it knows its peer; and when the daemon is stopping.
    fn require_session(&self) -> Result<(Rc<SpreadNode>, &Rc<PeerSession>), Error> {
        let session = self.session.get();
        let session =
            session.ok_or_else(|| Error::failed("peer has not authenticated".to_owned()))?;
        let node = self.node.upgrade();
        let node = node.ok_or_else(|| Error::disconnected("daemon is stopping".to_owned()))?;
        session.record_used();
        Ok((node, session))
    }
}

impl peer::Server for PeerServer {
    async fn beat(
        self: Rc<Self>,
        params: peer::BeatParams,
        mut results: peer::BeatResults,
    ) -> Result<(), Error> {
        let (node, session) = self.require_session()?;
        node.handle_beat(&session.proxy, params.get()?.get_beat()?, Instant::now());
        node.write_beat(results.get().init_beat());
        Ok(())
    }

    async fn rumor(
        self: Rc<Self>,
        params: peer::RumorParams,
        _: peer::RumorResults,
    ) -> Result<(), Error> {
        let (node, session) = self.require_session()?;
        let params = params.get()?;
        node.stats.received(CallKind::Rumor, params.total_size()?);
        let records = codec::read_members(params.get_records()?)?;
        let suspicions = codec::read_suspicions(params.get_suspicions()?)?;
        node.merge_rumors(records, suspicions, &session.proxy);
        Ok(())
    }

    async fn reconcile(
        self: Rc<Self>,
        params: peer::ReconcileParams,
        mut results: peer::ReconcileResults,
    ) -> Result<(), Error> {
        let (node, session) = self.require_session()?;
        let params = params.get()?;
        node.stats.received(CallKind::Reconcile, params.total_size()?);
        let peer_digest = MemberDigest::from_buckets(codec::read_buckets(params.get_buckets()?)?);
        node.handle_beat(&session.proxy, params.get_beat()?, Instant::now());
        let compare = |table: &mut sk_member::MemberTable| {
            let digest = table.digest().clone();
            let records = table.records_in(&digest.differing_buckets(&peer_digest));
            (digest, records)
        };
        let (digest, records) = node.members.update(compare, |_| false);
        let mut results = results.get();
        let buckets = digest.buckets();
        codec::write_buckets(buckets, results.reborrow().init_buckets(buckets.len() as u32));
        let builder = results.reborrow().init_records(records.len() as u32);
        codec::write_members(records.iter().map(|record| &**record), builder);
        node.write_beat(results.init_beat());
        Ok(())
    }

    async fn push(
        self: Rc<Self>,
        params: peer::PushParams,
        mut results: peer::PushResults,
    ) -> Result<(), Error> {
        let (node, session) = self.require_session()?;
        let params = params.get()?;
        node.stats.received(CallKind::Push, params.total_size()?);
        let update = codec::read_update(params.get_update()?)?;
        let root = codec::read_text(params.get_root()?)?;
        handle_push(&node, update, VersionOrigin::Pushed { root }, &session.proxy);
        results.get().set_held(node.config.newest().version());
        Ok(())
    }

    async fn announce(
        self: Rc<Self>,
        params: peer::AnnounceParams,
        mut results: peer::AnnounceResults,
    ) -> Result<(), Error> {
        let (node, session) = self.require_session()?;
        let params = params.get()?;
        node.stats.received(CallKind::Announce, params.total_size()?);
        let root = codec::read_text(params.get_root()?)?;
        node.queue_fetch(FetchTask {
            version: params.get_version(),
            hash_prefix: params.get_root_hash(),
            from: session.proxy.clone(),
            origin: VersionOrigin::Announced { root },
        });
        results.get().set_held(node.config.newest().version());
        Ok(())
    }

    async fn fetch(
        self: Rc<Self>,
        params: peer::FetchParams,
        mut results: peer::FetchResults,
    ) -> Result<(), Error> {
        let (node, _) = self.require_session()?;
        let request = params.get()?.get_request()?;
        // When a whole fleet restarts, each daemon is a relay in its own first snapshot of the
        // members. A daemon that is not ready has not read the platform itself yet, and would read
        // it for every caller.
        let is_relay = node.config.is_ready() && node.relays.borrow().rank.is_some();
        let confirmation = match request.get_confirm() && is_relay {
            true => Some(node.confirm_newest().await),
            false => None,
        };
        let mut answer = results.get().init_answer();
        answer.set_is_fresh(confirmation == Some(ConfirmOutcome::UpToDate));
        answer.set_is_away(confirmation.is_some_and(|outcome| outcome != ConfirmOutcome::UpToDate));
        answer.set_is_ready(node.config.is_ready());
        answer_fetch(&node, request, answer).await
    }

    async fn allowances(
        self: Rc<Self>,
        params: peer::AllowancesParams,
        results: peer::AllowancesResults,
    ) -> Result<(), Error> {
        let (node, session) = self.require_session()?;
        answer_asks(&node, &session.proxy, params.get()?, results)
    }

    async fn notices(
        self: Rc<Self>,
        params: peer::NoticesParams,
        _: peer::NoticesResults,
    ) -> Result<(), Error> {
        let (node, _) = self.require_session()?;
        let body = params.get()?.get_body()?;
        let topics = &node.notices;
        match topics.is_empty() || topics.iter().any(|topic| topic.merge(body)) {
            true => Ok(()),
            false => Err(Error::failed("notices cannot be decoded".to_owned())),
        }
    }

    async fn acknowledge(
        self: Rc<Self>,
        params: peer::AcknowledgeParams,
        _: peer::AcknowledgeResults,
    ) -> Result<(), Error> {
        let (node, _) = self.require_session()?;
        let params = params.get()?;
        node.stats.received(CallKind::Ack, params.total_size()?);
        node.ack_batch.add(codec::read_acks(params.get_acks()?)?);
        Ok(())
    }
}

/// Applies a pushed update and forwards it, or queues a fetch if the base is not held here.
fn handle_push(node: &Rc<SpreadNode>, update: ConfigUpdate, origin: VersionOrigin, from: &str) {
    let (version, hash_prefix) = (update.version, root_hash_prefix(&update.root_hash));
    let newest = node.config.newest();
    let is_first = node.record_push(version, &origin);
    if version == newest.version()
        && hash_prefix == root_hash_prefix(&newest.root.hash())
        && is_first
    {
        // The version already came from a watch or a reconciliation; the children in this tree
        // still lack it.
        return node.forward_known(update.base, newest, origin);
    }
    if version <= newest.version() || node.config.was_rejected(version, hash_prefix) {
        return;
    }
    match apply_update(&newest, update) {
        Ok(snapshot) => drop(node.offer(snapshot, from, origin)),
        // The base is not held here, usually after a pause, so the difference is fetched instead.
        Err(err) => {
            log::debug!("spread: cannot apply the update pushed by {from}: {err}.");
            node.queue_fetch(FetchTask { version, hash_prefix, from: from.to_owned(), origin });
        }
    }
}

/// Answers a fetch with the newest version, if the peer lacks it and a slot is free.
async fn answer_fetch(
    node: &Rc<SpreadNode>,
    request: fetch_request::Reader<'_>,
    mut answer: fetch_answer::Builder<'_>,
) -> Result<(), Error> {
    if request.get_held() >= node.config.newest_id().0 {
        answer.set_same(());
        return Ok(());
    }
    let slot =
        tokio::time::timeout(FETCH_SLOT_WAIT, node.fetch_slots.clone().acquire_owned()).await;
    let Ok(Ok(slot)) = slot else {
        node.stats.count_fetch_refused();
        answer.set_busy_millis(jittered(BUSY_RETRY_PAUSE).as_millis() as u32);
        return Ok(());
    };
    let Some(update) = make_fetch_update(node, request, &node.config.newest())? else {
        answer.set_need_trees(());
        return Ok(());
    };
    node.stats.count_fetch_served();
    codec::write_update(&update, answer.reborrow().init_update())?;
    let size = answer.reborrow().into_reader().total_size()?;
    if size.word_count > MAX_UNTICKETED_WORDS {
        answer.set_ticket(capnp_rpc::new_client(TicketServer::new(slot)));
    }
    node.stats.sent(CallKind::Fetch, size);
    Ok(())
}

/// Makes the smallest update that the receiver can apply: a delta if its base is kept here, else
/// the subtrees that it lacks. Returns `None` if the receiver has to send its subtree hashes
/// first.
fn make_fetch_update(
    node: &SpreadNode,
    request: fetch_request::Reader<'_>,
    newest: &ConfigSnapshot,
) -> Result<Option<ConfigUpdate>, Error> {
    let hash_prefix = request.get_held_mark();
    let base = node.config.base(request.get_held());
    let base = base.filter(|base| root_hash_prefix(&base.root.hash()) == hash_prefix);
    Ok(match base {
        Some(base) => Some(make_update(&base, newest)),
        None if request.get_held() == 0 => Some(make_update(&ConfigSnapshot::default(), newest)),
        None if request.get_trees()?.is_empty() => None,
        None => Some(make_tree_update(&codec::read_hashes(request)?, newest)),
    })
}

/// Occupies a fetch slot until the receiver has read the answer and releases the ticket, or until
/// [`FETCH_SLOT_TIMEOUT`].
struct TicketServer {
    _slot: Rc<RefCell<Option<OwnedSemaphorePermit>>>,
}

impl TicketServer {
    /// Starts a timer that frees the slot after [`FETCH_SLOT_TIMEOUT`], if the ticket still exists.
    fn new(slot: OwnedSemaphorePermit) -> Self {
        let slot = Rc::new(RefCell::new(Some(slot)));
        let weak_slot = Rc::downgrade(&slot);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(FETCH_SLOT_TIMEOUT).await;
            if let Some(slot) = weak_slot.upgrade() {
                slot.take();
            }
        });
        Self { _slot: slot }
    }
}

impl ticket::Server for TicketServer {}
