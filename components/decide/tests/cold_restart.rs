//! All servers started a moment ago.

use expect_test::expect;

mod model;

use model::{Policy, Scenario, millis, short_load};

/// All servers of a service restart together and come back with empty caches, up to six times as
/// slow the more they run at once. Under a full load at once, calls go on missing their deadlines.
#[test]
fn all_cold() {
    let mut scenario = Scenario::default();
    scenario.loads = vec![short_load(0.5 * scenario.capacity(millis(10)), 10)];
    scenario.cold = true;
    let both = scenario.compare();
    scenario.guard.cold_reserve = 0.0;
    let all_slots = scenario.run(Policy::Guarded);
    assert!(both.guarded.good() > 10.0 * both.naive.good(), "the naive version must fail");
    assert!(both.guarded.good() > all_slots.good(), "withholding slots must help");
    expect![[r#"
        guarded
        short 1: sent 29838 good 20498 refused 9340 late 0 p99 67.0ms
        sends 32459
        naive
        short 1: sent 29838 good 145 refused 0 late 29693 p99 394.0ms
        sends 118461
        all slots at once
        short 1: sent 29838 good 19093 refused 10714 late 31 p99 86.1ms
        sends 32439
    "#]]
    .assert_eq(&format!("{both}all slots at once\n{all_slots}\n"));
}
