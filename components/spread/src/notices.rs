//! Floods notices over the links: about requests that crash servers, so that every daemon refuses
//! them before they reach another server, and about orders that move traffic to other versions.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use futures::future::join_all;
use sk_model::ProxyId;
use tokio::time::Instant;

use crate::{
    node::{CALL_TIMEOUT, SpreadNode},
    peer_capnp::peer,
    source::NoticeExchange,
    state::CallKind,
};

/// Time between checks for new notices. A hop takes half of it on average and a large fleet has 6
/// to 8 hops, so a request that crashes servers is known everywhere in about a second.
const NOTICE_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which a link that did not accept all notices gets them again. A daemon of an earlier
/// release knows fewer topics and accepts none of the others.
const REFUSED_PAUSE: Duration = Duration::from_secs(1);

/// Sends the notices of all topics.
pub(crate) async fn send_notices(node: &Rc<SpreadNode>) {
    join_all(node.notices.iter().map(|topic| send_topic(node, topic))).await;
}

/// Sends changed notices of a topic to every link, and all of them to a new link.
///
/// Without the latter, a daemon that starts would run a request that all others already refuse,
/// and its server would be the next to crash.
async fn send_topic(node: &Rc<SpreadNode>, notices: &Arc<dyn NoticeExchange>) {
    let (mut last_revision, mut informed) = (0, BTreeSet::new());
    let mut refused: BTreeMap<ProxyId, Instant> = BTreeMap::new();
    loop {
        tokio::time::sleep(NOTICE_POLL_INTERVAL).await;
        let links = node.link_names();
        refused.retain(|proxy, at| links.contains(proxy) && at.elapsed() < REFUSED_PAUSE);
        let new_links: BTreeSet<ProxyId> = links
            .difference(&informed)
            .filter(|proxy| !refused.contains_key(*proxy))
            .cloned()
            .collect();
        informed.retain(|proxy| links.contains(proxy));
        let revision = notices.revision();
        if revision != last_revision {
            last_revision = revision;
            if let Some(body) = notices.encode_changed() {
                send_to_links(node, &informed, &body).await;
            }
        }
        if new_links.is_empty() {
            continue;
        }
        match notices.encode_all() {
            Some(body) => {
                informed.extend(send_to_links(node, &new_links, &body).await);
                let lacking = new_links.difference(&informed).cloned();
                refused.extend(lacking.map(|proxy| (proxy, Instant::now())));
            }
            None => informed.extend(new_links),
        }
    }
}

/// Sends notices to some links and returns those that accepted them. A link that failed counts as
/// new again once it is planned anew.
async fn send_to_links(
    node: &Rc<SpreadNode>,
    links: &BTreeSet<ProxyId>,
    body: &[u8],
) -> Vec<ProxyId> {
    let calls = links.iter().map(async |proxy| {
        let call = async |peer: peer::Client| {
            let mut request = peer.notices_request();
            request.get().set_body(body);
            node.stats.sent(CallKind::Notice, request.get().into_reader().total_size()?);
            request.send().promise.await.map(drop)
        };
        let result = node.call(proxy, CALL_TIMEOUT, call).await;
        result.inspect_err(|err| log::debug!("spread: notices to {proxy} failed: {err}.")).is_ok()
    });
    let accepted = join_all(calls).await;
    links
        .iter()
        .zip(accepted)
        .filter(|(_, is_accepted)| *is_accepted)
        .map(|(link, _)| link.clone())
        .collect()
}
