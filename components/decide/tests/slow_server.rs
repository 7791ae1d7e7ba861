//! One server of five that is ten times slower than the others.

use std::time::Duration;

use expect_test::expect;
use sk_decide::WorkClass;

mod model;

use model::{Policy, Scenario, millis, short_load};

fn p99(scenario: &Scenario, policy: Policy) -> Duration {
    scenario.run(policy).of(WorkClass::Short, 1).p99()
}

fn compare(load: f64) -> String {
    let mut scenario = Scenario::new(Vec::new());
    scenario.loads = vec![short_load(load * scenario.capacity(millis(10)), 30)];
    let healthy = p99(&scenario, Policy::Guarded);
    scenario.slow = Some((0, 10.0));
    let (guarded, naive) = (scenario.run(Policy::Guarded), scenario.run(Policy::Naive));
    let times = |report: &model::report::Report| {
        report.of(WorkClass::Short, 1).p99().as_secs_f64() / healthy.as_secs_f64()
    };
    assert!(times(&guarded) <= 2.0, "load {load}: {}", times(&guarded));
    assert!(times(&naive) > 2.0, "the naive version fails, or the test shows nothing");
    format!(
        "load {load}: healthy p99 {healthy:.1?}\nguarded: {:.2} times\n{guarded}naive: {:.2} times\n{naive}",
        times(&guarded),
        times(&naive)
    )
}

/// A server answers correctly but ten times slower than its peers, say with a failing disk, while
/// its health endpoint reports it well. Callers whose calls go there wait ten times as long.
#[test]
fn slow_peer() {
    expect![[r#"
        load 0.08: healthy p99 14.9ms
        guarded: 1.16 times
        short flow 1: sent 14440 good 14400 refused 0 late 40 p99 17.3 ms
        sends 14607
        naive: 12.14 times
        short flow 1: sent 14440 good 12291 refused 0 late 2149 p99 180.9 ms
        sends 16705
        load 0.4: healthy p99 14.9ms
        guarded: 1.00 times
        short flow 1: sent 71847 good 71712 refused 81 late 54 p99 14.9 ms
        sends 72125
        naive: 14.35 times
        short flow 1: sent 71847 good 57473 refused 0 late 14374 p99 213.8 ms
        sends 89649
    "#]]
    .assert_eq(&(compare(0.08) + &compare(0.4)));
}
