//! Watching the configuration source.

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

/// First pause after the source failed, and the longest one. With 18 relays the cap means 36 calls a
/// second at a source that is away, a fiftieth of its rate, and a delay of at most a second once it
/// is back: a version is to be in force two seconds after its acknowledgement.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// Wait of a look at the source for others that want one too. A lone start is late by it.
const GATHER_PAUSE: Duration = Duration::from_millis(100);
/// The same after a look within the last second. In a herd restart it bounds the reads of one relay
/// to three a second, however many daemons ask.
const HERD_PAUSE: Duration = Duration::from_millis(300);
const HERD_WINDOW: Duration = Duration::from_secs(1);

type ConfirmRequest = oneshot::Sender<ConfirmOutcome>;

/// Watches the source whenever it is this daemon's turn.
pub(crate) async fn watch_source(node: &Rc<SpreadNode>) {
    // Before that, reads at the start are the business of `start`.
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
        // The turn may come earlier where daemons before this one are gone.
        let _ = tokio::time::timeout(pause, relays.changed()).await;
    }
}

/// One daemon's looks at the source.
struct SourceWatch {
    /// The newest version seen, also one that was refused here.
    seen: Arc<ConfigSnapshot>,
    pause: RetryPause,
    /// Whether the source is watched now.
    is_on: bool,
    /// Whether peers were told that a look of this turn succeeded.
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
        // A refused version was seen but is not held: waiting for one newer than the held one would
        // give the refused one again at once, over and over.
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
        // Those whose turn is next would look too if they heard of it with the next heartbeat only.
        if !std::mem::replace(&mut self.is_told, true) {
            node.links.borrow().send_beats();
        }
    }

    /// Takes the source over from those who should have looked.
    fn begin(&mut self, node: &SpreadNode) {
        if std::mem::replace(&mut self.is_on, true) {
            return;
        }
        let freshness = node.freshness.borrow();
        let turns = freshness.turns_before().unwrap_or_default();
        // Each further daemon that fails too asks more rarely: all of a data centre fail while the
        // source is away, and their calls must not grow with their number.
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

    /// Leaves the source to the daemons that go before this one.
    fn leave(&mut self, node: &SpreadNode) {
        if std::mem::take(&mut self.is_on) {
            self.is_told = false;
            node.source_outage.dismiss();
            node.stats.note_source(None);
            log::info!("spread: leaves the configuration source to others.");
        }
    }
}

/// Reads the source for those who must know that they hold the newest version.
///
/// Made for a herd restart, in which hundreds of daemons ask one relay within a second. Each read
/// serves all who asked before it began, so that the platform sees one read at a time per
/// relay; one that began earlier would not do, as it may have missed a version accepted since.
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
    // What a starting daemon reads is news to itself alone.
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
