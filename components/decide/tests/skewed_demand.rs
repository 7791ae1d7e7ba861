//! One caller with most of the calls.

use expect_test::expect;
use sk_decide::WorkClass;

mod model;

use model::{Load, Policy, Scenario, millis, short_load};

/// One caller sends three times what all servers can serve, say from a loop without a pause, beside
/// three callers with a tenth each. Served in the order of arrival, the three lose as large a
/// portion of their calls as the one that causes it.
#[test]
fn hot_caller() {
    let mut scenario = Scenario::new(Vec::new());
    let capacity = scenario.capacity(millis(10));
    let caller = |flow, share| Load { flow, ..short_load(share * capacity, 4) };
    scenario.loads = vec![caller(1, 3.0), caller(2, 0.1), caller(3, 0.1), caller(4, 0.1)];
    let (guarded, naive) = (scenario.run(Policy::Guarded), scenario.run(Policy::Naive));
    for flow in 2..5 {
        let share = guarded.of(WorkClass::Short, flow).good_share();
        assert!(share >= 0.95, "flow {flow}: {share}");
        let share = naive.of(WorkClass::Short, flow).good_share();
        assert!(share < 0.95, "the naive version fails, or the test shows nothing");
    }
    let served: u32 = (1..5).map(|flow| guarded.of(WorkClass::Short, flow).good).sum();
    assert!(f64::from(served) >= 0.9 * capacity * 4.0);
    expect![[r#"
        guarded
        short flow 1: sent 71917 good 17053 refused 54864 late 0 p99 36.7 ms
        short flow 2: sent 2382 good 2382 refused 0 late 0 p99 17.5 ms
        short flow 3: sent 2339 good 2339 refused 0 late 0 p99 17.3 ms
        short flow 4: sent 2374 good 2374 refused 0 late 0 p99 17.3 ms
        sends 87132
        naive
        short flow 1: sent 71917 good 749 refused 0 late 71168 p99 391.2 ms
        short flow 2: sent 2382 good 26 refused 0 late 2356 p99 398.8 ms
        short flow 3: sent 2339 good 25 refused 0 late 2314 p99 386.4 ms
        short flow 4: sent 2374 good 32 refused 0 late 2342 p99 393.1 ms
        sends 310896
    "#]]
    .assert_eq(&format!("guarded\n{guarded}naive\n{naive}"));
}
