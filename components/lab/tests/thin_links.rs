//! Documents that fill the links beside their servers.

mod common;

use common::policy;
use expect_test::expect;
use sk_lab::{DaemonPolicy, RunFigures, Scenario, parse_scenario, run_scenario};

const SCENARIO: &str = include_str!("../../../examples/lab/documents-on-thin-links.toml");

fn scenario() -> Scenario {
    parse_scenario(SCENARIO).expect("valid scenario")
}

/// Returns the share of the documents that were answered within the goal.
fn in_goal(figures: &RunFigures) -> f64 {
    let documents = &figures.routes["document"];
    documents.within_goal as f64 / documents.requests as f64
}

/// All links are full. Documents that went to other data centres for a shorter queue there were
/// served no sooner and made most bytes cross; documents that queued up to their goals were nearly
/// all late.
#[test]
fn documents_stay() {
    let figures = run_scenario(&scenario(), &policy(), 1);
    expect![[r#"
        document: asked 2284, in goal 87.7 %, late 6.7 %, refused 5.6 %, failed 0.0 %, p50 610 ms, p99 1573 ms
        lookup: asked 9163, in goal 99.7 %, late 0.3 %, refused 0.0 %, failed 0.0 %, p50 53 ms, p99 204 ms
        between data centres 30.8 MB, messages 17042, runs 11318
    "#]].assert_eq(&figures.to_string());
    let documents = &figures.routes["document"];
    assert!(in_goal(&figures) > 0.5, "{figures}");
    let served = documents.within_goal + documents.late;
    let share_crossing = figures.cross_centre_bytes as f64 / (served * 90_000) as f64;
    assert!(share_crossing < 0.25, "{share_crossing}: {figures}");
}

/// A document that occupies its slot until the link has carried it keeps lookups out, and its
/// server idle while the link waits for the next one.
#[test]
fn slots_during_transfers() {
    let ahead = run_scenario(&scenario(), &policy(), 1);
    let occupied = run_scenario(&scenario(), &DaemonPolicy { reads_ahead: false, ..policy() }, 1);
    expect![[r#"
        document: asked 2284, in goal 66.7 %, late 7.7 %, refused 25.5 %, failed 0.0 %, p50 676 ms, p99 2982 ms
        lookup: asked 9163, in goal 99.6 %, late 0.4 %, refused 0.0 %, failed 0.0 %, p50 55 ms, p99 211 ms
        between data centres 11.8 MB, messages 22988, runs 10864
    "#]].assert_eq(&occupied.to_string());
    assert!(in_goal(&ahead) > in_goal(&occupied), "{ahead}{occupied}");
}
