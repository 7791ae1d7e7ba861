//! Filtering of outdated heartbeats from backend servers.

use std::time::Duration;

use sk_member::{EndpointStatus, HeartbeatFilter, HeartbeatStatus, ServerBoot, ServerHeartbeat};

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
    assert_eq!(filter.record_leave("a", None, 1_000, at(1)), None);
    assert_eq!(filter.classify(&ready("a", 900, 4), at(2)), HeartbeatStatus::Stale);
    assert_eq!(filter.classify(&ready("a", 1_500, 1), at(3)), HeartbeatStatus::Current);
    assert_eq!(filter.record_leave("a", None, 2_000, at(4)).as_deref(), Some("a:1500"));
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
    assert_eq!(filter.classify_identity(&mut ready("a", 0, 0), at(1)), HeartbeatStatus::Current);
    assert_eq!(filter.record_leave("a", None, 5_000, at(2)).as_deref(), Some("a:0"));
    // Heartbeats sent before the leave, with and without the start of the process.
    for started_at in [0, 900] {
        assert_eq!(filter.classify(&ready("a", started_at, 7), at(3)), HeartbeatStatus::Stale);
    }
    assert_eq!(filter.classify_identity(&mut ready("a", 0, 0), at(3)), HeartbeatStatus::Stale);
    assert_eq!(filter.classify(&ready("a", 6_000, 1), at(4)), HeartbeatStatus::Current);
}

/// A server answers the question for its identity after it has sent a heartbeat or its leave. The
/// answer describes an earlier state and would undo them.
#[test]
fn late_identity() {
    let mut filter = HeartbeatFilter::default();
    let draining = heartbeat("drains", 0, 3, EndpointStatus::Draining);
    assert_eq!(filter.classify(&draining, at(1)), HeartbeatStatus::Current);
    assert_eq!(filter.record_leave("leaves", None, 5_000, at(1)), None);
    for name in ["drains", "leaves"] {
        let mut identity = ready(name, 0, 0);
        assert_eq!(filter.classify_identity(&mut identity, at(2)), HeartbeatStatus::Stale);
    }
}

/// Every heartbeat of a server is newer than its identity, also the first one of its process.
#[test]
fn heartbeat_after_identity() {
    let mut filter = HeartbeatFilter::default();
    assert_eq!(filter.classify_identity(&mut ready("a", 0, 0), at(1)), HeartbeatStatus::Current);
    assert_eq!(filter.classify(&ready("a", 0, 0), at(2)), HeartbeatStatus::Current);
    assert_eq!(filter.classify(&ready("a", 0, 0), at(2)), HeartbeatStatus::Stale);
    assert_eq!(filter.record_leave("a", None, 5_000, at(3)).as_deref(), Some("a:0"));
}

fn boot(name: &str, started_at: u64, has_left: bool) -> ServerBoot {
    ServerBoot { name: name.to_owned(), started_at, has_left }
}

/// A daemon starts again. What its earlier process knew must make the same heartbeats stale, and no
/// others.
#[test]
fn restored_departure() {
    let mut filter = HeartbeatFilter::default();
    assert!(filter.restore(&[boot("a", 5, true), boot("b", 7, false)], at(0)).is_empty());
    assert_eq!(filter.classify(&ready("a", 5, 90), at(1)), HeartbeatStatus::Stale);
    assert_eq!(filter.classify_identity(&mut ready("a", 0, 0), at(1)), HeartbeatStatus::Stale);
    assert_eq!(filter.classify(&ready("a", 6, 1), at(1)), HeartbeatStatus::Current);
    // Of a server that runs, only earlier processes are outdated.
    assert_eq!(filter.classify(&ready("b", 4, 90), at(1)), HeartbeatStatus::Stale);
    let mut identity = ready("b", 0, 0);
    assert_eq!(filter.classify_identity(&mut identity, at(1)), HeartbeatStatus::Current);
    assert_eq!(identity.server_id(), "b:7");
    assert_eq!(filter.classify(&ready("b", 7, 1), at(1)), HeartbeatStatus::Current);
}

/// The departures of earlier processes arrive after the server was taken into service by its own
/// answer.
#[test]
fn restored_late() {
    let mut filter = HeartbeatFilter::default();
    filter.classify_identity(&mut ready("identified", 0, 0), at(1));
    filter.classify(&ready("heard", 5, 3), at(1));
    filter.classify(&ready("successor", 9, 1), at(1));
    let boots = [boot("identified", 4, true), boot("heard", 5, true), boot("successor", 8, true)];
    assert_eq!(filter.restore(&boots, at(2)), ["identified:0", "heard:5"]);
    assert_eq!(filter.restore(&boots, at(2)), [""; 0]);
    assert_eq!(filter.classify(&ready("heard", 5, 9), at(3)), HeartbeatStatus::Stale);
    assert_eq!(filter.classify(&ready("successor", 9, 2), at(3)), HeartbeatStatus::Current);
}

/// While the store is away, a daemon asks each server that it does not know. One that has identified
/// itself must stay in service although it does not answer once more.
#[test]
fn identified_is_known() {
    let mut filter = HeartbeatFilter::default();
    assert!(!filter.is_known(&ready("a", 5, 8)));
    filter.classify_identity(&mut ready("a", 0, 0), at(1));
    assert!(filter.is_known(&ready("a", 5, 8)));
    let elsewhere =
        ServerHeartbeat { address: "127.0.0.1:81".parse().unwrap(), ..ready("a", 5, 8) };
    assert!(!filter.is_known(&elsewhere));
    filter.classify(&ready("a", 5, 8), at(2));
    assert!(filter.is_known(&ready("a", 5, 9)));
    assert!(!filter.is_known(&ready("a", 4, 9)));
    // What an earlier process of the daemon knew does not tell that the server runs.
    filter.restore(&[boot("b", 5, false)], at(2));
    assert!(!filter.is_known(&ready("b", 5, 9)));
}

/// The leave of an earlier process arrives late. It would remove the server that has started again
/// under the same name.
#[test]
fn leave_of_predecessor() {
    let mut filter = HeartbeatFilter::default();
    filter.classify(&ready("a", 9, 1), at(1));
    assert_eq!(filter.record_leave("a", Some(5), 1_000, at(2)), None);
    assert_eq!(filter.boot("a"), Some(boot("a", 9, false)));
    assert_eq!(filter.record_leave("a", Some(9), 1_000, at(2)).as_deref(), Some("a:9"));
    assert_eq!(filter.boot("a"), Some(boot("a", 9, true)));
}

/// A drain is final for its process, also if later heartbeats of it say otherwise.
#[test]
fn drain_is_final() {
    let mut filter = HeartbeatFilter::default();
    filter.classify(&heartbeat("a", 5, 3, EndpointStatus::Draining), at(1));
    filter.classify(&ready("a", 5, 4), at(2));
    assert_eq!(filter.boot("a"), Some(boot("a", 5, true)));
    filter.classify(&ready("a", 6, 1), at(3));
    assert_eq!(filter.boot("a"), Some(boot("a", 6, false)));
}
