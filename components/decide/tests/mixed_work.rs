//! Long work at saturation beside short work, and the queue between callers.

use std::time::Duration;

use expect_test::expect;
use sk_decide::WorkClass;

mod model;

use model::{Load, Policy, Scenario, millis, short_load};

/// Documents of half a second come at twice the rate that all slots could serve, beside short
/// queries. With one queue for both, each query waits for documents to end.
#[test]
fn long_and_short() {
    let mut scenario = Scenario::new(Vec::new());
    let short = short_load(0.3 * scenario.capacity(millis(10)), 10);
    scenario.loads = vec![short];
    let alone = scenario.run(Policy::Guarded).of(WorkClass::Short, 1).p99();
    let long = Load {
        class: WorkClass::Long,
        flow: 2,
        rate: 2.0 * scenario.capacity(millis(500)),
        service: millis(500),
        deadline: Duration::from_secs(3),
        ..short
    };
    scenario.loads = vec![short, long];
    let (guarded, naive) = (scenario.run(Policy::Guarded), scenario.run(Policy::Naive));
    let times = |report: &model::report::Report| {
        report.of(WorkClass::Short, 1).p99().as_secs_f64() / alone.as_secs_f64()
    };
    assert!(times(&guarded) <= 2.0, "{}", times(&guarded));
    assert!(times(&naive) > 2.0, "the naive version fails, or the test shows nothing");
    assert_eq!(guarded.worst_overrun, Duration::ZERO);
    expect![[r#"
        short alone: p99 14.9ms
        guarded: 1.00 times
        short flow 1: sent 17931 good 17931 refused 0 late 0 p99 14.9 ms
        long flow 2: sent 2379 good 433 refused 1946 late 0 p99 1665.6 ms
        sends 22567
        naive: 26.11 times
        short flow 1: sent 17931 good 530 refused 0 late 17401 p99 389.2 ms
        long flow 2: sent 2379 good 346 refused 0 late 2033 p99 11802.6 ms
        sends 77404
    "#]]
    .assert_eq(&format!(
        "short alone: p99 {alone:.1?}\nguarded: {:.2} times\n{guarded}naive: {:.2} times\n{naive}",
        times(&guarded),
        times(&naive)
    ));
}

/// A service of documents only. A fixed share for long work would leave two thirds of its slots
/// unused, which its callers notice as refusals by servers that are hardly busy.
#[test]
fn long_only() {
    let mut scenario = Scenario::new(Vec::new());
    let capacity = scenario.capacity(millis(500));
    let class = WorkClass::Long;
    let deadline = Duration::from_secs(3);
    let load = short_load(2.0 * capacity, 20);
    scenario.loads = vec![Load { class, service: millis(500), deadline, ..load }];
    let report = scenario.run(Policy::Guarded);
    let served = f64::from(report.of(class, 1).good) / (capacity * 20.0);
    assert!(served >= 0.9, "{served}");
    expect![[r#"
        0.946 of capacity
        long flow 1: sent 4739 good 2270 refused 2469 late 0 p99 1072.3 ms
        sends 5597
    "#]]
    .assert_eq(&format!("{served:.3} of capacity\n{report}"));
}
