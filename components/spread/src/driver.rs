//! The control thread: who is asked for what, and when.

use std::{
    cell::RefCell,
    collections::{BTreeSet, HashMap},
    future::Future,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use capnp::Error;
use rand::seq::IndexedRandom;
use sk_member::{MemberBoard, MemberRecord, choose_relays};
use sk_model::{ConfigSnapshot, ProxyAck, ProxyId, UnixMillis};
use tokio::{net::TcpListener, sync::mpsc, task::LocalSet};

use crate::{
    codec,
    counted::ControlMeter,
    held::{HeldConfig, HeldStatus, OfferOutcome},
    link::{connect_peer, serve_peer},
    peer_capnp::{digest, peer},
    source::{AckSink, ConfigSource},
    update::{apply_update, make_update},
};

/// Time until a call to a peer counts as failed.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest wait of one watch at the configuration source.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause after the configuration source failed, before jitter.
const SOURCE_RETRY: Duration = Duration::from_millis(500);
/// Time between looks at whether this daemon is a relay.
const RELAY_CHECK: Duration = Duration::from_millis(250);

/// How the spread behaves.
#[derive(Clone, Debug)]
pub struct SpreadOptions {
    /// Secret shared by the fleet's daemons.
    pub secret: String,
    /// Control addresses tried while no other daemon is known.
    pub seeds: Vec<SocketAddr>,
    /// Mean time between comparisons with a random peer.
    pub repair_interval: Duration,
    /// Daemons per data centre that watch the configuration source.
    pub relays: usize,
}

/// What the control thread and its servers share.
pub(crate) struct SpreadShared {
    pub(crate) options: SpreadOptions,
    pub(crate) held: Arc<HeldConfig>,
    pub(crate) members: Arc<MemberBoard>,
    pub(crate) acks: Arc<dyn AckSink>,
    pub(crate) meter: Arc<ControlMeter>,
    source: Arc<dyn ConfigSource>,
    wants: mpsc::UnboundedSender<ProxyId>,
}

/// The running spread.
pub struct SpreadHandle {
    stop: Option<tokio::sync::oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

/// Starts the control thread.
///
/// # Errors
///
/// Returns an I/O error when the thread or its runtime cannot start.
pub fn start_spread(
    options: SpreadOptions,
    listener: std::net::TcpListener,
    held: Arc<HeldConfig>,
    members: Arc<MemberBoard>,
    source: Arc<dyn ConfigSource>,
    acks: Arc<dyn AckSink>,
    meter: Arc<ControlMeter>,
) -> std::io::Result<SpreadHandle> {
    listener.set_nonblocking(true)?;
    let (wants, wanted) = mpsc::unbounded_channel();
    let (stop, stopped) = tokio::sync::oneshot::channel();
    let shared = Arc::new(SpreadShared { options, held, members, acks, meter, source, wants });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let run = move || {
        let tasks = LocalSet::new();
        tasks.spawn_local(run_driver(shared, listener, wanted));
        runtime.block_on(tasks.run_until(async move {
            let _ = stopped.await;
        }));
    };
    let thread = std::thread::Builder::new().name("spread".to_owned()).spawn(run)?;
    Ok(SpreadHandle { stop: Some(stop), thread: Some(thread) })
}

impl SpreadHandle {
    /// Ends the control thread and waits for it.
    pub fn stop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!("spread: the control thread panicked.");
        }
    }
}

impl Drop for SpreadHandle {
    fn drop(&mut self) {
        self.stop();
    }
}

impl SpreadShared {
    pub(crate) fn write_digest(&self, mut builder: digest::Builder<'_>) {
        builder.set_proxy(&self.members.own().proxy);
        builder.set_version(self.held.current().version());
    }

    /// Asks the control thread to fetch the newest version from a peer.
    pub(crate) fn want_fetch(&self, proxy: ProxyId) {
        // The receiver lives as long as the control thread; at shutdown nothing is wanted.
        let _ = self.wants.send(proxy);
    }

    pub(crate) fn offer(&self, snapshot: ConfigSnapshot, source: &str) -> OfferOutcome {
        let version = snapshot.version();
        let outcome = self.held.offer(snapshot, source, unix_now());
        match &outcome {
            OfferOutcome::Applied => log::info!("spread: version {version} from {source}."),
            OfferOutcome::NotNewer => (),
            OfferOutcome::Rejected(rejected) => {
                log::warn!("spread: version {version} refused: {}.", rejected.reason);
            }
        }
        outcome
    }

    fn is_relay(&self) -> bool {
        let own = self.members.own();
        self.relays_of(&own.data_centre).contains(&own.proxy)
    }

    fn relays_of(&self, data_centre: &str) -> Vec<ProxyId> {
        let view = self.members.view();
        let records = view.values().map(|record| &**record);
        choose_relays(records, data_centre, self.options.relays)
    }

    fn others(&self) -> Vec<Arc<MemberRecord>> {
        let own = self.members.own();
        let view = self.members.view();
        let is_other = |record: &&Arc<MemberRecord>| record.proxy != own.proxy;
        view.values().filter(is_other).filter(|record| record.is_present()).cloned().collect()
    }
}

/// Connections kept open to peers, used by the control thread only.
struct SpreadDriver {
    shared: Arc<SpreadShared>,
    peers: RefCell<HashMap<SocketAddr, peer::Client>>,
}

async fn run_driver(
    shared: Arc<SpreadShared>,
    listener: std::net::TcpListener,
    wanted: mpsc::UnboundedReceiver<ProxyId>,
) {
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(err) => return log::error!("spread: cannot listen: {err}."),
    };
    let driver = Rc::new(SpreadDriver { shared, peers: RefCell::default() });
    tokio::join!(
        accept_peers(&driver.shared, listener),
        repair_forever(&driver),
        watch_source(&driver.shared),
        pass_versions(&driver),
        pass_records(&driver),
        fetch_wanted(&driver, wanted),
    );
}

async fn accept_peers(shared: &Arc<SpreadShared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => serve_peer(shared, stream),
            // Out of file descriptors, usually: without the pause this loop would spin.
            Err(err) => {
                log::warn!("spread: cannot accept: {err}.");
                tokio::time::sleep(SOURCE_RETRY).await;
            }
        }
    }
}

async fn repair_forever(driver: &Rc<SpreadDriver>) {
    loop {
        let address = driver.pick_address();
        if let Some(address) = address
            && let Err(err) = driver.exchange(address).await
        {
            log::debug!("spread: exchange with {address} failed: {err}.");
        }
        tokio::time::sleep(driver.repair_pause()).await;
    }
}

async fn watch_source(shared: &Arc<SpreadShared>) {
    // Every daemon asks once at its start: it must not serve before it holds what it held.
    load_first(shared).await;
    loop {
        if !shared.is_relay() {
            tokio::time::sleep(RELAY_CHECK).await;
            continue;
        }
        match shared.source.wait_newer(&shared.held.current(), WATCH_TIMEOUT).await {
            Ok(Some(snapshot)) => drop(shared.offer(snapshot, "platform")),
            Ok(None) => (),
            Err(err) => {
                log::warn!("spread: {err}.");
                tokio::time::sleep(jittered(SOURCE_RETRY)).await;
            }
        }
    }
}

async fn load_first(shared: &Arc<SpreadShared>) {
    loop {
        match shared.source.load(&shared.held.current()).await {
            Ok(snapshot) => return drop(shared.offer(snapshot, "platform")),
            Err(err) => log::warn!("spread: {err}."),
        }
        tokio::time::sleep(jittered(SOURCE_RETRY)).await;
        if shared.held.current().version() > 0 {
            return;
        }
    }
}

async fn pass_versions(driver: &Rc<SpreadDriver>) {
    let mut status = driver.shared.held.subscribe();
    let mut last = driver.shared.held.current();
    while status.changed().await.is_ok() {
        let held = status.borrow_and_update().clone();
        let newest = driver.shared.held.current();
        let acks = driver.acknowledge(&held);
        let pushes = driver.push(&last, &newest);
        tokio::join!(acks, pushes);
        last = newest;
    }
}

async fn pass_records(driver: &Rc<SpreadDriver>) {
    let mut views = driver.shared.members.subscribe();
    let mut sequence = driver.shared.members.own().sequence;
    while views.changed().await.is_ok() {
        let own = driver.shared.members.own();
        if own.sequence != sequence {
            sequence = own.sequence;
            let others = driver.shared.others();
            let calls = others.iter().map(|other| driver.exchange(other.control));
            futures::future::join_all(calls).await;
        }
    }
}

async fn fetch_wanted(driver: &Rc<SpreadDriver>, mut wanted: mpsc::UnboundedReceiver<ProxyId>) {
    while let Some(first) = wanted.recv().await {
        let mut proxies = BTreeSet::from([first]);
        while let Ok(next) = wanted.try_recv() {
            proxies.insert(next);
        }
        for proxy in proxies {
            if let Err(err) = driver.fetch(&proxy).await {
                log::debug!("spread: fetch from {proxy} failed: {err}.");
            }
        }
    }
}

impl SpreadDriver {
    fn pick_address(&self) -> Option<SocketAddr> {
        let mut rng = rand::rng();
        match self.shared.others().choose(&mut rng) {
            Some(record) => Some(record.control),
            None => self.shared.options.seeds.choose(&mut rng).copied(),
        }
    }

    fn repair_pause(&self) -> Duration {
        // Until another daemon is known, nothing can be served from it: ask more often.
        let is_alone = self.shared.others().is_empty();
        let mean = self.shared.options.repair_interval;
        jittered(if is_alone { mean.min(Duration::from_millis(100)) } else { mean })
    }

    async fn peer(&self, address: SocketAddr) -> Result<peer::Client, Error> {
        let known = self.peers.borrow().get(&address).cloned();
        if let Some(peer) = known {
            return Ok(peer);
        }
        let peer = connect_peer(&self.shared, address).await?;
        self.peers.borrow_mut().insert(address, peer.clone());
        Ok(peer)
    }

    /// Makes a call to a peer; a failed one drops the connection, so that the next one is fresh.
    async fn call<T, F: Future<Output = Result<T, Error>>>(
        &self,
        address: SocketAddr,
        call: impl FnOnce(peer::Client) -> F,
    ) -> Result<T, Error> {
        let attempt = async { call(self.peer(address).await?).await };
        let result = match tokio::time::timeout(CALL_TIMEOUT, attempt).await {
            Ok(result) => result,
            Err(_) => Err(Error::overloaded("call timed out".to_owned())),
        };
        if result.is_err() {
            self.peers.borrow_mut().remove(&address);
        }
        result
    }

    async fn exchange(&self, address: SocketAddr) -> Result<(), Error> {
        self.call(address, async |peer| {
            let view = self.shared.members.view();
            let mut request = peer.exchange_request();
            self.shared.write_digest(request.get().init_digest());
            let mut records = request.get().init_records(view.len() as u32);
            for (index, record) in view.values().enumerate() {
                codec::write_member(record, records.reborrow().get(index as u32));
            }
            let response = request.send().promise.await?;
            let response = response.get()?;
            self.shared.merge_records(codec::read_members(response.get_records()?)?);
            let digest = response.get_digest()?;
            if digest.get_version() > self.shared.held.current().version() {
                self.shared.want_fetch(digest.get_proxy()?.to_string()?);
            }
            Ok(())
        })
        .await
    }

    async fn fetch(&self, proxy: &str) -> Result<(), Error> {
        let view = self.shared.members.view();
        let Some(record) = view.get(proxy) else { return Ok(()) };
        self.call(record.control, async |peer| {
            let base = self.shared.held.current();
            let mut request = peer.fetch_request();
            request.get().set_held(base.version());
            request.get().set_held_hash(base.root.hash());
            let response = request.send().promise.await?;
            let update = codec::read_update(response.get()?.get_update()?)?;
            let base = if update.base == 0 { Arc::default() } else { base };
            match apply_update(&base, update) {
                Ok(snapshot) => drop(self.shared.offer(snapshot, proxy)),
                Err(err) => log::warn!("spread: cannot apply a fetch from {proxy}: {err}."),
            }
            Ok(())
        })
        .await
    }

    /// Passes a version on: a relay passes to all of its data centre.
    async fn push(&self, base: &ConfigSnapshot, newest: &ConfigSnapshot) {
        if !self.shared.is_relay() || newest.version() <= base.version() {
            return;
        }
        let update = &make_update(base, newest);
        let own = self.shared.members.own();
        let others = self.shared.others();
        let near = others.iter().filter(|record| record.data_centre == own.data_centre);
        let calls = near.map(async |record| {
            let result = self.call(record.control, async |peer| {
                let mut request = peer.push_request();
                request.get().set_sender(&own.proxy);
                codec::write_update(update, request.get().init_update())?;
                request.send().promise.await.map(drop)
            });
            if let Err(err) = result.await {
                log::debug!("spread: push to {} failed: {err}.", record.proxy);
            }
        });
        futures::future::join_all(calls).await;
    }

    async fn acknowledge(&self, held: &HeldStatus) {
        let own = self.shared.members.own();
        let ack = &ProxyAck {
            proxy: own.proxy.clone(),
            incarnation: own.incarnation,
            data_centre: own.data_centre.clone(),
            version: held.version,
            since: held.since,
            source: held.source.clone(),
            rejected: held.rejected.clone(),
        };
        let relays = self.shared.relays_of(&own.data_centre);
        if relays.contains(&own.proxy) {
            self.shared.acks.note(vec![ack.clone()]);
        }
        let view = self.shared.members.view();
        let records = relays.iter().filter(|relay| **relay != own.proxy);
        let records = records.filter_map(|relay| view.get(relay));
        let calls = records.map(async |record| {
            let result = self.call(record.control, async |peer| {
                let mut request = peer.acknowledge_request();
                codec::write_ack(ack, request.get().init_acks(1).get(0));
                request.send().promise.await.map(drop)
            });
            if let Err(err) = result.await {
                log::debug!("spread: ack to {} failed: {err}.", record.proxy);
            }
        });
        futures::future::join_all(calls).await;
    }
}

fn jittered(mean: Duration) -> Duration {
    mean.mul_f64(rand::random_range(0.5..1.5))
}

fn unix_now() -> UnixMillis {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    now.as_millis() as UnixMillis
}
