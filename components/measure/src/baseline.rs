//! What the simplest ways would cost: every daemon at the platform itself.

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

use crate::config::{SERVICES, first_change, route_change};

const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const RETRY_PAUSE: Duration = Duration::from_millis(500);
const POLL_PERIOD: Duration = Duration::from_secs(2);
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
const BOUND: Duration = Duration::from_secs(60);
const KEY: &str = "whole";

/// Which simple way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum BaselineKind {
    /// Every daemon reads the whole every two seconds.
    Poll,
    /// Every daemon watches and then reads the whole.
    Watch,
}

/// Figures of a baseline.
#[derive(Clone, Debug, Serialize)]
pub struct BaselineFigures {
    /// Which.
    pub kind: BaselineKind,
    /// Daemons.
    pub daemons: usize,
    /// Milliseconds until all held each change; a change that took over a minute counts as that.
    pub max_ms: Vec<u64>,
    /// Bytes of values read per daemon and change.
    pub change_bytes: f64,
    /// Calls to the platform in the whole run.
    pub calls: u64,
    /// Calls refused over the platform's rate.
    pub refused: u64,
}

/// Measures a baseline: the whole configuration is one object, which every daemon reads itself.
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
    let mut whole = WholeConfig::default();
    (0..SERVICES).for_each(|index| whole.apply(&first_change(index)));
    let mut revision = writer.create(KEY, whole.encode()?).await?;
    let bytes = Arc::new(AtomicU64::new(0));
    let versions: Vec<Arc<AtomicU64>> = (0..daemons).map(|_| Arc::default()).collect();
    let mut tasks = tokio::task::JoinSet::new();
    for version in &versions {
        let store = HttpStore::new(&address, CALL_TIMEOUT);
        tasks.spawn(follow(kind, store, version.clone(), bytes.clone()));
    }
    wait_all(&versions, whole.version).await;
    let (before, mut max_ms) = (bytes.load(Ordering::Relaxed), Vec::new());
    for round in 0..changes {
        let index = round as usize % SERVICES;
        whole.apply(&route_change(index, index as u64 + 1, round));
        revision = writer.replace(KEY, revision, whole.encode()?).await?;
        max_ms.push(wait_all(&versions, whole.version).await.as_millis() as u64);
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

/// All settings as one value.
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

/// Follows the configuration as a simple daemon would, reading the whole each time.
async fn follow(
    kind: BaselineKind,
    store: HttpStore,
    version: Arc<AtomicU64>,
    bytes: Arc<AtomicU64>,
) {
    let mut revision = 0;
    loop {
        let read = match kind {
            BaselineKind::Poll => store.get(KEY).await,
            BaselineKind::Watch => store.watch(KEY, revision, WATCH_TIMEOUT).await,
        };
        match read {
            Ok(Some(object)) => {
                revision = object.revision;
                bytes.fetch_add(object.value.len() as u64, Ordering::Relaxed);
                let whole: WholeConfig = serde_json::from_str(&object.value).unwrap_or_default();
                version.store(whole.version, Ordering::Relaxed);
            }
            Ok(None) => (),
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
        if kind == BaselineKind::Poll {
            tokio::time::sleep(POLL_PERIOD).await;
        }
    }
}

async fn wait_all(versions: &[Arc<AtomicU64>], wanted: u64) -> Duration {
    let begin = Instant::now();
    let holds = |version: &Arc<AtomicU64>| version.load(Ordering::Relaxed) >= wanted;
    while !versions.iter().all(holds) && begin.elapsed() < BOUND {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    begin.elapsed()
}
