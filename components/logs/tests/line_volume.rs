//! The volume of logs under load.

use std::time::Duration;

use sk_logs::{CallSite, LineBudget, LineClass, LineLimits};

const ANSWERED: CallSite = CallSite::new("request.rs", 1);
const REFUSED: CallSite = CallSite::new("request.rs", 2);
const LEAVING: CallSite = CallSite::new("daemon.rs", 1);
const LOST: CallSite = CallSite::new("outage.rs", 1);

/// Guards against an outage in which every request logs a failure. Each class is written up to its
/// own limit, and the number of omitted lines is reported.
#[test]
fn burst_is_bounded() {
    let limits = LineLimits { routine: 10, failures: 20 };
    let mut budget = LineBudget::new(limits);
    let (mut routine, mut failures, mut reported) = (0, 0, (0, 0));
    for index in 0..30_000_u64 {
        let now = Duration::from_millis(index / 10);
        let (class, site) = match index % 3 {
            0 => (LineClass::Failure, REFUSED),
            _ => (LineClass::Routine, ANSWERED),
        };
        let verdict = budget.admit(class, site, now);
        match class {
            LineClass::Routine => routine += u32::from(verdict.is_written),
            LineClass::Failure => failures += u32::from(verdict.is_written),
        }
        if let Some(omitted) = verdict.omitted {
            reported = (reported.0 + omitted.routine, reported.1 + omitted.failures);
        }
    }
    assert_eq!((routine, failures), (30, 60), "three seconds at the limits");
    // The omitted lines of the last second are reported with the first line after it.
    let last = budget.admit(LineClass::Failure, REFUSED, Duration::from_secs(9));
    let last = last.omitted.expect("a count");
    assert_eq!(
        (routine + reported.0 + last.routine, failures + reported.1 + last.failures),
        (20_000, 10_000)
    );
}

/// Guards against requests that use up the lines of a stop or a lost dependency, which are logged
/// only once.
#[test]
fn rare_lines_are_kept() {
    let mut budget = LineBudget::new(LineLimits { routine: 10, failures: 20 });
    let now = Duration::from_millis(500);
    for _ in 0..1_000 {
        budget.admit(LineClass::Routine, ANSWERED, now);
        budget.admit(LineClass::Failure, REFUSED, now);
    }
    assert!(!budget.admit(LineClass::Routine, ANSWERED, now).is_written, "the limit holds");
    assert!(budget.admit(LineClass::Routine, LEAVING, now).is_written, "a stop is logged");
    assert!(budget.admit(LineClass::Failure, LOST, now).is_written, "a lost dependency is logged");
}
