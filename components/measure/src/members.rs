//! Measures the time until all daemons know of a server's start, its drain and a daemon's crash.

use std::time::{Duration, Instant};

use futures::future::join_all;
use http::Method;
use serde::Serialize;
use serde_json::json;
use sk_ops::StateDump;

use crate::{
    config::service_path,
    fleet::{FleetPlan, TestFleet},
};

/// Longest wait for all daemons to show a change; a measurement beyond it fails.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(30);
/// Daemons whose state is read at once; reading all of a large fleet at once would starve it.
const CONCURRENT_READS: usize = 16;

/// Times of one fleet size in milliseconds, one for each round. Each includes the time to read the
/// last daemons' states, as one pass over a fleet of 200 takes some tens of milliseconds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct MemberFigures {
    /// Number of daemons.
    pub daemons: usize,
    /// Time until all daemons know of a server that starts.
    pub start_ms: Vec<u64>,
    /// Time until all daemons know that the server drains.
    pub drain_ms: Vec<u64>,
    /// Time until all other daemons know of a daemon that crashes, with its connections reset.
    pub crash_ms: Vec<u64>,
}

/// Measures one fleet size, `rounds` times.
///
/// # Errors
///
/// Returns an error when a process fails or when a wait times out.
pub async fn measure_members(plan: FleetPlan, rounds: usize) -> anyhow::Result<MemberFigures> {
    let mut figures = MemberFigures { daemons: plan.daemons, ..MemberFigures::default() };
    let mut fleet = TestFleet::start(plan)?;
    let version = fleet.create_services().await?.version;
    fleet.wait_in_force(version, CONVERGENCE_TIMEOUT).await?;
    wait_all_daemons(&fleet, figures.daemons, |state| state.members.len() == figures.daemons)
        .await?;
    for round in 0..rounds {
        let index = 1 + round % (figures.daemons - 1);
        let name = format!("daemon{index:03}");
        let has_status = |status: &'static str| {
            let (name, service) = (name.clone(), service_path(0));
            move |state: &StateDump| {
                let services = state.members.get(&name).map(|member| &member.services);
                services.and_then(|services| services.get(&service)).is_some_and(|s| s == status)
            }
        };
        let server = format!("server-{round}");
        announce_server(&fleet, index, &server, false).await?;
        figures
            .start_ms
            .push(wait_all_daemons(&fleet, figures.daemons, has_status("ready")).await?);
        announce_server(&fleet, index, &server, true).await?;
        figures
            .drain_ms
            .push(wait_all_daemons(&fleet, figures.daemons, has_status("draining")).await?);
        fleet.kill(index);
        let is_lost = |state: &StateDump| {
            let member = state.members.get(&name);
            member.is_none_or(|member| member.status == "gone" || member.mark == "unreachable")
        };
        figures.crash_ms.push(wait_all_daemons(&fleet, figures.daemons - 1, is_lost).await?);
        fleet.start_stopped_daemons()?;
        let is_back = |state: &StateDump| {
            state.members.get(&name).is_some_and(|member| member.status == "alive")
        };
        wait_all_daemons(&fleet, figures.daemons, is_back).await?;
    }
    Ok(figures)
}

/// Announces a server to a daemon, ready or draining.
async fn announce_server(
    fleet: &TestFleet,
    index: usize,
    server: &str,
    is_draining: bool,
) -> anyhow::Result<()> {
    let body = json!({
        "service": service_path(0),
        "server": server,
        "address": "127.0.0.1:9",
        "slots": 12,
        "is_draining": is_draining,
    });
    fleet
        .manager_client()
        .send(Method::PUT, &fleet.address(index, "ops")?, "/v1/server", &body)
        .await?;
    Ok(())
}

/// Waits until the states of all daemons, of which `expected` must run, meet a condition. Returns
/// the milliseconds that it took.
async fn wait_all_daemons(
    fleet: &TestFleet,
    expected: usize,
    is_met: impl Fn(&StateDump) -> bool,
) -> anyhow::Result<u64> {
    let begin = Instant::now();
    let mut waiting = fleet.addresses("ops");
    anyhow::ensure!(
        waiting.len() == expected,
        "{} daemons run, expected {expected}",
        waiting.len()
    );
    while !waiting.is_empty() {
        anyhow::ensure!(
            begin.elapsed() < CONVERGENCE_TIMEOUT,
            "{} daemons do not show the change in time",
            waiting.len()
        );
        let mut still_waiting = Vec::new();
        for chunk in waiting.chunks(CONCURRENT_READS) {
            let reads = chunk.iter().map(|ops| fleet.manager_client().get(ops, "/v1/state"));
            let states: Vec<anyhow::Result<StateDump>> = join_all(reads).await;
            for (ops, state) in chunk.iter().zip(states) {
                if !is_met(&state?) {
                    still_waiting.push(ops.clone());
                }
            }
        }
        waiting = still_waiting;
    }
    Ok(begin.elapsed().as_millis() as u64)
}
