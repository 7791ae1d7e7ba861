//! All servers started a moment ago.

use expect_test::expect;
use sk_decide::WorkClass;

mod model;

use model::{Policy, Scenario, millis, short_load};

/// All servers of a service restart together and come back with empty caches, up to six times as
/// slow the more they run at once. A full load at once keeps each call past its deadline.
#[test]
fn all_cold() {
    let mut scenario = Scenario::new(Vec::new());
    scenario.loads = vec![short_load(0.5 * scenario.capacity(millis(10)), 10)];
    scenario.cold = true;
    let (guarded, naive) = (scenario.run(Policy::Guarded), scenario.run(Policy::Naive));
    scenario.guard.cold_hold = 0.0;
    let unheld = scenario.run(Policy::Guarded);
    let good = |report: &model::report::Report| report.of(WorkClass::Short, 1).good_share();
    assert!(good(&guarded) > good(&naive), "the naive version does as well");
    expect![[r#"
        guarded
        short flow 1: sent 29838 good 20553 refused 9284 late 1 p99 82.2 ms
        sends 32436
        all slots at once
        short flow 1: sent 29838 good 17994 refused 10698 late 1146 p99 115.6 ms
        sends 32449
        naive
        short flow 1: sent 29838 good 145 refused 0 late 29693 p99 394.0 ms
        sends 118461
    "#]]
    .assert_eq(&format!("guarded\n{guarded}all slots at once\n{unheld}naive\n{naive}"));
}
