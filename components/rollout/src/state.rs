//! State of all orders at one daemon, as plain data.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use sk_decide::rollout::{RollbackReason, RolloutPhase, RolloutStage};
use sk_model::ProxyId;
use tokio::time::Instant;

use crate::{
    orders::{OrderBook, OrderId, OrderState, RolloutOrder},
    records::{EvidenceRecord, GroupCounts, RelayBeat, StageRecord},
    versions::{VersionTable, admitted_versions},
    view::{ActiveOrder, RolloutView, ServiceView},
    wire::RolloutNotice,
};

/// Time without a sign of life of any relay after which a daemon sends nothing to a target version.
const MAX_SILENCE: Duration = Duration::from_secs(3);
/// Time that a notice may take from a relay to this daemon. The time of reading is taken as so much
/// earlier, because it must not be later than the true one.
const TRANSIT_MARGIN: Duration = Duration::from_millis(300);
/// Time after which the beat of a relay that has gone is forgotten.
const BEAT_RETENTION: Duration = Duration::from_secs(60);
/// Stages that are kept. Those of the oldest orders are dropped first.
const MAX_STAGES: usize = 256;

/// A beat and when it was sent, on this daemon's clock.
#[derive(Clone, Debug)]
struct HeardBeat {
    beat: RelayBeat,
    sent_at: Instant,
    read_at: Option<Instant>,
}

/// Key of a guard's evidence.
pub(crate) type EvidenceKey = (OrderId, ProxyId, u64);

/// Keys of records that changed since they were last sent on.
#[derive(Debug, Default)]
struct ChangedKeys {
    book: bool,
    beats: BTreeSet<ProxyId>,
    stages: BTreeSet<OrderId>,
    evidence: BTreeSet<EvidenceKey>,
}

/// State of all orders at one daemon.
#[derive(Debug, Default)]
pub(crate) struct RolloutState {
    book: Option<OrderBook>,
    beats: BTreeMap<ProxyId, HeardBeat>,
    stages: BTreeMap<OrderId, StageRecord>,
    evidence: BTreeMap<EvidenceKey, EvidenceRecord>,
    /// Counts from before a restart of all daemons, at relays only.
    pub(crate) stored: BTreeMap<OrderId, GroupCounts>,
    pub(crate) versions: VersionTable,
    /// When each order became known here.
    first_known: BTreeMap<OrderId, Instant>,
    changed: ChangedKeys,
}

impl RolloutState {
    /// Returns the orders known.
    pub(crate) fn orders(&self) -> &[RolloutOrder] {
        self.book.as_ref().map_or(&[], |book| &book.orders)
    }

    /// Returns the stage of an order.
    pub(crate) fn stage(&self, order: &str) -> Option<&StageRecord> {
        self.stages.get(order)
    }

    /// Returns the evidence of an order.
    pub(crate) fn evidence_of<'a>(
        &'a self,
        order: &'a str,
    ) -> impl Iterator<Item = &'a EvidenceRecord> {
        self.evidence.values().filter(move |record| record.order == order)
    }

    /// Returns the evidence of all orders.
    pub(crate) fn all_evidence(&self) -> impl Iterator<Item = &EvidenceRecord> {
        self.evidence.values()
    }

    /// Returns the order that holds for a service: the one whose object was created last.
    pub(crate) fn newest_order(&self, service: &str) -> Option<&RolloutOrder> {
        let of_service = self.orders().iter().filter(|order| order.service == service);
        of_service.max_by_key(|order| (order.created, order.revision))
    }

    /// Returns the order that holds for each service.
    pub(crate) fn newest_orders(&self) -> impl Iterator<Item = &RolloutOrder> {
        let services: BTreeSet<&str> =
            self.orders().iter().map(|order| order.service.as_str()).collect();
        services.into_iter().filter_map(|service| self.newest_order(service))
    }

    /// Returns whether an order is neither ended in the store nor in its stage.
    pub(crate) fn is_running(&self, order: &RolloutOrder) -> bool {
        let is_final = |record: &StageRecord| record.stage.is_final();
        !order.is_ended() && !self.stage(&order.id()).is_some_and(is_final)
    }

    /// Returns the time as of which the orders are known.
    pub(crate) fn read_at(&self) -> Option<Instant> {
        self.beats.values().filter_map(|heard| heard.read_at).max()
    }

    /// Returns the relays heard of within the last seconds.
    pub(crate) fn live_relays(&self, now: Instant) -> impl Iterator<Item = &ProxyId> {
        let live = self
            .beats
            .iter()
            .filter(move |(_, heard)| now.saturating_duration_since(heard.sent_at) < MAX_SILENCE)
            .filter(|(_, heard)| !heard.beat.is_last);
        live.map(|(relay, _)| relay)
    }

    /// Returns for how long an order has been known here.
    pub(crate) fn known_for(&self, order: &str, now: Instant) -> Duration {
        let since = self.first_known.get(order).copied().unwrap_or(now);
        now.saturating_duration_since(since)
    }

    /// Takes over the orders read from the store, and returns whether anything changed.
    pub(crate) fn merge_book(&mut self, book: &OrderBook, now: Instant) -> bool {
        if self.book.as_ref().is_some_and(|held| held.position >= book.position) {
            return false;
        }
        let is_changed = self.book.as_ref().is_none_or(|held| held.orders != book.orders);
        self.book = Some(book.clone());
        let ids: BTreeSet<OrderId> = book.orders.iter().map(RolloutOrder::id).collect();
        self.first_known.retain(|id, _| ids.contains(id));
        for id in ids {
            self.first_known.entry(id).or_insert(now);
        }
        self.changed.book |= is_changed;
        if is_changed {
            self.end_missing();
        }
        is_changed
    }

    /// Records a state that was written to the store, before the store's own notification arrives.
    pub(crate) fn record_written(&mut self, written: &RolloutOrder, state: OrderState) {
        let Some(book) = &mut self.book else { return };
        let orders = book.orders.iter_mut();
        for order in orders.filter(|order| order.id() == written.id()) {
            order.state = Some(state);
        }
        self.end_missing();
    }

    /// Records the revision at which an order was found, for the next write of its state.
    pub(crate) fn record_revision(&mut self, found: &RolloutOrder) {
        let Some(book) = &mut self.book else { return };
        for order in book.orders.iter_mut().filter(|order| order.id() == found.id()) {
            order.revision = order.revision.max(found.revision);
        }
    }

    /// Ends the stages of orders that are deleted, replaced or ended in the store. The target
    /// version of such an order must not go on with its share.
    fn end_missing(&mut self) {
        let orders: BTreeMap<OrderId, Option<OrderState>> =
            self.orders().iter().map(|order| (order.id(), order.state)).collect();
        let mut ended = Vec::new();
        for (id, record) in &self.stages {
            let end = match orders.get(id) {
                _ if record.stage.is_final() => continue,
                None => (rolled_back(), "the order was deleted or replaced"),
                Some(Some(OrderState::RolledBack)) => {
                    (rolled_back(), "the store says that it is rolled back")
                }
                Some(Some(OrderState::Done)) => (finished(), "the store says that it is done"),
                Some(_) => continue,
            };
            ended.push((id.clone(), end));
        }
        for (id, (stage, note)) in ended {
            self.advance(&id, stage, Some(note.to_owned()));
        }
    }

    /// Advances an order to a stage, and returns whether that changed it.
    pub(crate) fn advance(&mut self, id: &str, stage: RolloutStage, note: Option<String>) -> bool {
        let Some(record) = self.stages.get(id) else { return false };
        let next = StageRecord { stage, note: note.or(record.note.clone()), ..record.clone() };
        self.merge_stage(&next)
    }

    /// Merges a stage, and returns whether anything changed.
    pub(crate) fn merge_stage(&mut self, other: &StageRecord) -> bool {
        let before = self.stages.get(&other.order).map(|record| record.stage);
        let is_changed = match self.stages.get_mut(&other.order) {
            Some(record) => record.merge(other),
            None => {
                self.stages.insert(other.order.clone(), other.clone());
                true
            }
        };
        if !is_changed {
            return false;
        }
        self.changed.stages.insert(other.order.clone());
        let record = &self.stages[&other.order];
        if before != Some(record.stage) {
            log::info!(
                order:% = record.order, service:% = record.service, target:% = record.target,
                share = record.stage.share_thousandths, servers = record.stage.servers,
                reason:% = record.reason().unwrap_or_default();
                "rollout: the order is {}.", record.stage.phase
            );
        }
        while self.stages.len() > MAX_STAGES {
            let oldest = self.stages.values().min_by_key(|record| record.created);
            let Some(oldest) = oldest.map(|record| record.order.clone()) else { break };
            self.stages.remove(&oldest);
        }
        true
    }

    /// Merges the evidence of a guard, and returns whether anything changed.
    pub(crate) fn merge_evidence(&mut self, record: &EvidenceRecord) -> bool {
        let key = (record.order.clone(), record.daemon.clone(), record.incarnation);
        if self.evidence.get(&key).is_some_and(|held| held.sequence >= record.sequence) {
            return false;
        }
        self.evidence.insert(key.clone(), record.clone());
        self.changed.evidence.insert(key);
        true
    }

    /// Returns the last evidence of a guard.
    pub(crate) fn own_evidence(&self, key: &EvidenceKey) -> Option<&EvidenceRecord> {
        self.evidence.get(key)
    }

    /// Merges the beat of a relay, and returns whether it is new.
    pub(crate) fn merge_beat(&mut self, beat: &RelayBeat, now: Instant) -> bool {
        let rank = |beat: &RelayBeat| (beat.incarnation, beat.sequence);
        if self.beats.get(&beat.relay).is_some_and(|held| rank(&held.beat) >= rank(beat)) {
            return false;
        }
        let before = |age: u64| now.checked_sub(Duration::from_millis(age));
        let Some(sent_at) = before(beat.age_ms) else { return false };
        let read_at = beat.read_age_ms.and_then(before);
        let read_at = read_at.and_then(|read_at| read_at.checked_sub(TRANSIT_MARGIN));
        let heard = HeardBeat { beat: beat.clone(), sent_at, read_at };
        self.beats.insert(beat.relay.clone(), heard);
        self.changed.beats.insert(beat.relay.clone());
        true
    }

    /// Merges a notice, and returns whether anything changed.
    pub(crate) fn merge(&mut self, notice: &RolloutNotice, now: Instant) -> bool {
        let mut is_changed = false;
        // Stages come first: an order that the book does not list any more ends its stage.
        for record in &notice.stages {
            is_changed |= self.merge_stage(record);
        }
        if let Some(book) = &notice.book {
            is_changed |= self.merge_book(book, now);
        }
        for beat in &notice.beats {
            is_changed |= self.merge_beat(beat, now);
        }
        for record in &notice.evidence {
            is_changed |= self.merge_evidence(record);
        }
        is_changed
    }

    /// Takes what changed since the last call.
    pub(crate) fn take_changed(&mut self, now: Instant) -> RolloutNotice {
        let changed = std::mem::take(&mut self.changed);
        RolloutNotice {
            book: self.book.clone().filter(|_| changed.book),
            beats: self.encode_beats(now, |relay| changed.beats.contains(relay)),
            stages: changed.stages.iter().filter_map(|id| self.stages.get(id).cloned()).collect(),
            evidence: changed
                .evidence
                .iter()
                .filter_map(|key| self.evidence.get(key).cloned())
                .collect(),
        }
    }

    /// Returns everything, for a daemon that may know nothing.
    pub(crate) fn all(&self, now: Instant) -> RolloutNotice {
        RolloutNotice {
            book: self.book.clone(),
            beats: self.encode_beats(now, |_| true),
            stages: self.stages.values().cloned().collect(),
            evidence: self.evidence.values().cloned().collect(),
        }
    }

    fn encode_beats(&self, now: Instant, is_wanted: impl Fn(&ProxyId) -> bool) -> Vec<RelayBeat> {
        let age = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        let encode = |heard: &HeardBeat| RelayBeat {
            age_ms: age(heard.sent_at),
            read_age_ms: heard.read_at.map(age),
            ..heard.beat.clone()
        };
        let wanted = self.beats.iter().filter(|(relay, _)| is_wanted(relay));
        wanted.map(|(_, heard)| encode(heard)).collect()
    }

    /// Forgets what is of no use any more.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.beats.retain(|_, heard| now.saturating_duration_since(heard.sent_at) < BEAT_RETENTION);
        if let Some(book) = &self.book
            && !self.evidence.is_empty()
        {
            let known: BTreeSet<OrderId> = book.orders.iter().map(RolloutOrder::id).collect();
            self.evidence.retain(|(order, ..), _| known.contains(order));
        }
    }

    /// Returns the rules for the request path.
    pub(crate) fn view(&self, now: Instant) -> RolloutView {
        let is_silent = self.live_relays(now).next().is_none();
        let read_at = self.read_at();
        let mut services: BTreeSet<&String> = self.stages.values().map(|it| &it.service).collect();
        services.extend(self.orders().iter().map(|order| &order.service));
        services.extend(
            self.versions
                .services()
                .filter(|(_, versions)| versions.len() > 1)
                .map(|(service, _)| service),
        );
        let views = services.into_iter().map(|service| {
            let versions = self.versions.of_service(service);
            let admitted = versions.map(|versions| admitted_versions(versions, read_at, now));
            let view = ServiceView {
                admitted: admitted.unwrap_or_default(),
                blocked: self.blocked_versions(service),
                order: self.active_order(service, is_silent),
            };
            (service.clone(), Arc::new(view))
        });
        RolloutView { is_enabled: true, services: views.collect() }
    }

    /// Returns the running order of a service as the request path applies it.
    fn active_order(&self, service: &str, is_silent: bool) -> Option<ActiveOrder> {
        let order = self.newest_order(service).filter(|order| self.is_running(order))?;
        let record = self.stage(&order.id());
        let stage = record.map(|record| record.stage).filter(|_| !is_silent);
        Some(ActiveOrder {
            id: order.id(),
            target: order.target.clone(),
            phase: stage.map(|stage| stage.phase),
            share: stage.map_or(0.0, |stage| stage.share()),
            servers: stage.map_or(0, |stage| stage.servers),
            has_base: record.is_some_and(|record| !record.base.is_empty()),
        })
    }

    /// Returns the versions of a service that get nothing: targets of orders that were rolled back,
    /// and those that an order which is done has replaced. The newest order that names a version
    /// counts.
    fn blocked_versions(&self, service: &str) -> BTreeSet<String> {
        let mut decided = BTreeSet::new();
        let mut blocked = BTreeSet::new();
        if let Some(order) = self.newest_order(service) {
            decided.insert(order.target.as_str());
            let phase = self.stage(&order.id()).map(|record| record.stage.phase);
            let is_rolled_back = matches!(phase, Some(RolloutPhase::RolledBack(_)));
            if is_rolled_back || order.state == Some(OrderState::RolledBack) {
                blocked.insert(order.target.clone());
            }
        }
        let mut records: Vec<&StageRecord> =
            self.stages.values().filter(|record| record.service == service).collect();
        records.sort_by_key(|record| std::cmp::Reverse((record.created, record.started_at)));
        for record in records {
            let is_new = decided.insert(record.target.as_str());
            match record.stage.phase {
                RolloutPhase::RolledBack(_) if is_new => {
                    blocked.insert(record.target.clone());
                }
                RolloutPhase::Finished => {
                    for version in &record.base {
                        if decided.insert(version) {
                            blocked.insert(version.clone());
                        }
                    }
                }
                _ => {}
            }
        }
        blocked
    }
}

/// Returns the stage of an order that ends for a reason outside the decision.
pub(crate) fn rolled_back() -> RolloutStage {
    let phase = RolloutPhase::RolledBack(RollbackReason::TooLittleEvidence);
    RolloutStage { phase, share_thousandths: 0, servers: 0 }
}

/// Returns the stage of an order that is done.
pub(crate) fn finished() -> RolloutStage {
    RolloutStage { phase: RolloutPhase::Finished, share_thousandths: 1000, servers: 0 }
}
