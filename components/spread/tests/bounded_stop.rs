//! Stopping the control thread.

mod common;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use async_trait::async_trait;
use common::{TestFleet, wait_for};
use sk_model::ConfigSnapshot;
use sk_spread::{ConfigSource, SourceError, WatchResult};

/// A source whose calls block the thread that makes them.
#[derive(Default)]
struct BlockingSource {
    is_called: AtomicBool,
}

impl BlockingSource {
    fn block_thread(&self) -> SourceError {
        self.is_called.store(true, Ordering::SeqCst);
        std::thread::sleep(Duration::from_secs(20));
        SourceError { reason: "stuck".to_owned() }
    }
}

#[async_trait]
impl ConfigSource for BlockingSource {
    async fn load(&self, _: &ConfigSnapshot) -> Result<ConfigSnapshot, SourceError> {
        Err(self.block_thread())
    }

    async fn wait_newer(
        &self,
        _: &ConfigSnapshot,
        _: Duration,
    ) -> Result<WatchResult, SourceError> {
        Err(self.block_thread())
    }
}

/// Guards against a stop that waits for a blocked control thread: the process would be killed at
/// the end of its grace period, along with all responses that its callers still read.
#[test]
fn blocked_thread() {
    let source = Arc::new(BlockingSource::default());
    let fleet = TestFleet::new();
    let (options, contacts) = (fleet.options.clone(), fleet.platform.clone());
    let mut daemon = fleet.start_with_source("lj1-00", "lj1", options, source.clone(), contacts);
    wait_for("the call", || source.is_called.load(Ordering::SeqCst));
    let started_at = Instant::now();
    daemon.handle.stop();
    assert!(started_at.elapsed() < Duration::from_millis(500), "{:?}", started_at.elapsed());
}
