//! The volume of logs under load.

use std::time::Duration;

use sk_logs::{CallSite, LineBudget, LineClass, LineLimits};

const ANSWERED: CallSite = CallSite::new("story.rs", 1);
const REFUSED: CallSite = CallSite::new("story.rs", 2);
const LEAVING: CallSite = CallSite::new("daemon.rs", 1);
const LOST: CallSite = CallSite::new("outage.rs", 1);

/// Every request of an outage fails and says so. Routine lines are left out first, failures are
/// kept up to a limit of their own, and what is missing is told.
#[test]
fn burst_bounded() {
    let limits = LineLimits { routine: 10, failures: 20 };
    let mut budget = LineBudget::new(limits);
    let (mut routine, mut failures, mut told) = (0, 0, (0, 0));
    for index in 0..30_000_u64 {
        let now = Duration::from_millis(index / 10);
        let (class, site) = match index % 3 {
            0 => (LineClass::Failure, REFUSED),
            _ => (LineClass::Routine, ANSWERED),
        };
        let verdict = budget.take(class, site, now);
        match class {
            LineClass::Routine => routine += u32::from(verdict.is_written),
            LineClass::Failure => failures += u32::from(verdict.is_written),
        }
        if let Some(left) = verdict.left_out {
            told = (told.0 + left.routine, told.1 + left.failures);
        }
    }
    assert_eq!((routine, failures), (30, 60), "three seconds at the limits");
    // The last second is told with the first line after it.
    let last = budget.take(LineClass::Failure, REFUSED, Duration::from_secs(9));
    let last = last.left_out.expect("a count");
    assert_eq!(
        (routine + told.0 + last.routine, failures + told.1 + last.failures),
        (20_000, 10_000)
    );
}

/// Guards against requests using up the lines of a stop or a lost dependency, which are told once.
#[test]
fn rare_kept() {
    let mut budget = LineBudget::new(LineLimits { routine: 10, failures: 20 });
    let now = Duration::from_millis(500);
    for _ in 0..1_000 {
        budget.take(LineClass::Routine, ANSWERED, now);
        budget.take(LineClass::Failure, REFUSED, now);
    }
    assert!(!budget.take(LineClass::Routine, ANSWERED, now).is_written, "the limit holds");
    assert!(budget.take(LineClass::Routine, LEAVING, now).is_written, "a stop is told");
    assert!(budget.take(LineClass::Failure, LOST, now).is_written, "a lost dependency is told");
}
