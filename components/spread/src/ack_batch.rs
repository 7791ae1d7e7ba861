//! Acknowledgements on their way through a relay.

use std::{cell::RefCell, collections::BTreeMap};

use sk_model::ProxyAck;
use tokio::sync::Notify;

/// Acknowledgements that came to this relay and are not given on yet, the last one per daemon.
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

    /// Waits until something has arrived.
    pub(crate) async fn arrived(&self) {
        self.arrived.notified().await;
    }

    /// Takes what has arrived.
    pub(crate) fn take(&self) -> Vec<ProxyAck> {
        self.waiting.take().into_values().collect()
    }
}

/// Orders acknowledgements of one daemon, which may come out of order over two connections.
fn ack_rank(ack: &ProxyAck) -> (u64, u64, u64) {
    (ack.incarnation, ack.version, ack.rejected.as_ref().map_or(0, |rejected| rejected.version))
}
