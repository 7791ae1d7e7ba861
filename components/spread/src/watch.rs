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
};

/// Longest wait of one watch at the configuration source. Its end proves that what is held is the
/// newest version, and peers hear of it.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1_500);
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

/// Watches the source for as long as this daemon is a relay.
pub(crate) async fn watch_source(node: &Rc<SpreadNode>) {
    let mut relays = node.relays.subscribe();
    let mut pause = RetryPause::new(FIRST_PAUSE, LONGEST_PAUSE);
    let mut seen = Arc::default();
    // Before that, reads at the start are the business of `start`.
    let mut ready = node.held.ready();
    let _ = ready.wait_for(|is_ready| *is_ready).await;
    loop {
        if relays.wait_for(|view| view.rank.is_some()).await.is_err() {
            return;
        }
        tokio::select! {
            () = watch_once(node, &mut seen, &mut pause) => (),
            // A watch that is no longer needed counts against the platform's rates.
            _ = relays.wait_for(|view| view.rank.is_none()) => (),
        }
    }
}

async fn watch_once(node: &SpreadNode, seen: &mut Arc<ConfigSnapshot>, pause: &mut RetryPause) {
    let newest = node.held.newest();
    // A refused version was seen but is not held: waiting for one newer than the held one would
    // give the refused one again at once, over and over.
    let after = if seen.version() > newest.version() { seen.clone() } else { newest };
    match node.source.wait_newer(&after, WATCH_TIMEOUT).await {
        Ok(news) => {
            node.source_outage.back();
            node.stats.note_source(None);
            pause.reset();
            if let Some(snapshot) = news.newer {
                *seen = Arc::new(snapshot.clone());
                node.offer(snapshot, PLATFORM, VersionOrigin::Source);
            }
            node.note_seen(news.seen_at);
        }
        Err(err) => {
            node.source_outage.lost(&err);
            node.stats.note_source(Some(err.reason));
            tokio::time::sleep(pause.next()).await;
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
    let outcome = match node.source.load(&node.held.newest()).await {
        Err(err) => {
            node.source_outage.lost(&err);
            node.stats.note_source(Some(err.reason));
            return ConfirmOutcome::Away;
        }
        Ok(snapshot) => node.offer(snapshot, PLATFORM, VersionOrigin::Source),
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
