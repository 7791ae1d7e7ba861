//! Convergence, control bytes, processor, memory and platform calls against the fleet's size.

use std::time::{Duration, Instant};

use serde::Serialize;

use crate::{
    config::{SERVICES, route_change},
    fleet::{FleetPlan, TestFleet},
    process::ProcessUse,
};

const CONVERGE_BOUND: Duration = Duration::from_secs(90);

/// What to measure.
#[derive(Clone, Debug)]
pub struct SpreadPlan {
    /// The fleet.
    pub fleet: FleetPlan,
    /// One-route changes.
    pub changes: u64,
    /// Time without changes over which idle figures are taken.
    pub idle: Duration,
}

/// Figures of one fleet size.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SpreadFigures {
    /// Daemons.
    pub daemons: usize,
    /// Delays of the changes' slowest proxies, in milliseconds, one a change.
    pub max_ms: Vec<u64>,
    /// Delays of the changes' 99 in 100, in milliseconds.
    pub p99_ms: Vec<u64>,
    /// Delays of the changes' halves, in milliseconds.
    pub p50_ms: Vec<u64>,
    /// Control bytes sent in the idle time, per daemon and second: mean.
    pub idle_bytes: f64,
    /// The daemon that sent most in the idle time, bytes a second.
    pub idle_bytes_max: f64,
    /// Control bytes sent per daemon and change, beyond the idle ones.
    pub change_bytes: f64,
    /// Processor share per daemon in the idle time, in percent of a core: mean.
    pub idle_processor: f64,
    /// Resident memory per daemon, in megabytes: mean and greatest.
    pub memory: (f64, f64),
    /// Platform calls a second in the idle time.
    pub idle_calls: f64,
    /// Platform calls a change, beyond the idle ones.
    pub change_calls: f64,
    /// With a relay killed in mid-push: milliseconds until the rest held the version.
    pub relay_killed_ms: u64,
    /// After all daemons were killed and started again: milliseconds from the last start until
    /// all held the version.
    pub herd_ms: u64,
    /// Milliseconds it took to start them.
    pub herd_start_ms: u64,
    /// Platform calls of the herd.
    pub herd_calls: u64,
    /// Platform calls refused over its rate.
    pub herd_refused: u64,
}

/// Measures one fleet size.
///
/// # Errors
///
/// Returns an error when a process fails or a bound is passed.
pub async fn measure_spread(plan: &SpreadPlan) -> anyhow::Result<SpreadFigures> {
    let mut fleet = TestFleet::start(plan.fleet.clone())?;
    let mut figures = SpreadFigures { daemons: plan.fleet.daemons, ..SpreadFigures::default() };
    let mut version = fleet.fill().await?.version;
    fleet.wait_in_force(version, CONVERGE_BOUND).await?;
    tokio::time::sleep(plan.idle / 2).await;
    measure_idle(&fleet, plan.idle, &mut figures).await?;
    version = measure_changes(&fleet, plan.changes, version, &mut figures).await?;
    version = measure_relay_killed(&mut fleet, version, &mut figures).await?;
    fleet.start_missing()?;
    fleet.wait_in_force(version, CONVERGE_BOUND).await?;
    measure_herd(&mut fleet, version, &mut figures).await?;
    Ok(figures)
}

async fn measure_idle(
    fleet: &TestFleet,
    idle: Duration,
    figures: &mut SpreadFigures,
) -> anyhow::Result<()> {
    let (states, usage, counts) = (fleet.states().await?, fleet.usage()?, fleet.counts().await?);
    let begin = Instant::now();
    tokio::time::sleep(idle).await;
    let (later, later_usage, later_counts) =
        (fleet.states().await?, fleet.usage()?, fleet.counts().await?);
    let seconds = begin.elapsed().as_secs_f64();
    let rates: Vec<f64> = states
        .iter()
        .zip(&later)
        .map(|(before, after)| (after.control_sent - before.control_sent) as f64 / seconds)
        .collect();
    figures.idle_bytes = mean(&rates);
    figures.idle_bytes_max = rates.iter().copied().fold(0.0, f64::max);
    let share = |(before, after): (&ProcessUse, &ProcessUse)| {
        (after.processor.saturating_sub(before.processor)).as_secs_f64() / seconds * 100.0
    };
    figures.idle_processor = mean(&usage.iter().zip(&later_usage).map(share).collect::<Vec<_>>());
    let memory: Vec<f64> = later_usage.iter().map(|usage| usage.memory as f64 / 1e6).collect();
    figures.memory = (mean(&memory), memory.iter().copied().fold(0.0, f64::max));
    figures.idle_calls = (total(&later_counts) - total(&counts)) as f64 / seconds;
    Ok(())
}

async fn measure_changes(
    fleet: &TestFleet,
    changes: u64,
    mut version: u64,
    figures: &mut SpreadFigures,
) -> anyhow::Result<u64> {
    let (states, counts, begin) = (fleet.states().await?, fleet.counts().await?, Instant::now());
    for round in 0..changes {
        // Teams in turn: each one's base is the version of its first change.
        let index = (round as usize) % SERVICES;
        let base = index as u64 + 1;
        let record = fleet.submit(&route_change(index, base, round)).await?;
        version = record.version;
        fleet.wait_in_force(version, CONVERGE_BOUND).await?;
        let report = fleet.change_report(version).await?;
        if let Some(delays) = report.delays {
            figures.max_ms.push(delays.max_ms);
            figures.p99_ms.push(delays.p99_ms);
            figures.p50_ms.push(delays.p50_ms);
        }
    }
    let (later, later_counts, seconds) =
        (fleet.states().await?, fleet.counts().await?, begin.elapsed().as_secs_f64());
    let sent = |states: &[sk_ops::StateDump]| -> f64 {
        states.iter().map(|state| state.control_sent as f64).sum()
    };
    let count = fleet.running() as f64 * changes as f64;
    figures.change_bytes =
        (sent(&later) - sent(&states)) / count - figures.idle_bytes * seconds / changes as f64;
    // The report is read many times while waiting; those reads are of the measurement.
    figures.change_calls = (later_counts.writes - counts.writes) as f64 / changes as f64;
    Ok(version)
}

async fn measure_relay_killed(
    fleet: &mut TestFleet,
    version: u64,
    figures: &mut SpreadFigures,
) -> anyhow::Result<u64> {
    // The daemon that most others have their version from is a relay.
    let states = fleet.states().await?;
    let count = |name: &str| states.iter().filter(|state| state.source == name).count();
    let relay = (1..states.len()).max_by_key(|index| count(&states[*index].proxy)).unwrap_or(0);
    let index = SERVICES - 1;
    let change = route_change(index, index as u64 + 1, version);
    let begin = Instant::now();
    let submitted = fleet.submit(&change);
    let record = submitted.await?;
    fleet.kill(relay);
    fleet.wait_in_force(record.version, CONVERGE_BOUND).await?;
    figures.relay_killed_ms = begin.elapsed().as_millis() as u64;
    Ok(record.version)
}

async fn measure_herd(
    fleet: &mut TestFleet,
    version: u64,
    figures: &mut SpreadFigures,
) -> anyhow::Result<()> {
    for index in 0..figures.daemons {
        fleet.kill(index);
    }
    let counts = fleet.counts().await?;
    let begin = Instant::now();
    fleet.start_missing()?;
    figures.herd_start_ms = begin.elapsed().as_millis() as u64;
    let begin = Instant::now();
    loop {
        let states = fleet.states().await?;
        if states.iter().all(|state| state.version >= version) {
            break;
        }
        anyhow::ensure!(begin.elapsed() < CONVERGE_BOUND, "the herd does not converge");
    }
    figures.herd_ms = begin.elapsed().as_millis() as u64;
    let later = fleet.counts().await?;
    figures.herd_calls = total(&later) - total(&counts);
    figures.herd_refused = later.refused - counts.refused;
    Ok(())
}

fn total(counts: &sk_standin::PlatformCounts) -> u64 {
    counts.reads + counts.watches + counts.writes
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}
