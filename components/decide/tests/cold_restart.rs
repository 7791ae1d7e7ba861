//! All servers started a moment ago.

use expect_test::expect;

mod model;

use model::{Policy, Scenario, millis, short_load};

/// All servers of a service restart together and come back with empty caches, up to six times as
/// slow the more they run at once. A full load at once keeps each call past its deadline.
#[test]
fn all_cold() {
    let mut scenario = Scenario::default();
    scenario.loads = vec![short_load(0.5 * scenario.capacity(millis(10)), 10)];
    scenario.cold = true;
    let both = scenario.compare();
    scenario.guard.cold_hold = 0.0;
    let unheld = scenario.run(Policy::Guarded);
    assert!(both.guarded.good() > 10.0 * both.naive.good(), "the naive version must fail");
    assert!(both.guarded.good() > unheld.good(), "holding slots back must help");
    expect![[r#"
        guarded
        short 1: sent 29838 good 20476 refused 9362 late 0 p99 68.3ms
        sends 32442
        naive
        short 1: sent 29838 good 145 refused 0 late 29693 p99 394.0ms
        sends 118461
        all slots at once
        short 1: sent 29838 good 18508 refused 10708 late 622 p99 110.5ms
        sends 32447
    "#]]
    .assert_eq(&format!("{both}all slots at once\n{unheld}\n"));
}
