//! The relay's part: gathers a sample for each running order, lets the controller decide, and takes
//! over the result.

use std::{
    collections::{BTreeMap, BTreeSet},
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use sk_decide::rollout::{
    RolloutController, RolloutPhase, RolloutSample, RolloutSettings, RolloutStage, RolloutVerdict,
    ServerKey,
};
use sk_model::UnixMillis;
use tokio::time::Instant;

use crate::{
    orders::{OrderId, OrderState, RolloutOrder},
    records::{EvidenceRecord, GroupCounts, STAGE_ENDED, StageRecord, StoredStage, add_stored},
    shared::SharedRollouts,
    state::{RolloutState, finished, rolled_back},
};

/// Time without a request at the old servers after which none is on its way there: longer than a
/// stage takes to reach every daemon.
const QUIET_TIME: Duration = Duration::from_secs(1);
/// Time for which the target version must have been alone at its service, so that servers which
/// this relay does not know yet are not taken for gone.
const ALONE_TIME: Duration = Duration::from_millis(1_500);
/// Time after the end of moving at which guards that do not answer are not waited for any more.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Decides on the orders that are running, at a relay.
pub struct OrderControl {
    settings: RolloutSettings,
    orders: BTreeMap<OrderId, ControlledOrder>,
}

/// What a relay keeps of a running order.
struct ControlledOrder {
    controller: RolloutController,
    /// Requests sent to old servers, and since when there has been none.
    base_sent: u64,
    base_quiet_since: Instant,
    /// Since when the target version is alone.
    alone_since: Option<Instant>,
    finished_at: Option<Instant>,
}

impl OrderControl {
    /// Creates the control of no order.
    pub fn new(settings: RolloutSettings) -> Self {
        Self { settings, orders: BTreeMap::new() }
    }

    /// Begins orders for which no stage is known. `is_checked` tells whether the store is known to
    /// hold none either.
    pub fn begin_orders(
        &self,
        rollouts: &SharedRollouts,
        is_checked: impl Fn(&str) -> bool,
        now: Instant,
        unix_now: UnixMillis,
    ) -> Vec<StoredStage> {
        let orders = rollouts.orders();
        let new = orders.iter().filter(|order| !order.is_ended());
        let new = new.filter(|order| {
            let id = order.id();
            rollouts.stage(&id).is_none() && is_checked(&id)
        });
        let records = new.map(|order| StageRecord {
            order: order.id(),
            service: order.service.clone(),
            target: order.target.clone(),
            created: order.created,
            started_at: unix_now,
            stage: RolloutStage::default(),
            base: Vec::new(),
            note: None,
        });
        let records: Vec<StageRecord> = records.collect();
        records.iter().for_each(|record| rollouts.merge_stage(record, now));
        let stored = |record| StoredStage { record, counts: GroupCounts::default() };
        records.into_iter().map(stored).collect()
    }

    /// Decides on all running orders, and returns the stages that changed. A relay that does not act
    /// only rolls back.
    pub fn decide(
        &mut self,
        rollouts: &SharedRollouts,
        is_acting: bool,
        now: Instant,
        unix_now: UnixMillis,
    ) -> Vec<StoredStage> {
        let running: Vec<RolloutOrder> = rollouts.read(|state| {
            state.orders().iter().filter(|order| state.is_running(order)).cloned().collect()
        });
        let mut changed = Vec::new();
        for order in running {
            let Some(record) = rollouts.stage(&order.id()) else { continue };
            let elapsed = Duration::from_millis(unix_now.saturating_sub(record.started_at));
            let (sample, mut next) =
                rollouts.read(|state| gather(state, &order, &record, now, elapsed));
            let is_newest = rollouts.read(|state| {
                state.newest_order(&order.service).is_some_and(|newest| newest.id() == order.id())
            });
            let controlled = self.control(&order, &record, now);
            let (stage, note) = match is_newest {
                true => controlled.assess(sample.clone(), &record, now),
                false => (rolled_back(), Some("a newer order replaces it".to_owned())),
            };
            let is_rollback = matches!(stage.phase, RolloutPhase::RolledBack(_));
            if !is_acting && !is_rollback {
                continue;
            }
            next.stage = stage;
            next.note = note;
            let is_stage_new = record.stage.merge(stage) != record.stage;
            rollouts.merge_stage(&next, now);
            if let Some(record) = rollouts.stage(&order.id()).filter(|_| is_stage_new) {
                let counts = rollouts.read(|state| sum_counts(state, &order));
                log::info!(
                    order:% = order.id(), elapsed_ms = elapsed.as_millis() as u64,
                    sent = sample.sent, sent_to_target = sample.sent_to_target,
                    base_running = sample.base_running;
                    "rollout: decided that the order is {}.", record.stage
                );
                changed.push(StoredStage { record, counts });
            }
        }
        changed
    }

    /// Returns the states that the store lacks.
    pub fn due_states(
        &mut self,
        rollouts: &SharedRollouts,
        now: Instant,
    ) -> Vec<(RolloutOrder, OrderState)> {
        let mut due = Vec::new();
        for order in rollouts.orders().into_iter().filter(|order| !order.is_ended()) {
            let Some(record) = rollouts.stage(&order.id()) else { continue };
            let state = match record.stage.phase {
                RolloutPhase::RolledBack(_) => OrderState::RolledBack,
                RolloutPhase::Finished => {
                    let controlled = self.control(&order, &record, now);
                    let finished_at = *controlled.finished_at.get_or_insert(now);
                    let is_confirmed =
                        rollouts.read(|state| is_end_confirmed(state, &order, &record));
                    match is_confirmed || now.duration_since(finished_at) >= CONFIRM_TIMEOUT {
                        true => OrderState::Done,
                        false => OrderState::Running,
                    }
                }
                _ => OrderState::Running,
            };
            if order.state != Some(state) {
                due.push((order, state));
            }
        }
        due
    }

    /// Returns what is kept of an order, at its latest stage.
    fn control(
        &mut self,
        order: &RolloutOrder,
        record: &StageRecord,
        now: Instant,
    ) -> &mut ControlledOrder {
        let (settings, duration) = (self.settings, order.duration());
        let controlled = self.orders.entry(order.id()).or_insert_with(|| ControlledOrder {
            controller: RolloutController::resume(settings, duration, record.stage),
            base_sent: 0,
            base_quiet_since: now,
            alone_since: None,
            finished_at: None,
        });
        controlled.controller.advance(record.stage);
        controlled
    }
}

impl ControlledOrder {
    /// Assesses a sample, and returns the stage reached with a note for the operator.
    fn assess(
        &mut self,
        mut sample: RolloutSample,
        record: &StageRecord,
        now: Instant,
    ) -> (RolloutStage, Option<String>) {
        let base_sent = sample.sent - sample.sent_to_target;
        if base_sent != self.base_sent || record.stage.phase != RolloutPhase::Moving {
            self.base_sent = base_sent;
            self.base_quiet_since = now;
        }
        if now.duration_since(self.base_quiet_since) < QUIET_TIME {
            sample.base_running = sample.base_running.max(1);
        }
        let is_alone = sample.base_capacity.servers == 0
            && sample.target_capacity.servers > 0
            && record.base.is_empty();
        self.alone_since = self.alone_since.or(Some(now)).filter(|_| is_alone);
        if self.alone_since.is_some_and(|since| now.duration_since(since) >= ALONE_TIME) {
            return (finished(), Some("the target version already serves alone".to_owned()));
        }
        if is_alone {
            return (record.stage, None);
        }
        let step = self.controller.assess(&sample);
        let mut stage = self.controller.stage();
        if let RolloutVerdict::RollBack(reason) = step.verdict {
            stage.phase = RolloutPhase::RolledBack(reason);
        }
        (stage, None)
    }
}

/// Returns the sample of an order, and its record with the versions seen beside the target version.
fn gather(
    state: &RolloutState,
    order: &RolloutOrder,
    record: &StageRecord,
    now: Instant,
    elapsed: Duration,
) -> (RolloutSample, StageRecord) {
    let is_target = |version: &str| version == order.target;
    let mut sample = RolloutSample {
        elapsed,
        target_capacity: state.versions.capacity(&order.service, now, is_target),
        base_capacity: state.versions.capacity(&order.service, now, |version| !is_target(version)),
        base_running: base_running(state, order),
        ..RolloutSample::default()
    };
    if let Some(stored) = state.stored.get(&order.id()) {
        add_stored(&mut sample.target, &stored.target);
        add_stored(&mut sample.base, &stored.base);
        sample.sent += stored.sent;
        sample.sent_to_target += stored.sent_to_target;
    }
    for counted in state.evidence_of(&order.id()) {
        sample.sent += counted.sent;
        let group = match is_target(&counted.version) {
            true => {
                sample.sent_to_target += counted.sent;
                &mut sample.target
            }
            false => &mut sample.base,
        };
        group.add_server(server_key(&counted.server), &counted.evidence());
    }
    let present = state.versions.of_service(&order.service).into_iter().flat_map(BTreeMap::keys);
    let others = present.filter(|version| !is_target(version) && !version.is_empty()).cloned();
    let base: BTreeSet<String> = record.base.iter().cloned().chain(others).collect();
    (sample, StageRecord { base: base.into_iter().collect(), ..record.clone() })
}

/// Returns the number of requests on old servers. A guard that does not know yet that all requests
/// go to the target version counts as running one.
fn base_running(state: &RolloutState, order: &RolloutOrder) -> u32 {
    let known = last_records(state, order);
    let running = base_servers(state, order).map(|server| match known.get(server) {
        Some(record) if record.stage_known >= 1000 => record.running,
        Some(record) => record.running.max(1),
        None => 1,
    });
    running.sum()
}

/// Returns whether all guards of old servers know that the order has ended and run nothing.
fn is_end_confirmed(state: &RolloutState, order: &RolloutOrder, record: &StageRecord) -> bool {
    let known = last_records(state, order);
    let is_ended =
        |record: &&EvidenceRecord| record.stage_known == STAGE_ENDED && record.running == 0;
    record.base.is_empty()
        || base_servers(state, order).all(|server| known.get(server).is_some_and(is_ended))
}

/// Returns the servers of the service that are not of the target version.
fn base_servers<'a>(
    state: &'a RolloutState,
    order: &'a RolloutOrder,
) -> impl Iterator<Item = &'a str> {
    let versions = state.versions.of_service(&order.service).into_iter().flatten();
    let others = versions.filter(|(version, _)| **version != order.target);
    others.flat_map(|(_, sighting)| sighting.servers().map(String::as_str))
}

/// Returns the last record of each server.
fn last_records<'a>(
    state: &'a RolloutState,
    order: &RolloutOrder,
) -> BTreeMap<&'a str, &'a EvidenceRecord> {
    let mut last: BTreeMap<&str, &EvidenceRecord> = BTreeMap::new();
    let id = order.id();
    for record in state.all_evidence().filter(|record| record.order == id) {
        let held = last.entry(&record.server).or_insert(record);
        if held.incarnation < record.incarnation {
            *held = record;
        }
    }
    last
}

/// Returns the sums of an order for the store.
fn sum_counts(state: &RolloutState, order: &RolloutOrder) -> GroupCounts {
    let mut counts = state.stored.get(&order.id()).cloned().unwrap_or_default();
    for record in state.evidence_of(&order.id()) {
        counts.sent += record.sent;
        match record.version == order.target {
            true => {
                counts.sent_to_target += record.sent;
                counts.target.add(&record.evidence());
            }
            false => counts.base.add(&record.evidence()),
        }
    }
    counts
}

/// Returns the key of a server.
fn server_key(server: &str) -> ServerKey {
    let mut hasher = DefaultHasher::new();
    server.hash(&mut hasher);
    hasher.finish()
}
