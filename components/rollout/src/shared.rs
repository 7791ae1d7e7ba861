//! State of all orders, shared by the parts of a daemon.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use arc_swap::ArcSwap;
use serde::{Deserialize, Serialize};
use sk_decide::rollout::RolloutPhase;
use sk_member::{EndpointRecord, MemberRecord};
use sk_model::ProxyId;
use tokio::{sync::watch, time::Instant};

use crate::{
    counts::{GuardVerdict, OrderCounter, OrderCounts},
    orders::{OrderBook, OrderId, OrderState, RolloutOrder},
    records::{EvidenceRecord, GroupCounts, RelayBeat, STAGE_ENDED, StageRecord, compact},
    state::RolloutState,
    view::RolloutView,
    wire,
};

/// Orders, stages and evidence at one daemon. Where the settings have no roll-outs, nothing is ever
/// recorded and the request path reads one empty view.
#[derive(Default)]
pub struct SharedRollouts {
    is_enabled: bool,
    state: Mutex<RolloutState>,
    view: ArcSwap<RolloutView>,
    /// Counts changes of the view, for those who apply it.
    view_changes: watch::Sender<u64>,
    /// Counts changes of the state, for its distribution.
    revision: AtomicU64,
    counts: Mutex<BTreeMap<OrderId, Arc<OrderCounts>>>,
}

/// An order for an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrderReport {
    /// The order.
    pub order: RolloutOrder,
    /// How far it has come, `None` while no relay has decided anything.
    pub stage: Option<StageRecord>,
    /// Phase in words.
    pub phase: String,
    /// Why it ended, `None` while it runs.
    pub reason: Option<String>,
    /// Requests sent to servers of the service since the order.
    pub sent: u64,
    /// Requests among them that were sent to the target version.
    pub sent_to_target: u64,
    /// Answers and failures of the target version and of the others, by kind of work.
    pub by_work: BTreeMap<String, [WorkCounts; 2]>,
}

/// Answers of a group for one kind of work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkCounts {
    /// Answers.
    pub answers: u64,
    /// Failures among them.
    pub failures: u64,
}

impl SharedRollouts {
    /// Creates the state of a daemon whose settings have roll-outs.
    pub fn new() -> Self {
        let view = RolloutView { is_enabled: true, ..RolloutView::default() };
        Self { is_enabled: true, view: ArcSwap::from_pointee(view), ..Self::default() }
    }

    /// Returns whether the settings have roll-outs.
    pub fn is_enabled(&self) -> bool {
        self.is_enabled
    }

    /// Returns the rules for the request path.
    pub fn view(&self) -> Arc<RolloutView> {
        self.view.load_full()
    }

    /// Returns a receiver of changes of the view.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.view_changes.subscribe()
    }

    /// Returns a number that grows with each change of what is distributed.
    pub fn revision(&self) -> u64 {
        self.revision.load(Ordering::Acquire)
    }

    /// Takes over the members, and what has changed with time.
    pub fn observe<'a>(&self, members: impl Iterator<Item = &'a MemberRecord>, now: Instant) {
        if self.is_enabled {
            let mut state = self.lock();
            state.versions.observe(members, now);
            state.expire(now);
            self.publish(&state, now);
        }
    }

    /// Takes over the orders read from the store.
    pub fn merge_book(&self, book: &OrderBook, now: Instant) {
        self.change(now, |state| state.merge_book(book, now));
    }

    /// Records a beat of this daemon as relay.
    pub fn merge_beat(&self, beat: &RelayBeat, now: Instant) {
        self.change(now, |state| state.merge_beat(beat, now));
    }

    /// Takes over a stage.
    pub fn merge_stage(&self, record: &StageRecord, now: Instant) {
        self.change(now, |state| state.merge_stage(record));
    }

    /// Takes over the counts of an order from before a restart.
    pub fn set_stored(&self, order: &str, counts: GroupCounts) {
        self.lock().stored.insert(order.to_owned(), counts);
    }

    /// Records a state that was written to the store.
    pub fn record_written(&self, order: &RolloutOrder, state: OrderState) {
        self.lock().record_written(order, state);
    }

    /// Records the revision at which an order was found.
    pub fn record_revision(&self, order: &RolloutOrder) {
        self.lock().record_revision(order);
    }

    /// Returns the orders known.
    pub fn orders(&self) -> Vec<RolloutOrder> {
        self.lock().orders().to_vec()
    }

    /// Returns the stage of an order.
    pub fn stage(&self, order: &str) -> Option<StageRecord> {
        self.lock().stage(order).cloned()
    }

    /// Returns whether anything needs frequent beats: a running order, or a service with several
    /// versions.
    pub fn is_busy(&self) -> bool {
        let state = self.lock();
        state.orders().iter().any(|order| state.is_running(order) || !order.is_ended())
            || state.versions.services().any(|(_, versions)| versions.len() > 1)
    }

    /// Returns whether a relay is the first of those heard of lately, which acts for all.
    pub fn is_first_relay(&self, own: &ProxyId, now: Instant) -> bool {
        self.lock().live_relays(now).min().is_none_or(|first| first == own)
    }

    /// Merges a notice, and returns whether it could be decoded.
    pub fn merge_notice(&self, body: &[u8]) -> bool {
        let Some(notice) = wire::decode(body) else { return false };
        let now = Instant::now();
        match notice.affects_view() {
            _ if !self.is_enabled => {}
            true => self.change(now, |state| state.merge(&notice, now)),
            false => self.change_counts(|state| state.merge(&notice, now)),
        }
        true
    }

    /// Takes the notice of what changed since the last call.
    pub fn encode_changed(&self) -> Option<Vec<u8>> {
        let notice = self.lock().take_changed(Instant::now());
        wire::encode(notice)
    }

    /// Returns the notice of everything.
    pub fn encode_all(&self) -> Option<Vec<u8>> {
        let notice = self.lock().all(Instant::now());
        wire::encode(notice)
    }

    /// Decides at the guard on a request for a local server. Without rules for its service this
    /// reads the view only.
    pub fn check_request(
        &self,
        service: &str,
        read_version: impl FnOnce() -> Option<String>,
    ) -> GuardVerdict {
        let view = self.view.load();
        let Some(rules) = view.service(service) else { return GuardVerdict::Unrestricted };
        if !rules.blocked.is_empty()
            && read_version().is_some_and(|version| rules.blocked.contains(&version))
        {
            return GuardVerdict::Refused;
        }
        match &rules.order {
            Some(order) => GuardVerdict::Counted(OrderCounter(self.counts_of(&order.id))),
            None => GuardVerdict::Unrestricted,
        }
    }

    /// Records what this daemon's guard has counted for the orders of its servers, if it differs
    /// from the last record. `running` is the number of requests open at the guard.
    pub fn record_evidence(
        &self,
        daemon: &ProxyId,
        incarnation: u64,
        endpoints: &[EndpointRecord],
        running: usize,
    ) {
        let orders: Vec<RolloutOrder> =
            self.orders().into_iter().filter(|order| !order.is_ended()).collect();
        let ids: Vec<OrderId> = orders.iter().map(RolloutOrder::id).collect();
        self.lock_counts().retain(|id, _| ids.contains(id));
        for order in orders {
            let own = endpoints.iter().find(|endpoint| endpoint.service == order.service);
            let Some(endpoint) = own else { continue };
            let counts = self.counts_of(&order.id());
            let stage = self.stage(&order.id()).map(|record| record.stage);
            let mut record = EvidenceRecord {
                order: order.id(),
                daemon: daemon.clone(),
                incarnation,
                sequence: 0,
                server: endpoint.server.clone(),
                version: endpoint.version.clone(),
                sent: counts.sent(),
                running: running as u32,
                stage_known: match stage {
                    Some(stage) if stage.is_final() => STAGE_ENDED,
                    Some(stage) => stage.share_thousandths,
                    None => 0,
                },
                work: compact(&counts.evidence()),
            };
            let key = (record.order.clone(), daemon.clone(), incarnation);
            self.change_counts(|state| {
                let held = state.own_evidence(&key);
                record.sequence = held.map_or(0, |held| held.sequence);
                if held == Some(&record) {
                    return false;
                }
                record.sequence += 1;
                state.merge_evidence(&record)
            });
        }
    }

    /// Returns all orders for an operator.
    pub fn reports(&self) -> Vec<OrderReport> {
        let state = self.lock();
        state.newest_orders().map(|order| make_report(&state, order)).collect()
    }

    /// Applies a change to the state and publishes its effect.
    fn change(&self, now: Instant, change: impl FnOnce(&mut RolloutState) -> bool) {
        let mut state = self.lock();
        if change(&mut state) {
            self.revision.fetch_add(1, Ordering::AcqRel);
            self.publish(&state, now);
        }
    }

    /// Applies a change to the counts of guards, on which the view does not depend.
    fn change_counts(&self, change: impl FnOnce(&mut RolloutState) -> bool) {
        if change(&mut self.lock()) {
            self.revision.fetch_add(1, Ordering::AcqRel);
        }
    }

    /// Reads the state.
    pub(crate) fn read<T>(&self, read: impl FnOnce(&RolloutState) -> T) -> T {
        read(&self.lock())
    }

    fn publish(&self, state: &RolloutState, now: Instant) {
        let view = state.view(now);
        if **self.view.load() != view {
            self.view.store(Arc::new(view));
            self.view_changes.send_modify(|count| *count += 1);
        }
    }

    fn counts_of(&self, order: &str) -> Arc<OrderCounts> {
        self.lock_counts().entry(order.to_owned()).or_default().clone()
    }

    fn lock_counts(&self) -> MutexGuard<'_, BTreeMap<OrderId, Arc<OrderCounts>>> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, RolloutState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Describes an order for an operator.
fn make_report(state: &RolloutState, order: &RolloutOrder) -> OrderReport {
    let id = order.id();
    let stage = state.stage(&id).cloned();
    let mut report = OrderReport {
        phase: match (&stage, order.state) {
            (Some(record), _) => match record.stage.phase {
                RolloutPhase::RolledBack(_) => "rolled back".to_owned(),
                phase => phase.to_string(),
            },
            (None, Some(OrderState::Done)) => "finished".to_owned(),
            (None, Some(OrderState::RolledBack)) => "rolled back".to_owned(),
            (None, _) => "waiting for a relay".to_owned(),
        },
        reason: stage.as_ref().and_then(StageRecord::reason),
        order: order.clone(),
        stage,
        sent: 0,
        sent_to_target: 0,
        by_work: BTreeMap::new(),
    };
    for record in state.evidence_of(&id) {
        let is_target = record.version == order.target;
        report.sent += record.sent;
        report.sent_to_target += if is_target { record.sent } else { 0 };
        for (work, (answers, failures, _)) in &record.work {
            let groups = report.by_work.entry(format!("{work:x}")).or_default();
            let group = &mut groups[usize::from(!is_target)];
            group.answers += answers;
            group.failures += failures;
        }
    }
    report
}
