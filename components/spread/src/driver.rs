//! Starts and stops the control thread, and connects its tasks. The thread has its own runtime, so
//! that requests and control traffic do not delay each other.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use sk_logs::OutageLog;
use sk_member::{FreshnessTracker, LivenessMonitor, MonitorOptions, SharedMembers};
use tokio::{
    net::TcpListener,
    sync::{Semaphore, mpsc, oneshot, watch},
    task::LocalSet,
    time::Instant,
};

use crate::{
    acks::{deliver_acks, flush_acks},
    allowances::{AllowancePort, send_asks},
    config_holder::ConfigHolder,
    connect::serve_session,
    counted::ControlMeter,
    fetch::run_fetches,
    forward::forward_versions,
    join::{JoinStage, join_fleet, maintain_contacts},
    link_table::LinkTable,
    links::maintain_links,
    neighbours::monitor_neighbours,
    node::SpreadNode,
    notices::send_notices,
    options::SpreadOptions,
    relays::maintain_relays,
    repair::reconcile_repeatedly,
    roster::maintain_roster,
    rumors::send_own_record,
    source::{AckSink, ConfigSource, ContactStore, NoticeExchange, RosterStore},
    start::become_ready,
    state::{SpreadState, SpreadStats},
    tasks::{ConfirmOutcome, FetchTask, ForwardTask},
    watch::{serve_confirmations, watch_source},
};

/// Pause after the listener failed. It usually fails because file descriptors ran out, and the
/// loop would spin without the pause.
const ACCEPT_PAUSE: Duration = Duration::from_millis(200);
/// Longest wait for the control thread to end. It ends at its next await point; a thread that is
/// blocked by a call that never returns must not keep the process alive.
const STOP_TIMEOUT: Duration = Duration::from_millis(200);
/// Time between checks whether the thread has ended.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Maximum number of queued fetches; versions beyond it are left to the next reconciliation.
const MAX_QUEUED_FETCHES: usize = 32;

/// Parts of the daemon that the control thread uses.
pub struct SpreadParts {
    /// The held configuration.
    pub config: Arc<ConfigHolder>,
    /// The known members.
    pub members: Arc<SharedMembers>,
    /// The source of accepted configurations.
    pub source: Arc<dyn ConfigSource>,
    /// Stores contacts; without it only seeds are tried.
    pub contacts: Option<Arc<dyn ContactStore>>,
    /// Stores the names of the fleet's daemons; without it the members are the fleet.
    pub roster: Option<Arc<dyn RosterStore>>,
    /// Receives acknowledgements at a relay.
    pub acks: Arc<dyn AckSink>,
    /// Notices about requests; without it none are distributed.
    pub notices: Vec<Arc<dyn NoticeExchange>>,
    /// Limits of workspaces; without it none are granted here.
    pub allowances: Option<AllowancePort>,
    /// Counts control bytes.
    pub meter: Arc<ControlMeter>,
}

/// Handle of the running control thread, which stops when the handle is dropped.
pub struct SpreadHandle {
    stop: Option<oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
    reader: StateReader,
    ended: watch::Receiver<bool>,
}

/// Reads the state of the control thread for the state dump.
#[derive(Clone)]
pub struct StateReader {
    stats: Arc<SpreadStats>,
    config: Arc<ConfigHolder>,
}

impl StateReader {
    /// Returns the current state.
    pub fn state(&self) -> SpreadState {
        self.stats.state(self.config.is_ready())
    }

    /// Returns whether this daemon watches the configuration source for its data centre.
    pub fn is_relay(&self) -> bool {
        self.stats.is_relay()
    }

    /// Returns the time since this daemon was known to hold the newest configuration; `None` if that
    /// is unknown.
    pub fn source_age(&self) -> Option<Duration> {
        self.stats.source_age()
    }
}

/// Receiving ends of the queues between tasks.
struct QueueReceivers {
    forward_tasks: mpsc::UnboundedReceiver<ForwardTask>,
    fetch_tasks: mpsc::Receiver<FetchTask>,
    confirm_requests: mpsc::UnboundedReceiver<oneshot::Sender<ConfirmOutcome>>,
}

/// Starts the control thread.
///
/// # Errors
///
/// Returns an I/O error if the thread or its runtime cannot start.
pub fn start_spread(
    options: SpreadOptions,
    listener: std::net::TcpListener,
    parts: SpreadParts,
) -> std::io::Result<SpreadHandle> {
    listener.set_nonblocking(true)?;
    let (stop, stop_signal) = oneshot::channel();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let stats = Arc::new(SpreadStats::default());
    let reader = StateReader { stats: stats.clone(), config: parts.config.clone() };
    let (end_sender, ended) = watch::channel(false);
    let run = move || {
        // Dropped at the end of the thread, including a panic.
        let _end_sender = end_sender;
        let tasks = LocalSet::new();
        tasks.block_on(&runtime, async move {
            tokio::select! {
                () = run_tasks(options, listener, parts, stats) => (),
                _ = stop_signal => (),
            }
        });
    };
    let thread = std::thread::Builder::new().name("spread".to_owned()).spawn(run)?;
    Ok(SpreadHandle { stop: Some(stop), thread: Some(thread), reader, ended })
}

impl SpreadHandle {
    /// Returns a reader of the state.
    pub fn reader(&self) -> StateReader {
        self.reader.clone()
    }

    /// Returns a receiver whose sender is dropped once the control thread has ended.
    ///
    /// A daemon without its control thread would go on serving old routes while the other daemons
    /// no longer see it; the only symptom would be missing reports.
    pub fn ended(&self) -> watch::Receiver<bool> {
        self.ended.clone()
    }

    /// Ends the control thread and waits for it for a bounded time.
    pub fn stop(&mut self) {
        drop(self.stop.take());
        let Some(thread) = self.thread.take() else { return };
        let deadline = Instant::now() + STOP_TIMEOUT;
        while !thread.is_finished() && Instant::now() < deadline {
            std::thread::sleep(STOP_POLL_INTERVAL);
        }
        match thread.is_finished() {
            false => log::error!(
                "spread: the control thread did not end in time; the process ends without it."
            ),
            true if thread.join().is_err() => log::error!("spread: the control thread panicked."),
            true => (),
        }
    }
}

impl Drop for SpreadHandle {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Runs all tasks of the control thread until it is stopped.
async fn run_tasks(
    options: SpreadOptions,
    listener: std::net::TcpListener,
    mut parts: SpreadParts,
    stats: Arc<SpreadStats>,
) {
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(err) => return log::error!("spread: cannot listen: {err}."),
    };
    let asks = parts.allowances.as_mut().map(AllowancePort::take_calls);
    let (node, receivers) = make_node(options, parts, stats);
    let stage = watch::Sender::new(JoinStage::Pending);
    let is_roster_tried = watch::Sender::new(false);
    tokio::join!(
        accept_peers(&node, listener),
        join_fleet(&node, &stage),
        become_ready(&node, stage.subscribe(), is_roster_tried.subscribe()),
        maintain_roster(&node, &is_roster_tried),
        maintain_contacts(&node),
        maintain_relays(&node),
        maintain_links(&node),
        monitor_neighbours(&node),
        send_own_record(&node),
        send_notices(&node),
        send_asks(&node, asks),
        watch_source(&node),
        serve_confirmations(&node, receivers.confirm_requests),
        forward_versions(&node, receivers.forward_tasks),
        run_fetches(&node, receivers.fetch_tasks),
        reconcile_repeatedly(&node),
        deliver_acks(&node),
        flush_acks(&node),
    );
}

/// Creates the shared state and the queues between tasks.
fn make_node(
    options: SpreadOptions,
    parts: SpreadParts,
    stats: Arc<SpreadStats>,
) -> (Rc<SpreadNode>, QueueReceivers) {
    let (forward_tasks, forward_receiver) = mpsc::unbounded_channel();
    let (fetch_tasks, fetch_receiver) = mpsc::channel(MAX_QUEUED_FETCHES);
    let (confirm_requests, confirm_receiver) = mpsc::unbounded_channel();
    let own = parts.members.own();
    let monitor =
        MonitorOptions { silence_timeout: options.suspect_after, ..MonitorOptions::default() };
    let monitor = LivenessMonitor::new(own.proxy.clone(), own.incarnation, monitor);
    let node = SpreadNode {
        own_name: own.proxy.clone(),
        started_at: Instant::now(),
        config: parts.config,
        members: parts.members,
        source: parts.source,
        source_outage: OutageLog::new("spread", "the configuration source"),
        freshness: RefCell::new(FreshnessTracker::new(&own.proxy, options.takeover_options())),
        contacts: parts.contacts,
        roster: parts.roster,
        acks: parts.acks,
        ack_batch: Default::default(),
        notices: parts.notices,
        allowances: parts.allowances.map(|port| port.desk),
        meter: parts.meter,
        stats,
        pool: Default::default(),
        unauthenticated: Cell::new(0),
        relays: watch::Sender::default(),
        links: RefCell::new(LinkTable::new(monitor)),
        fetch_slots: Arc::new(Semaphore::new(options.max_fetches)),
        forward_tasks,
        fetch_tasks,
        confirm_requests,
        last_push: RefCell::default(),
        last_announced: Cell::new(0),
        scheduled_fetch: Cell::new(0),
        options,
    };
    let receivers = QueueReceivers {
        forward_tasks: forward_receiver,
        fetch_tasks: fetch_receiver,
        confirm_requests: confirm_receiver,
    };
    (Rc::new(node), receivers)
}

/// Accepts connections of peers.
async fn accept_peers(node: &Rc<SpreadNode>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => serve_session(node, stream),
            Err(err) => {
                log::warn!("spread: cannot accept a connection: {err}.");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
