//! Starts the control threads of several daemons in one process, connected over TCP, with fakes of
//! the platform and the acknowledgement sink.

#![allow(dead_code, unused_imports)] // Each test file uses a part of it.

mod access;
mod link;

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use async_trait::async_trait;
use rand::RngExt;
use sk_allowance::AllowanceBook;
use sk_member::{MemberRecord, MemberStatus, SharedMembers, choose_relays};
use sk_model::{
    ConfigSnapshot, ProxyAck, RouteSetting, ServiceSetting, SettingBody, SnapshotRoot, TeamTree,
    TreeRef, ValueSetting, Version,
};
use sk_spread::{
    AckSink, AllowancePort, ConfigHolder, ConfigSource, ContactMap, ContactStore, ControlMeter,
    SourceError, SpreadHandle, SpreadOptions, SpreadParts, WatchResult, start_spread,
};
use tokio::sync::watch;

pub use access::{AccessFleet, DAEMONS_PER_CENTRE, DATA_CENTRES};
pub use link::SlowLink;

/// Longest wait for a condition; an idle machine needs a small part of it.
pub const MAX_WAIT: Duration = Duration::from_secs(40);
const POLL_PAUSE: Duration = Duration::from_millis(10);
pub const SECRET: &str = "secret of the test fleet";

/// Makes a version whose team subtrees hold the given values, as (team, setting, text).
pub fn make_snapshot(version: Version, values: &[(&str, &str, &str)]) -> ConfigSnapshot {
    let mut trees: BTreeMap<String, TeamTree> = BTreeMap::new();
    for (team, name, text) in values {
        let body = SettingBody::Value(ValueSetting { text: (*text).to_owned() });
        let tree = trees.entry((*team).to_owned()).or_default();
        tree.settings.insert(format!("/{team}/{name}"), body);
    }
    from_trees(version, trees)
}

pub fn from_trees(version: Version, trees: BTreeMap<String, TeamTree>) -> ConfigSnapshot {
    let tree_ref = |tree: &TeamTree| TreeRef { hash: tree.hash(), version };
    let refs = trees.iter().map(|(team, tree)| (team.clone(), tree_ref(tree))).collect();
    ConfigSnapshot {
        root: SnapshotRoot { version, trees: refs, change: None },
        trees: trees.into_iter().map(|(team, tree)| (team, Arc::new(tree))).collect(),
    }
}

/// Makes a version whose values contain its number, so that a mixture of two versions shows.
pub fn numbered(version: Version) -> ConfigSnapshot {
    let text = format!("value {version}");
    make_snapshot(version, &[("board", "a", &text), ("records", "b", &text), ("shop", "c", "same")])
}

/// Makes a version with `count` routes to one service.
pub fn with_routes(version: Version, count: usize) -> ConfigSnapshot {
    let service = "/board/queue".to_owned();
    let route = |index: usize| {
        let prefix = format!("/{:x}/{index}/", index * 7_919);
        let setting = RouteSetting {
            host: Some(format!("host{}.example", index % 40)),
            deadline_ms: 2_500,
            goal_ms: Some(600),
            ..RouteSetting::new(&prefix, &service)
        };
        (format!("/board/routes/r{index}"), SettingBody::Route(setting))
    };
    let mut settings: BTreeMap<_, _> = (0..count).map(route).collect();
    settings.insert(service.clone(), SettingBody::Service(ServiceSetting::default()));
    from_trees(version, BTreeMap::from([("board".to_owned(), TeamTree { settings })]))
}

/// Makes text that hardly compresses.
pub fn noise(bytes: usize) -> String {
    let mut rng = rand::rng();
    (0..bytes).map(|_| rng.random_range('#'..='[')).collect()
}

/// Makes a version that no proxy may put in force: its route names a service that does not exist.
pub fn dangling(version: Version) -> ConfigSnapshot {
    let mut snapshot = numbered(version);
    let route = SettingBody::Route(RouteSetting {
        deadline_ms: 1_000,
        ..RouteSetting::new("/board", "/board/missing")
    });
    let mut tree = TeamTree::clone(&snapshot.trees["board"]);
    tree.settings.insert("/board/route".to_owned(), route);
    let tree_ref = TreeRef { hash: tree.hash(), version };
    snapshot.root.trees.insert("board".to_owned(), tree_ref);
    snapshot.trees.insert("board".to_owned(), Arc::new(tree));
    snapshot
}

/// Fake of the platform, shared by all daemons of a test.
pub struct FakePlatform {
    newest: watch::Sender<Arc<ConfigSnapshot>>,
    is_down: AtomicBool,
    /// Number of loads so far.
    pub reads: AtomicUsize,
    /// Number of watches so far.
    pub waits: AtomicUsize,
    contacts: Mutex<ContactMap>,
}

impl FakePlatform {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            newest: watch::Sender::new(Arc::default()),
            is_down: AtomicBool::new(false),
            reads: AtomicUsize::new(0),
            waits: AtomicUsize::new(0),
            contacts: Mutex::default(),
        })
    }

    pub fn accept(&self, snapshot: ConfigSnapshot) {
        self.newest.send_replace(Arc::new(snapshot));
    }

    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::SeqCst);
        // Wakes the waiting watches, as an outage cuts their connections.
        self.newest.send_modify(|_| ());
    }

    fn check_up(&self) -> Result<(), SourceError> {
        match self.is_down.load(Ordering::SeqCst) {
            true => Err(SourceError { reason: "outage".to_owned() }),
            false => Ok(()),
        }
    }
}

#[async_trait]
impl ConfigSource for FakePlatform {
    async fn load(&self, _: &ConfigSnapshot) -> Result<ConfigSnapshot, SourceError> {
        self.reads.fetch_add(1, Ordering::SeqCst);
        self.check_up()?;
        Ok(ConfigSnapshot::clone(&self.newest.borrow()))
    }

    async fn wait_newer(
        &self,
        held: &ConfigSnapshot,
        timeout: Duration,
    ) -> Result<WatchResult, SourceError> {
        let started_at = tokio::time::Instant::now();
        self.waits.fetch_add(1, Ordering::SeqCst);
        let mut newest = self.newest.subscribe();
        let wait = async {
            loop {
                self.check_up()?;
                let found = newest.borrow_and_update().clone();
                if found.version() > held.version() {
                    return Ok(ConfigSnapshot::clone(&found));
                }
                let _ = newest.changed().await;
            }
        };
        match tokio::time::timeout(timeout, wait).await {
            Ok(newer) => newer.map(|newer| WatchResult { newer: Some(newer), read_at: started_at }),
            Err(_) => Ok(WatchResult { newer: None, read_at: started_at + timeout }),
        }
    }
}

/// State of one daemon's connection to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccessState {
    /// Calls are answered.
    Open,
    /// Calls are refused at once, including those that wait.
    Refuses,
    /// Calls are not answered.
    Silent,
}

/// One daemon's own connection to the platform, which may fail while the others' work.
pub struct PlatformAccess {
    platform: Arc<FakePlatform>,
    state: watch::Sender<AccessState>,
}

impl PlatformAccess {
    pub fn new(platform: &Arc<FakePlatform>) -> Arc<Self> {
        let state = watch::Sender::new(AccessState::Open);
        Arc::new(Self { platform: platform.clone(), state })
    }

    pub fn set(&self, state: AccessState) {
        self.state.send_replace(state);
    }

    /// Makes a call whose answer is due within `timeout`, as far as the state allows.
    async fn call_through<T>(
        &self,
        timeout: Duration,
        call: impl Future<Output = Result<T, SourceError>>,
    ) -> Result<T, SourceError> {
        // Time beyond its own wait after which an unanswered call fails.
        let grace = Duration::from_millis(700);
        let mut refusal_state = self.state.subscribe();
        let mut silenced = self.state.subscribe();
        // The sender of the states lives as long as the connection.
        let refusal =
            async { drop(refusal_state.wait_for(|state| *state == AccessState::Refuses).await) };
        let answer = async {
            let answer = call.await;
            drop(silenced.wait_for(|state| *state != AccessState::Silent).await);
            answer
        };
        let fail = |reason: &str| Err(SourceError { reason: reason.to_owned() });
        tokio::select! {
            // A call that is refused must not be answered as well.
            biased;
            () = refusal => fail("refused"),
            answer = answer => answer,
            () = tokio::time::sleep(timeout + grace) => fail("no answer in time"),
        }
    }
}

#[async_trait]
impl ConfigSource for PlatformAccess {
    async fn load(&self, held: &ConfigSnapshot) -> Result<ConfigSnapshot, SourceError> {
        self.call_through(Duration::from_secs(1), self.platform.load(held)).await
    }

    async fn wait_newer(
        &self,
        held: &ConfigSnapshot,
        timeout: Duration,
    ) -> Result<WatchResult, SourceError> {
        self.call_through(timeout, self.platform.wait_newer(held, timeout)).await
    }
}

#[async_trait]
impl ContactStore for FakePlatform {
    async fn read(&self) -> Result<ContactMap, SourceError> {
        self.check_up()?;
        Ok(self.contacts.lock().expect("lock").clone())
    }

    async fn write(
        &self,
        data_centre: &str,
        seen: Option<&[SocketAddr]>,
        addresses: &[SocketAddr],
    ) -> Result<(), SourceError> {
        self.check_up()?;
        let mut contacts = self.contacts.lock().expect("lock");
        if contacts.get(data_centre).map(Vec::as_slice) != seen {
            return Err(SourceError { reason: "changed".to_owned() });
        }
        contacts.insert(data_centre.to_owned(), addresses.to_vec());
        Ok(())
    }
}

/// Stores the acknowledgements that all relays of a test pass on.
#[derive(Default)]
pub struct FakeSink {
    acks: Mutex<BTreeMap<String, ProxyAck>>,
    /// Number of acknowledgements received so far.
    pub noted: AtomicUsize,
}

impl FakeSink {
    pub fn get(&self, proxy: &str) -> Option<ProxyAck> {
        self.acks.lock().expect("lock").get(proxy).cloned()
    }

    pub fn clear(&self) {
        self.acks.lock().expect("lock").clear();
    }
}

impl AckSink for FakeSink {
    fn record(&self, acks: Vec<ProxyAck>) {
        self.noted.fetch_add(acks.len(), Ordering::SeqCst);
        let mut stored = self.acks.lock().expect("lock");
        stored.extend(acks.into_iter().map(|ack| (ack.proxy.clone(), ack)));
    }
}

/// The control thread of one daemon. Dropping it stops the daemon without a leave, as in a crash.
pub struct TestDaemon {
    pub handle: SpreadHandle,
    pub config: Arc<ConfigHolder>,
    pub members: Arc<SharedMembers>,
    pub meter: Arc<ControlMeter>,
    pub allowances: Arc<AllowanceBook>,
    pub address: SocketAddr,
    pub name: String,
}

impl TestDaemon {
    pub fn version(&self) -> Version {
        self.config.current().version()
    }

    pub fn present_count(&self) -> usize {
        self.members.snapshot().values().filter(|record| record.is_active()).count()
    }

    pub fn leave(&self) {
        self.members.update(|table| table.set_status(MemberStatus::Leaving), |_| true);
    }
}

/// State shared by the daemons of a test.
pub struct TestFleet {
    pub platform: Arc<FakePlatform>,
    pub sink: Arc<FakeSink>,
    pub options: SpreadOptions,
    start_count: AtomicUsize,
}

impl TestFleet {
    pub fn new() -> Self {
        // A daemon of one test may get the port of another test's stopped one, so each fleet has
        // its own secret.
        static FLEETS: AtomicUsize = AtomicUsize::new(0);
        let number = FLEETS.fetch_add(1, Ordering::Relaxed);
        let secret = format!("{SECRET} {number} of {}", std::process::id());
        let options = SpreadOptions { secret, ..SpreadOptions::default() };
        let start_count = AtomicUsize::new(0);
        Self { platform: FakePlatform::new(), sink: Arc::default(), options, start_count }
    }

    pub fn start(&self, name: &str, data_centre: &str, seeds: &[SocketAddr]) -> TestDaemon {
        let options = SpreadOptions { seeds: seeds.to_vec(), ..self.options.clone() };
        self.start_with(name, data_centre, options, self.platform.clone())
    }

    pub fn start_with(
        &self,
        name: &str,
        data_centre: &str,
        options: SpreadOptions,
        platform: Arc<FakePlatform>,
    ) -> TestDaemon {
        self.start_with_source(name, data_centre, options, platform.clone(), platform)
    }

    /// Starts a daemon whose source and contact store may be different platforms.
    pub fn start_with_source(
        &self,
        name: &str,
        data_centre: &str,
        options: SpreadOptions,
        source: Arc<dyn ConfigSource>,
        contacts: Arc<FakePlatform>,
    ) -> TestDaemon {
        let listener = bind_any();
        let address = listener.local_addr().expect("an address");
        self.start_at((listener, address), name, data_centre, options, source, contacts)
    }

    /// Starts a daemon that others reach through a bandwidth-limited link.
    pub fn start_behind_link(
        &self,
        bytes_per_s: usize,
        name: &str,
        data_centre: &str,
        seeds: &[SocketAddr],
        source: Arc<dyn ConfigSource>,
    ) -> (TestDaemon, SlowLink) {
        let listener = bind_any();
        let link = SlowLink::start(listener.local_addr().expect("an address"), bytes_per_s);
        let options = SpreadOptions { seeds: seeds.to_vec(), ..self.options.clone() };
        let place = (listener, link.address);
        (self.start_at(place, name, data_centre, options, source, self.platform.clone()), link)
    }

    fn start_at(
        &self,
        (listener, address): (TcpListener, SocketAddr),
        name: &str,
        data_centre: &str,
        options: SpreadOptions,
        source: Arc<dyn ConfigSource>,
        contacts: Arc<FakePlatform>,
    ) -> TestDaemon {
        let incarnation = self.start_count.fetch_add(1, Ordering::SeqCst) as u64 + 1;
        let record = MemberRecord {
            proxy: name.to_owned(),
            incarnation,
            sequence: 1,
            status: MemberStatus::Alive,
            data_centre: data_centre.to_owned(),
            region: "slovenia".to_owned(),
            control: address,
            guard: address,
            endpoints: Vec::new(),
        };
        let config = Arc::new(ConfigHolder::new());
        let members = Arc::new(SharedMembers::new(record));
        let meter = Arc::new(ControlMeter::default());
        let (allowances, calls) = AllowanceBook::new(name);
        let allowances = Arc::new(allowances);
        let port = AllowancePort { desk: allowances.clone(), calls };
        let parts = SpreadParts {
            notices: Vec::new(),
            allowances: Some(port),
            config: config.clone(),
            members: members.clone(),
            source,
            contacts: Some(contacts),
            roster: None,
            acks: self.sink.clone(),
            meter: meter.clone(),
        };
        let handle = start_spread(options, listener, parts).expect("spread starts");
        TestDaemon { handle, config, members, meter, allowances, address, name: name.to_owned() }
    }

    /// Starts `count` daemons in each data centre and waits until all know each other.
    pub fn start_all(&self, data_centres: &[&str], count: usize) -> Vec<TestDaemon> {
        let mut daemons: Vec<TestDaemon> = Vec::new();
        for data_centre in data_centres {
            for index in 0..count {
                let seeds: Vec<_> = daemons.iter().take(2).map(|daemon| daemon.address).collect();
                daemons.push(self.start(&format!("{data_centre}-{index:02}"), data_centre, &seeds));
            }
        }
        let total = daemons.len();
        wait_for("all daemons to join and be ready", || {
            daemons.iter().all(|daemon| daemon.present_count() == total && daemon.config.is_ready())
        });
        daemons
    }
}

fn bind_any() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

/// Counts the calls of one kind that daemons have sent.
pub fn count_calls(daemons: &[TestDaemon], kind: &str) -> u64 {
    let states = daemons.iter().map(|daemon| daemon.handle.reader().state());
    let kinds = states.flat_map(|state| state.kinds);
    kinds.filter(|counted| counted.kind == kind).map(|counted| counted.calls).sum()
}

/// Returns the names of a data centre's relays, ordered by preference.
pub fn relays(daemon: &TestDaemon, data_centre: &str) -> Vec<String> {
    let members = daemon.members.snapshot();
    choose_relays(members.values().map(|record| &**record), data_centre, 2)
}

pub fn all_hold(daemons: &[TestDaemon], version: Version) -> bool {
    daemons.iter().all(|daemon| daemon.version() >= version)
}

/// Waits for a condition and returns how long it took.
///
/// # Panics
///
/// Panics if the condition is not met within [`MAX_WAIT`].
pub fn wait_for(what: &str, mut is_met: impl FnMut() -> bool) -> Duration {
    let started_at = Instant::now();
    while !is_met() {
        assert!(started_at.elapsed() < MAX_WAIT, "timed out waiting for {what}");
        std::thread::sleep(POLL_PAUSE);
    }
    started_at.elapsed()
}
