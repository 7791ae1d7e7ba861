//! What the parts of the control thread share.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use capnp::{Error, ErrorKind};
use sk_logs::OutageLog;
use sk_member::{MemberBoard, MemberRecord, MemberView};
use sk_model::{ConfigSnapshot, ContentHash, ProxyId, Version, unix_now};
use tokio::sync::{Semaphore, mpsc, oneshot, watch};

use crate::{
    acks::AckBatch,
    counted::ControlMeter,
    fetch::FetchWant,
    held::{HeldConfig, OfferOutcome},
    links::LinkBoard,
    options::SpreadOptions,
    pass::{PassOrder, VersionOrigin},
    peer_capnp::peer,
    pool::PeerPool,
    relays::RelayView,
    session::{PeerSession, open_session},
    source::{AckSink, ConfigSource, ContactBook, NoticeBoard},
    state::SpreadStats,
};

/// Name under which the configuration source appears in reports.
pub(crate) const PLATFORM: &str = "platform";
/// Time until a call to a peer counts as failed. Answers take milliseconds; a paused peer must not
/// hold up for long what another one could answer.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// First bytes of a root's hash: enough to notice that two daemons hold different contents.
pub(crate) type RootMark = u64;

/// What the parts of the control thread share. Used by that thread only.
pub(crate) struct SpreadNode {
    pub(crate) options: SpreadOptions,
    pub(crate) own_name: ProxyId,
    pub(crate) held: Arc<HeldConfig>,
    pub(crate) members: Arc<MemberBoard>,
    pub(crate) source: Arc<dyn ConfigSource>,
    pub(crate) source_outage: OutageLog,
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

/// What a look at the configuration source gave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConfirmOutcome {
    /// The newest accepted version is held.
    Held,
    /// The newest accepted version fails validation here.
    Refused,
    /// The source is away.
    Away,
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

    /// Gives the open connection to a member, or opens one.
    pub(crate) async fn session(self: &Rc<Self>, proxy: &str) -> Result<Rc<PeerSession>, Error> {
        if let Some(session) = self.pool.get(proxy) {
            return Ok(session);
        }
        let view = self.view();
        let record = view.get(proxy).ok_or_else(|| Error::failed("unknown peer".to_owned()))?;
        let session = open_session(self, record.control).await?;
        // An address may be taken over by another daemon before its old owner's end is known.
        match session.proxy == proxy {
            true => Ok(session),
            false => Err(Error::failed("another daemon answers there".to_owned())),
        }
    }

    /// Makes a call to a member within `timeout`.
    pub(crate) async fn call<T>(
        self: &Rc<Self>,
        proxy: &str,
        timeout: Duration,
        call: impl AsyncFnOnce(peer::Client) -> Result<T, Error>,
    ) -> Result<T, Error> {
        let attempt = async {
            let session = self.session(proxy).await?;
            session.touch();
            call(session.client.clone()).await
        };
        let result = match tokio::time::timeout(timeout, attempt).await {
            Ok(result) => result,
            Err(_) => Err(Error::overloaded("call timed out".to_owned())),
        };
        // A refusal by the peer's code leaves the connection sound; after anything else the next
        // call begins on a fresh one.
        if let Err(err) = &result
            && err.kind != ErrorKind::Failed
            && let Some(session) = self.pool.get(proxy)
        {
            session.close();
        }
        result
    }
}

/// Gives the mark of a root's hash.
pub(crate) fn root_mark(hash: &ContentHash) -> RootMark {
    // The first 16 digits of a hexadecimal SHA-256 always fit; a malformed hash matches nothing
    // that it could be mistaken for.
    hash.get(..16).and_then(|digits| u64::from_str_radix(digits, 16).ok()).unwrap_or_default()
}
