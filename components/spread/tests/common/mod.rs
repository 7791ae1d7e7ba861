//! A few daemons' spreads in one process, over TCP, with fakes at the interfaces.

#![allow(dead_code, unused_imports)] // Each test file uses a part of it.

mod link;
mod ways;

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
use sk_member::{MemberBoard, MemberRecord, MemberStatus, choose_relays};
use sk_model::{
    ConfigSnapshot, ProxyAck, RouteSetting, ServiceSetting, SettingBody, SnapshotRoot, TeamTree,
    TreeRef, ValueSetting, Version,
};
use sk_spread::{
    AckSink, ConfigSource, ContactBook, ContactMap, ControlMeter, HeldConfig, SourceError,
    SourceNews, SpreadHandle, SpreadOptions, SpreadParts, start_spread,
};
use tokio::sync::watch;

pub use link::ThinLink;
pub use ways::{CENTRE_DAEMONS, DATA_CENTRES, WayFleet};

/// Longest wait for a condition; an idle machine needs a small part of it.
pub const WAIT_BOUND: Duration = Duration::from_secs(40);
const POLL_PAUSE: Duration = Duration::from_millis(10);
pub const SECRET: &str = "secret of the test fleet";

/// Makes a version whose team subtrees hold the given values, by team and setting.
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

/// A version that names what it is, so that a mixture of two shows.
pub fn numbered(version: Version) -> ConfigSnapshot {
    let text = format!("value {version}");
    make_snapshot(version, &[("board", "a", &text), ("records", "b", &text), ("shop", "c", "same")])
}

/// Makes a version with so many routes to one service.
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

/// Makes text that no encoding makes much smaller.
pub fn noise(bytes: usize) -> String {
    let mut rng = rand::rng();
    (0..bytes).map(|_| rng.random_range('#'..='[')).collect()
}

/// A version that no proxy may put in force: its route names a service that does not exist.
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

/// The platform's part that all daemons of a test share.
pub struct FakePlatform {
    newest: watch::Sender<Arc<ConfigSnapshot>>,
    is_down: AtomicBool,
    pub reads: AtomicUsize,
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
        // Wakes the watches that wait, as an outage cuts their connections.
        self.newest.send_modify(|_| ());
    }

    fn up(&self) -> Result<(), SourceError> {
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
        self.up()?;
        Ok(ConfigSnapshot::clone(&self.newest.borrow()))
    }

    async fn wait_newer(
        &self,
        held: &ConfigSnapshot,
        timeout: Duration,
    ) -> Result<SourceNews, SourceError> {
        let began = tokio::time::Instant::now();
        self.waits.fetch_add(1, Ordering::SeqCst);
        let mut newest = self.newest.subscribe();
        let wait = async {
            loop {
                self.up()?;
                let found = newest.borrow_and_update().clone();
                if found.version() > held.version() {
                    return Ok(ConfigSnapshot::clone(&found));
                }
                let _ = newest.changed().await;
            }
        };
        match tokio::time::timeout(timeout, wait).await {
            Ok(newer) => newer.map(|newer| SourceNews { newer: Some(newer), seen_at: began }),
            Err(_) => Ok(SourceNews { newer: None, seen_at: began + timeout }),
        }
    }
}

/// What one daemon's way to the platform does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WayState {
    /// Calls are answered.
    Open,
    /// Calls are refused at once, those that wait included.
    Refuses,
    /// Calls are not answered.
    Silent,
}

/// A daemon's own way to the platform, which may be closed while the others' are open.
pub struct PlatformWay {
    platform: Arc<FakePlatform>,
    state: watch::Sender<WayState>,
}

impl PlatformWay {
    pub fn new(platform: &Arc<FakePlatform>) -> Arc<Self> {
        let state = watch::Sender::new(WayState::Open);
        Arc::new(Self { platform: platform.clone(), state })
    }

    pub fn set(&self, state: WayState) {
        self.state.send_replace(state);
    }

    /// Carries a call whose answer is due within `timeout`, as far as the way allows.
    async fn carry<T>(
        &self,
        timeout: Duration,
        call: impl Future<Output = Result<T, SourceError>>,
    ) -> Result<T, SourceError> {
        // What a silent call is given beyond its own wait before it counts as lost.
        let grace = Duration::from_millis(700);
        let mut refused = self.state.subscribe();
        let mut held_back = self.state.subscribe();
        // The sender of the states lives as long as the way.
        let refusal = async { drop(refused.wait_for(|state| *state == WayState::Refuses).await) };
        let answer = async {
            let answer = call.await;
            drop(held_back.wait_for(|state| *state != WayState::Silent).await);
            answer
        };
        let lost = |reason: &str| Err(SourceError { reason: reason.to_owned() });
        tokio::select! {
            // A call that is refused must not be answered as well.
            biased;
            () = refusal => lost("refused"),
            answer = answer => answer,
            () = tokio::time::sleep(timeout + grace) => lost("no answer in time"),
        }
    }
}

#[async_trait]
impl ConfigSource for PlatformWay {
    async fn load(&self, held: &ConfigSnapshot) -> Result<ConfigSnapshot, SourceError> {
        self.carry(Duration::from_secs(1), self.platform.load(held)).await
    }

    async fn wait_newer(
        &self,
        held: &ConfigSnapshot,
        timeout: Duration,
    ) -> Result<SourceNews, SourceError> {
        self.carry(timeout, self.platform.wait_newer(held, timeout)).await
    }
}

#[async_trait]
impl ContactBook for FakePlatform {
    async fn read(&self) -> Result<ContactMap, SourceError> {
        self.up()?;
        Ok(self.contacts.lock().expect("lock").clone())
    }

    async fn write(
        &self,
        data_centre: &str,
        seen: Option<&[SocketAddr]>,
        addresses: &[SocketAddr],
    ) -> Result<(), SourceError> {
        self.up()?;
        let mut contacts = self.contacts.lock().expect("lock");
        if contacts.get(data_centre).map(Vec::as_slice) != seen {
            return Err(SourceError { reason: "changed".to_owned() });
        }
        contacts.insert(data_centre.to_owned(), addresses.to_vec());
        Ok(())
    }
}

/// Keeps the acknowledgements that all relays of a test gave on.
#[derive(Default)]
pub struct FakeSink {
    acks: Mutex<BTreeMap<String, ProxyAck>>,
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
    fn note(&self, acks: Vec<ProxyAck>) {
        self.noted.fetch_add(acks.len(), Ordering::SeqCst);
        let mut held = self.acks.lock().expect("lock");
        held.extend(acks.into_iter().map(|ack| (ack.proxy.clone(), ack)));
    }
}

/// One running daemon's spread. Dropping it ends it without a word, as a crash does.
pub struct TestDaemon {
    pub handle: SpreadHandle,
    pub held: Arc<HeldConfig>,
    pub members: Arc<MemberBoard>,
    pub meter: Arc<ControlMeter>,
    pub address: SocketAddr,
    pub name: String,
}

impl TestDaemon {
    pub fn version(&self) -> Version {
        self.held.current().version()
    }

    pub fn present(&self) -> usize {
        self.members.view().values().filter(|record| record.is_present()).count()
    }

    pub fn leave(&self) {
        self.members.update(|table| table.set_status(MemberStatus::Leaving), |_| true);
    }
}

/// What the daemons of a test share.
pub struct TestFleet {
    pub platform: Arc<FakePlatform>,
    pub sink: Arc<FakeSink>,
    pub options: SpreadOptions,
    started: AtomicUsize,
}

impl TestFleet {
    pub fn new() -> Self {
        // A daemon of one test may be given the port of another test's dead one.
        static FLEETS: AtomicUsize = AtomicUsize::new(0);
        let number = FLEETS.fetch_add(1, Ordering::Relaxed);
        let secret = format!("{SECRET} {number} of {}", std::process::id());
        let options = SpreadOptions { secret, ..SpreadOptions::default() };
        let started = AtomicUsize::new(0);
        Self { platform: FakePlatform::new(), sink: Arc::default(), options, started }
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
        self.start_over(name, data_centre, options, platform.clone(), platform)
    }

    /// Starts a daemon whose way to the source is not that to its contacts.
    pub fn start_over(
        &self,
        name: &str,
        data_centre: &str,
        options: SpreadOptions,
        source: Arc<dyn ConfigSource>,
        contacts: Arc<FakePlatform>,
    ) -> TestDaemon {
        let listener = bind_any();
        let control = listener.local_addr().expect("an address");
        self.start_at((listener, control), name, data_centre, options, source, contacts)
    }

    /// Starts a daemon that others reach by a link of its own.
    pub fn start_behind(
        &self,
        bytes_per_s: usize,
        name: &str,
        data_centre: &str,
        seeds: &[SocketAddr],
        source: Arc<dyn ConfigSource>,
    ) -> (TestDaemon, ThinLink) {
        let listener = bind_any();
        let link = ThinLink::start(listener.local_addr().expect("an address"), bytes_per_s);
        let options = SpreadOptions { seeds: seeds.to_vec(), ..self.options.clone() };
        let place = (listener, link.address);
        (self.start_at(place, name, data_centre, options, source, self.platform.clone()), link)
    }

    fn start_at(
        &self,
        (listener, control): (TcpListener, SocketAddr),
        name: &str,
        data_centre: &str,
        options: SpreadOptions,
        source: Arc<dyn ConfigSource>,
        contacts: Arc<FakePlatform>,
    ) -> TestDaemon {
        let incarnation = self.started.fetch_add(1, Ordering::SeqCst) as u64 + 1;
        let record = MemberRecord {
            proxy: name.to_owned(),
            incarnation,
            sequence: 1,
            status: MemberStatus::Alive,
            data_centre: data_centre.to_owned(),
            region: "slovenia".to_owned(),
            control,
            guard: control,
            endpoints: Vec::new(),
        };
        let held = Arc::new(HeldConfig::new());
        let members = Arc::new(MemberBoard::new(record));
        let meter = Arc::new(ControlMeter::default());
        let parts = SpreadParts {
            notices: None,
            held: held.clone(),
            members: members.clone(),
            source,
            contacts: Some(contacts),
            acks: self.sink.clone(),
            meter: meter.clone(),
        };
        let handle = start_spread(options, listener, parts).expect("spread starts");
        TestDaemon { handle, held, members, meter, address: control, name: name.to_owned() }
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
        wait_for("all daemons to meet and be ready", || {
            daemons.iter().all(|daemon| daemon.present() == total && daemon.held.is_ready())
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

/// Names the relays of a data centre, first choice first.
pub fn relays(daemon: &TestDaemon, data_centre: &str) -> Vec<String> {
    let view = daemon.members.view();
    choose_relays(view.values().map(|record| &**record), data_centre, 2)
}

pub fn all_hold(daemons: &[TestDaemon], version: Version) -> bool {
    daemons.iter().all(|daemon| daemon.version() >= version)
}

/// Waits for a condition and gives how long it took.
pub fn wait_for(what: &str, mut is_met: impl FnMut() -> bool) -> Duration {
    let begin = Instant::now();
    while !is_met() {
        assert!(begin.elapsed() < WAIT_BOUND, "waited in vain for {what}");
        std::thread::sleep(POLL_PAUSE);
    }
    begin.elapsed()
}
