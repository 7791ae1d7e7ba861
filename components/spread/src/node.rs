//! What the parts of the control thread share.

use std::{
    cell::{Cell, RefCell},
    sync::Arc,
    time::Duration,
};

use sk_logs::OutageLog;
use sk_member::{FreshnessBook, FreshnessProof, MemberBoard, MemberRecord, MemberView};
use sk_model::{ConfigSnapshot, ProxyId, Version, unix_now};
use tokio::{
    sync::{Semaphore, mpsc, oneshot, watch},
    time::Instant,
};

use crate::{
    ack_batch::AckBatch,
    counted::ControlMeter,
    held::{HeldConfig, OfferOutcome},
    link_board::LinkBoard,
    options::SpreadOptions,
    orders::{ConfirmOutcome, FetchWant, PassOrder, VersionOrigin},
    pool::PeerPool,
    relay_view::RelayView,
    source::{AckSink, ConfigSource, ContactBook, NoticeBoard},
    state::SpreadStats,
};

/// Name under which the configuration source appears in reports.
pub(crate) const PLATFORM: &str = "platform";
/// Time without a byte from a peer until a call to it counts as failed. Answers begin within
/// milliseconds; a paused peer must not hold up for long what another one could answer.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// What the parts of the control thread share. Used by that thread only.
pub(crate) struct SpreadNode {
    pub(crate) options: SpreadOptions,
    pub(crate) own_name: ProxyId,
    /// From where times of proofs count.
    pub(crate) start: Instant,
    pub(crate) held: Arc<HeldConfig>,
    pub(crate) members: Arc<MemberBoard>,
    pub(crate) source: Arc<dyn ConfigSource>,
    pub(crate) source_outage: OutageLog,
    pub(crate) freshness: RefCell<FreshnessBook>,
    pub(crate) contacts: Option<Arc<dyn ContactBook>>,
    pub(crate) acks: Arc<dyn AckSink>,
    pub(crate) ack_batch: AckBatch,
    pub(crate) notices: Option<Arc<dyn NoticeBoard>>,
    pub(crate) meter: Arc<ControlMeter>,
    pub(crate) stats: Arc<SpreadStats>,
    pub(crate) pool: PeerPool,
    /// Connections that peers opened and that have proved nothing yet.
    pub(crate) unproven: Cell<usize>,
    pub(crate) relays: watch::Sender<RelayView>,
    pub(crate) links: RefCell<LinkBoard>,
    /// Places for fetches served at once.
    pub(crate) places: Arc<Semaphore>,
    pub(crate) passes: mpsc::UnboundedSender<PassOrder>,
    pub(crate) wants: mpsc::Sender<FetchWant>,
    pub(crate) confirms: mpsc::UnboundedSender<oneshot::Sender<ConfirmOutcome>>,
    /// The last push along a tree.
    pub(crate) last_push: RefCell<Option<(Version, VersionOrigin)>>,
    /// Newest version announced after a pause.
    pub(crate) announced: Cell<Version>,
    /// Version that a late fetch waits for already.
    pub(crate) expected: Cell<Version>,
}

impl SpreadNode {
    /// Lists the records of the other members believed reachable.
    pub(crate) fn others(&self) -> Vec<Arc<MemberRecord>> {
        let view = self.members.view();
        let is_other = |record: &&Arc<MemberRecord>| record.proxy != self.own_name;
        view.values().filter(is_other).filter(|record| record.is_present()).cloned().collect()
    }

    pub(crate) fn view(&self) -> MemberView {
        self.members.view()
    }

    /// Offers a version; a newer one is passed on.
    pub(crate) fn offer(
        &self,
        snapshot: ConfigSnapshot,
        source: &str,
        origin: VersionOrigin,
    ) -> OfferOutcome {
        let version = snapshot.version();
        let base = self.held.newest();
        let outcome = self.held.offer(snapshot, source, unix_now());
        match &outcome {
            OfferOutcome::Applied => {
                log::info!("spread: version {version} from {source}.");
                let order = PassOrder { base, newest: self.held.newest(), origin };
                // The receiver lives as long as the control thread.
                let _ = self.passes.send(order);
            }
            OfferOutcome::NotNewer => (),
            OfferOutcome::Diverged => self.report_diverged(version, source),
            OfferOutcome::Rejected(rejected) => {
                log::warn!("spread: version {version} refused: {}.", rejected.reason);
            }
        }
        outcome
    }

    /// Notes a push along a tree and tells whether it is the first of that version there. A second
    /// one comes only where a parent took this daemon for failed.
    pub(crate) fn note_push(&self, version: Version, origin: &VersionOrigin) -> bool {
        let push = Some((version, origin.clone()));
        self.last_push.replace(push.clone()) != push
    }

    /// Passes a version on that was held before it was pushed here.
    ///
    /// The second relay of a data centre sees each version in the platform itself and stands
    /// inside the first one's tree. If it took the push for done, its children there would hold
    /// the version only after its own announcement, some 300 ms later than all others.
    pub(crate) fn pass_along(
        &self,
        base: Version,
        newest: Arc<ConfigSnapshot>,
        origin: VersionOrigin,
    ) {
        let base = match base {
            0 => Some(Arc::default()),
            base => self.held.base(base),
        };
        let Some(base) = base else { return };
        // The receiver lives as long as the control thread.
        let _ = self.passes.send(PassOrder { base, newest, origin });
    }

    /// Says that a peer holds another content under a version held here. Two histories under one
    /// prefix cannot both be the accepted one; only an operator can tell which is.
    pub(crate) fn report_diverged(&self, version: Version, peer: &str) {
        if self.stats.note_diverged(version) {
            log::error!("spread: {peer} holds another content under version {version}.");
        }
    }

    /// Notes that this daemon itself saw at `seen_at` that the source had nothing newer.
    pub(crate) fn note_seen(&self, seen_at: Instant) {
        let seen_at = seen_at.saturating_duration_since(self.start);
        let looker = self.freshness.borrow().own();
        self.note_proof(FreshnessProof { looker, seen_at, history: self.source.history() });
    }

    /// Notes a proof that what is held here was the newest version.
    pub(crate) fn note_proof(&self, proof: FreshnessProof) {
        self.freshness.borrow_mut().offer(proof, self.start.elapsed());
        self.stats.note_source_seen(self.start + proof.seen_at);
    }

    /// Looks at the configuration source, together with all others that ask meanwhile.
    pub(crate) async fn confirm(&self) -> ConfirmOutcome {
        let (answer, answered) = oneshot::channel();
        let _ = self.confirms.send(answer);
        answered.await.unwrap_or(ConfirmOutcome::Away)
    }

    /// Puts the newest version in force for the first time.
    pub(crate) fn set_ready(&self, how: &str) {
        if !self.held.is_ready() {
            let version = self.held.newest().version();
            log::info!("spread: ready with version {version}, {how}.");
            self.held.set_ready(unix_now());
        }
    }
}
