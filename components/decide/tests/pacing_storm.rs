//! Connections after a restart, fetches after a storm, and calls that loop.

use std::collections::BTreeMap;
use std::time::Duration;

use expect_test::expect;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sk_decide::deadline::{CallContext, HOP_LIMIT, NextHopError};
use sk_decide::fetch_gate::{FetchGate, GateSettings, GateVerdict};
use sk_decide::pacing::{ConnectPacer, ConnectVerdict, PacerSettings};

fn micros(count: u64) -> Duration {
    Duration::from_micros(count)
}

/// Hundreds of requests wait for a server that has just come up. Opened at once, their connections
/// pass its limit, and the resets look like a failing server.
#[test]
fn paced_opening() {
    let mut pacer = ConnectPacer::new(PacerSettings { limit: 20, ..PacerSettings::default() });
    let mut opened = Vec::new();
    for step in 0..100_000 {
        let now = micros(step);
        match pacer.request_connection(now) {
            ConnectVerdict::Open => opened.push(now),
            ConnectVerdict::Wait(wait) => assert!(wait <= micros(1000)),
            ConnectVerdict::Full => assert_eq!(pacer.open_count(), 20),
        }
    }
    assert_eq!(opened.len(), 20);
    assert!(opened.windows(2).all(|pair| pair[1] - pair[0] >= micros(1000)));
    pacer.record_closed();
    assert_eq!(pacer.request_connection(micros(100_000)), ConnectVerdict::Open);
}

/// All daemons return at once and fetch the whole configuration. The gate limits how many are
/// served at a time; here each tries until it is served. A fixed return time fails in the same run:
/// its clients come back together and are sent away together.
#[test]
fn reconnect_storm() {
    let (gate_time, gate_tries) = storm(None);
    let (fixed, fixed_tries) = storm(Some(Duration::from_millis(50)));
    let ideal = Duration::from_millis(20) * (780 / 8);
    assert!(gate_time <= ideal * 2, "all served after {gate_time:?}, ideal {ideal:?}");
    assert!(gate_tries * 4 <= fixed_tries, "{gate_tries} tries, fixed {fixed_tries}");
    expect![[r#"
        served after 2.53s, ideal 1.94s, tries 1680
        fixed return: served after 4.87s, tries 38416
    "#]]
    .assert_eq(&format!(
        "served after {gate_time:.2?}, ideal {ideal:.2?}, tries {gate_tries}\n\
         fixed return: served after {fixed:.2?}, tries {fixed_tries}\n"
    ));
}

/// Returns the time at which the last of 780 is served and how often they tried.
fn storm(fixed: Option<Duration>) -> (Duration, u32) {
    let mut gate = FetchGate::new(GateSettings::default());
    let mut rng = StdRng::seed_from_u64(1);
    let took = Duration::from_millis(20);
    // Arrivals (true) and ends of fetches (false), by time and number.
    let mut events: BTreeMap<_, _> =
        (0..780_u32).map(|id| ((micros(id.into()), id), true)).collect();
    let (mut tries, mut last) = (0, Duration::ZERO);
    while let Some(((now, id), arrives)) = events.pop_first() {
        last = now;
        match arrives.then(|| gate.enter(now, &mut rng)) {
            None => gate.leave(took),
            Some(GateVerdict::Start) => {
                events.insert((now + took, id), false);
            }
            Some(GateVerdict::RetryAfter(wait)) => {
                events.insert((now + fixed.unwrap_or(wait), id), true);
            }
        }
        tries += u32::from(arrives);
        assert!(gate.active_count() <= 8);
    }
    (last, tries)
}

/// A route leads back to where the call came from. Without a limit the call circles until its
/// deadline, and a few such calls fill every slot that they pass.
#[test]
fn routing_loop() {
    let mut context = CallContext::new(Duration::from_secs(10));
    for _ in 0..HOP_LIMIT {
        context = context.next_hop(Duration::from_millis(1), 0).expect("within the bound");
    }
    assert_eq!(context.remaining, Duration::from_millis(10_000 - 2 * u64::from(HOP_LIMIT)));
    assert_eq!(context.next_hop(Duration::ZERO, 0), Err(NextHopError::HopLimit(HOP_LIMIT)));
}

/// A call arrives with hardly any time left. Sent on, it would occupy a slot for an answer that its
/// caller no longer waits for.
#[test]
fn spent_deadline() {
    let context = CallContext::new(Duration::from_secs(10)).limited_to(Duration::from_millis(5));
    assert!(context.next_hop(Duration::from_millis(1), 0).is_ok());
    let spent = context.next_hop(Duration::from_millis(4), 0);
    assert_eq!(spent, Err(NextHopError::Expired(Duration::ZERO)));
    let retry = context.next_hop(Duration::ZERO, 2).expect("time is left");
    assert_eq!(retry.retried_above, 2);
}
