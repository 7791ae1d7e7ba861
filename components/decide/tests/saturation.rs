//! Twice the load that the servers can serve, and a burst that passes.

use std::time::Duration;

use expect_test::expect;
use sk_decide::WorkClass;

mod model;

use model::{Load, Policy, Scenario, millis, short_load};

/// More calls arrive than can be served, for as long as the test lasts. Without a guard the queue
/// grows past every deadline: the servers are fully busy and hardly a caller gets its answer.
#[test]
fn double_load() {
    let mut scenario = Scenario::new(Vec::new());
    let capacity = scenario.capacity(millis(10));
    scenario.loads = vec![short_load(2.0 * capacity, 4)];
    let (guarded, naive) = (scenario.run(Policy::Guarded), scenario.run(Policy::Naive));
    let served = |report: &model::report::Report| {
        f64::from(report.of(WorkClass::Short, 1).good) / (capacity * 4.0)
    };
    assert!(served(&guarded) >= 0.9, "{}", served(&guarded));
    assert_eq!(guarded.worst_overrun, Duration::ZERO);
    assert!(served(&naive) < 0.9, "the naive version fails, or the test shows nothing");
    expect![[r#"
        guarded: 1.005 of capacity
        short flow 1: sent 48025 good 24113 refused 23912 late 0 p99 30.6 ms
        sends 53046
        naive: 0.049 of capacity
        short flow 1: sent 48025 good 1172 refused 0 late 46853 p99 392.8 ms
        sends 185774
    "#]]
    .assert_eq(&format!(
        "guarded: {:.3} of capacity\n{guarded}naive: {:.3} of capacity\n{naive}",
        served(&guarded),
        served(&naive)
    ));
}

/// Three times the capacity for two seconds, then a load that fits easily. Naive callers send again
/// what timed out, and their copies keep the queue full long after the burst has passed.
#[test]
fn passing_burst() {
    let mut scenario = Scenario::new(Vec::new());
    let capacity = scenario.capacity(millis(10));
    let from = Duration::from_secs(1);
    let burst = Load { flow: 2, from, ..short_load(2.4 * capacity, 3) };
    scenario.loads = vec![short_load(0.6 * capacity, 8), burst];
    // Counts from two seconds after the burst.
    scenario.counted_from = Duration::from_secs(5);
    let (guarded, naive) = (scenario.run(Policy::Guarded), scenario.run(Policy::Naive));
    let after = |report: &model::report::Report| report.of(WorkClass::Short, 1).good_share();
    assert!(after(&guarded) >= 0.999, "{}", after(&guarded));
    assert!(after(&naive) < 0.9, "the naive version fails, or the test shows nothing");
    expect![[r#"
        guarded
        short flow 1: sent 10744 good 10744 refused 0 late 0 p99 14.9 ms
        sends 61438
        naive
        short flow 1: sent 10744 good 0 refused 0 late 10744 p99 0.0 ms
        sends 214698
    "#]]
    .assert_eq(&format!("guarded\n{guarded}naive\n{naive}"));
}
