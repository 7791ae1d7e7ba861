//! Links to the neighbours in the overlay: heartbeats, and rumors (changed records and suspicions)
//! sent as they arise. Without links every change of a record would have to wait for a periodic
//! reconciliation.

use std::{
    collections::BTreeSet,
    hash::{DefaultHasher, Hash, Hasher},
    rc::Rc,
    time::Duration,
};

use capnp::{Error, ErrorKind};
use sk_member::{FreshnessProof, MemberSnapshot, OverlayPlan};
use sk_model::ProxyId;
use tokio::time::Instant;

use crate::{
    backoff::jittered,
    link_table::LinkState,
    node::{CALL_TIMEOUT, SpreadNode},
    peer_capnp::{beat, peer},
    state::CallKind,
};

/// Pause before links are planned again after members changed. A fleet restart changes them
/// hundreds of times a second, and a plan for 780 daemons takes milliseconds.
const REPLAN_PAUSE: Duration = Duration::from_millis(250);
/// Time in which rumors are batched before they are sent. One hop then takes about as long, and
/// the 6 to 8 hops of a large fleet stay far below the 3 s within which a change must be known.
const RUMOR_BATCH_PAUSE: Duration = Duration::from_millis(25);
/// Maximum number of rumors in one message; about 16 kB.
const MAX_RUMORS_PER_MESSAGE: usize = 64;
/// Consecutive heartbeats with a different digest before records are reconciled. Rumors in transit
/// make digests differ for a moment, and an immediate reconciliation would send the same records
/// twice.
const MAX_DIGEST_MISMATCHES: u32 = 2;
/// Wire value of the source's age in a heartbeat if the sender does not know it.
const UNKNOWN_AGE: u32 = u32::MAX;

impl SpreadNode {
    /// Returns the names of all linked neighbours.
    pub(crate) fn link_names(&self) -> BTreeSet<ProxyId> {
        self.links.borrow().links.keys().cloned().collect()
    }

    /// Reports to the monitor that the connection to a peer ended without this side closing it.
    pub(crate) fn record_connection_lost(&self, proxy: &str) {
        let mut link_table = self.links.borrow_mut();
        let now = link_table.now();
        link_table.monitor.record_reset(proxy, now);
    }

    /// Reports to the monitor that a peer was heard from.
    fn record_alive(&self, proxy: &str) {
        let mut link_table = self.links.borrow_mut();
        let now = link_table.now();
        link_table.monitor.record_heard(proxy, now);
    }

    /// Writes this daemon's heartbeat: its version, member digest, readiness and freshness proof.
    pub(crate) fn write_beat(&self, mut builder: beat::Builder<'_>) {
        let (version, hash_prefix) = self.config.newest_id();
        builder.set_version(version);
        builder.set_root_hash(hash_prefix);
        builder.set_members(self.member_hash());
        builder.set_is_ready(self.config.is_ready());
        if let Some(proof) = self.freshness.borrow().proof() {
            let age = self.started_at.elapsed().saturating_sub(proof.polled_at);
            builder.set_source_age_millis(u32::try_from(age.as_millis()).unwrap_or(UNKNOWN_AGE));
            builder.set_looker(proof.poller);
            builder.set_history(proof.history);
        }
    }

    /// Handles a peer's heartbeat and returns whether its records are the same as here.
    /// `written_after` is the latest known moment before the peer wrote it.
    pub(crate) fn handle_beat(
        self: &Rc<Self>,
        proxy: &str,
        beat: beat::Reader<'_>,
        written_after: Instant,
    ) -> bool {
        self.record_alive(proxy);
        self.adopt_proof(beat, written_after);
        self.record_version(proxy, beat.get_version(), beat.get_root_hash());
        beat.get_members() == self.member_hash()
    }

    /// Adopts a peer's freshness proof. The proof says that the peer's version was the newest one,
    /// so it is also valid here if this daemon holds that version or a later one. The heartbeat's
    /// `looker` is the hashed name of the daemon that read the source, and `history` the position
    /// in the source's history known to it.
    fn adopt_proof(&self, beat: beat::Reader<'_>, written_after: Instant) {
        let age = Duration::from_millis(beat.get_source_age_millis().into());
        let is_known = beat.get_source_age_millis() != UNKNOWN_AGE;
        let is_held = beat.get_version() <= self.config.newest_id().0;
        let written_after = written_after.saturating_duration_since(self.started_at);
        if let (true, Some(polled_at)) = (is_known && is_held, written_after.checked_sub(age)) {
            let (poller, history) = (beat.get_looker(), beat.get_history());
            self.record_proof(FreshnessProof { poller, polled_at, history });
        }
    }

    /// Folds the digest of all records into one number.
    fn member_hash(&self) -> u64 {
        let digest = self.members.update(|table| table.digest().clone(), |_| false);
        let fold = |hash: u64, bucket: &u64| hash.rotate_left(7).wrapping_add(*bucket);
        digest.buckets().iter().fold(0, fold)
    }
}

/// Plans the links again whenever members join or leave.
pub(crate) async fn maintain_links(node: &Rc<SpreadNode>) {
    let mut snapshots = node.members.subscribe();
    let mut planned_hash = None;
    loop {
        let members = snapshots.borrow_and_update().clone();
        let hash = Some(membership_hash(&members));
        // A leaving daemon is in no plan, including its own. It keeps its links, which may still
        // have to carry the rumor of its leaving.
        if planned_hash != hash && node.members.own().is_active() {
            planned_hash = hash;
            plan_links(node, &members);
        }
        if snapshots.changed().await.is_err() {
            return;
        }
        tokio::time::sleep(REPLAN_PAUSE).await;
    }
}

/// Hashes the parts of a snapshot that determine the plan of the links.
fn membership_hash(members: &MemberSnapshot) -> u64 {
    let mut hasher = DefaultHasher::new();
    for record in members.values().filter(|record| record.is_active()) {
        (&record.proxy, &record.data_centre, &record.region).hash(&mut hasher);
    }
    hasher.finish()
}

/// Replaces the links by those of the current overlay plan, and starts a task for each new one.
fn plan_links(node: &Rc<SpreadNode>, members: &MemberSnapshot) {
    let plan = OverlayPlan::new(members);
    let opened_links: BTreeSet<ProxyId> = plan.opened_links(&node.own_name).into_iter().collect();
    let neighbours: BTreeSet<ProxyId> = plan.neighbours(&node.own_name).cloned().collect();
    let mut link_table = node.links.borrow_mut();
    let now = link_table.now();
    link_table.monitor.set_neighbours(neighbours.iter().cloned(), now);
    let is_kept = |proxy: &ProxyId, link: &LinkState| {
        neighbours.contains(proxy) && link.is_initiator == opened_links.contains(proxy)
    };
    let links = std::mem::take(&mut link_table.links);
    for (proxy, link) in links {
        if is_kept(&proxy, &link) {
            link_table.links.insert(proxy, link);
        } else {
            link_table.rumors.remove_link(&proxy);
            link.wakeup.notify_one();
        }
    }
    for proxy in neighbours {
        if !link_table.links.contains_key(&proxy) {
            link_table.rumors.add_link(proxy.clone());
            let is_initiator = opened_links.contains(&proxy);
            let link = Rc::new(LinkState::new(is_initiator));
            link_table.links.insert(proxy.clone(), link.clone());
            tokio::task::spawn_local(run_link(node.clone(), proxy, link));
        }
    }
    node.stats.set_links(link_table.links.keys().cloned().collect());
}

/// Runs one link until the plan no longer contains it: sends heartbeats and rumors, and reconciles
/// records where the digests stay different or rumors were lost.
async fn run_link(node: Rc<SpreadNode>, proxy: ProxyId, link: Rc<LinkState>) {
    let is_current = || {
        let link_table = node.links.borrow();
        link_table.links.get(&proxy).is_some_and(|current| Rc::ptr_eq(current, &link))
    };
    // Rumors from before the link's start are in no queue for it.
    let mut needs_repair = link.is_initiator;
    let mut mismatches = 0;
    let mut next_beat = Instant::now();
    while is_current() {
        let is_due = link.is_initiator && Instant::now() >= next_beat;
        if link.is_beat_requested.take() || is_due {
            next_beat = Instant::now() + jittered(node.options.heartbeat);
            match send_beat(&node, &proxy).await {
                Ok(true) => mismatches = 0,
                Ok(false) => mismatches += 1,
                Err(err) => record_beat_failure(&node, &proxy, &err),
            }
        }
        send_pending(&node, &proxy).await;
        needs_repair |= node.links.borrow_mut().rumors.take_digest_request(&proxy);
        if needs_repair || mismatches >= MAX_DIGEST_MISMATCHES {
            let call = async |peer| node.reconcile(&proxy, peer).await;
            needs_repair = node.call(&proxy, CALL_TIMEOUT, call).await.is_err();
            mismatches = 0;
        }
        // A link whose heartbeats the other side sends, and that needs no repair, waits for rumors
        // only.
        let is_idle = !link.is_initiator && !needs_repair;
        let next_repair = Instant::now() + node.options.heartbeat;
        tokio::select! {
            () = link.wakeup.notified() => tokio::time::sleep(RUMOR_BATCH_PAUSE).await,
            () = tokio::time::sleep_until(next_beat), if link.is_initiator => (),
            () = tokio::time::sleep_until(next_repair), if !link.is_initiator && !is_idle => (),
        }
    }
}

/// Sends a heartbeat and returns whether the peer's records are the same.
async fn send_beat(node: &Rc<SpreadNode>, proxy: &str) -> Result<bool, Error> {
    let call = async |peer: peer::Client| {
        let mut request = peer.beat_request();
        node.write_beat(request.get().init_beat());
        let sent_at = Instant::now();
        node.stats.sent(CallKind::Beat, request.get().into_reader().total_size()?);
        let response = request.send().promise.await?;
        let response = response.get()?;
        node.stats.received(CallKind::Beat, response.total_size()?);
        Ok(node.handle_beat(proxy, response.get_beat()?, sent_at))
    };
    node.call(proxy, CALL_TIMEOUT, call).await
}

/// Reports a failed heartbeat to the monitor if the connection was refused or reset, which shows
/// at once that the process ended. After a timeout the monitor detects the silence itself.
fn record_beat_failure(node: &SpreadNode, proxy: &str, err: &Error) {
    log::debug!("spread: heartbeat to {proxy} failed: {err}.");
    if err.kind == ErrorKind::Disconnected {
        node.record_connection_lost(proxy);
    }
}

/// Sends pending rumors in batches. Failed batches are replaced by a reconciliation.
async fn send_pending(node: &Rc<SpreadNode>, proxy: &ProxyId) {
    loop {
        let rumors = node.links.borrow_mut().rumors.take(proxy, MAX_RUMORS_PER_MESSAGE);
        if rumors.is_empty() {
            return;
        }
        let call = async |peer| node.send_rumors(peer, rumors).await;
        if let Err(err) = node.call(proxy, CALL_TIMEOUT, call).await {
            log::debug!("spread: rumors to {proxy} failed: {err}.");
            return node.links.borrow_mut().rumors.request_digest(proxy);
        }
    }
}
