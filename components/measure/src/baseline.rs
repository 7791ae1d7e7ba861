//! Measures the simplest ways to distribute a configuration, for comparison: every daemon reads it
//! from the platform itself.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use sk_model::{ChangeRequest, SettingBody, SettingPath};
use sk_standin::{PlatformOptions, start_platform};
use sk_store::{HttpStore, ObjectStore};

use crate::config::{SERVICE_COUNT, first_change, route_change};

/// Time limit of one call to the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Wait of a daemon after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Wait of a polling daemon between two reads.
const POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Time after which a watch without a change ends and is begun again.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest wait for all daemons to receive a change; a slower change counts as this long.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(60);
/// Key of the object that contains the whole configuration.
const CONFIG_KEY: &str = "whole";

/// How the daemons of a baseline read the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum BaselineKind {
    /// Every daemon reads the whole configuration every two seconds.
    Poll,
    /// Every daemon watches the configuration and receives the whole with each change.
    Watch,
}

/// Results of a baseline.
#[derive(Clone, Debug, Serialize)]
pub struct BaselineFigures {
    /// How the daemons read the configuration.
    pub kind: BaselineKind,
    /// Number of daemons.
    pub daemons: usize,
    /// Milliseconds until all daemons have each change; one that takes over a minute counts as a
    /// minute.
    pub max_ms: Vec<u64>,
    /// Bytes of the values read, per daemon and change.
    pub change_bytes: f64,
    /// Calls to the platform in the whole run.
    pub calls: u64,
    /// Calls refused because they exceed the platform's rate.
    pub refused: u64,
}

/// Measures a baseline: the whole configuration is one object, which each of `daemons` tasks reads
/// from the platform's stand-in.
///
/// # Errors
///
/// Returns an error when the platform's stand-in fails.
pub async fn measure_baseline(
    kind: BaselineKind,
    daemons: usize,
    changes: u64,
) -> anyhow::Result<BaselineFigures> {
    let platform = start_platform(&PlatformOptions::default())?;
    let address = platform.address().to_string();
    let writer = HttpStore::new(&address, CALL_TIMEOUT);
    let mut config = WholeConfig::default();
    (0..SERVICE_COUNT).for_each(|index| config.apply(&first_change(index)));
    let mut revision = writer.create(CONFIG_KEY, config.encode()?).await?;
    let bytes = Arc::new(AtomicU64::new(0));
    let versions: Vec<Arc<AtomicU64>> = (0..daemons).map(|_| Arc::default()).collect();
    let mut tasks = tokio::task::JoinSet::new();
    for version in &versions {
        let store = HttpStore::new(&address, CALL_TIMEOUT);
        tasks.spawn(follow_config(kind, store, version.clone(), bytes.clone()));
    }
    wait_all_versions(&versions, config.version).await;
    let (before, mut max_ms) = (bytes.load(Ordering::Relaxed), Vec::new());
    for round in 0..changes {
        let index = round as usize % SERVICE_COUNT;
        config.apply(&route_change(index, index as u64 + 1, round));
        revision = writer.replace(CONFIG_KEY, revision, config.encode()?).await?;
        max_ms.push(wait_all_versions(&versions, config.version).await.as_millis() as u64);
    }
    let read = (bytes.load(Ordering::Relaxed) - before) as f64;
    tasks.shutdown().await;
    let counts = platform.counts();
    platform.stop().await?;
    Ok(BaselineFigures {
        kind,
        daemons,
        max_ms,
        change_bytes: read / daemons as f64 / changes as f64,
        calls: counts.reads + counts.watches + counts.writes,
        refused: counts.refused,
    })
}

/// All settings as one object.
#[derive(Default, Serialize, Deserialize)]
struct WholeConfig {
    version: u64,
    settings: BTreeMap<SettingPath, SettingBody>,
}

impl WholeConfig {
    fn apply(&mut self, change: &ChangeRequest) {
        self.version += 1;
        for (path, body) in &change.writes {
            match body {
                Some(body) => self.settings.insert(path.clone(), body.clone()),
                None => self.settings.remove(path),
            };
        }
    }

    fn encode(&self) -> anyhow::Result<String> {
        Ok(serde_json::to_string(self)?)
    }
}

/// Follows the configuration as a simple daemon would, and reads the whole each time. Adds the
/// bytes that it reads and stores the version that it has.
async fn follow_config(
    kind: BaselineKind,
    store: HttpStore,
    version: Arc<AtomicU64>,
    bytes: Arc<AtomicU64>,
) {
    let mut revision = 0;
    loop {
        let read = match kind {
            BaselineKind::Poll => store.get(CONFIG_KEY).await,
            BaselineKind::Watch => store.watch(CONFIG_KEY, revision, WATCH_TIMEOUT).await,
        };
        match read {
            Ok(Some(object)) => {
                revision = object.revision;
                bytes.fetch_add(object.value.len() as u64, Ordering::Relaxed);
                let config: WholeConfig = serde_json::from_str(&object.value).unwrap_or_default();
                version.store(config.version, Ordering::Relaxed);
            }
            Ok(None) => (),
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
        if kind == BaselineKind::Poll {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Waits until all daemons have a version, at most [`CONVERGENCE_TIMEOUT`]. Returns the time that
/// it took.
async fn wait_all_versions(versions: &[Arc<AtomicU64>], expected: u64) -> Duration {
    let begin = Instant::now();
    let is_updated = |version: &Arc<AtomicU64>| version.load(Ordering::Relaxed) >= expected;
    while !versions.iter().all(is_updated) && begin.elapsed() < CONVERGENCE_TIMEOUT {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    begin.elapsed()
}
