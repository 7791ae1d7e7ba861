//! The ledger as configuration source, and the acknowledgement buffer as receiver of
//! acknowledgements.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use sk_ledger::{Ledger, LedgerError};
use sk_model::{ConfigSnapshot, ProxyAck};
use sk_report::AckBuffer;
use sk_spread::{AckSink, ConfigSource, SourceError, WatchResult};
use tokio::time::Instant;

/// Gives the control thread access to the ledger.
pub(crate) struct LedgerSource {
    pub(crate) ledger: Arc<Ledger>,
}

#[async_trait]
impl ConfigSource for LedgerSource {
    async fn load(&self, held: &ConfigSnapshot) -> Result<ConfigSnapshot, SourceError> {
        self.ledger.load(held).await.map_err(ledger_to_source_error)
    }

    async fn wait_newer(
        &self,
        held: &ConfigSnapshot,
        timeout: Duration,
    ) -> Result<WatchResult, SourceError> {
        let began = Instant::now();
        let newer = self.ledger.wait_newer(held, timeout).await.map_err(ledger_to_source_error)?;
        // A wait without a newer version has read the source until its end.
        let read_at = if newer.is_none() { began + timeout } else { began };
        Ok(WatchResult { newer, read_at })
    }
}

fn ledger_to_source_error(err: LedgerError) -> SourceError {
    SourceError { reason: err.to_string() }
}

/// Passes acknowledgements from the control thread to the acknowledgement buffer.
pub(crate) struct ReportAckSink {
    pub(crate) ack_buffer: Arc<AckBuffer>,
}

impl AckSink for ReportAckSink {
    fn record(&self, acks: Vec<ProxyAck>) {
        self.ack_buffer.add(acks);
    }
}
