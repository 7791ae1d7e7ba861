//! Filtering of outdated heartbeats from backend servers.

use std::time::Duration;

use sk_member::{EndpointStatus, HeartbeatFilter, HeartbeatStatus, ServerHeartbeat};

fn heartbeat(
    name: &str,
    started_at: u64,
    sequence: u64,
    status: EndpointStatus,
) -> ServerHeartbeat {
    ServerHeartbeat {
        name: name.to_owned(),
        started_at,
        sequence,
        service: "/t/s".to_owned(),
        address: "127.0.0.1:80".parse().expect("an address"),
        slots: 12,
        status,
        warm_up: Duration::ZERO,
        version: String::new(),
    }
}

fn ready(name: &str, started_at: u64, sequence: u64) -> ServerHeartbeat {
    heartbeat(name, started_at, sequence, EndpointStatus::Ready)
}

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Heartbeats arrive out of order. An older one must not undo what a newer one reported.
#[test]
fn outdated_ignored() {
    let mut filter = HeartbeatFilter::default();
    assert_eq!(filter.classify(&ready("a", 5, 2), at(1)), HeartbeatStatus::Current);
    assert_eq!(filter.classify(&ready("a", 5, 2), at(1)), HeartbeatStatus::Stale);
    assert_eq!(filter.classify(&ready("a", 5, 1), at(1)), HeartbeatStatus::Stale);
    assert_eq!(filter.classify(&ready("a", 4, 9), at(1)), HeartbeatStatus::Stale);
    // A drain takes effect even if its heartbeat arrives late.
    let drain = heartbeat("a", 5, 1, EndpointStatus::Draining);
    assert_eq!(filter.classify(&drain, at(1)), HeartbeatStatus::Current);
    assert_eq!(filter.classify(&ready("a", 5, 3), at(2)), HeartbeatStatus::Current);
}

/// A process that was presumed dead sends one more heartbeat after another one took over its
/// address. Callers would be sent to an address at which another process answers.
#[test]
fn replaced_process() {
    let mut filter = HeartbeatFilter::default();
    filter.classify(&ready("new", 50, 1), at(10));
    assert_eq!(filter.classify(&ready("old", 40, 7), at(11)), HeartbeatStatus::Stale);
    // A clock that was set back must not keep a server out of service once its predecessor is
    // silent.
    assert_eq!(filter.classify(&ready("later", 45, 1), at(20)), HeartbeatStatus::Current);
}

/// A server reports its leave to a daemon that has just started, and one of its heartbeats arrives
/// after that.
#[test]
fn leave_before_heartbeat() {
    let mut filter = HeartbeatFilter::default();
    assert_eq!(filter.record_leave("a", 1_000, at(1)), None);
    assert_eq!(filter.classify(&ready("a", 900, 4), at(2)), HeartbeatStatus::Stale);
    assert_eq!(filter.classify(&ready("a", 1_500, 1), at(3)), HeartbeatStatus::Current);
    assert_eq!(filter.record_leave("a", 2_000, at(4)).as_deref(), Some("a:1500"));
    assert_eq!(filter.classify(&ready("a", 1_500, 9), at(5)), HeartbeatStatus::Stale);
}

/// Servers are restarted under new names for ever. Without a bound, the processes remembered would
/// fill the memory.
#[test]
fn memory_bounded() {
    let mut filter = HeartbeatFilter::default();
    for index in 0..1_000 {
        let name = format!("server{index}");
        assert_eq!(
            filter.classify(&ready(&name, index + 1, 1), at(index)),
            HeartbeatStatus::Current
        );
    }
    assert!(format!("{filter:?}").len() < 64 * 200);
}

/// A daemon starts and asks its server for its identity, and the server leaves before its next
/// heartbeat. The leave was acknowledged without effect, because only heartbeats were remembered.
#[test]
fn identified_leaves() {
    let mut filter = HeartbeatFilter::default();
    assert_eq!(filter.classify_identity(&ready("a", 0, 0), at(1)), HeartbeatStatus::Current);
    assert_eq!(filter.record_leave("a", 5_000, at(2)).as_deref(), Some("a:0"));
    // Heartbeats sent before the leave, with and without the start of the process.
    for started_at in [0, 900] {
        assert_eq!(filter.classify(&ready("a", started_at, 7), at(3)), HeartbeatStatus::Stale);
    }
    assert_eq!(filter.classify_identity(&ready("a", 0, 0), at(3)), HeartbeatStatus::Stale);
    assert_eq!(filter.classify(&ready("a", 6_000, 1), at(4)), HeartbeatStatus::Current);
}

/// A server answers the question for its identity after it has sent a heartbeat or its leave. The
/// answer describes an earlier state and would undo them.
#[test]
fn late_identity() {
    let mut filter = HeartbeatFilter::default();
    let draining = heartbeat("drains", 0, 3, EndpointStatus::Draining);
    assert_eq!(filter.classify(&draining, at(1)), HeartbeatStatus::Current);
    assert_eq!(filter.record_leave("leaves", 5_000, at(1)), None);
    for name in ["drains", "leaves"] {
        let identity = ready(name, 0, 0);
        assert_eq!(filter.classify_identity(&identity, at(2)), HeartbeatStatus::Stale);
    }
}

/// Every heartbeat of a server is newer than its identity, also the first one of its process.
#[test]
fn heartbeat_after_identity() {
    let mut filter = HeartbeatFilter::default();
    assert_eq!(filter.classify_identity(&ready("a", 0, 0), at(1)), HeartbeatStatus::Current);
    assert_eq!(filter.classify(&ready("a", 0, 0), at(2)), HeartbeatStatus::Current);
    assert_eq!(filter.classify(&ready("a", 0, 0), at(2)), HeartbeatStatus::Stale);
    assert_eq!(filter.record_leave("a", 5_000, at(3)).as_deref(), Some("a:0"));
}
