//! Twice the load that the servers can serve, and a burst that passes.

use std::time::Duration;

use expect_test::expect;

mod model;

use model::report::Report;
use model::{Load, Scenario, millis, short_load};

/// More calls arrive than can be served, for as long as the test lasts. Without a guard the queue
/// grows past every deadline: the servers are fully busy and hardly a caller gets its answer.
#[test]
fn double_load() {
    let mut scenario = Scenario::default();
    let capacity = scenario.capacity(millis(10));
    scenario.loads = vec![short_load(2.0 * capacity, 4)];
    let both = scenario.compare();
    let (guarded, naive) = (&both.guarded, &both.naive);
    assert!(guarded.good() >= 0.9 * 4.0 * capacity);
    assert_eq!(guarded.worst_overrun, Duration::ZERO);
    assert!(naive.good() < 0.9 * 4.0 * capacity, "the naive version must fail");
    expect![[r#"
        guarded
        short 1: sent 48025 good 24086 refused 23939 late 0 p99 27.2ms
        sends 53051
        naive
        short 1: sent 48025 good 1172 refused 0 late 46853 p99 392.8ms
        sends 185774
    "#]]
    .assert_eq(&both.to_string());
}

/// Three times the capacity for two seconds, then a load that fits easily. Naive callers send again
/// what timed out, and their copies keep the queue full long after the burst has passed.
#[test]
fn passing_burst() {
    let mut scenario = Scenario::default();
    let capacity = scenario.capacity(millis(10));
    let from = Duration::from_secs(1);
    let burst = Load { flow: 2, from, ..short_load(2.4 * capacity, 3) };
    scenario.loads = vec![short_load(0.6 * capacity, 8), burst];
    // Calls count from two seconds after the burst.
    scenario.counted_from = Duration::from_secs(5);
    let both = scenario.compare();
    assert!(both.guarded.short(1).good_share() >= 0.999);
    assert!(both.naive.short(1).good_share() < 0.9, "the naive version must fail");
    expect![[r#"
        guarded
        short 1: sent 10744 good 10744 refused 0 late 0 p99 14.9ms
        sends 61439
        naive
        short 1: sent 10744 good 0 refused 0 late 10744 p99 0.0ns
        sends 214698
    "#]]
    .assert_eq(&both.to_string());
}

/// Calls come at twice the capacity with little more time than their service takes. Calls that are
/// queued in vain are refused when it is too late to go elsewhere.
#[test]
fn tight_deadlines() {
    let mut scenario = Scenario::default();
    let load = short_load(2.0 * scenario.capacity(millis(10)), 4);
    scenario.loads = (0..10)
        .map(|flow| Load { flow, rate: load.rate / 10.0, deadline: millis(25), ..load })
        .collect();
    let both = scenario.compare();
    let queued_in_vain = f64::from(both.guarded.queued_refusals) / f64::from(both.guarded.sends);
    assert!(queued_in_vain <= 0.01, "{queued_in_vain}");
    let in_time = |report: &Report| report.good() / (4.0 * scenario.capacity(millis(10)));
    assert!(in_time(&both.guarded) >= 0.9 && in_time(&both.naive) < 0.9);
    expect![[r#"
        queued in vain 0.009, in time 0.984 of capacity, naive 0.009
    "#]]
    .assert_eq(&format!(
        "queued in vain {queued_in_vain:.3}, in time {:.3} of capacity, naive {:.3}\n",
        in_time(&both.guarded),
        in_time(&both.naive)
    ));
}
