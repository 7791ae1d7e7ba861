//! Batches acknowledgements at a relay, the newest one per daemon.

use std::{cell::RefCell, collections::BTreeMap};

use sk_model::ProxyAck;
use tokio::sync::Notify;

/// Acknowledgements received by this relay and not passed on yet, the newest one per daemon.
#[derive(Default)]
pub(crate) struct AckBatch {
    pending: RefCell<BTreeMap<String, ProxyAck>>,
    arrived: Notify,
}

impl AckBatch {
    /// Adds acknowledgements, keeping the newest one per daemon.
    pub(crate) fn add(&self, acks: Vec<ProxyAck>) {
        let mut pending = self.pending.borrow_mut();
        for ack in acks {
            let is_older = |stored: &ProxyAck| ack_order(stored) <= ack_order(&ack);
            if pending.get(&ack.proxy).is_none_or(is_older) {
                pending.insert(ack.proxy.clone(), ack);
            }
        }
        self.arrived.notify_one();
    }

    /// Waits until acknowledgements have arrived.
    pub(crate) async fn arrived(&self) {
        self.arrived.notified().await;
    }

    /// Takes all pending acknowledgements.
    pub(crate) fn take(&self) -> Vec<ProxyAck> {
        self.pending.take().into_values().collect()
    }
}

/// Returns the sort key of acknowledgements of one daemon, which may arrive out of order over two
/// connections.
fn ack_order(ack: &ProxyAck) -> (u64, u64, u64) {
    (ack.incarnation, ack.version, ack.rejected.as_ref().map_or(0, |rejected| rejected.version))
}
