//! The end of the control thread.

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
use sk_spread::{ConfigSource, SourceError, SourceNews};

/// A source whose calls keep the thread that makes them.
#[derive(Default)]
struct StuckSource {
    is_asked: AtomicBool,
}

impl StuckSource {
    fn keep_thread(&self) -> SourceError {
        self.is_asked.store(true, Ordering::SeqCst);
        std::thread::sleep(Duration::from_secs(20));
        SourceError { reason: "stuck".to_owned() }
    }
}

#[async_trait]
impl ConfigSource for StuckSource {
    async fn load(&self, _: &ConfigSnapshot) -> Result<ConfigSnapshot, SourceError> {
        Err(self.keep_thread())
    }

    async fn wait_newer(&self, _: &ConfigSnapshot, _: Duration) -> Result<SourceNews, SourceError> {
        Err(self.keep_thread())
    }
}

/// Guards against a stop that waits for a control thread which is kept busy: the process would be killed
/// at the end of its grace time, and with it whatever its callers still read.
#[test]
fn stuck_thread() {
    let source = Arc::new(StuckSource::default());
    let fleet = TestFleet::new();
    let (options, contacts) = (fleet.options.clone(), fleet.platform.clone());
    let mut daemon = fleet.start_over("lj1-00", "lj1", options, source.clone(), contacts);
    wait_for("the call", || source.is_asked.load(Ordering::SeqCst));
    let began = Instant::now();
    daemon.handle.stop();
    assert!(began.elapsed() < Duration::from_millis(500), "{:?}", began.elapsed());
}
