//! Forwards new versions along the tree of the data centre. The tree sends each daemon one copy;
//! pushes that are too large for slow links become announcements, and the children of a failed
//! daemon are served in its place.

use std::{rc::Rc, time::Duration};

use capnp::{Error, message::TypedBuilder};
use futures::future::{LocalBoxFuture, join_all};
use sk_member::PushTree;
use sk_model::{ConfigSnapshot, ProxyId, Version};
use tokio::sync::mpsc;

use crate::{
    codec,
    hash_prefix::{RootHashPrefix, root_hash_prefix},
    node::SpreadNode,
    options::ForwardMode,
    peer_capnp::update,
    state::CallKind,
    tasks::{ForwardTask, VersionOrigin},
    update::make_update,
};

/// Time without a byte from a child after which it counts as failed and its children are served in
/// its place. A healthy child answers in milliseconds, and the whole tree must finish within
/// seconds even if one daemon of each layer is paused.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay of the second relay after the first one; the third relay waits twice as long. A data
/// centre's tree takes tens of milliseconds, so afterwards only the daemons that a failed one cut
/// off still lack the version, and to all others an announcement costs a few unneeded bytes.
const BACKUP_RELAY_DELAY: Duration = Duration::from_millis(300);

/// Largest update that is pushed, in words: 16 kB. All children receive theirs at once, so a
/// larger one would fill a slow link for as long as 6 copies take. It is announced instead, and
/// each child that still lacks it fetches it at its own pace.
const MAX_PUSH_WORDS: u64 = 2_048;

/// How long relays batch changes in announce mode. Operators apply changes in series, and
/// announcing saves bytes when one fetch covers several of them: a single small change costs about
/// the same in both modes.
const ANNOUNCE_BATCH_DELAY: Duration = Duration::from_secs(1);

/// What is sent to the children in the tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardMethod {
    /// The change itself.
    Push,
    /// The version's number and hash only.
    Announce,
}

/// How a new version is forwarded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardPlan {
    /// What is sent to the children.
    pub method: ForwardMethod,
    /// The daemon at which the tree begins.
    pub root: ProxyId,
    /// Delay before sending.
    pub delay: Duration,
}

/// Decides how daemon `own` forwards a new version; `rank` is its position among the relays.
///
/// All relays of a data centre of 87 daemons see a change in the same millisecond. If each pushed
/// it, every daemon would receive it once per relay. So the first relay pushes, and the others
/// announce a little later, which costs little and reaches the daemons that a first relay missed
/// when it died during a push. A daemon that is no relay watches the source only if the relays
/// fail to, and several of them may do so at once, so each announces. A version found by
/// reconciliation or at the start is usually missing only here: pushing it would send the whole
/// data centre what it already holds.
pub fn plan_forward(
    origin: &VersionOrigin,
    own: &ProxyId,
    rank: Option<usize>,
    mode: ForwardMode,
) -> ForwardPlan {
    let without_delay = |method: ForwardMethod, root: &ProxyId| ForwardPlan {
        method,
        root: root.clone(),
        delay: Duration::ZERO,
    };
    let backup_delay = BACKUP_RELAY_DELAY * rank.unwrap_or_default() as u32;
    match origin {
        VersionOrigin::Source if mode == ForwardMode::Announce => ForwardPlan {
            delay: ANNOUNCE_BATCH_DELAY + backup_delay,
            ..without_delay(ForwardMethod::Announce, own)
        },
        VersionOrigin::Source if rank == Some(0) => without_delay(ForwardMethod::Push, own),
        VersionOrigin::Source => {
            ForwardPlan { delay: backup_delay, ..without_delay(ForwardMethod::Announce, own) }
        }
        VersionOrigin::Pushed { root } => without_delay(ForwardMethod::Push, root),
        VersionOrigin::Announced { root } => without_delay(ForwardMethod::Announce, root),
        VersionOrigin::Found => without_delay(ForwardMethod::Announce, own),
    }
}

/// An update encoded once for all children.
type UpdateMessage = TypedBuilder<update::Owned>;

/// Payload sent to the children.
enum ForwardPayload {
    Update(UpdateMessage),
    Announcement,
}

/// State shared by all calls that forward one version.
struct ForwardRun {
    node: Rc<SpreadNode>,
    tree: PushTree,
    root: ProxyId,
    version: Version,
    hash_prefix: RootHashPrefix,
    payload: ForwardPayload,
}

/// Forwards each version in its own task, so that a paused child does not delay the next version.
pub(crate) async fn forward_versions(
    node: &Rc<SpreadNode>,
    mut tasks: mpsc::UnboundedReceiver<ForwardTask>,
) {
    while let Some(task) = tasks.recv().await {
        tokio::task::spawn_local(forward_version(node.clone(), task));
    }
}

/// Forwards one version after the delay of its plan.
async fn forward_version(node: Rc<SpreadNode>, task: ForwardTask) {
    let rank = node.relays.borrow().rank;
    let plan = plan_forward(&task.origin, &node.own_name, rank, node.options.mode);
    tokio::time::sleep(plan.delay).await;
    let mut newest = task.newest;
    if !plan.delay.is_zero() {
        // One announcement covers all versions that arrive during the delay. It must not wait for
        // a quiet period: under steady changes none would ever be sent.
        if node.last_announced.get() >= newest.version() {
            return;
        }
        newest = node.config.newest();
        node.last_announced.set(newest.version());
    }
    let members = node.member_snapshot();
    let data_centre = &node.members.own().data_centre;
    let tree = PushTree::new(&members, data_centre, &plan.root, node.options.fan_out);
    let children = tree.children(&node.own_name);
    if children.is_empty() {
        return;
    }
    let payload = match plan.method {
        ForwardMethod::Push => make_payload(&task.base, &newest),
        ForwardMethod::Announce => ForwardPayload::Announcement,
    };
    let (version, hash_prefix) = (newest.version(), root_hash_prefix(&newest.root.hash()));
    let run = ForwardRun { node, tree, root: plan.root, version, hash_prefix, payload };
    join_all(children.into_iter().map(|child| run.send_to(child, &run.payload))).await;
}

/// Encodes a change for a push, or falls back to an announcement if it is too large.
fn make_payload(base: &ConfigSnapshot, newest: &ConfigSnapshot) -> ForwardPayload {
    let mut message = UpdateMessage::new_default();
    let encode = |message: &mut UpdateMessage| {
        codec::write_update(&make_update(base, newest), message.init_root())?;
        message.get_root_as_reader()?.total_size()
    };
    match encode(&mut message) {
        Ok(size) if size.word_count <= MAX_PUSH_WORDS => ForwardPayload::Update(message),
        Ok(_) => ForwardPayload::Announcement,
        Err(err) => {
            log::error!("spread: version {} cannot be encoded: {err}.", newest.version());
            ForwardPayload::Announcement
        }
    }
}

impl ForwardRun {
    /// Sends to a child, and to its children if it fails. Otherwise a daemon that dies during a
    /// push leaves its whole subtree to the slower reconciliation.
    ///
    /// The children of a failed daemon get announcements: a child also times out when this
    /// daemon's own link is full, and six more copies for each failure would fill it further.
    fn send_to<'a>(
        &'a self,
        child: ProxyId,
        payload: &'a ForwardPayload,
    ) -> LocalBoxFuture<'a, ()> {
        Box::pin(async move {
            let result = match payload {
                ForwardPayload::Update(message) => self.push(&child, message).await,
                ForwardPayload::Announcement => self.announce(&child).await,
            };
            if let Err(err) = result {
                log::info!("spread: cannot forward version {} to {child}: {err}.", self.version);
                let orphans = self.tree.children(&child);
                let send = |child| self.send_to(child, &ForwardPayload::Announcement);
                join_all(orphans.into_iter().map(send)).await;
            }
        })
    }

    /// Pushes the update to a child.
    async fn push(&self, child: &str, message: &UpdateMessage) -> Result<(), Error> {
        let node = &self.node;
        let call = async |peer: crate::peer_capnp::peer::Client| {
            let mut request = peer.push_request();
            request.get().set_root(&self.root);
            request.get().set_update(message.get_root_as_reader()?)?;
            node.stats.sent(CallKind::Push, request.get().into_reader().total_size()?);
            request.send().promise.await.map(drop)
        };
        node.call(child, FORWARD_TIMEOUT, call).await
    }

    /// Announces the version to a child.
    async fn announce(&self, child: &str) -> Result<(), Error> {
        let node = &self.node;
        let call = async |peer: crate::peer_capnp::peer::Client| {
            let mut request = peer.announce_request();
            request.get().set_version(self.version);
            request.get().set_root_hash(self.hash_prefix);
            request.get().set_root(&self.root);
            node.stats.sent(CallKind::Announce, request.get().into_reader().total_size()?);
            request.send().promise.await.map(drop)
        };
        node.call(child, FORWARD_TIMEOUT, call).await
    }
}
