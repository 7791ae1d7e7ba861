//! The volume of logs under load.

use std::time::Duration;

use sk_logs::{LineBudget, LineClass, LineLimits};

/// Every request of an outage fails and says so. Routine lines are left out first, failures are
/// kept up to a limit of their own, and what is missing is told.
#[test]
fn burst_bounded() {
    let limits = LineLimits { routine: 10, failures: 20 };
    let mut budget = LineBudget::new(limits);
    let (mut routine, mut failures, mut told) = (0, 0, (0, 0));
    for index in 0..30_000_u64 {
        let now = Duration::from_millis(index / 10);
        let class = if index % 3 == 0 { LineClass::Failure } else { LineClass::Routine };
        let verdict = budget.take(class, now);
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
    let last = budget.take(LineClass::Failure, Duration::from_secs(9)).left_out.expect("a count");
    assert_eq!(
        (routine + told.0 + last.routine, failures + told.1 + last.failures),
        (20_000, 10_000)
    );
}
