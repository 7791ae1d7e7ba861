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
use sk_member::FleetKnowledge;
use sk_model::UnixMillis;
use tokio::time::Instant;

use crate::{
    old_servers::{AbsentHosts, OldServers},
    orders::{OrderId, OrderState, RolloutOrder},
    records::{GroupCounts, StageRecord, StoredStage, add_stored},
    shared::SharedRollouts,
    state::{RolloutState, finished, rolled_back},
};

/// Time without a request at the old servers after which none is on its way there: longer than a
/// stage takes to reach every daemon.
const QUIET_TIME: Duration = Duration::from_secs(1);
/// Time for which the target version must have been alone at its service, so that servers which
/// this relay does not know yet are not taken for gone.
const ALONE_TIME: Duration = Duration::from_millis(1_500);
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
    absent_hosts: AbsentHosts,
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
        let begin = |order: &RolloutOrder| {
            let known_for = rollouts.read(|state| state.known_for(&order.id(), now));
            let record = StageRecord {
                order: order.id(),
                service: order.service.clone(),
                target: order.target.clone(),
                created: order.created,
                // The order may have waited for a relay that can act.
                started_at: unix_now.saturating_sub(known_for.as_millis() as UnixMillis),
                stage: RolloutStage::default(),
                base: Vec::new(),
                hosts: BTreeSet::new(),
                note: None,
            };
            rollouts.read(|state| record_base(state, order, &record))
        };
        let records = new.map(begin);
        let records: Vec<StageRecord> = records.collect();
        records.iter().for_each(|record| rollouts.merge_stage(record, now));
        let stored = |record| StoredStage { record, counts: GroupCounts::default() };
        records.into_iter().map(stored).collect()
    }

    /// Decides on all running orders at a relay that knows the fleet, and returns the stages that
    /// changed. A relay that does not act only rolls back a version that shows a fault: it may know
    /// of the last step later than the one that acts.
    pub fn decide(
        &mut self,
        rollouts: &SharedRollouts,
        fleet: &FleetKnowledge,
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
            let controlled = self.control(&order, &record, now);
            let (sample, mut next) = rollouts.read(|state| {
                let next = record_base(state, &order, &record);
                let hosts = controlled.absent_hosts.assess(state, &order, &next, fleet, now);
                (gather(state, &order, &hosts, now, elapsed), next)
            });
            let is_newest = rollouts.read(|state| {
                state.newest_order(&order.service).is_some_and(|newest| newest.id() == order.id())
            });
            let (stage, note) = match is_newest {
                true => controlled.assess(sample.clone(), &next, now),
                false => (rolled_back(), Some("a newer order replaces it".to_owned())),
            };
            let is_fault =
                matches!(stage.phase, RolloutPhase::RolledBack(reason) if reason.is_fault());
            if !is_acting && !is_fault {
                continue;
            }
            next.stage = stage;
            next.note = note;
            let is_stage_new = record.stage.merge(stage) != record.stage;
            let is_base_new = (&record.base, &record.hosts) != (&next.base, &next.hosts);
            rollouts.merge_stage(&next, now);
            let merged = rollouts.stage(&order.id());
            if let Some(record) = merged.filter(|_| is_stage_new || is_base_new) {
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

    /// Returns the states that the store lacks. A finished order is done as soon as the old servers
    /// are known to run nothing any more.
    pub fn due_states(
        &mut self,
        rollouts: &SharedRollouts,
        fleet: &FleetKnowledge,
        now: Instant,
    ) -> Vec<(RolloutOrder, OrderState)> {
        let mut due = Vec::new();
        for order in rollouts.orders().into_iter().filter(|order| !order.is_ended()) {
            let Some(record) = rollouts.stage(&order.id()) else { continue };
            let state = match record.stage.phase {
                RolloutPhase::RolledBack(_) => OrderState::RolledBack,
                RolloutPhase::Finished => {
                    let controlled = self.control(&order, &record, now);
                    let is_confirmed = rollouts.read(|state| {
                        let hosts =
                            controlled.absent_hosts.assess(state, &order, &record, fleet, now);
                        hosts.have_ended(state, &order)
                    });
                    match is_confirmed {
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
            absent_hosts: AbsentHosts::default(),
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
            && record.base.is_empty()
            && !sample.is_base_lost;
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

/// Returns the record of an order with the versions seen beside the target version, and where.
fn record_base(state: &RolloutState, order: &RolloutOrder, record: &StageRecord) -> StageRecord {
    let mut next = record.clone();
    let versions = state.versions.of_service(&order.service).into_iter().flatten();
    let others = versions.filter(|(version, _)| **version != order.target && !version.is_empty());
    for (version, sighting) in others {
        next.base.push(version.clone());
        next.hosts.extend(sighting.servers().map(|(_, server)| server.host.clone()));
    }
    next.base.sort();
    next.base.dedup();
    next
}

/// Returns the sample of an order.
fn gather(
    state: &RolloutState,
    order: &RolloutOrder,
    hosts: &OldServers,
    now: Instant,
    elapsed: Duration,
) -> RolloutSample {
    let is_target = |version: &str| version == order.target;
    let mut sample = RolloutSample {
        elapsed,
        target_capacity: state.versions.capacity(&order.service, now, is_target),
        base_capacity: state.versions.capacity(&order.service, now, |version| !is_target(version)),
        base_running: hosts.running(state, order),
        is_base_lost: hosts.is_lost,
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
    sample
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
