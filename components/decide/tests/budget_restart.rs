//! The shared retry budget of a process that follows another one.

use std::time::Duration;

use sk_decide::retrying::{RetryBudget, RetrySettings};

/// Guards against a fleet that spends its whole burst of retries again after each restart.
#[test]
fn grants_no_burst_again() {
    let settings = RetrySettings { is_shared: true, floor: 300, ..RetrySettings::default() };
    let restarted = RetrySettings { starts_full: false, ..settings };
    let mut granted = 0;
    for (restart, settings) in [settings, restarted, restarted, restarted].into_iter().enumerate() {
        let now = Duration::from_secs(restart as u64);
        for _ in 0..4 {
            let budget = RetryBudget::new(settings, now);
            budget.set_fleet(4);
            granted += (0..20).filter(|_| budget.take(now)).count();
        }
    }
    assert_eq!(granted, 20, "the burst");
}
