//! Calls sent again while a service is in trouble.

use std::time::Duration;

use expect_test::expect;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sk_decide::deadline::CallContext;
use sk_decide::retrying::{
    FailedAttempt, GiveUpReason, RetryBudget, RetrySettings, RetryVerdict, RunOutcome, may_retry,
};

mod fixed_seed;
mod model;

use model::{Scenario, millis, short_load};

/// Two servers of five are gone for three seconds and the others can just not carry the load. Blind
/// retries and the copies of calls that timed out keep the others full after the two are back.
#[test]
fn partial_outage() {
    let mut scenario = Scenario::default();
    scenario.loads = vec![short_load(0.75 * scenario.capacity(millis(10)), 8)];
    scenario.outage = Some((2, Duration::from_secs(1), Duration::from_secs(4)));
    let both = scenario.compare();
    assert!(both.guarded.short(1).good_share() >= 0.9);
    assert!(both.naive.short(1).good_share() < 0.9, "the naive version must fail");
    expect![[r#"
        guarded
        short 1: sent 35911 good 33173 refused 2738 late 0 p99 22.8ms
        sends 37487
        naive
        short 1: sent 35911 good 6286 refused 1284 late 28341 p99 379.1ms
        sends 124317
    "#]]
    .assert_eq(&both.to_string());
}

fn failed(context: &CallContext, own_retries: u8) -> FailedAttempt {
    FailedAttempt {
        outcome: RunOutcome::Ran,
        is_repeatable: true,
        own_retries,
        own_free_moves: 0,
        retried_above: context.retried_above,
        remaining: context.remaining,
        expected: Duration::ZERO,
    }
}

/// Sends a call down to the last layer, where all fails, and returns the number of sends that
/// arrive there.
fn sends_below(context: &CallContext, budgets: &[RetryBudget], rng: &mut StdRng) -> u64 {
    let Some((budget, below)) = budgets.split_first() else { return 1 };
    let now = Duration::ZERO;
    budget.record_attempt();
    let (mut sends, mut retries) = (0, 0);
    loop {
        let next = context.next_hop(Duration::ZERO, retries).expect("within the hop bound");
        sends += sends_below(&next, below, rng);
        match may_retry(&failed(context, retries), budget, now, rng) {
            RetryVerdict::Retry(_) => retries += 1,
            RetryVerdict::FreeMove => panic!("every attempt draws on the budget by default"),
            RetryVerdict::GiveUp(_) => return sends,
        }
    }
}

/// A service at the bottom of seven layers fails every call. If each layer tries three times more,
/// one call from outside becomes thousands at the bottom, and the service cannot come back.
#[test]
fn nested_storm() {
    let mut rng = StdRng::seed_from_u64(3);
    let context = CallContext::new(Duration::from_secs(60));
    let full = RetrySettings { cap: 1_000_000_000, ..RetrySettings::default() };
    let unbounded: Vec<_> = (0..7).map(|_| RetryBudget::new(full, Duration::ZERO)).collect();
    let one = sends_below(&context, &unbounded, &mut rng);
    assert_eq!(one, 1 + 2 * 7, "one layer retries at a time");
    let budgets: Vec<_> =
        (0..7).map(|_| RetryBudget::new(RetrySettings::default(), Duration::ZERO)).collect();
    let calls = 10_000;
    let sends: u64 = (0..calls).map(|_| sends_below(&context, &budgets, &mut rng)).sum();
    let naive = 4_u64.pow(7);
    assert!(sends as f64 / calls as f64 <= 2.0);
    expect![[r#"
        sends at the bottom for a call: 15 without budgets, 1.97 with, naive 16384
    "#]]
    .assert_eq(&format!(
        "sends at the bottom for a call: {one} without budgets, {:.2} with, naive {naive}\n",
        sends as f64 / calls as f64
    ));
}

/// A server of a large fleet fails some of its requests, and each daemon sees two of the failures.
/// Divided among a hundred daemons the burst is less than a retry for each. Callers would get every
/// failure, although enough requests have paid in for each failed one to be tried again.
#[test]
fn many_daemons() {
    const DAEMONS: usize = 100;
    const ATTEMPTS: usize = 50;
    let settings =
        RetrySettings { cap: 45_000, deposit: 140, is_shared: true, ..Default::default() };
    let mut rng = StdRng::seed_from_u64(3);
    let budgets: Vec<_> =
        (0..DAEMONS).map(|_| RetryBudget::new(settings, Duration::ZERO)).collect();
    budgets.iter().for_each(|budget| budget.set_fleet(DAEMONS));
    let context = CallContext::new(Duration::from_secs(5));
    let mut granted = 0;
    for budget in &budgets {
        (0..ATTEMPTS).for_each(|_| budget.record_attempt());
        for _ in 0..2 {
            let verdict = may_retry(&failed(&context, 0), budget, Duration::ZERO, &mut rng);
            granted += usize::from(matches!(verdict, RetryVerdict::Retry(_)));
        }
    }
    assert_eq!(granted, DAEMONS, "one retry each");
    assert!(granted * 1000 <= 45_000 + 140 * DAEMONS * ATTEMPTS, "what was paid in bounds them");
}

/// What may have run is not sent again, unless it may run twice. Otherwise a caller would find a
/// reservation made two times.
#[test]
fn verdict_order() {
    let budget = RetryBudget::new(RetrySettings::default(), Duration::ZERO);
    let mut rng = StdRng::seed_from_u64(3);
    let first = FailedAttempt {
        is_repeatable: false,
        ..failed(&CallContext::new(Duration::from_secs(1)), 0)
    };
    let not_run = FailedAttempt { outcome: RunOutcome::NotRun, ..first };
    let unknown = FailedAttempt { outcome: RunOutcome::Unknown, ..first };
    let short = FailedAttempt { remaining: millis(5), expected: millis(5), ..not_run };
    let mut check = |attempt: FailedAttempt, wanted: Option<GiveUpReason>| match may_retry(
        &attempt,
        &budget,
        Duration::ZERO,
        &mut rng,
    ) {
        RetryVerdict::Retry(delay) => assert!(wanted.is_none() && delay <= millis(20)),
        RetryVerdict::FreeMove => panic!("every attempt draws on the budget by default"),
        RetryVerdict::GiveUp(reason) => assert_eq!(Some(reason), wanted),
    };
    check(first, Some(GiveUpReason::MayHaveRun));
    check(unknown, Some(GiveUpReason::MayHaveRun));
    check(not_run, None);
    check(FailedAttempt { is_repeatable: true, ..unknown }, None);
    check(FailedAttempt { retried_above: 1, ..not_run }, Some(GiveUpReason::RetriedAbove));
    check(FailedAttempt { own_retries: 2, ..not_run }, Some(GiveUpReason::RetryLimitReached));
    check(short, Some(GiveUpReason::DeadlineTooNear));
    while budget.take(Duration::ZERO) {}
    check(not_run, Some(GiveUpReason::RetryBudgetEmpty));
}

proptest! {
    #![proptest_config(fixed_seed::config())]

    /// A budget that grants more than its bound lets retries overload a failing service. The bound
    /// is checked over every span of the sequence, not from its start only.
    #[test]
    fn budget_bound(steps in prop::collection::vec((any::<bool>(), 0..300_u64), 1..200)) {
        let settings = RetrySettings { cap: 5000, floor: 700, ..RetrySettings::default() };
        let budget = RetryBudget::new(settings, Duration::ZERO);
        let mut now = Duration::ZERO;
        let mut history = Vec::new();
        for (is_attempt, wait_ms) in steps {
            now += millis(wait_ms);
            let granted = if is_attempt { budget.record_attempt(); false } else { budget.take(now) };
            history.push((now, is_attempt, granted));
        }
        for first in 0..history.len() {
            let (mut attempts, mut granted) = (0, 0);
            for (at, is_attempt, is_granted) in &history[first..] {
                attempts += u64::from(*is_attempt);
                granted += u64::from(*is_granted);
                let span = (*at - history[first].0).as_millis() as u64;
                // The first millisecond of the floor counts whole, and is paid in at the next
                // request for a retry.
                let since = if first == 0 { 0 } else { history[first - 1].0.as_millis() as u64 };
                let idle = history[first].0.as_millis() as u64 - since;
                let paid = (span + idle + 1) * settings.floor / 1000 + 1;
                prop_assert!(granted * 1000 <= settings.cap + attempts * settings.deposit + paid);
            }
        }
    }
}
