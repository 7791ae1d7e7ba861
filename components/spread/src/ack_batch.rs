//! Batches acknowledgements at a relay, the newest one per daemon.

use std::{cell::RefCell, collections::BTreeMap};

use sk_model::ProxyAck;
use tokio::sync::Notify;

/// Acknowledgements received by this relay and not passed on yet, the newest one per daemon.
#[derive(Default)]
pub(crate) struct AckBatch {
    waiting: RefCell<BTreeMap<String, ProxyAck>>,
    arrived: Notify,
}

impl AckBatch {
    pub(crate) fn add(&self, acks: Vec<ProxyAck>) {
        let mut waiting = self.waiting.borrow_mut();
        for ack in acks {
            let is_older = |held: &ProxyAck| ack_rank(held) <= ack_rank(&ack);
            if waiting.get(&ack.proxy).is_none_or(is_older) {
                waiting.insert(ack.proxy.clone(), ack);
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
        self.waiting.take().into_values().collect()
    }
}

/// Returns the sort key of acknowledgements of one daemon, which may arrive out of order over two
/// connections.
fn ack_rank(ack: &ProxyAck) -> (u64, u64, u64) {
    (ack.incarnation, ack.version, ack.rejected.as_ref().map_or(0, |rejected| rejected.version))
}
