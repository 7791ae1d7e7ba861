//! Floods notices about requests over the links, so that every daemon refuses a request that
//! crashes servers before it reaches another server.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use futures::future::join_all;
use sk_model::ProxyId;

use crate::{
    node::{CALL_TIMEOUT, SpreadNode},
    peer_capnp::peer,
    state::CallKind,
};

/// Time between checks for new notices. A hop takes half of it on average and a large fleet has 6
/// to 8 hops, so a request that crashes servers is known everywhere in about a second.
const NOTICE_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Sends changed notices to every link, and all notices to a new link.
///
/// Without the latter, a daemon that starts would run a request that all others already refuse,
/// and its server would be the next to crash.
pub(crate) async fn send_notices(node: &Rc<SpreadNode>) {
    let Some(notices) = node.notices.clone() else { return };
    let (mut last_revision, mut informed) = (0, BTreeSet::new());
    loop {
        tokio::time::sleep(NOTICE_POLL_INTERVAL).await;
        let links = node.link_names();
        let new_links: BTreeSet<ProxyId> = links.difference(&informed).cloned().collect();
        informed.retain(|proxy| links.contains(proxy));
        let revision = notices.revision();
        if revision != last_revision {
            last_revision = revision;
            if let Some(body) = notices.encode_changed() {
                send_to_links(node, &informed, &body).await;
            }
        }
        match notices.encode_all() {
            Some(body) if !new_links.is_empty() => {
                informed.extend(send_to_links(node, &new_links, &body).await)
            }
            Some(_) => (),
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
