//! Measures how many claims a second the platform's rate allows, for each method of claiming.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use serde::Serialize;
use sk_claim::{ClaimClient, ClaimSettings, ClaimVerdict, claim_key};
use sk_standin::{PlatformOptions, start_platform};
use sk_store::{HttpStore, SharedStore};
use tokio::task::JoinSet;

/// Time limit of one call to the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Results of one method at one offered rate.
#[derive(Clone, Debug, Serialize)]
pub struct ClaimFigures {
    /// Method of claiming.
    #[serde(rename = "way")]
    pub method: &'static str,
    /// Claims offered a second.
    pub offered: u64,
    /// Claims granted a second.
    pub granted: f64,
    /// Claims not granted, as when the platform is unavailable or over its rate.
    pub refused: u64,
    /// Median time of granted claims, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the time of granted claims, in milliseconds.
    pub p99_ms: f64,
    /// Writes to the platform in the run.
    pub writes: u64,
    /// Reads from the platform in the run.
    pub reads: u64,
}

/// A method of claiming.
#[derive(Clone)]
enum ClaimMethod {
    /// One object for each key, created only if absent.
    Object(SharedStore),
    /// Groups of claims committed together to the partitions' heads, one claim client for each
    /// daemon.
    Groups(Arc<Vec<ClaimClient>>),
}

/// Measures each method at the offered rates, in claims a second, for `seconds` each. `writers` is
/// the number of daemons that claim in groups.
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
        figures.push(measure_method("an object a key", *rate, None, seconds).await?);
        let name = if writers == 1 { "groups, one writer" } else { "groups, several writers" };
        figures.push(measure_method(name, *rate, Some(writers), seconds).await?);
    }
    Ok(figures)
}

/// Measures one method at one rate: groups with a number of `writers`, otherwise one object for
/// each key.
async fn measure_method(
    name: &'static str,
    offered: u64,
    writers: Option<usize>,
    seconds: u64,
) -> anyhow::Result<ClaimFigures> {
    let platform = start_platform(&PlatformOptions::default())?;
    let address = platform.address().to_string();
    let store = || -> SharedStore { Arc::new(HttpStore::new(&address, CALL_TIMEOUT)) };
    let client = |_| ClaimClient::new(store(), ClaimSettings::default());
    let method = match writers {
        Some(count) => ClaimMethod::Groups(Arc::new((0..count).map(client).collect())),
        None => ClaimMethod::Object(store()),
    };
    let begin = Instant::now();
    let mut tasks = JoinSet::new();
    let mut ticks = tokio::time::interval(Duration::from_nanos(1_000_000_000 / offered.max(1)));
    for number in 0..offered * seconds {
        ticks.tick().await;
        tasks.spawn(claim(method.clone(), number));
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
        method: name,
        offered,
        granted: times.len() as f64 / elapsed,
        refused,
        p50_ms: times.value_at_quantile(0.5) as f64 / 1e3,
        p99_ms: times.value_at_quantile(0.99) as f64 / 1e3,
        writes: counts.writes,
        reads: counts.reads,
    })
}

/// Makes one claim. Returns the time that it took, none when it was not granted.
async fn claim(method: ClaimMethod, number: u64) -> Option<Duration> {
    let key = claim_key("/measure/service", &number.to_string());
    let begin = Instant::now();
    let is_granted = match method {
        ClaimMethod::Object(store) => store.create(&key, String::new()).await.is_ok(),
        ClaimMethod::Groups(clients) => {
            let client = &clients[number as usize % clients.len()];
            client.claim(&key, number).await == Ok(ClaimVerdict::Granted)
        }
    };
    is_granted.then(|| begin.elapsed())
}
