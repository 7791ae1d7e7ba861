//! Workspaces of unlike demand at a server that has not enough slots for all of them.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};
use sk_decide::{
    WorkClass,
    admitting::{
        Admission, AdmissionGuard, FlowKey, GuardRequest, GuardSettings, QueueOrder, Released,
        Ticket, WorkspaceKey,
    },
};

const SLOTS: u32 = 12;
const WORK: Duration = Duration::from_millis(100);
const GOAL: Duration = Duration::from_millis(400);
const STEP: Duration = Duration::from_millis(1);
const END: Duration = Duration::from_secs(31);

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    asked: u32,
    answered: u32,
    in_goal: u32,
}

impl Count {
    fn share(&self) -> f64 {
        f64::from(self.in_goal) / f64::from(self.asked)
    }
}

/// Sends each workspace's part of the server's capacity for thirty seconds; without `are_named`, all
/// requests come without a workspace.
fn run(loads: &[f64], are_named: bool) -> Vec<Count> {
    let settings =
        GuardSettings { order: QueueOrder::Urgent, slots: SLOTS, ..GuardSettings::default() };
    let mut guard = AdmissionGuard::new(settings, Duration::ZERO);
    let (mut rng, mut guard_rng) = (StdRng::seed_from_u64(5), StdRng::seed_from_u64(6));
    let mut counts = vec![Count::default(); loads.len()];
    let mut running: Vec<(Duration, Ticket, usize, Duration)> = Vec::new();
    let mut waiting: Vec<(Ticket, usize, Duration)> = Vec::new();
    let mut now = Duration::from_secs(1);
    while now < END {
        now += STEP;
        let mut released: Vec<Released> = vec![guard.expire(now)];
        let (ended, rest): (Vec<_>, Vec<_>) = running.into_iter().partition(|run| run.0 <= now);
        running = rest;
        for (_, ticket, sender, asked_at) in ended {
            counts[sender].answered += 1;
            counts[sender].in_goal += u32::from(now - asked_at <= GOAL);
            released.push(guard.finish(ticket, now));
        }
        let mut end = || now + WORK.mul_f64(0.5 + rng.random::<f64>());
        for ticket in released.into_iter().flat_map(|released| released.start) {
            let call = waiting.iter().find(|(waiting, ..)| *waiting == ticket);
            let (_, sender, asked_at) = *call.expect("a queued request");
            running.push((end(), ticket, sender, asked_at));
        }
        for (sender, load) in loads.iter().enumerate() {
            let per_step = load * f64::from(SLOTS) * STEP.as_secs_f64() / WORK.as_secs_f64();
            if rng.random::<f64>() >= per_step {
                continue;
            }
            counts[sender].asked += 1;
            let workspace = are_named.then_some(sender as WorkspaceKey);
            let request = GuardRequest {
                class: WorkClass::Short,
                flow: FlowKey { workspace, team: 1, caller: 1 },
                deadline: now + GOAL * 2,
                is_exclusive: false,
                goal: Some(now + GOAL),
                rank: 0,
                is_nested: false,
                work: 1,
                max_wait: None,
            };
            // Requests that give their place up are refused.
            let _evicted = guard.evict_less_urgent(&request, now);
            match guard.offer(&request, now, &mut guard_rng) {
                Admission::Run(ticket) => {
                    let end = now + WORK.mul_f64(0.5 + rng.random::<f64>());
                    running.push((end, ticket, sender, now));
                }
                Admission::Queued(ticket) => waiting.push((ticket, sender, now)),
                Admission::Refused(_) => {}
            }
        }
    }
    counts
}

/// Guards against a workspace that sends several times what the server can do and takes the slots of
/// the others with it.
#[test]
fn flood_isolated() {
    let loads = [3.0, 0.1, 0.1, 0.1];
    let (named, unnamed) = (run(&loads, true), run(&loads, false));
    for (small, without) in named[1..].iter().zip(&unnamed[1..]) {
        assert!(small.share() > 0.97, "{small:?}, without workspaces {without:?}");
        assert!(without.share() < 0.7, "the order by goals alone does not isolate: {without:?}");
    }
    let total = |counts: &[Count]| counts.iter().map(|count| count.answered).sum::<u32>();
    assert!(
        total(&named) * 100 >= total(&unnamed) * 97,
        "as much is served: {named:?}, {unnamed:?}"
    );
}

/// Guards against a large workspace that is held to an even part while a small one leaves its own
/// unused, and against a small one that gets more than the large one.
#[test]
fn large_and_small() {
    let counts = run(&[0.8, 0.1], true);
    assert!(counts.iter().all(|count| count.share() > 0.98), "all have room: {counts:?}");
    let counts = run(&[1.5, 1.5, 0.05], true);
    let ratio = f64::from(counts[0].in_goal) / f64::from(counts[1].in_goal);
    assert!((0.85..1.18).contains(&ratio), "even parts of those that send too much: {counts:?}");
    assert!(counts[2].share() > 0.97, "{counts:?}");
}
