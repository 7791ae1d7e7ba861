//! Forwards new versions along the tree of the data centre. The tree sends each daemon one copy;
//! pushes that are too large for thin links become announcements, and the children of a failed
//! daemon are served in its place.

use std::{rc::Rc, time::Duration};

use capnp::{Error, message::TypedBuilder};
use futures::future::{LocalBoxFuture, join_all};
use sk_member::PushTree;
use sk_model::{ConfigSnapshot, ProxyId, Version};
use tokio::sync::mpsc;

use crate::{
    codec,
    marks::{RootMark, root_mark},
    node::SpreadNode,
    options::PassMode,
    orders::{PassOrder, VersionOrigin},
    peer_capnp::update,
    state::CallKind,
    update::make_update,
};

/// Time without a byte from a child after which it counts as failed and its children are served in
/// its place. A healthy child answers in milliseconds, and the whole tree must finish within
/// seconds even if one daemon of each layer is paused.
const PASS_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay of the second relay after the first one; the third relay waits twice as long. A data
/// centre's tree takes tens of milliseconds, so afterwards only the daemons that a failed one cut
/// off still lack the version, and to all others an announcement costs a few unneeded bytes.
const BACKUP_DELAY: Duration = Duration::from_millis(300);

/// Largest update that is pushed, in words: 16 kB. All children receive theirs at once, so a
/// larger one would fill a thin link for as long as 6 copies take. It is announced instead, and
/// each child that still lacks it fetches it at its own pace.
const MAX_PUSH_WORDS: u64 = 2_048;

/// How long relays batch changes in announce mode. Operators apply changes in series, and
/// announcing saves bytes when one fetch covers several of them: a single small change costs about
/// the same in both modes.
const GATHER_DELAY: Duration = Duration::from_secs(1);

/// What is sent to the children in the tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PassStyle {
    /// The change itself.
    Push,
    /// The version's number and hash only.
    Announce,
}

/// How a new version is forwarded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PassPlan {
    /// What is sent to the children.
    pub style: PassStyle,
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
pub fn plan_pass(
    origin: &VersionOrigin,
    own: &ProxyId,
    rank: Option<usize>,
    mode: PassMode,
) -> PassPlan {
    let at_once = |style: PassStyle, root: &ProxyId| PassPlan {
        style,
        root: root.clone(),
        delay: Duration::ZERO,
    };
    let backup_delay = BACKUP_DELAY * rank.unwrap_or_default() as u32;
    match origin {
        VersionOrigin::Source if mode == PassMode::Announce => {
            PassPlan { delay: GATHER_DELAY + backup_delay, ..at_once(PassStyle::Announce, own) }
        }
        VersionOrigin::Source if rank == Some(0) => at_once(PassStyle::Push, own),
        VersionOrigin::Source => {
            PassPlan { delay: backup_delay, ..at_once(PassStyle::Announce, own) }
        }
        VersionOrigin::Pushed { root } => at_once(PassStyle::Push, root),
        VersionOrigin::Announced { root } => at_once(PassStyle::Announce, root),
        VersionOrigin::Found => at_once(PassStyle::Announce, own),
    }
}

/// An update encoded once for all children.
type UpdateMessage = TypedBuilder<update::Owned>;

/// Payload sent to the children.
enum PassContent {
    Change(UpdateMessage),
    Number,
}

/// State shared by all calls that forward one version.
struct PassRun {
    node: Rc<SpreadNode>,
    tree: PushTree,
    root: ProxyId,
    version: Version,
    mark: RootMark,
    content: PassContent,
}

/// Forwards each version in its own task, so that a paused child does not delay the next version.
pub(crate) async fn pass_versions(
    node: &Rc<SpreadNode>,
    mut orders: mpsc::UnboundedReceiver<PassOrder>,
) {
    while let Some(order) = orders.recv().await {
        tokio::task::spawn_local(pass_version(node.clone(), order));
    }
}

async fn pass_version(node: Rc<SpreadNode>, order: PassOrder) {
    let rank = node.relays.borrow().rank;
    let plan = plan_pass(&order.origin, &node.own_name, rank, node.options.mode);
    tokio::time::sleep(plan.delay).await;
    let mut newest = order.newest;
    if !plan.delay.is_zero() {
        // One announcement covers all versions that arrive during the delay. It must not wait for
        // a quiet period: under steady changes none would ever be sent.
        if node.announced.get() >= newest.version() {
            return;
        }
        newest = node.held.newest();
        node.announced.set(newest.version());
    }
    let view = node.view();
    let data_centre = &node.members.own().data_centre;
    let tree = PushTree::new(&view, data_centre, &plan.root, node.options.fan_out);
    let children = tree.children(&node.own_name);
    if children.is_empty() {
        return;
    }
    let content = match plan.style {
        PassStyle::Push => make_content(&order.base, &newest),
        PassStyle::Announce => PassContent::Number,
    };
    let (version, mark) = (newest.version(), root_mark(&newest.root.hash()));
    let run = PassRun { node, tree, root: plan.root, version, mark, content };
    join_all(children.into_iter().map(|child| run.serve(child, &run.content))).await;
}

/// Encodes a change for a push, or falls back to an announcement if it is too large.
fn make_content(base: &ConfigSnapshot, newest: &ConfigSnapshot) -> PassContent {
    let mut message = UpdateMessage::new_default();
    let encode = |message: &mut UpdateMessage| {
        codec::write_update(&make_update(base, newest), message.init_root())?;
        message.get_root_as_reader()?.total_size()
    };
    match encode(&mut message) {
        Ok(size) if size.word_count <= MAX_PUSH_WORDS => PassContent::Change(message),
        Ok(_) => PassContent::Number,
        Err(err) => {
            log::error!("spread: version {} cannot be encoded: {err}.", newest.version());
            PassContent::Number
        }
    }
}

impl PassRun {
    /// Sends to a child, and to its children if it fails. Otherwise a daemon that dies during a
    /// push leaves its whole subtree to the slower reconciliation.
    ///
    /// The children of a failed daemon get announcements: a child also times out when this
    /// daemon's own link is full, and six more copies for each failure would fill it further.
    fn serve<'a>(&'a self, child: ProxyId, content: &'a PassContent) -> LocalBoxFuture<'a, ()> {
        Box::pin(async move {
            let result = match content {
                PassContent::Change(message) => self.push(&child, message).await,
                PassContent::Number => self.announce(&child).await,
            };
            if let Err(err) = result {
                log::info!("spread: cannot pass version {} to {child}: {err}.", self.version);
                let adopted = self.tree.children(&child);
                let serve = |child| self.serve(child, &PassContent::Number);
                join_all(adopted.into_iter().map(serve)).await;
            }
        })
    }

    async fn push(&self, child: &str, message: &UpdateMessage) -> Result<(), Error> {
        let node = &self.node;
        let call = async |peer: crate::peer_capnp::peer::Client| {
            let mut request = peer.push_request();
            request.get().set_root(&self.root);
            request.get().set_update(message.get_root_as_reader()?)?;
            node.stats.sent(CallKind::Push, request.get().into_reader().total_size()?);
            request.send().promise.await.map(drop)
        };
        node.call(child, PASS_TIMEOUT, call).await
    }

    async fn announce(&self, child: &str) -> Result<(), Error> {
        let node = &self.node;
        let call = async |peer: crate::peer_capnp::peer::Client| {
            let mut request = peer.announce_request();
            request.get().set_version(self.version);
            request.get().set_root_hash(self.mark);
            request.get().set_root(&self.root);
            node.stats.sent(CallKind::Announce, request.get().into_reader().total_size()?);
            request.send().promise.await.map(drop)
        };
        node.call(child, PASS_TIMEOUT, call).await
    }
}
