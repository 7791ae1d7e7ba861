//! Services that call each other, below and above the load that they can carry.

mod common;

use common::policy;
use sk_lab::{RunFigures, Scenario, parse_scenario, run_scenario};

const SCENARIO: &str = include_str!("../../../examples/lab/services-that-call.toml");

/// Routes that callers use.
const CALLER_ROUTES: [&str; 3] = ["confirmation", "lookup", "document"];

/// Returns the scenario at a multiple of the load that its servers can carry.
fn scenario(load: f64) -> Scenario {
    let mut scenario = parse_scenario(SCENARIO).expect("valid scenario");
    scenario.load.iter_mut().for_each(|plan| plan.rate *= load);
    scenario
}

fn play(load: f64) -> RunFigures {
    run_scenario(&scenario(load), &policy(), 1)
}

/// Returns the requests of callers that were answered within the goal.
fn in_goal(figures: &RunFigures) -> u64 {
    CALLER_ROUTES.iter().map(|route| figures.routes[*route].within_goal).sum()
}

/// Returns the requests offered to guards for each request and call.
fn attempts(figures: &RunFigures) -> f64 {
    let requests: u64 = figures.routes.values().map(|route| route.requests).sum();
    figures.messages as f64 / requests as f64
}

/// Guards against a fleet that serves less the more is asked of it, because requests hold their
/// slots for calls that wait behind further requests.
#[test]
fn no_collapse() {
    let loads = [0.6, 0.9, 1.0, 1.2, 1.5];
    let played = loads.map(|load| (load, play(load)));
    for (load, figures) in &played {
        println!(
            "at {load}: in goal {}, attempts {:.2}\n{figures}",
            in_goal(figures),
            attempts(figures)
        );
    }
    let served = |at: f64| {
        let found = played.iter().find(|(load, _)| *load == at);
        in_goal(&found.expect("a load that is played").1) as f64
    };
    assert!(served(1.5) >= 0.9 * served(1.0), "{} and {}", served(1.5), served(1.0));
    for (load, most) in [(0.9, 1.2), (1.0, 1.2), (1.5, 1.5)] {
        let found = played.iter().find(|(other, _)| *other == load);
        let attempts = attempts(&found.expect("a load that is played").1);
        assert!(attempts <= most, "{attempts:.2} attempts a request at {load}");
    }
}
