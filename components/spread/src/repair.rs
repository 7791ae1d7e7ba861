//! Comparison with a random member, for what trees and links have missed.

use std::rc::Rc;

use rand::seq::IndexedRandom;
use sk_model::ProxyId;

use crate::{
    backoff::jittered,
    node::{CALL_TIMEOUT, SpreadNode},
    peer_capnp::peer,
};

/// Compares version and records with a random member of any data centre, again and again.
///
/// Made for what every faster way has missed: daemons whose views differ compute different trees,
/// and two data centres that were cut off from each other may each hold what the other lacks.
/// The jitter keeps a fleet that started in one second from comparing in step for ever.
pub(crate) async fn repair_forever(node: &Rc<SpreadNode>) {
    loop {
        tokio::time::sleep(jittered(node.options.repair_interval)).await;
        let Some(proxy) = pick_member(node) else { continue };
        let call = async |peer: peer::Client| node.reconcile(&proxy, peer).await;
        if let Err(err) = node.call(&proxy, CALL_TIMEOUT, call).await {
            log::debug!("spread: comparison with {proxy} failed: {err}.");
        }
    }
}

fn pick_member(node: &SpreadNode) -> Option<ProxyId> {
    let others = node.others();
    others.choose(&mut rand::rng()).map(|record| record.proxy.clone())
}
