//! Long work at saturation, with and without short work beside it.

use std::time::Duration;

use expect_test::expect;
use sk_decide::WorkClass;

mod model;

use model::{Load, Policy, Scenario, millis, short_load};

/// Documents of half a second at twice the rate that all slots could serve.
fn documents(scenario: &Scenario) -> Load {
    Load {
        class: WorkClass::Long,
        flow: 2,
        service: millis(500),
        deadline: Duration::from_secs(3),
        ..short_load(2.0 * scenario.capacity(millis(500)), 10)
    }
}

/// Documents at saturation come beside short queries. With one queue for both, each query waits
/// for documents to end.
#[test]
fn long_and_short() {
    let mut scenario = Scenario::default();
    scenario.loads = vec![short_load(0.3 * scenario.capacity(millis(10)), 10)];
    let alone = scenario.run(Policy::Guarded).short(1);
    scenario.loads.push(documents(&scenario));
    let both = scenario.compare();
    let guarded = both.guarded.short(1).p99_times(&alone);
    let naive = both.naive.short(1).p99_times(&alone);
    assert!(guarded <= 2.0, "{guarded}");
    assert!(naive > 2.0, "the naive version must fail");
    assert_eq!(both.guarded.worst_overrun, Duration::ZERO);
    expect![[r#"
        short p99 1.00 times, naive 26.11 times
        guarded
        short 1: sent 17931 good 17931 refused 0 late 0 p99 14.9ms
        long 2: sent 2379 good 432 refused 1947 late 0 p99 1.4s
        sends 22578
        naive
        short 1: sent 17931 good 530 refused 0 late 17401 p99 389.2ms
        long 2: sent 2379 good 346 refused 0 late 2033 p99 11.8s
        sends 77404
    "#]]
    .assert_eq(&format!("short p99 {guarded:.2} times, naive {naive:.2} times\n{both}"));
}

/// A service of documents only. A fixed share for long work would leave two thirds of its slots
/// unused, which its callers notice as refusals by servers that are hardly busy.
#[test]
fn long_only() {
    let mut scenario = Scenario::default();
    scenario.loads = vec![documents(&scenario)];
    let report = scenario.run(Policy::Guarded);
    let served = report.good() / (10.0 * scenario.capacity(millis(500)));
    assert!(served >= 0.9, "{served}");
    expect![[r#"
        0.930 of capacity
        long 2: sent 2352 good 1116 refused 1236 late 0 p99 1.0s
        sends 2874
    "#]]
    .assert_eq(&format!("{served:.3} of capacity\n{report}\n"));
}
