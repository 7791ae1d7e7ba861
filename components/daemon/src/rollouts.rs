//! Runs roll-outs at one daemon: what its guard counts, and as a relay the orders, the decision and
//! the writes to the store.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError},
    time::Duration,
};

use sk_decide::rollout::{RolloutPhase, RolloutSettings};
use sk_logs::OutageLog;
use sk_member::{FleetKnowledge, MemberRecord, SharedMembers};
use sk_model::unix_time_ms;
use sk_proxy::{LocalServerList, OpenRequests};
use sk_rollout::{
    OrderControl, OrderError, OrderId, OrderRead, OrderSource, OrderState, RelayBeat, RolloutOrder,
    SharedRollouts, StoredStage,
};
use sk_spread::{NoticeExchange, StateReader};
use sk_store::{SharedStore, StoreError};
use tokio::{task::JoinHandle, time::Instant};

/// Interval between decisions, and between looks at the members.
const TICK: Duration = Duration::from_millis(200);
/// Interval between records of what the guard counts.
const EVIDENCE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between beats of a relay while an order is running or versions are held back.
const BUSY_BEAT_INTERVAL: Duration = Duration::from_millis(500);
/// The same without either.
const IDLE_BEAT_INTERVAL: Duration = Duration::from_secs(5);
/// Longest wait for a change of the orders in one call.
const WATCH_WAIT: Duration = Duration::from_millis(1_500);
/// Pause after a failed call of the store.
const FAULT_PAUSE: Duration = Duration::from_millis(300);
/// Time for which a daemon must have been a relay before it acts as one. When a whole fleet
/// restarts, each daemon is a relay in its own first snapshot of the members.
const RELAY_SETTLE_TIME: Duration = Duration::from_millis(600);
/// Time between looks after which a relay was paused: what it knows is older than it seems.
const PAUSED_TIME: Duration = Duration::from_secs(1);

/// Gives the control thread access to the roll-outs.
pub(crate) struct RolloutNotices {
    pub(crate) rollouts: Arc<SharedRollouts>,
}

impl NoticeExchange for RolloutNotices {
    fn revision(&self) -> u64 {
        self.rollouts.revision()
    }

    fn encode_changed(&self) -> Option<Vec<u8>> {
        self.rollouts.encode_changed()
    }

    fn encode_all(&self) -> Option<Vec<u8>> {
        self.rollouts.encode_all()
    }

    fn merge(&self, body: &[u8]) -> bool {
        self.rollouts.merge_notice(body)
    }
}

/// The parts of a daemon that roll-outs use.
pub(crate) struct RolloutParts {
    pub(crate) rollouts: Arc<SharedRollouts>,
    pub(crate) settings: RolloutSettings,
    /// `None` on a platform without orders.
    pub(crate) source: Option<Arc<dyn OrderSource>>,
    pub(crate) store: SharedStore,
    pub(crate) key_prefix: String,
    pub(crate) members: Arc<SharedMembers>,
    pub(crate) servers: Arc<LocalServerList>,
    pub(crate) open_requests: Arc<OpenRequests>,
    pub(crate) spread: Arc<OnceLock<StateReader>>,
}

/// What the tasks of a relay share.
#[derive(Default)]
struct RelayMemory {
    /// When the orders were last known completely.
    read_at: Option<Instant>,
    /// Orders whose stored stage has been looked up.
    looked_up: BTreeSet<OrderId>,
    /// Stages that the store lacks.
    unsaved: BTreeMap<OrderId, StoredStage>,
    /// States that the store lacks.
    due: Vec<(RolloutOrder, OrderState)>,
}

type SharedMemory = Mutex<RelayMemory>;

/// Starts the tasks.
pub(crate) fn start_rollouts(parts: RolloutParts) -> Vec<JoinHandle<()>> {
    let (parts, memory) = (Arc::new(parts), Arc::<SharedMemory>::default());
    let mut tasks = vec![tokio::spawn(run_ticks(parts.clone(), memory.clone()))];
    match parts.source.clone() {
        Some(source) => {
            tasks.push(tokio::spawn(read_orders(parts.clone(), source.clone(), memory.clone())));
            tasks.push(tokio::spawn(write_outcomes(parts, source, memory)));
        }
        None => log::warn!("rollout: this platform has no orders; [rollout] has no effect."),
    }
    tasks
}

impl RolloutParts {
    fn is_relay(&self) -> bool {
        self.spread.get().is_some_and(StateReader::is_relay)
    }

    fn stage_key(&self, order: &str) -> String {
        format!("{}rollouts/{order}", self.key_prefix)
    }
}

fn lock(memory: &SharedMemory) -> MutexGuard<'_, RelayMemory> {
    memory.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Looks at the members, records what the guard counts, and decides if this daemon is a relay.
async fn run_ticks(parts: Arc<RolloutParts>, memory: Arc<SharedMemory>) {
    let mut control = OrderControl::new(parts.settings);
    let (mut counted_at, mut beaten_at, mut sequence) = (Instant::now(), None, 0);
    let (mut relay_since, mut looked_at) = (None, Instant::now());
    loop {
        tokio::time::sleep(TICK).await;
        let now = Instant::now();
        let is_paused = now.duration_since(looked_at) >= PAUSED_TIME;
        looked_at = now;
        let members = parts.members.snapshot();
        parts.rollouts.observe(members.values().map(|record| &**record), now);
        let own = parts.members.own();
        if now.duration_since(counted_at) >= EVIDENCE_INTERVAL {
            counted_at = now;
            let running = parts.open_requests.count();
            let endpoints = parts.servers.endpoints();
            parts.rollouts.record_evidence(&own.proxy, own.incarnation, &endpoints, running);
        }
        let read_at = lock(&memory).read_at;
        let read_age = read_at.map(|read_at| now.saturating_duration_since(read_at));
        let fleet = parts.members.fleet();
        let is_able = parts.is_relay() && fleet.knows_fleet();
        relay_since = relay_since.filter(|_| !is_paused).or(Some(now)).filter(|_| is_able);
        if !is_able {
            // What was counted until now belongs to moments that the next decisions do not know.
            control = OrderControl::new(parts.settings);
            lock(&memory).due.clear();
            if beaten_at.take().is_some() {
                sequence += 1;
                let beat = make_beat(&own, sequence, read_age);
                parts.rollouts.merge_beat(&RelayBeat { is_last: true, ..beat }, now);
            }
        }
        let is_settled =
            relay_since.is_some_and(|since| now.duration_since(since) >= RELAY_SETTLE_TIME);
        if !is_settled || parts.source.is_none() {
            continue;
        }
        let interval = match parts.rollouts.is_busy() {
            true => BUSY_BEAT_INTERVAL,
            false => IDLE_BEAT_INTERVAL,
        };
        if beaten_at.is_none_or(|at| now.duration_since(at) >= interval) {
            (beaten_at, sequence) = (Some(now), sequence + 1);
            parts.rollouts.merge_beat(&make_beat(&own, sequence, read_age), now);
        }
        decide(&parts, &mut control, &memory, &fleet, now);
    }
}

/// Returns a beat of this daemon as relay. `read_age` is the time since it knew all orders.
fn make_beat(own: &MemberRecord, sequence: u64, read_age: Option<Duration>) -> RelayBeat {
    RelayBeat {
        relay: own.proxy.clone(),
        incarnation: own.incarnation,
        sequence,
        age_ms: 0,
        read_age_ms: read_age.map(|age| age.as_millis() as u64),
        is_last: false,
    }
}

/// Decides on the orders, and remembers what has to be written.
fn decide(
    parts: &RolloutParts,
    control: &mut OrderControl,
    memory: &SharedMemory,
    fleet: &FleetKnowledge,
    now: Instant,
) {
    let rollouts = &parts.rollouts;
    let is_acting = rollouts.is_first_relay(&parts.members.own().proxy, now);
    let mut changed = Vec::new();
    if is_acting {
        let is_checked = |order: &str| lock(memory).looked_up.contains(order);
        changed = control.begin_orders(rollouts, is_checked, now, unix_time_ms());
    }
    changed.extend(control.decide(rollouts, fleet, is_acting, now, unix_time_ms()));
    let due = control.due_states(rollouts, fleet, now);
    let mut memory = lock(memory);
    memory.due = if is_acting { due } else { Vec::new() };
    for stored in changed {
        memory.unsaved.insert(stored.record.order.clone(), stored);
    }
}

/// Reads the orders while this daemon is a relay.
async fn read_orders(
    parts: Arc<RolloutParts>,
    source: Arc<dyn OrderSource>,
    memory: Arc<SharedMemory>,
) {
    let outage = OutageLog::new("rollout", "the store of orders");
    let mut relay_since = None;
    loop {
        let now = Instant::now();
        relay_since = relay_since.or(Some(now)).filter(|_| parts.is_relay());
        if relay_since.is_none_or(|since| now.duration_since(since) < RELAY_SETTLE_TIME) {
            tokio::time::sleep(TICK).await;
            continue;
        }
        let read = source.next_orders(WATCH_WAIT).await;
        let looked_up = match read {
            Ok(read) => take_orders(&parts, &memory, &read).await.map_err(|err| err.to_string()),
            Err(err) => Err(err.to_string()),
        };
        match looked_up {
            Ok(()) => outage.record_success(),
            Err(err) => {
                outage.record_failure(&err);
                tokio::time::sleep(FAULT_PAUSE).await;
            }
        }
    }
}

/// Takes over orders, after the stored stages of those that are new here. Otherwise an order would
/// begin again at its canary after a restart of all daemons.
async fn take_orders(
    parts: &RolloutParts,
    memory: &SharedMemory,
    read: &OrderRead,
) -> Result<(), StoreError> {
    for order in &read.book.orders {
        let id = order.id();
        if lock(memory).looked_up.contains(&id) {
            continue;
        }
        let stored = parts.store.get(&parts.stage_key(&order.name)).await?;
        let stored = stored.and_then(|it| serde_json::from_str::<StoredStage>(&it.value).ok());
        if let Some(stored) = stored.filter(|stored| stored.record.order == id) {
            log::info!(order:% = id; "rollout: continues at {}.", stored.record.stage);
            parts.rollouts.set_stored(&id, stored.counts);
            parts.rollouts.merge_stage(&stored.record, Instant::now());
        }
        lock(memory).looked_up.insert(id);
    }
    parts.rollouts.merge_book(&read.book, Instant::now());
    let mut memory = lock(memory);
    memory.read_at = memory.read_at.max(Some(read.read_at));
    Ok(())
}

/// Writes stages and states to the store. A stage is written before the state that follows from it.
async fn write_outcomes(
    parts: Arc<RolloutParts>,
    source: Arc<dyn OrderSource>,
    memory: Arc<SharedMemory>,
) {
    let outage = OutageLog::new("rollout", "the store of stages");
    loop {
        tokio::time::sleep(TICK).await;
        let unsaved = std::mem::take(&mut lock(&memory).unsaved);
        for (id, stored) in unsaved {
            match save_stage(&parts, &stored).await {
                Ok(()) => outage.record_success(),
                Err(err) => {
                    outage.record_failure(&err);
                    lock(&memory).unsaved.entry(id).or_insert(stored);
                    tokio::time::sleep(FAULT_PAUSE).await;
                }
            }
        }
        let due = std::mem::take(&mut lock(&memory).due);
        for (order, state) in due {
            let id = order.id();
            // What the store had may be a later stage than the one that the state follows from.
            let is_due = parts.rollouts.stage(&id).is_some_and(|record| match state {
                OrderState::Done => record.stage.phase == RolloutPhase::Finished,
                _ => true,
            });
            let is_saved = !lock(&memory).unsaved.contains_key(&id);
            if is_due && (is_saved || state == OrderState::Running) {
                write_state(&parts, &*source, &order, state).await;
            }
        }
    }
}

/// Merges a stage into that of the store, and takes over what another relay has stored of the same
/// order.
async fn save_stage(parts: &RolloutParts, stored: &StoredStage) -> Result<(), StoreError> {
    let key = parts.stage_key(object_name(&stored.record.order));
    let held = parts.store.get(&key).await?;
    let parse = |value: &str| serde_json::from_str::<StoredStage>(value).ok();
    let known = held.as_ref().and_then(|held| parse(&held.value));
    let known = known.filter(|known| known.record.order == stored.record.order);
    let merged = match &known {
        Some(known) => stored.merged(known),
        None => stored.clone(),
    };
    let value = serde_json::to_string(&merged)
        .map_err(|err| StoreError::Protocol { reason: err.to_string() })?;
    match held {
        Some(held) if held.value == value => {}
        Some(held) => drop(parts.store.replace(&key, held.revision, value).await?),
        None => drop(parts.store.create(&key, value).await?),
    }
    parts.rollouts.merge_stage(&merged.record, Instant::now());
    Ok(())
}

/// Returns the name of an order's object, which its identity begins with.
fn object_name(order: &str) -> &str {
    let end = order.rsplit_once('@').map_or(order.len(), |(name, _)| name.len());
    &order[..end]
}

/// Writes the state of an order. If it was changed meanwhile, or an earlier write got no answer, the
/// order is read again and the state is written only if it is still the right one.
async fn write_state(
    parts: &RolloutParts,
    source: &dyn OrderSource,
    order: &RolloutOrder,
    state: OrderState,
) {
    let written = source.write_state(order, state).await;
    if let Err(err) = written {
        log::info!(order:% = order.id(); "rollout: the state was not written: {err}.");
        let Ok(Some(current)) = source.read_order(&order.name).await else { return };
        if current.id() != order.id() {
            return;
        }
        if current.is_ended() || current.state == Some(state) {
            return parts.rollouts.record_written(&current, current.state.unwrap_or(state));
        }
        if err != OrderError::Changed || source.write_state(&current, state).await.is_err() {
            return parts.rollouts.record_revision(&current);
        }
    }
    log::info!(order:% = order.id(), state:? = state; "rollout: the state is written.");
    parts.rollouts.record_written(order, state);
}
