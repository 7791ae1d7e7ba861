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
    held::OfferOutcome,
    node::{PLATFORM, SpreadNode},
    orders::{ConfirmOutcome, VersionOrigin},
    source::SourceNews,
};

/// First and longest pause after the source failed. With 18 relays the cap means 36 calls a second
/// at an unreachable source, 1/50 of its rate limit, and a delay of at most one second once it is
/// back: a version must be in force 2 seconds after its
/// acknowledgement.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// Time in which a read of the source waits for more requests to share it. The start of a single
/// daemon is delayed by it.
const GATHER_PAUSE: Duration = Duration::from_millis(100);
/// The same if the last read ended within [`HERD_WINDOW`]. When a whole fleet restarts, it limits
/// one relay to 3 reads a second, however many daemons ask.
const HERD_PAUSE: Duration = Duration::from_millis(300);
const HERD_WINDOW: Duration = Duration::from_secs(1);

type ConfirmRequest = oneshot::Sender<ConfirmOutcome>;

/// Watches the source whenever it is this daemon's turn.
pub(crate) async fn watch_source(node: &Rc<SpreadNode>) {
    // Before readiness, only `start` reads the source.
    let mut ready = node.held.ready();
    let _ = ready.wait_for(|is_ready| *is_ready).await;
    node.freshness.borrow_mut().restart(node.start.elapsed());
    let mut relays = node.relays.subscribe();
    let mut watch = SourceWatch::default();
    loop {
        let due = node.freshness.borrow().due_in(node.start.elapsed());
        if due == Some(Duration::ZERO) {
            watch.look(node).await;
            continue;
        }
        watch.leave(node);
        let pause = due.unwrap_or(LONGEST_PAUSE);
        // The turn may come earlier if daemons that precede this one are gone.
        let _ = tokio::time::timeout(pause, relays.changed()).await;
    }
}

/// State of one daemon's watch of the source.
struct SourceWatch {
    /// The newest version seen, including one that was rejected here.
    seen: Arc<ConfigSnapshot>,
    pause: RetryPause,
    /// Whether the source is being watched.
    is_on: bool,
    /// Whether heartbeats have reported the first success of this turn.
    is_told: bool,
}

impl Default for SourceWatch {
    fn default() -> Self {
        let pause = RetryPause::new(FIRST_PAUSE, LONGEST_PAUSE);
        Self { seen: Arc::default(), pause, is_on: false, is_told: false }
    }
}

impl SourceWatch {
    async fn look(&mut self, node: &SpreadNode) {
        self.begin(node);
        let newest = node.held.newest();
        // A rejected version was seen but is not held: waiting for one newer than the held version
        // would return the rejected one again at once, in a loop.
        let is_refused = self.seen.version() > newest.version();
        let after = if is_refused { self.seen.clone() } else { newest };
        match node.source.wait_newer(&after, node.options.watch_wait()).await {
            Ok(news) => self.take(node, news),
            Err(err) => {
                node.source_outage.lost(&err);
                node.stats.note_source(Some(err.reason));
                tokio::time::sleep(self.pause.next()).await;
            }
        }
    }

    fn take(&mut self, node: &SpreadNode, news: SourceNews) {
        node.source_outage.back();
        node.stats.note_source(None);
        self.pause.reset();
        if let Some(snapshot) = news.newer {
            self.seen = Arc::new(snapshot.clone());
            node.offer(snapshot, PLATFORM, VersionOrigin::Source);
        }
        node.note_seen(news.seen_at);
        // The next daemons in the order would also start to watch if they learnt of the success
        // only with the next regular heartbeat.
        if !std::mem::replace(&mut self.is_told, true) {
            node.links.borrow().send_beats();
        }
    }

    /// Starts a turn of watching, in place of daemons that failed to if this is no relay.
    fn begin(&mut self, node: &SpreadNode) {
        if std::mem::replace(&mut self.is_on, true) {
            return;
        }
        let freshness = node.freshness.borrow();
        let turns = freshness.turns_before().unwrap_or_default();
        // Each further daemon that fails as well calls more rarely: all daemons of a data centre
        // fail while the source is unreachable, and their calls must not grow with their number.
        let turn = u32::try_from(turns).unwrap_or(u32::MAX).saturating_add(1);
        self.pause = RetryPause::new(FIRST_PAUSE, LONGEST_PAUSE.saturating_mul(turn));
        let held = freshness.held();
        let age = held.map(|proof| node.start.elapsed().saturating_sub(proof.seen_at));
        let source_age_ms = age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX));
        log::info!(source_age_ms:?, turns; "spread: watches the configuration source.");
        if let Some(proof) = held {
            node.source.follow_from(proof.history);
        }
    }

    /// Ends the turn and leaves the source to the daemons that precede this one.
    fn leave(&mut self, node: &SpreadNode) {
        if std::mem::take(&mut self.is_on) {
            self.is_told = false;
            node.source_outage.dismiss();
            node.stats.note_source(None);
            log::info!("spread: leaves the configuration source to others.");
        }
    }
}

/// Reads the source for daemons that must confirm that they hold the newest version.
///
/// When a whole fleet restarts, hundreds of daemons ask one relay within a second. Each read
/// serves all requests that arrived before it began, so that the platform sees one read at a time
/// per relay. A read that began earlier would not do, as it may have missed a version accepted
/// since.
pub(crate) async fn confirm_source(
    node: &Rc<SpreadNode>,
    mut requests: mpsc::UnboundedReceiver<ConfirmRequest>,
) {
    let mut last: Option<Instant> = None;
    while let Some(first) = requests.recv().await {
        let mut waiting = vec![first];
        let is_herd = last.is_some_and(|last| last.elapsed() < HERD_WINDOW);
        tokio::time::sleep(if is_herd { HERD_PAUSE } else { GATHER_PAUSE }).await;
        while let Ok(next) = requests.try_recv() {
            waiting.push(next);
        }
        let outcome = read_source(node).await;
        last = Some(Instant::now());
        for request in waiting {
            let _ = request.send(outcome);
        }
    }
}

async fn read_source(node: &SpreadNode) -> ConfirmOutcome {
    node.stats.count_read();
    let began = Instant::now();
    // A version that a starting daemon reads is usually new to that daemon alone.
    let origin = match node.held.is_ready() {
        true => VersionOrigin::Source,
        false => VersionOrigin::Found,
    };
    let outcome = match node.source.load(&node.held.newest()).await {
        Err(err) => {
            node.source_outage.lost(&err);
            node.stats.note_source(Some(err.reason));
            return ConfirmOutcome::Away;
        }
        Ok(snapshot) => node.offer(snapshot, PLATFORM, origin),
    };
    node.source_outage.back();
    node.stats.note_source(None);
    node.note_seen(began);
    match outcome {
        OfferOutcome::Rejected(_) => ConfirmOutcome::Refused,
        _ => {
            node.set_ready("as the configuration source has it");
            ConfirmOutcome::Held
        }
    }
}
