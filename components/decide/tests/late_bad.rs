//! Versions that turn bad some seconds after their start.

mod rollout_service;

use std::time::Duration;

use rollout_service::{healthy, is_contained, run};

/// The good seconds before a fault dilute it in sums since the order.
#[test]
fn fails_later() {
    for from in [2, 3, 4] {
        let course = run(&healthy, &|_, _, at| match at >= Duration::from_secs(from) {
            true => (0.4, Duration::from_millis(200)),
            false => (0.01, Duration::from_millis(200)),
        });
        assert!(is_contained(&course), "from {from} s: {:?} at {:?}", course.verdict, course.at);
    }
}
