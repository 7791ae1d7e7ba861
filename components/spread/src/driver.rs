//! Starts and stops the control thread, and connects its tasks. The thread has its own runtime, so
//! that neither requests nor control traffic delay each other.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use sk_logs::OutageLog;
use sk_member::{FreshnessBook, LivenessMonitor, MemberBoard, MonitorOptions};
use tokio::{
    net::TcpListener,
    sync::{Semaphore, mpsc, oneshot, watch},
    task::LocalSet,
    time::Instant,
};

use crate::{
    acks::{flush_acks, keep_acks},
    connect::serve_session,
    counted::ControlMeter,
    fetch::fetch_wanted,
    held::HeldConfig,
    join::{JoinStage, join_fleet, keep_contacts},
    link_board::LinkBoard,
    links::keep_links,
    neighbours::watch_neighbours,
    news::pass_own_record,
    node::SpreadNode,
    notices::pass_notices,
    options::SpreadOptions,
    orders::{ConfirmOutcome, FetchWant, PassOrder},
    pass::pass_versions,
    relays::keep_relays,
    repair::repair_forever,
    source::{AckSink, ConfigSource, ContactBook, NoticeBoard},
    start::settle_start,
    state::{SpreadState, SpreadStats},
    watch::{confirm_source, watch_source},
};

/// Pause after the listener failed. It usually fails because file descriptors ran out, and the
/// loop would spin without the pause.
const ACCEPT_PAUSE: Duration = Duration::from_millis(200);
/// Longest wait for the control thread to end. It ends at its next await point; a thread that is
/// blocked by a call that never returns must not keep the process alive.
const STOP_TIME: Duration = Duration::from_millis(200);
/// Time between checks whether the thread has ended.
const STOP_LOOK: Duration = Duration::from_millis(2);
/// Maximum number of queued fetches; versions beyond it are left to the next reconciliation.
const MAX_WANTS: usize = 32;

/// Parts of the daemon that the control thread uses.
pub struct SpreadParts {
    /// The held configuration.
    pub held: Arc<HeldConfig>,
    /// The known members.
    pub members: Arc<MemberBoard>,
    /// The source of accepted configurations.
    pub source: Arc<dyn ConfigSource>,
    /// Stores contacts; without it only seeds are tried.
    pub contacts: Option<Arc<dyn ContactBook>>,
    /// Receives acknowledgements at a relay.
    pub acks: Arc<dyn AckSink>,
    /// Notices about requests; without it none are distributed.
    pub notices: Option<Arc<dyn NoticeBoard>>,
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
    held: Arc<HeldConfig>,
}

impl StateReader {
    /// Returns the current state.
    pub fn state(&self) -> SpreadState {
        self.stats.state(self.held.is_ready())
    }
}

/// Receiving ends of the queues between tasks.
struct QueueEnds {
    passes: mpsc::UnboundedReceiver<PassOrder>,
    wants: mpsc::Receiver<FetchWant>,
    confirms: mpsc::UnboundedReceiver<oneshot::Sender<ConfirmOutcome>>,
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
    let (stop, stopped) = oneshot::channel();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let stats = Arc::new(SpreadStats::default());
    let reader = StateReader { stats: stats.clone(), held: parts.held.clone() };
    let (ending, ended) = watch::channel(false);
    let run = move || {
        // Dropped at the end of the thread, including a panic.
        let _ending = ending;
        let tasks = LocalSet::new();
        tasks.block_on(&runtime, async move {
            tokio::select! {
                () = run_node(options, listener, parts, stats) => (),
                _ = stopped => (),
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
        let until = Instant::now() + STOP_TIME;
        while !thread.is_finished() && Instant::now() < until {
            std::thread::sleep(STOP_LOOK);
        }
        match thread.is_finished() {
            false => log::error!("spread: the control thread does not end; it is left behind."),
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

async fn run_node(
    options: SpreadOptions,
    listener: std::net::TcpListener,
    parts: SpreadParts,
    stats: Arc<SpreadStats>,
) {
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(err) => return log::error!("spread: cannot listen: {err}."),
    };
    let (node, ends) = make_node(options, parts, stats);
    let stage = watch::Sender::new(JoinStage::Trying);
    tokio::join!(
        accept_peers(&node, listener),
        join_fleet(&node, &stage),
        settle_start(&node, stage.subscribe()),
        keep_contacts(&node),
        keep_relays(&node),
        keep_links(&node),
        watch_neighbours(&node),
        pass_own_record(&node),
        pass_notices(&node),
        watch_source(&node),
        confirm_source(&node, ends.confirms),
        pass_versions(&node, ends.passes),
        fetch_wanted(&node, ends.wants),
        repair_forever(&node),
        keep_acks(&node),
        flush_acks(&node),
    );
}

fn make_node(
    options: SpreadOptions,
    parts: SpreadParts,
    stats: Arc<SpreadStats>,
) -> (Rc<SpreadNode>, QueueEnds) {
    let (passes, pass_end) = mpsc::unbounded_channel();
    let (wants, want_end) = mpsc::channel(MAX_WANTS);
    let (confirms, confirm_end) = mpsc::unbounded_channel();
    let own = parts.members.own();
    let monitor = MonitorOptions { suspect: options.suspect_after, ..MonitorOptions::default() };
    let monitor = LivenessMonitor::new(own.proxy.clone(), own.incarnation, monitor);
    let node = SpreadNode {
        own_name: own.proxy.clone(),
        start: Instant::now(),
        held: parts.held,
        members: parts.members,
        source: parts.source,
        source_outage: OutageLog::new("spread", "the configuration source"),
        freshness: RefCell::new(FreshnessBook::new(&own.proxy, options.look_options())),
        contacts: parts.contacts,
        acks: parts.acks,
        ack_batch: Default::default(),
        notices: parts.notices,
        meter: parts.meter,
        stats,
        pool: Default::default(),
        unproven: Cell::new(0),
        relays: watch::Sender::default(),
        links: RefCell::new(LinkBoard::new(monitor)),
        places: Arc::new(Semaphore::new(options.max_fetches)),
        passes,
        wants,
        confirms,
        last_push: RefCell::default(),
        announced: Cell::new(0),
        expected: Cell::new(0),
        options,
    };
    let ends = QueueEnds { passes: pass_end, wants: want_end, confirms: confirm_end };
    (Rc::new(node), ends)
}

async fn accept_peers(node: &Rc<SpreadNode>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => serve_session(node, stream),
            Err(err) => {
                log::warn!("spread: cannot accept: {err}.");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
