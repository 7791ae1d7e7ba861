//! Good versions, while something else is wrong.

mod rollout_service;

use std::time::Duration;

use rollout_service::{healthy, run};
use sk_decide::rollout::RolloutVerdict;

const USUAL: Duration = Duration::from_millis(200);

/// Calls that are refused in an overload fail requests of both versions at the same time.
#[test]
fn overload() {
    let burst = |_: u64, _: u64, at: Duration| match at.as_secs() {
        2..4 | 6..8 => (0.2, USUAL),
        _ => (0.01, USUAL),
    };
    assert_eq!(run(&burst, &burst).verdict, RolloutVerdict::Finish);
}

/// One server with a gray failure is not a bad version, also if it is one of few canary servers.
#[test]
fn gray_server() {
    for gray in [(0.5, USUAL), (0.01, USUAL * 8)] {
        let target = move |server: u64, _: u64, _: Duration| match server {
            0 => gray,
            _ => (0.01, USUAL),
        };
        let course = run(&healthy, &target);
        assert_eq!(course.verdict, RolloutVerdict::Finish, "{gray:?}");
    }
}

/// Servers differ in speed by a factor of 0.5 to 1.7, and the canary may get slow ones.
#[test]
fn slow_machines() {
    let course = run(&healthy, &|_, _, _| (0.01, Duration::from_millis(300)));
    assert_eq!(course.verdict, RolloutVerdict::Finish);
}
