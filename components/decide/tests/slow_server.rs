//! One server of five that is ten times slower than the others.

use expect_test::expect;

mod model;

use model::{Policy, Scenario, millis, short_load};

/// A server answers correctly but ten times slower than its peers, as with a failing disk, while
/// its health endpoint reports it well. Callers whose calls go there wait ten times as long. At 8 %
/// load a daemon makes 46 calls a second, as it does at full size, and sees little of a server.
#[test]
fn slow_peer() {
    let mut golden = String::new();
    for load in [0.08, 0.4] {
        let mut scenario = Scenario::default();
        scenario.loads = vec![short_load(load * scenario.capacity(millis(10)), 30)];
        let healthy = scenario.run(Policy::Guarded).short(1);
        scenario.slow = Some((0, 10.0));
        let both = scenario.compare();
        let guarded = both.guarded.short(1).p99_times(&healthy);
        let naive = both.naive.short(1).p99_times(&healthy);
        assert!(guarded <= 2.0, "load {load}: {guarded}");
        assert!(naive > 2.0, "the naive version must fail");
        golden += &format!("load {load}: p99 {guarded:.2} times, naive {naive:.2} times\n{both}");
    }
    expect![[r#"
        load 0.08: p99 1.16 times, naive 12.14 times
        guarded
        short 1: sent 14440 good 14400 refused 0 late 40 p99 17.3ms
        sends 14607
        naive
        short 1: sent 14440 good 12291 refused 0 late 2149 p99 180.9ms
        sends 16705
        load 0.4: p99 1.00 times, naive 14.35 times
        guarded
        short 1: sent 71847 good 71690 refused 98 late 59 p99 15.0ms
        sends 72340
        naive
        short 1: sent 71847 good 57473 refused 0 late 14374 p99 213.8ms
        sends 89649
    "#]]
    .assert_eq(&golden);
}
