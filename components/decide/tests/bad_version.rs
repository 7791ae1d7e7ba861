//! Versions that are bad from their start.

mod rollout_service;

use std::time::Duration;

use rollout_service::{healthy, is_contained, run};

/// A version that fails part of its requests reaches all callers if its canary does not show it.
#[test]
fn failing() {
    for part in [0.1, 0.2, 0.37, 0.5, 1.0] {
        let course = run(&healthy, &|_, _, _| (part, Duration::from_millis(200)));
        assert!(is_contained(&course), "{part}: {:?} at {:?}", course.verdict, course.at);
    }
}

/// A slow version fails nothing, so rates of failures do not show it.
#[test]
fn slow() {
    for factor in [3, 8] {
        let course = run(&healthy, &|_, _, _| (0.01, Duration::from_millis(200) * factor));
        assert!(is_contained(&course), "{factor}: {:?} at {:?}", course.verdict, course.at);
    }
}
