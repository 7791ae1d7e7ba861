//! State shared by the tasks of the control thread, and the steps that several of them take:
//! offering a version, forwarding it, and recording when the held version was known to be the
//! newest. A single thread uses it, so that no task waits for a lock of another one.

use std::{
    cell::{Cell, RefCell},
    sync::Arc,
    time::Duration,
};

use sk_allowance::AllowanceDesk;
use sk_logs::OutageLog;
use sk_member::{FreshnessProof, FreshnessTracker, MemberRecord, MemberSnapshot, SharedMembers};
use sk_model::{ConfigSnapshot, ProxyId, Version, unix_time_ms};
use tokio::{
    sync::{Semaphore, mpsc, oneshot, watch},
    time::Instant,
};

use crate::{
    ack_batch::AckBatch,
    config_holder::{ConfigHolder, OfferOutcome},
    counted::ControlMeter,
    link_table::LinkTable,
    options::SpreadOptions,
    pool::PeerPool,
    relay_view::RelayView,
    source::{AckSink, ConfigSource, ContactStore, NoticeExchange, RosterStore},
    state::SpreadStats,
    tasks::{ConfirmOutcome, FetchTask, ForwardTask, VersionOrigin},
};

/// Name of the configuration source in reports of where a version came from.
pub(crate) const PLATFORM: &str = "platform";
/// Time without a byte from a peer after which a call to it fails. Answers begin within
/// milliseconds; a longer wait for a paused peer delays what another peer can answer.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// State shared by the tasks of the control thread, and used on that thread only.
pub(crate) struct SpreadNode {
    pub(crate) options: SpreadOptions,
    pub(crate) own_name: ProxyId,
    /// Origin of the times in freshness proofs.
    pub(crate) started_at: Instant,
    /// The held configuration.
    pub(crate) config: Arc<ConfigHolder>,
    pub(crate) members: Arc<SharedMembers>,
    pub(crate) source: Arc<dyn ConfigSource>,
    pub(crate) source_outage: OutageLog,
    /// Freshness proofs: when this daemon or a peer last knew that the held version is the newest.
    pub(crate) freshness: RefCell<FreshnessTracker>,
    pub(crate) contacts: Option<Arc<dyn ContactStore>>,
    pub(crate) roster: Option<Arc<dyn RosterStore>>,
    pub(crate) acks: Arc<dyn AckSink>,
    /// Acknowledgements to pass on if this daemon is a relay.
    pub(crate) ack_batch: AckBatch,
    pub(crate) notices: Vec<Arc<dyn NoticeExchange>>,
    pub(crate) allowances: Option<Arc<dyn AllowanceDesk>>,
    pub(crate) meter: Arc<ControlMeter>,
    pub(crate) stats: Arc<SpreadStats>,
    pub(crate) pool: PeerPool,
    /// Number of connections opened by peers that have not authenticated yet.
    pub(crate) unauthenticated: Cell<usize>,
    pub(crate) relays: watch::Sender<RelayView>,
    pub(crate) links: RefCell<LinkTable>,
    /// Limits the fetches served at once.
    pub(crate) fetch_slots: Arc<Semaphore>,
    /// Queue of versions to forward.
    pub(crate) forward_tasks: mpsc::UnboundedSender<ForwardTask>,
    /// Queue of versions to fetch.
    pub(crate) fetch_tasks: mpsc::Sender<FetchTask>,
    /// Queue of requests to read the source.
    pub(crate) confirm_requests: mpsc::UnboundedSender<oneshot::Sender<ConfirmOutcome>>,
    /// Version and origin of the last push received along a tree.
    pub(crate) last_push: RefCell<Option<(Version, VersionOrigin)>>,
    /// Newest version announced after a delay.
    pub(crate) last_announced: Cell<Version>,
    /// Version for which a delayed fetch is scheduled already; zero for none.
    pub(crate) scheduled_fetch: Cell<Version>,
}

impl SpreadNode {
    /// Lists the records of all other members that are believed reachable.
    pub(crate) fn other_members(&self) -> Vec<Arc<MemberRecord>> {
        let members = self.members.snapshot();
        let is_other = |record: &&Arc<MemberRecord>| record.proxy != self.own_name;
        members.values().filter(is_other).filter(|record| record.is_active()).cloned().collect()
    }

    pub(crate) fn member_snapshot(&self) -> MemberSnapshot {
        self.members.snapshot()
    }

    /// Offers a version to the held configuration, and queues it for forwarding if it is newer.
    pub(crate) fn offer(
        &self,
        snapshot: ConfigSnapshot,
        source: &str,
        origin: VersionOrigin,
    ) -> OfferOutcome {
        let version = snapshot.version();
        let base = self.config.newest();
        let outcome = self.config.offer(snapshot, source, unix_time_ms());
        match &outcome {
            OfferOutcome::Applied => {
                log::info!("spread: version {version} from {source}.");
                let task = ForwardTask { base, newest: self.config.newest(), origin };
                // The receiver lives as long as the control thread.
                let _ = self.forward_tasks.send(task);
            }
            OfferOutcome::NotNewer => (),
            OfferOutcome::Diverged => self.report_diverged(version, source),
            OfferOutcome::Rejected(rejected) => {
                log::warn!("spread: rejected version {version}: {}.", rejected.reason);
            }
        }
        outcome
    }

    /// Records a push along a tree and returns whether it is the first of that version there. A
    /// second one arrives only if a parent took this daemon for failed.
    pub(crate) fn record_push(&self, version: Version, origin: &VersionOrigin) -> bool {
        let push = Some((version, origin.clone()));
        self.last_push.replace(push.clone()) != push
    }

    /// Forwards a version that this daemon already held when it was pushed here.
    ///
    /// The second relay of a data centre receives each version from the platform itself and is an
    /// inner node of the first relay's tree. If it ignored the push, its children there would get
    /// the version only from the second relay's own announcement, about 300 ms after all others.
    pub(crate) fn forward_known(
        &self,
        base: Version,
        newest: Arc<ConfigSnapshot>,
        origin: VersionOrigin,
    ) {
        let base = match base {
            0 => Some(Arc::default()),
            base => self.config.base(base),
        };
        let Some(base) = base else { return };
        // The receiver lives as long as the control thread.
        let _ = self.forward_tasks.send(ForwardTask { base, newest, origin });
    }

    /// Reports that a peer holds different content under a version held here. Of two histories
    /// under one prefix only one was accepted, and only an operator can decide which.
    pub(crate) fn report_diverged(&self, version: Version, peer: &str) {
        if self.stats.record_diverged(version) {
            log::error!("spread: {peer} holds different content under version {version}.");
        }
    }

    /// Records that this daemon itself found nothing newer at the source at `read_at`.
    pub(crate) fn record_source_read(&self, read_at: Instant) {
        let polled_at = read_at.saturating_duration_since(self.started_at);
        let poller = self.freshness.borrow().own();
        self.record_proof(FreshnessProof {
            poller,
            polled_at,
            history: self.source.history_position(),
        });
    }

    /// Records a proof that the version held here was the newest one.
    pub(crate) fn record_proof(&self, proof: FreshnessProof) {
        self.freshness.borrow_mut().add_proof(proof, self.started_at.elapsed());
        self.stats.record_source_read_at(self.started_at + proof.polled_at);
    }

    /// Reads the configuration source once for all callers that ask during the same batch.
    pub(crate) async fn confirm_newest(&self) -> ConfirmOutcome {
        let (response_sender, response) = oneshot::channel();
        let _ = self.confirm_requests.send(response_sender);
        response.await.unwrap_or(ConfirmOutcome::Unreachable)
    }

    /// Puts the newest version in force for the first time; `confirmed_by` is for the log.
    pub(crate) fn set_ready(&self, confirmed_by: &str) {
        if !self.config.is_ready() {
            let version = self.config.newest().version();
            log::info!("spread: ready with version {version}, confirmed by {confirmed_by}.");
            self.config.set_ready(unix_time_ms());
        }
    }
}
