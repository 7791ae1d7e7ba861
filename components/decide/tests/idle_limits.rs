//! Idle connections that a server dropped silently.

use std::time::Duration;

use sk_decide::idle_limit::{IdleLimit, MAX_IDLE};

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A server drops connections that were idle for a third of a second, though it announces ten. The
/// next request on one is reset; those that follow must not be sent on others as old, and once the
/// server keeps them again, connections are used as before.
#[test]
fn server_drops_idle() {
    let mut limits = IdleLimit::default();
    let now = millis(10_000);
    assert_eq!(limits.limit(true, now), MAX_IDLE);
    limits.record_stale(millis(340), now);
    assert_eq!(limits.limit(true, now), millis(170));
    assert!(limits.limit(true, now + millis(5_000)) <= millis(340));
    assert_eq!(limits.limit(true, now + millis(60_000)), MAX_IDLE);
}

/// A confirmation on a connection that the server has dropped is lost: nobody can tell whether it
/// ran. It is only sent on connections that were in use just now, whatever else is known.
#[test]
fn run_once_work() {
    let mut limits = IdleLimit::default();
    let now = millis(10_000);
    assert!(limits.limit(false, now) <= millis(250));
    limits.record_stale(millis(100), now);
    assert_eq!(limits.limit(false, now), millis(50));
}

/// A server dies, or breaks off some of its answers. That shows nothing about idle connections, and
/// must not make each request open one of its own.
#[test]
fn reset_in_use() {
    let mut limits = IdleLimit::default();
    let now = millis(10_000);
    limits.record_stale(millis(8), now);
    assert_eq!(limits.limit(true, now), MAX_IDLE);
}
