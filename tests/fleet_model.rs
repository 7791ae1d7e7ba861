//! Random sessions of the ledger, the proxies' configurations and the reports, compared with a
//! naive model.
//!
//! The components are connected without a network: messages between proxies are values in a queue
//! that loses, repeats and reorders them, and the platform is the in-memory fake.

use std::{collections::BTreeMap, sync::Arc};

use proptest::prelude::*;
use sk_ledger::{Ledger, LedgerSettings, SubmitError};
use sk_model::{
    ChangeRequest, ConfigSnapshot, ProxyAck, RouteSetting, ServiceSetting, SettingBody,
    SettingWrites, validate_trees,
};
use sk_report::{AckBuffer, KnownProxy, ProxyState, make_fleet_report, read_acks};
use sk_spread::{ConfigHolder, ConfigUpdate, OfferOutcome, apply_update, make_update};
use sk_store::{FakeStore, SharedStore, WriteFault};

const PROXIES: usize = 3;
const TEAMS: usize = 2;
const PREFIX: &str = "sapphirekeel/";

#[derive(Clone, Debug)]
enum Step {
    /// An operator writes or withdraws a team's service and route. If stale, the change is based on
    /// an earlier read.
    Submit { team: usize, is_stale: bool, service: Option<bool>, route: Option<Option<usize>> },
    /// The platform's next write loses its answer (true) or its request (false).
    Fault(bool),
    /// The platform becomes unavailable (true) or available.
    Outage(bool),
    /// A proxy reads the newest configuration from the platform.
    Load(usize),
    /// A proxy queues a message with the settings that another one lacks.
    Send { from: usize, to: usize },
    /// A message of the queue arrives; if kept, it can arrive again.
    Deliver { index: usize, is_kept: bool },
    /// A message is lost.
    Drop(usize),
    /// A proxy restarts with no configuration until it reads the platform or receives a message.
    Restart(usize),
    /// A proxy's acknowledgement reaches the relay.
    Ack(usize),
    /// The relay writes the acknowledgements to the platform.
    Flush,
}

fn any_step() -> impl Strategy<Value = Step> {
    let (team, proxy) = (0..TEAMS, 0..PROXIES);
    prop_oneof![
        6 => (team, any::<bool>(), any::<Option<bool>>(), any::<Option<Option<u8>>>()).prop_map(
            |(team, is_stale, service, route)| {
                let route = route.map(|to| to.map(|to| usize::from(to) % TEAMS));
                Step::Submit { team, is_stale, service, route }
            }
        ),
        1 => any::<bool>().prop_map(Step::Fault),
        1 => any::<bool>().prop_map(Step::Outage),
        4 => proxy.clone().prop_map(Step::Load),
        4 => (proxy.clone(), proxy.clone()).prop_map(|(from, to)| Step::Send { from, to }),
        4 => (any::<usize>(), any::<bool>())
            .prop_map(|(index, is_kept)| Step::Deliver { index, is_kept }),
        1 => any::<usize>().prop_map(Step::Drop),
        1 => proxy.clone().prop_map(Step::Restart),
        3 => proxy.prop_map(Step::Ack),
        2 => Just(Step::Flush),
    ]
}

fn team_name(index: usize) -> String {
    format!("team{index}")
}

fn make_change(number: u64, team_index: usize, base: u64, writes: SettingWrites) -> ChangeRequest {
    ChangeRequest {
        change_id: format!("change{number}"),
        team: team_name(team_index),
        author: "ana".to_owned(),
        revision: "r".to_owned(),
        base,
        writes,
    }
}

fn make_writes(
    own: usize,
    service: Option<bool>,
    route: Option<Option<usize>>,
    number: u64,
) -> SettingWrites {
    let mut writes = SettingWrites::new();
    let service_path = |index: usize| format!("/{}/service", team_name(index));
    if let Some(is_present) = service {
        let description = format!("change {number}");
        let body =
            || SettingBody::Service(ServiceSetting { description, ..ServiceSetting::default() });
        writes.insert(service_path(own), is_present.then(body));
    }
    if let Some(to) = route {
        let body = |to: usize| {
            SettingBody::Route(RouteSetting {
                deadline_ms: 1_000 + number,
                ..RouteSetting::new(format!("/{}", team_name(own)), service_path(to))
            })
        };
        writes.insert(format!("/{}/route", team_name(own)), to.map(body));
    }
    writes
}

/// One proxy with the greatest version that it has had in force since its last start.
struct ModelProxy {
    incarnation: u64,
    holder: ConfigHolder,
    greatest_version: u64,
}

impl ModelProxy {
    fn start(incarnation: u64) -> Self {
        let holder = ConfigHolder::new();
        holder.set_ready(0);
        Self { incarnation, holder, greatest_version: 0 }
    }

    fn ack(&self, index: usize) -> ProxyAck {
        let status = self.holder.status();
        ProxyAck {
            proxy: format!("proxy{index}"),
            incarnation: self.incarnation,
            data_centre: "lj1".to_owned(),
            version: status.version,
            since: status.since,
            source: status.source,
            rejected: status.rejected,
        }
    }
}

struct ModelFleet {
    fake_store: Arc<FakeStore>,
    store: SharedStore,
    ledger: Ledger,
    ack_buffer: AckBuffer,
    proxies: Vec<ModelProxy>,
    queue: Vec<(usize, ConfigUpdate)>,
    /// Settings after each accepted version, by a naive application of its writes.
    accepted: BTreeMap<u64, BTreeMap<String, SettingBody>>,
    /// Submits whose outcome is unknown.
    unknown_submits: Vec<ChangeRequest>,
    /// The configuration at the previous submit, as read by an operator who is late.
    stale: ConfigSnapshot,
    /// Number of changes submitted.
    change_count: u64,
}

impl ModelFleet {
    fn new() -> Self {
        let fake_store = Arc::new(FakeStore::new());
        let store: SharedStore = fake_store.clone();
        Self {
            ledger: Ledger::new(store.clone(), LedgerSettings::default()),
            ack_buffer: AckBuffer::new(PREFIX),
            proxies: (0..PROXIES).map(|_| ModelProxy::start(1)).collect(),
            queue: Vec::new(),
            accepted: BTreeMap::from([(0, BTreeMap::new())]),
            unknown_submits: Vec::new(),
            stale: ConfigSnapshot::default(),
            change_count: 0,
            fake_store,
            store,
        }
    }

    /// Takes one step and checks the guarantees.
    async fn run(&mut self, step: Step) {
        match step {
            Step::Submit { team, is_stale, service, route } => {
                self.submit(team, is_stale, service, route).await;
            }
            Step::Fault(is_answer) => self.fake_store.plan_write_fault(match is_answer {
                true => WriteFault::LoseAnswer,
                false => WriteFault::LoseRequest,
            }),
            Step::Outage(is_down) => self.fake_store.set_outage(is_down),
            Step::Load(proxy) => self.load(proxy).await,
            Step::Send { from, to } => {
                let (base, newest) =
                    (self.proxies[to].holder.current(), self.proxies[from].holder.current());
                self.queue.push((to, make_update(&base, &newest)));
            }
            Step::Deliver { index, is_kept } if !self.queue.is_empty() => {
                let index = index % self.queue.len();
                let (to, update) = self.queue[index].clone();
                if !is_kept {
                    self.queue.swap_remove(index);
                }
                let holder = &self.proxies[to].holder;
                if let Ok(snapshot) = apply_update(&holder.current(), update) {
                    holder.offer(snapshot, "peer", 1);
                }
            }
            Step::Drop(index) if !self.queue.is_empty() => {
                let index = index % self.queue.len();
                self.queue.swap_remove(index);
            }
            Step::Deliver { .. } | Step::Drop(_) => (),
            Step::Restart(proxy) => {
                let incarnation = self.proxies[proxy].incarnation + 1;
                self.proxies[proxy] = ModelProxy::start(incarnation);
            }
            Step::Ack(proxy) => self.ack_buffer.add(vec![self.proxies[proxy].ack(proxy)]),
            Step::Flush => drop(self.ack_buffer.flush(&self.store).await),
        }
        self.check().await;
    }

    /// Submits a change of one team and records its outcome.
    async fn submit(
        &mut self,
        team_index: usize,
        is_stale: bool,
        service: Option<bool>,
        route: Option<Option<usize>>,
    ) {
        let Ok(newest) = self.ledger.load(&ConfigSnapshot::default()).await else { return };
        let read_snapshot = if is_stale { &self.stale } else { &newest };
        let base =
            read_snapshot.root.trees.get(&team_name(team_index)).map_or(0, |tree| tree.version);
        self.stale = newest;
        self.change_count += 1;
        let writes = make_writes(team_index, service, route, self.change_count);
        let request = make_change(self.change_count, team_index, base, writes);
        match self.ledger.submit(&request, 1).await {
            Ok(record) => self.record_accepted(record.version, &request),
            Err(SubmitError::Unknown { .. }) => self.unknown_submits.push(request),
            Err(_) => (),
        }
    }

    /// Applies an accepted change to the model.
    fn record_accepted(&mut self, version: u64, request: &ChangeRequest) {
        let mut settings = self.accepted[&(version - 1)].clone();
        for (path, body) in &request.writes {
            assert!(path.starts_with(&format!("/{}/", request.team)), "outside the subtree");
            match body {
                Some(body) => settings.insert(path.clone(), body.clone()),
                None => settings.remove(path),
            };
        }
        assert!(self.accepted.insert(version, settings).is_none(), "version given twice");
    }

    /// Offers a proxy the newest configuration of the platform.
    async fn load(&mut self, proxy: usize) {
        let holder = &self.proxies[proxy].holder;
        if let Ok(snapshot) = self.ledger.load(&holder.current()).await {
            holder.offer(snapshot, "platform", 1);
        }
    }

    /// Checks that no proxy moved back or has settings other than those of an accepted version.
    async fn check(&mut self) {
        self.resolve_unknown().await;
        for (index, proxy) in self.proxies.iter_mut().enumerate() {
            let snapshot = proxy.holder.current();
            let version = snapshot.version();
            assert!(version >= proxy.greatest_version, "proxy {index} moved back");
            proxy.greatest_version = version;
            assert!(
                validate_trees(&snapshot.trees).is_empty(),
                "proxy {index} has an invalid configuration"
            );
            let settings: BTreeMap<String, SettingBody> =
                snapshot.settings().map(|(path, body)| (path.clone(), body.clone())).collect();
            assert_eq!(
                Some(&settings),
                self.accepted.get(&version),
                "proxy {index} has settings of no version"
            );
        }
        self.check_report().await;
    }

    /// Looks up the submits whose outcome is unknown, and records those that were accepted.
    async fn resolve_unknown(&mut self) {
        let mut found = Vec::new();
        for request in &self.unknown_submits {
            if let Ok(Some(record)) = self.ledger.find_change(&request.change_id).await {
                found.push((record.version, request.clone()));
            }
        }
        found.sort_by_key(|(version, _)| *version);
        for (version, request) in found {
            self.record_accepted(version, &request);
            self.unknown_submits.retain(|unknown| unknown.change_id != request.change_id);
        }
    }

    /// Checks that the report claims no version that its proxy has not reached.
    async fn check_report(&self) {
        let (Ok(newest), Ok(acks)) = (
            self.ledger.load(&ConfigSnapshot::default()).await,
            read_acks(&self.store, PREFIX).await,
        ) else {
            return;
        };
        let known = |(index, proxy): (usize, &ModelProxy)| {
            let known = KnownProxy {
                data_centre: "lj1".to_owned(),
                incarnation: proxy.incarnation,
                unreachable_since: None,
            };
            (format!("proxy{index}"), known)
        };
        let known = self.proxies.iter().enumerate().map(known).collect();
        let report = make_fleet_report(newest.root.change.clone(), &known, &acks);
        for (proxy, state) in self.proxies.iter().zip(&report.proxies) {
            let version = proxy.holder.current().version();
            assert!(
                state.version <= version,
                "the report claims a newer version than {} has",
                state.proxy
            );
            if state.state == ProxyState::InForce {
                assert!(
                    version >= newest.version(),
                    "{} is wrongly reported as in force",
                    state.proxy
                );
            }
        }
    }

    /// Ends all faults and checks that every accepted change is in force and in the history.
    async fn recover(&mut self) {
        self.fake_store.set_outage(false);
        self.fake_store.clear_faults();
        for request in std::mem::take(&mut self.unknown_submits) {
            match self.ledger.submit(&request, 1).await {
                Ok(record) if self.accepted.contains_key(&record.version) => (),
                Ok(record) => self.record_accepted(record.version, &request),
                Err(_) => (),
            }
        }
        self.queue.clear();
        for proxy in 0..PROXIES {
            self.load(proxy).await;
            self.ack_buffer.add(vec![self.proxies[proxy].ack(proxy)]);
        }
        self.ack_buffer.flush(&self.store).await.expect("the platform is available");
        self.check().await;
        let last = *self.accepted.keys().last().expect("version zero is there");
        for proxy in &self.proxies {
            assert_eq!(proxy.holder.current().version(), last, "accepted but not in force");
        }
        let history = self.ledger.history(1, 10_000).await.expect("the platform is available");
        assert_eq!(history.len() as u64, last, "an accepted change is lost");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    // Operators race, the platform becomes unavailable and loses answers, messages between proxies
    // are reordered, repeated and lost, and proxies restart. Guards against a proxy that returns to
    // an old route, a change that is lost, and a false report.
    #[test]
    fn whole_session(steps in prop::collection::vec(any_step(), 1..60)) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true)
            .build().expect("runtime");
        runtime.block_on(async {
            let mut fleet = ModelFleet::new();
            for step in steps {
                fleet.run(step).await;
            }
            fleet.recover().await;
        });
    }
}

// A naive proxy applies updates in the order of their arrival. If two updates overtake each other,
// it ends with the older one, which a real proxy refuses.
#[test]
fn naive_moves_back() {
    let snapshot = |version: u64| {
        let root = sk_model::SnapshotRoot { version, ..Default::default() };
        ConfigSnapshot { root, ..ConfigSnapshot::default() }
    };
    let reordered = [snapshot(2), snapshot(1)];
    let mut naive = ConfigSnapshot::default();
    let holder = ConfigHolder::new();
    holder.set_ready(0);
    let mut outcomes = Vec::new();
    for arrived in reordered {
        naive = arrived.clone();
        outcomes.push(holder.offer(arrived, "peer", 1));
    }
    assert_eq!(naive.version(), 1, "the naive proxy moved back");
    assert_eq!(holder.current().version(), 2);
    assert_eq!(outcomes, [OfferOutcome::Applied, OfferOutcome::NotNewer]);
}
