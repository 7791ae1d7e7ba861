//! Periodic reconciliation with a random member, which finds versions and records that trees and
//! links have missed.

use std::rc::Rc;

use rand::seq::IndexedRandom;
use sk_model::ProxyId;

use crate::{
    backoff::jittered,
    node::{CALL_TIMEOUT, SpreadNode},
    peer_capnp::peer,
};

/// Reconciles version and records with a random member of any data centre, repeatedly.
///
/// This covers what the faster mechanisms miss: daemons whose snapshots of the members differ
/// compute different trees, and two data centres that were partitioned may each hold what the
/// other lacks. The jitter keeps daemons that started within one second from staying synchronised.
pub(crate) async fn reconcile_repeatedly(node: &Rc<SpreadNode>) {
    loop {
        tokio::time::sleep(jittered(node.options.repair_interval)).await;
        let Some(proxy) = pick_member(node) else { continue };
        let call = async |peer: peer::Client| node.reconcile(&proxy, peer).await;
        if let Err(err) = node.call(&proxy, CALL_TIMEOUT, call).await {
            log::debug!("spread: reconciliation with {proxy} failed: {err}.");
        }
    }
}

/// Picks a random other member.
fn pick_member(node: &SpreadNode) -> Option<ProxyId> {
    let others = node.other_members();
    others.choose(&mut rand::rng()).map(|record| record.proxy.clone())
}
