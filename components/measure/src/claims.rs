//! How many claims a second the platform's rate carries, for each way of claiming.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use serde::Serialize;
use sk_claim::{ClaimBook, ClaimSettings, ClaimVerdict, claim_key};
use sk_standin::{PlatformOptions, start_platform};
use sk_store::{HttpStore, SharedStore};
use tokio::task::JoinSet;

const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Figures of one way at one offered rate.
#[derive(Clone, Debug, Serialize)]
pub struct ClaimFigures {
    /// How claims are made.
    pub way: &'static str,
    /// Claims offered a second.
    pub offered: u64,
    /// Claims granted a second.
    pub granted: f64,
    /// Claims refused because the platform was away or over its rate.
    pub refused: u64,
    /// Time of half the granted claims, in milliseconds.
    pub p50_ms: f64,
    /// Time of 99 in 100 granted claims, in milliseconds.
    pub p99_ms: f64,
    /// Platform writes in the run.
    pub writes: u64,
    /// Platform reads in the run.
    pub reads: u64,
}

#[derive(Clone)]
enum ClaimWay {
    /// One object a key, created only if absent.
    Object(SharedStore),
    /// Groups committed to partition heads, by several daemons.
    Groups(Arc<Vec<ClaimBook>>),
}

/// Measures each way at the offered rates, over `seconds` each.
///
/// # Errors
///
/// Returns an error when the platform's stand-in fails.
pub async fn measure_claims(
    rates: &[u64],
    writers: usize,
    seconds: u64,
) -> anyhow::Result<Vec<ClaimFigures>> {
    let mut figures = Vec::new();
    for rate in rates {
        figures.push(measure_way("an object a key", *rate, None, seconds).await?);
        let name = if writers == 1 { "groups, one writer" } else { "groups, several writers" };
        figures.push(measure_way(name, *rate, Some(writers), seconds).await?);
    }
    Ok(figures)
}

async fn measure_way(
    name: &'static str,
    offered: u64,
    writers: Option<usize>,
    seconds: u64,
) -> anyhow::Result<ClaimFigures> {
    let platform = start_platform(&PlatformOptions::default())?;
    let address = platform.address().to_string();
    let store = || -> SharedStore { Arc::new(HttpStore::new(&address, CALL_TIMEOUT)) };
    let book = |_| ClaimBook::new(store(), ClaimSettings::default());
    let way = match writers {
        Some(count) => ClaimWay::Groups(Arc::new((0..count).map(book).collect())),
        None => ClaimWay::Object(store()),
    };
    let begin = Instant::now();
    let mut tasks = JoinSet::new();
    let mut ticks = tokio::time::interval(Duration::from_nanos(1_000_000_000 / offered.max(1)));
    for number in 0..offered * seconds {
        ticks.tick().await;
        tasks.spawn(claim(way.clone(), number));
    }
    let mut times = Histogram::<u64>::new(3)?;
    let mut refused = 0;
    while let Some(done) = tasks.join_next().await {
        match done? {
            Some(time) => times.record(time.as_micros() as u64)?,
            None => refused += 1,
        }
    }
    let elapsed = begin.elapsed().as_secs_f64();
    let counts = platform.counts();
    platform.stop().await?;
    Ok(ClaimFigures {
        way: name,
        offered,
        granted: times.len() as f64 / elapsed,
        refused,
        p50_ms: times.value_at_quantile(0.5) as f64 / 1e3,
        p99_ms: times.value_at_quantile(0.99) as f64 / 1e3,
        writes: counts.writes,
        reads: counts.reads,
    })
}

/// Makes one claim and gives its time, or none where it was refused.
async fn claim(way: ClaimWay, number: u64) -> Option<Duration> {
    let key = claim_key("/measure/service", &number.to_string());
    let begin = Instant::now();
    let is_granted = match way {
        ClaimWay::Object(store) => store.create(&key, String::new()).await.is_ok(),
        ClaimWay::Groups(books) => {
            let book = &books[number as usize % books.len()];
            book.claim(&key, number).await == Ok(ClaimVerdict::Granted)
        }
    };
    is_granted.then(|| begin.elapsed())
}
