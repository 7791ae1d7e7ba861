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
    backoff::jittered,
    codec,
    marks::root_mark,
    node::SpreadNode,
    orders::{ConfirmOutcome, FetchWant, VersionOrigin},
    peer_capnp::{fetch_answer, fetch_request, peer, ticket},
    session::PeerSession,
    state::CallKind,
    update::{ConfigUpdate, apply_update, make_tree_update, make_update},
};

/// Longest time for which a fetch occupies a slot. A receiver that pauses while it reads would
/// otherwise keep its slot, and a few of them would occupy all slots.
const PLACE_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest answer that needs no ticket, in words: 16 kB. It fits into the socket's buffer and
/// frees its slot at once; a ticket would cost more bytes than it saves memory.
const SMALL_WORDS: u64 = 2_048;
/// How long a fetch waits for a slot before it is refused. All children fetch a large announced
/// version at once, and over a fast link a slot is free again within milliseconds.
const PLACE_WAIT: Duration = Duration::from_millis(50);
/// Mean pause requested of a peer whose fetch is refused.
const BUSY_PAUSE: Duration = Duration::from_millis(100);

/// Answers the calls of one authenticated peer.
pub(crate) struct PeerServer {
    node: Weak<SpreadNode>,
    session: OnceCell<Rc<PeerSession>>,
}

impl PeerServer {
    pub(crate) fn new(node: &Rc<SpreadNode>) -> Self {
        Self { node: Rc::downgrade(node), session: OnceCell::new() }
    }

    /// Enables the server's calls, once its peer has authenticated.
    pub(crate) fn open(&self, session: &Rc<PeerSession>) {
        // A second call for the same session changes nothing.
        let _ = self.session.set(session.clone());
    }

    /// Returns the node and the session.
    ///
    /// # Errors
    ///
    /// Fails until the peer has authenticated, because the side that opens a connection hands out
    /// this server before it knows its peer; and when the daemon stops.
    fn enter(&self) -> Result<(Rc<SpreadNode>, &Rc<PeerSession>), Error> {
        let session = self.session.get();
        let session = session.ok_or_else(|| Error::failed("peer is not proven".to_owned()))?;
        let node = self.node.upgrade();
        let node = node.ok_or_else(|| Error::disconnected("daemon stops".to_owned()))?;
        session.touch();
        Ok((node, session))
    }
}

impl peer::Server for PeerServer {
    async fn beat(
        self: Rc<Self>,
        params: peer::BeatParams,
        mut results: peer::BeatResults,
    ) -> Result<(), Error> {
        let (node, session) = self.enter()?;
        node.take_beat(&session.proxy, params.get()?.get_beat()?, Instant::now());
        node.write_beat(results.get().init_beat());
        Ok(())
    }

    async fn rumor(
        self: Rc<Self>,
        params: peer::RumorParams,
        _: peer::RumorResults,
    ) -> Result<(), Error> {
        let (node, session) = self.enter()?;
        let params = params.get()?;
        node.stats.received(CallKind::Rumor, params.total_size()?);
        let records = codec::read_members(params.get_records()?)?;
        let words = codec::read_words(params.get_suspicions()?)?;
        node.merge_news(records, words, &session.proxy);
        Ok(())
    }

    async fn reconcile(
        self: Rc<Self>,
        params: peer::ReconcileParams,
        mut results: peer::ReconcileResults,
    ) -> Result<(), Error> {
        let (node, session) = self.enter()?;
        let params = params.get()?;
        node.stats.received(CallKind::Reconcile, params.total_size()?);
        let theirs = MemberDigest::from_buckets(codec::read_buckets(params.get_buckets()?)?);
        node.take_beat(&session.proxy, params.get_beat()?, Instant::now());
        let compare = |table: &mut sk_member::MemberTable| {
            let digest = table.digest().clone();
            let records = table.records_in(&digest.differing(&theirs));
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
        let (node, session) = self.enter()?;
        let params = params.get()?;
        node.stats.received(CallKind::Push, params.total_size()?);
        let update = codec::read_update(params.get_update()?)?;
        let root = codec::read_text(params.get_root()?)?;
        take_push(&node, update, VersionOrigin::Pushed { root }, &session.proxy);
        results.get().set_held(node.held.newest().version());
        Ok(())
    }

    async fn announce(
        self: Rc<Self>,
        params: peer::AnnounceParams,
        mut results: peer::AnnounceResults,
    ) -> Result<(), Error> {
        let (node, session) = self.enter()?;
        let params = params.get()?;
        node.stats.received(CallKind::Announce, params.total_size()?);
        let root = codec::read_text(params.get_root()?)?;
        node.want(FetchWant {
            version: params.get_version(),
            mark: params.get_root_hash(),
            from: session.proxy.clone(),
            origin: VersionOrigin::Announced { root },
        });
        results.get().set_held(node.held.newest().version());
        Ok(())
    }

    async fn fetch(
        self: Rc<Self>,
        params: peer::FetchParams,
        mut results: peer::FetchResults,
    ) -> Result<(), Error> {
        let (node, _) = self.enter()?;
        let request = params.get()?.get_request()?;
        // When a whole fleet restarts, each daemon is a relay in its own first view. A daemon that
        // is not ready has not read the platform itself yet, and would read it for every caller.
        let is_relay = node.held.is_ready() && node.relays.borrow().rank.is_some();
        let looked = match request.get_confirm() && is_relay {
            true => Some(node.confirm().await),
            false => None,
        };
        let mut answer = results.get().init_answer();
        answer.set_is_fresh(looked == Some(ConfirmOutcome::Held));
        answer.set_is_away(looked.is_some_and(|outcome| outcome != ConfirmOutcome::Held));
        answer.set_is_ready(node.held.is_ready());
        answer_fetch(&node, request, answer).await
    }

    async fn notices(
        self: Rc<Self>,
        params: peer::NoticesParams,
        _: peer::NoticesResults,
    ) -> Result<(), Error> {
        let (node, _) = self.enter()?;
        let body = params.get()?.get_body()?;
        match node.notices.as_ref().is_none_or(|notices| notices.merge(body)) {
            true => Ok(()),
            false => Err(Error::failed("notices cannot be read".to_owned())),
        }
    }

    async fn acknowledge(
        self: Rc<Self>,
        params: peer::AcknowledgeParams,
        _: peer::AcknowledgeResults,
    ) -> Result<(), Error> {
        let (node, _) = self.enter()?;
        let params = params.get()?;
        node.stats.received(CallKind::Ack, params.total_size()?);
        node.ack_batch.add(codec::read_acks(params.get_acks()?)?);
        Ok(())
    }
}

fn take_push(node: &Rc<SpreadNode>, update: ConfigUpdate, origin: VersionOrigin, from: &str) {
    let (version, mark) = (update.version, root_mark(&update.root_hash));
    let newest = node.held.newest();
    let is_first = node.note_push(version, &origin);
    if version == newest.version() && mark == root_mark(&newest.root.hash()) && is_first {
        // The version already came from a watch or a reconciliation; the children in this tree
        // still lack it.
        return node.pass_along(update.base, newest, origin);
    }
    if version <= newest.version() || node.held.is_refused(version, mark) {
        return;
    }
    match apply_update(&newest, update) {
        Ok(snapshot) => drop(node.offer(snapshot, from, origin)),
        // The base is not held here, usually after a pause, so the difference is fetched instead.
        Err(err) => {
            log::debug!("spread: cannot apply a push from {from}: {err}.");
            node.want(FetchWant { version, mark, from: from.to_owned(), origin });
        }
    }
}

async fn answer_fetch(
    node: &Rc<SpreadNode>,
    request: fetch_request::Reader<'_>,
    mut answer: fetch_answer::Builder<'_>,
) -> Result<(), Error> {
    if request.get_held() >= node.held.newest_mark().0 {
        answer.set_same(());
        return Ok(());
    }
    let place = tokio::time::timeout(PLACE_WAIT, node.places.clone().acquire_owned()).await;
    let Ok(Ok(place)) = place else {
        node.stats.count_refused();
        answer.set_busy_millis(jittered(BUSY_PAUSE).as_millis() as u32);
        return Ok(());
    };
    let Some(update) = make_answer(node, request, &node.held.newest())? else {
        answer.set_need_trees(());
        return Ok(());
    };
    node.stats.count_served();
    codec::write_update(&update, answer.reborrow().init_update())?;
    let size = answer.reborrow().into_reader().total_size()?;
    if size.word_count > SMALL_WORDS {
        answer.set_ticket(capnp_rpc::new_client(TicketServer::new(place)));
    }
    node.stats.sent(CallKind::Fetch, size);
    Ok(())
}

/// Makes the smallest update that the receiver can apply: a delta if its base is kept here, else
/// the subtrees that it lacks. Returns `None` if the receiver has to send its subtree hashes
/// first.
fn make_answer(
    node: &SpreadNode,
    request: fetch_request::Reader<'_>,
    newest: &ConfigSnapshot,
) -> Result<Option<ConfigUpdate>, Error> {
    let mark = request.get_held_mark();
    let base = node.held.base(request.get_held());
    let base = base.filter(|base| root_mark(&base.root.hash()) == mark);
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
    _place: Rc<RefCell<Option<OwnedSemaphorePermit>>>,
}

impl TicketServer {
    fn new(place: OwnedSemaphorePermit) -> Self {
        let place = Rc::new(RefCell::new(Some(place)));
        let held = Rc::downgrade(&place);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(PLACE_TIMEOUT).await;
            if let Some(place) = held.upgrade() {
                place.take();
            }
        });
        Self { _place: place }
    }
}

impl ticket::Server for TicketServer {}
