//! The ledger as the spread's configuration source.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use sk_ledger::{Ledger, LedgerError};
use sk_model::{ConfigSnapshot, ProxyAck};
use sk_report::ReportBook;
use sk_spread::{AckSink, ConfigSource, SourceError, SourceNews};
use tokio::time::Instant;

/// The ledger behind the spread's border.
pub(crate) struct LedgerSource {
    pub(crate) ledger: Arc<Ledger>,
}

#[async_trait]
impl ConfigSource for LedgerSource {
    async fn load(&self, held: &ConfigSnapshot) -> Result<ConfigSnapshot, SourceError> {
        self.ledger.load(held).await.map_err(source_error)
    }

    async fn wait_newer(
        &self,
        held: &ConfigSnapshot,
        timeout: Duration,
    ) -> Result<SourceNews, SourceError> {
        let began = Instant::now();
        let newer = self.ledger.wait_newer(held, timeout).await.map_err(source_error)?;
        let seen_at = if newer.is_none() { began + timeout } else { began };
        Ok(SourceNews { newer, seen_at })
    }
}

fn source_error(err: LedgerError) -> SourceError {
    SourceError { reason: err.to_string() }
}

/// The report book behind the spread's border.
pub(crate) struct BookSink {
    pub(crate) book: Arc<ReportBook>,
}

impl AckSink for BookSink {
    fn note(&self, acks: Vec<ProxyAck>) {
        self.book.note(acks);
    }
}
