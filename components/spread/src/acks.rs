//! Acknowledgements: each daemon reports its version to the relays of its data centre, which batch
//! the reports and pass them on to be stored in the platform. A relay that did not accept one is
//! retried, so that no report is lost.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use capnp::Error;
use futures::future::join_all;
use sk_model::ProxyAck;

use crate::{
    backoff::{RetryPause, random_up_to},
    codec,
    node::{CALL_TIMEOUT, SpreadNode},
    peer_capnp::peer,
    relay_view::RelayId,
    state::CallKind,
};

/// Longest random delay before an acknowledgement. A data centre of 87 daemons applies a change
/// within tens of milliseconds, and all acknowledgements within one of them would queue at the
/// relay.
const MAX_ACK_DELAY: Duration = Duration::from_millis(50);
/// The same after the relays changed, when every daemon reports its version to the new one. Nobody
/// waits for these reports, and a relay that has just taken over has other work.
const MAX_REACK_DELAY: Duration = Duration::from_secs(1);
/// Upper bound of the first pause after a relay did not accept an acknowledgement.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause after a relay did not accept an acknowledgement.
const LONGEST_PAUSE: Duration = Duration::from_secs(5);
/// Time in which a relay batches acknowledgements before it passes them on.
const ACK_BATCH_PAUSE: Duration = Duration::from_millis(100);

/// Passes received acknowledgements on, in batches.
pub(crate) async fn flush_acks(node: &Rc<SpreadNode>) {
    loop {
        node.ack_batch.arrived().await;
        tokio::time::sleep(ACK_BATCH_PAUSE).await;
        node.acks.record(node.ack_batch.take());
    }
}

/// Sends this daemon's acknowledgement to each relay, until the relay has accepted it.
pub(crate) async fn deliver_acks(node: &Rc<SpreadNode>) {
    let mut status = node.config.subscribe();
    let mut relays = node.relays.subscribe();
    let mut delivered: BTreeMap<RelayId, ProxyAck> = BTreeMap::new();
    let mut pause = RetryPause::new(FIRST_PAUSE, LONGEST_PAUSE);
    loop {
        let current = relays.borrow_and_update().relays.clone();
        let ack = own_ack(node, &status.borrow_and_update());
        delivered.retain(|relay, _| current.contains(relay));
        if let Some(ack) = &ack {
            let is_undelivered = |relay: &&RelayId| delivered.get(*relay) != Some(ack);
            let undelivered: Vec<_> = current.iter().filter(is_undelivered).cloned().collect();
            let results =
                join_all(undelivered.iter().map(|relay| send_ack(node, relay, ack))).await;
            for (relay, result) in undelivered.into_iter().zip(results) {
                match result {
                    Ok(()) => drop(delivered.insert(relay, ack.clone())),
                    Err(err) => log::debug!("spread: ack to {} failed: {err}.", relay.proxy),
                }
            }
        }
        let is_delivered = current.iter().all(|relay| delivered.get(relay) == ack.as_ref());
        let retry = pause.next();
        if is_delivered {
            pause.reset();
        }
        tokio::select! {
            changed = status.changed() => match changed {
                Ok(()) => tokio::time::sleep(random_up_to(MAX_ACK_DELAY)).await,
                Err(_) => return,
            },
            _ = relays.changed() => tokio::time::sleep(random_up_to(MAX_REACK_DELAY)).await,
            () = tokio::time::sleep(retry), if !is_delivered => (),
        }
    }
}

/// Returns this daemon's acknowledgement; `None` while it has received no version.
fn own_ack(node: &SpreadNode, status: &crate::config_holder::ConfigStatus) -> Option<ProxyAck> {
    if status.version == 0 && status.rejected.is_none() {
        return None;
    }
    let own = node.members.own();
    Some(ProxyAck {
        proxy: own.proxy.clone(),
        incarnation: own.incarnation,
        data_centre: own.data_centre.clone(),
        version: status.version,
        since: status.since,
        source: status.source.clone(),
        rejected: status.rejected.clone(),
    })
}

/// Sends an acknowledgement to one relay, or adds it to the own batch if this daemon is the relay.
async fn send_ack(node: &Rc<SpreadNode>, relay: &RelayId, ack: &ProxyAck) -> Result<(), Error> {
    if relay.proxy == node.own_name {
        node.ack_batch.add(vec![ack.clone()]);
        return Ok(());
    }
    let call = async |peer: peer::Client| {
        let mut request = peer.acknowledge_request();
        codec::write_ack(ack, request.get().init_acks(1).get(0));
        node.stats.sent(CallKind::Ack, request.get().into_reader().total_size()?);
        request.send().promise.await.map(drop)
    };
    node.call(&relay.proxy, CALL_TIMEOUT, call).await
}
