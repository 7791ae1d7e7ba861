//! Measures how a fleet spreads its configuration, by the fleet's size: convergence, control bytes,
//! processor time, memory and platform calls.

use std::time::{Duration, Instant};

use serde::Serialize;

use crate::{
    config::{SERVICE_COUNT, route_change},
    fleet::{FleetPlan, TestFleet},
    process::ProcessUsage,
};

/// Longest wait for a version to be in force on all daemons; a measurement beyond it fails.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(90);

/// What to measure of one fleet.
#[derive(Clone, Debug)]
pub struct SpreadPlan {
    /// The fleet to start.
    pub fleet: FleetPlan,
    /// Number of measured changes, of one route each.
    pub changes: u64,
    /// Time without changes over which the idle values are measured.
    pub idle_time: Duration,
}

/// Results of one fleet size.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SpreadFigures {
    /// Number of daemons.
    pub daemons: usize,
    /// Longest delay among the proxies, in milliseconds, one for each change.
    pub max_ms: Vec<u64>,
    /// 99th percentile of the proxies' delays, in milliseconds, one for each change.
    pub p99_ms: Vec<u64>,
    /// Median of the proxies' delays, in milliseconds, one for each change.
    pub p50_ms: Vec<u64>,
    /// Control bytes that a daemon sends a second in the idle time, mean of all daemons.
    pub idle_bytes: f64,
    /// Control bytes that the daemon with most of them sends a second in the idle time.
    pub idle_bytes_max: f64,
    /// Control bytes sent per daemon and change, without those of the idle rate.
    pub change_bytes: f64,
    /// Processor time of a daemon in the idle time, in percent of a core, mean of all daemons.
    pub idle_processor: f64,
    /// Resident memory of a daemon in megabytes: mean of all daemons, and the greatest.
    pub memory: (f64, f64),
    /// Calls to the platform a second in the idle time.
    pub idle_calls: f64,
    /// Writes to the platform per change.
    pub change_calls: f64,
    /// Milliseconds until all other daemons have a version when a relay is killed while it sends it
    /// on.
    pub relay_killed_ms: u64,
    /// Milliseconds until all daemons have the version again after all were killed and started
    /// again, counted from the last start.
    pub herd_ms: u64,
    /// Milliseconds that it took to start all daemons again.
    pub herd_start_ms: u64,
    /// Calls to the platform while all daemons start again.
    pub herd_calls: u64,
    /// Calls refused in that time because they exceed the platform's rate.
    pub herd_refused: u64,
}

/// Starts a fleet and measures its idle traffic, changes, a killed relay and a restart of all
/// daemons.
///
/// # Errors
///
/// Returns an error when a process fails or when a wait times out.
pub async fn measure_spread(plan: &SpreadPlan) -> anyhow::Result<SpreadFigures> {
    let mut fleet = TestFleet::start(plan.fleet.clone())?;
    let mut figures = SpreadFigures { daemons: plan.fleet.daemons, ..SpreadFigures::default() };
    let mut version = fleet.create_services().await?.version;
    fleet.wait_in_force(version, CONVERGENCE_TIMEOUT).await?;
    tokio::time::sleep(plan.idle_time / 2).await;
    measure_idle(&fleet, plan.idle_time, &mut figures).await?;
    version = measure_changes(&fleet, plan.changes, version, &mut figures).await?;
    version = measure_relay_killed(&mut fleet, version, &mut figures).await?;
    fleet.start_stopped_daemons()?;
    fleet.wait_in_force(version, CONVERGENCE_TIMEOUT).await?;
    measure_herd(&mut fleet, version, &mut figures).await?;
    Ok(figures)
}

/// Measures traffic, processor time, memory and platform calls over `idle` without changes.
async fn measure_idle(
    fleet: &TestFleet,
    idle: Duration,
    figures: &mut SpreadFigures,
) -> anyhow::Result<()> {
    let (states, usage, counts) =
        (fleet.states().await?, fleet.usage()?, fleet.platform_counts().await?);
    let begin = Instant::now();
    tokio::time::sleep(idle).await;
    let (later, later_usage, later_counts) =
        (fleet.states().await?, fleet.usage()?, fleet.platform_counts().await?);
    let seconds = begin.elapsed().as_secs_f64();
    let rates: Vec<f64> = states
        .iter()
        .zip(&later)
        .map(|(before, after)| (after.control_sent - before.control_sent) as f64 / seconds)
        .collect();
    figures.idle_bytes = mean(&rates);
    figures.idle_bytes_max = rates.iter().copied().fold(0.0, f64::max);
    let share = |(before, after): (&ProcessUsage, &ProcessUsage)| {
        (after.processor_time.saturating_sub(before.processor_time)).as_secs_f64() / seconds * 100.0
    };
    figures.idle_processor = mean(&usage.iter().zip(&later_usage).map(share).collect::<Vec<_>>());
    let memory: Vec<f64> = later_usage.iter().map(|usage| usage.memory as f64 / 1e6).collect();
    figures.memory = (mean(&memory), memory.iter().copied().fold(0.0, f64::max));
    figures.idle_calls = (total_calls(&later_counts) - total_calls(&counts)) as f64 / seconds;
    Ok(())
}

/// Submits changes one after the other, each after the last is in force everywhere, and measures
/// their delays and cost. Returns the last version.
async fn measure_changes(
    fleet: &TestFleet,
    changes: u64,
    mut version: u64,
    figures: &mut SpreadFigures,
) -> anyhow::Result<u64> {
    let (states, counts, begin) =
        (fleet.states().await?, fleet.platform_counts().await?, Instant::now());
    for round in 0..changes {
        // Each round takes the next team; its base is the version of its first change.
        let index = (round as usize) % SERVICE_COUNT;
        let base = index as u64 + 1;
        let record = fleet.submit(&route_change(index, base, round)).await?;
        version = record.version;
        fleet.wait_in_force(version, CONVERGENCE_TIMEOUT).await?;
        let report = fleet.change_report(version).await?;
        if let Some(delays) = report.delays {
            figures.max_ms.push(delays.max_ms);
            figures.p99_ms.push(delays.p99_ms);
            figures.p50_ms.push(delays.p50_ms);
        }
    }
    let (later, later_counts, seconds) =
        (fleet.states().await?, fleet.platform_counts().await?, begin.elapsed().as_secs_f64());
    let total_sent = |states: &[sk_ops::StateDump]| -> f64 {
        states.iter().map(|state| state.control_sent as f64).sum()
    };
    let deliveries = fleet.running_count() as f64 * changes as f64;
    figures.change_bytes = (total_sent(&later) - total_sent(&states)) / deliveries
        - figures.idle_bytes * seconds / changes as f64;
    // Reads are left out: waiting reads the report many times, which belongs to the measurement.
    figures.change_calls = (later_counts.writes - counts.writes) as f64 / changes as f64;
    Ok(version)
}

/// Kills a relay right after a change is submitted and measures the time until the other daemons
/// have it. Returns the version of the change.
async fn measure_relay_killed(
    fleet: &mut TestFleet,
    version: u64,
    figures: &mut SpreadFigures,
) -> anyhow::Result<u64> {
    // The daemon from which most others received their version is a relay.
    let states = fleet.states().await?;
    let receivers = |name: &str| states.iter().filter(|state| state.source == name).count();
    let relay = (1..states.len()).max_by_key(|index| receivers(&states[*index].proxy)).unwrap_or(0);
    let index = SERVICE_COUNT - 1;
    let change = route_change(index, index as u64 + 1, version);
    let begin = Instant::now();
    let submitted = fleet.submit(&change);
    let record = submitted.await?;
    fleet.kill(relay);
    fleet.wait_in_force(record.version, CONVERGENCE_TIMEOUT).await?;
    figures.relay_killed_ms = begin.elapsed().as_millis() as u64;
    Ok(record.version)
}

/// Kills all daemons, starts them again and measures the time until all have the version, and the
/// calls that this costs the platform.
async fn measure_herd(
    fleet: &mut TestFleet,
    version: u64,
    figures: &mut SpreadFigures,
) -> anyhow::Result<()> {
    for index in 0..figures.daemons {
        fleet.kill(index);
    }
    let counts = fleet.platform_counts().await?;
    let begin = Instant::now();
    fleet.start_stopped_daemons()?;
    figures.herd_start_ms = begin.elapsed().as_millis() as u64;
    let begin = Instant::now();
    loop {
        let states = fleet.states().await?;
        if states.iter().all(|state| state.version >= version) {
            break;
        }
        anyhow::ensure!(
            begin.elapsed() < CONVERGENCE_TIMEOUT,
            "the restarted daemons do not have the version in time"
        );
    }
    figures.herd_ms = begin.elapsed().as_millis() as u64;
    let later = fleet.platform_counts().await?;
    figures.herd_calls = total_calls(&later) - total_calls(&counts);
    figures.herd_refused = later.refused - counts.refused;
    Ok(())
}

/// Returns the number of all calls to the platform.
fn total_calls(counts: &sk_standin::PlatformCounts) -> u64 {
    counts.reads + counts.watches + counts.writes
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}
