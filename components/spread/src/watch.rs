//! Watches and reads the configuration source. Usually the relays watch it for their data centre;
//! other daemons take over if the relays fail to reach it, so that new versions still arrive.
//! Reads for starting daemons are batched to spare the platform's rate limit.

use std::{rc::Rc, sync::Arc, time::Duration};

use sk_model::ConfigSnapshot;
use tokio::{
    sync::{mpsc, oneshot},
    time::Instant,
};

use crate::{
    backoff::RetryPause,
    config_holder::OfferOutcome,
    node::{PLATFORM, SpreadNode},
    source::WatchResult,
    tasks::{ConfirmOutcome, VersionOrigin},
};

/// Upper bound of the first pause after the source failed.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause after the source failed, for a relay; also the wait of a daemon that is not in the
/// order, for example while it leaves, before it checks again. With 18 relays it means 36 calls a
/// second at an unreachable source, 1/50 of its rate limit, and a delay of at most one second once
/// it is back: a version must be in force 2 seconds after its acknowledgement.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// Time in which a read of the source waits for more requests to share it. The start of a single
/// daemon is delayed by it.
const READ_BATCH_PAUSE: Duration = Duration::from_millis(100);
/// The same if the last read ended within [`HERD_WINDOW`]. When a whole fleet restarts, it limits
/// one relay to 3 reads a second, however many daemons ask.
const HERD_BATCH_PAUSE: Duration = Duration::from_millis(300);
/// Time after a read in which further requests count as those of a restarting fleet.
const HERD_WINDOW: Duration = Duration::from_secs(1);

/// Request for a read of the source, answered with the outcome.
type ConfirmRequest = oneshot::Sender<ConfirmOutcome>;

/// Watches the source whenever it is this daemon's turn.
pub(crate) async fn watch_source(node: &Rc<SpreadNode>) {
    // Before readiness, only `start` reads the source.
    let mut ready = node.config.ready();
    let _ = ready.wait_for(|is_ready| *is_ready).await;
    node.freshness.borrow_mut().reset(node.started_at.elapsed());
    let mut relays = node.relays.subscribe();
    let mut watch = SourceWatch::default();
    loop {
        let due = node.freshness.borrow().poll_due_in(node.started_at.elapsed());
        if due == Some(Duration::ZERO) {
            watch.watch_once(node).await;
            continue;
        }
        watch.end_turn(node);
        let pause = due.unwrap_or(LONGEST_PAUSE);
        // The turn may come earlier if daemons that precede this one are gone.
        let _ = tokio::time::timeout(pause, relays.changed()).await;
    }
}

/// State of one daemon's watch of the source.
struct SourceWatch {
    /// The newest version seen, including one that was rejected here.
    last_seen: Arc<ConfigSnapshot>,
    pause: RetryPause,
    /// Whether the source is being watched.
    is_watching: bool,
    /// Whether heartbeats have reported the first success of this turn.
    has_reported: bool,
}

impl Default for SourceWatch {
    fn default() -> Self {
        let pause = RetryPause::new(FIRST_PAUSE, LONGEST_PAUSE);
        Self { last_seen: Arc::default(), pause, is_watching: false, has_reported: false }
    }
}

impl SourceWatch {
    /// Waits once for a version newer than any seen.
    async fn watch_once(&mut self, node: &SpreadNode) {
        self.begin_turn(node);
        let newest = node.config.newest();
        // A rejected version was seen but is not held: waiting for one newer than the held version
        // would return the rejected one again at once, in a loop.
        let is_rejected = self.last_seen.version() > newest.version();
        let after = if is_rejected { self.last_seen.clone() } else { newest };
        match node.source.wait_newer(&after, node.options.max_watch_wait()).await {
            Ok(result) => self.handle_result(node, result),
            Err(err) => {
                node.source_outage.record_failure(&err);
                node.stats.set_source_fault(Some(err.reason));
                tokio::time::sleep(self.pause.next()).await;
            }
        }
    }

    /// Handles a successful wait: offers a newer version and records the freshness proof.
    fn handle_result(&mut self, node: &SpreadNode, result: WatchResult) {
        node.source_outage.record_success();
        node.stats.set_source_fault(None);
        self.pause.reset();
        if let Some(snapshot) = result.newer {
            self.last_seen = Arc::new(snapshot.clone());
            node.offer(snapshot, PLATFORM, VersionOrigin::Source);
        }
        node.record_source_read(result.read_at);
        // The next daemons in the order would also start to watch if they learnt of the success
        // only with the next regular heartbeat.
        if !std::mem::replace(&mut self.has_reported, true) {
            node.links.borrow().request_beats();
        }
    }

    /// Starts a turn of watching. A daemon that is no relay does so in place of those that failed
    /// to read the source.
    fn begin_turn(&mut self, node: &SpreadNode) {
        if std::mem::replace(&mut self.is_watching, true) {
            return;
        }
        let freshness = node.freshness.borrow();
        let predecessors = freshness.takeovers_before().unwrap_or_default();
        // Each further daemon that fails as well calls more rarely: all daemons of a data centre
        // fail while the source is unreachable, and their calls must not grow with their number.
        let position = u32::try_from(predecessors).unwrap_or(u32::MAX).saturating_add(1);
        self.pause = RetryPause::new(FIRST_PAUSE, LONGEST_PAUSE.saturating_mul(position));
        let latest_proof = freshness.proof();
        let age =
            latest_proof.map(|proof| node.started_at.elapsed().saturating_sub(proof.polled_at));
        let source_age_ms = age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX));
        log::info!(
            source_age_ms:?, turns = predecessors;
            "spread: started to watch the configuration source."
        );
        if let Some(proof) = latest_proof {
            node.source.resume_history(proof.history);
        }
    }

    /// Ends the turn and leaves the source to the daemons that precede this one.
    fn end_turn(&mut self, node: &SpreadNode) {
        if std::mem::take(&mut self.is_watching) {
            self.has_reported = false;
            node.source_outage.end_without_line();
            node.stats.set_source_fault(None);
            log::info!(
                "spread: stopped watching the configuration source; other daemons watch it."
            );
        }
    }
}

/// Reads the source for daemons that must confirm that they hold the newest version.
///
/// When a whole fleet restarts, hundreds of daemons ask one relay within a second. Each read
/// serves all requests that arrived before it began, so that the platform sees one read at a time
/// per relay. A read that began earlier would not do, as it may have missed a version accepted
/// since.
pub(crate) async fn serve_confirmations(
    node: &Rc<SpreadNode>,
    mut requests: mpsc::UnboundedReceiver<ConfirmRequest>,
) {
    let mut last_read: Option<Instant> = None;
    while let Some(first) = requests.recv().await {
        let mut batch = vec![first];
        let is_herd = last_read.is_some_and(|last_read| last_read.elapsed() < HERD_WINDOW);
        tokio::time::sleep(if is_herd { HERD_BATCH_PAUSE } else { READ_BATCH_PAUSE }).await;
        while let Ok(next) = requests.try_recv() {
            batch.push(next);
        }
        let outcome = read_source(node).await;
        last_read = Some(Instant::now());
        for request in batch {
            let _ = request.send(outcome);
        }
    }
}

/// Reads the source once and offers what it holds.
async fn read_source(node: &SpreadNode) -> ConfirmOutcome {
    node.stats.count_source_read();
    let started_at = Instant::now();
    // A version that a starting daemon reads is usually new to that daemon alone.
    let origin = match node.config.is_ready() {
        true => VersionOrigin::Source,
        false => VersionOrigin::Found,
    };
    let outcome = match node.source.load(&node.config.newest()).await {
        Err(err) => {
            node.source_outage.record_failure(&err);
            node.stats.set_source_fault(Some(err.reason));
            return ConfirmOutcome::Unreachable;
        }
        Ok(snapshot) => node.offer(snapshot, PLATFORM, origin),
    };
    node.source_outage.record_success();
    node.stats.set_source_fault(None);
    node.record_source_read(started_at);
    match outcome {
        OfferOutcome::Rejected(_) => ConfirmOutcome::Rejected,
        _ => {
            node.set_ready("the configuration source");
            ConfirmOutcome::UpToDate
        }
    }
}
