//! Versions that are bad at one kind of work.

mod rollout_service;

use std::time::Duration;

use rollout_service::{healthy, is_contained, run};

/// A fault of a fifth of the requests is small beside the failures of all of them.
#[test]
fn one_work() {
    let usual = Duration::from_millis(200);
    for (failing, factor) in [(0.4, 1), (0.01, 8)] {
        let course = run(&healthy, &|_, work, _| match work {
            2 => (failing, usual * factor),
            _ => (0.01, usual),
        });
        assert!(is_contained(&course), "{failing}, {factor}: {:?}", course.verdict);
    }
}
