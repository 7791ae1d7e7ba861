//! Servers that state limits below what they got before.

mod common;

use std::time::Duration;

use sk_lab::{FaultKind, FaultPlan, Scenario, parse_scenario, run_scenario};

const SCENARIO: &str = include_str!("../../../examples/lab/short-of-slots.toml");
/// Span over which requests are counted.
const SPAN: Duration = Duration::from_secs(4);

/// Returns the scenario without its bursts, at a third of its load, with limits of some servers
/// from the third second on, until the twelfth.
fn scenario(limits: &[(usize, f64)]) -> Scenario {
    let plain = parse_scenario(SCENARIO).expect("valid scenario");
    let limit = |&(server, per_second): &(usize, f64)| FaultPlan {
        at: 3.0,
        lasts: 9.0,
        kind: FaultKind::StatedLimit { server, per_second },
    };
    let load = plain.load.iter().map(|load| {
        let rate = load.rate / 3.0;
        sk_lab::LoadPlan { rate, ..load.clone() }
    });
    Scenario {
        seconds: 16.0,
        load: load.collect(),
        faults: limits.iter().map(limit).collect(),
        ..plain.clone()
    }
}

/// Guards against more requests than the limits allow, and against callers that lose by a limit
/// although other servers have room for them.
#[test]
fn limits_kept() {
    for limits in [&[(0, 2.3), (1, 11.9)][..], &[(0, 0.0), (4, 0.5), (7, 20.0)]] {
        let figures = run_scenario(&scenario(limits), &common::policy(), 3);
        for &(server, per_second) in limits {
            let arrivals = &figures.limited_arrivals[&server];
            // Each server learns of its limit with its first answer after the start.
            let known = arrivals.iter().filter(|at| **at > Duration::from_millis(3_500));
            let known: Vec<Duration> = known.copied().collect();
            let in_span = |from: &Duration| {
                known.iter().filter(|at| **at >= *from && **at < *from + SPAN).count()
            };
            let peak = known.iter().map(in_span).max().unwrap_or_default();
            let allowed = 1.5 * per_second * SPAN.as_secs_f64() + 5.0;
            assert!(peak as f64 <= allowed, "server {server}: {peak} at {per_second} a second");
        }
        let unlimited = run_scenario(&scenario(&[]), &common::policy(), 3);
        let (with, without) = (figures.goal_share(), unlimited.goal_share());
        assert!(with > without - 0.02, "in goal {with} with limits, {without} without");
    }
}

/// Guards against a server that stays unused after its limit has ended.
#[test]
fn limit_over() {
    let scenario = Scenario { seconds: 30.0, ..scenario(&[(0, 0.0), (1, 1.0)]) };
    let figures = run_scenario(&scenario, &common::policy(), 4);
    let unlimited =
        run_scenario(&Scenario { faults: Vec::new(), ..scenario.clone() }, &common::policy(), 4);
    assert!(figures.runs as f64 > 0.99 * unlimited.runs as f64, "{}", figures.runs);
    assert!(figures.goal_share() > unlimited.goal_share() - 0.02);
}
