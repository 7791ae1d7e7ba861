//! Which heartbeats of a backend server are believed.

use std::time::Duration;

use sk_member::{EndpointStatus, HeartbeatBook, HeartbeatVerdict, ServerHeartbeat};

fn beat(name: &str, born: u64, sequence: u64, status: EndpointStatus) -> ServerHeartbeat {
    ServerHeartbeat {
        name: name.to_owned(),
        born,
        sequence,
        service: "/t/s".to_owned(),
        address: "127.0.0.1:80".parse().expect("an address"),
        slots: 12,
        status,
        warm_up: Duration::ZERO,
    }
}

fn ready(name: &str, born: u64, sequence: u64) -> ServerHeartbeat {
    beat(name, born, sequence, EndpointStatus::Ready)
}

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Heartbeats overtake each other on their way. The older one must not bring back what the newer
/// one ended.
#[test]
fn order_holds() {
    let mut book = HeartbeatBook::default();
    assert_eq!(book.judge(&ready("a", 5, 2), at(1)), HeartbeatVerdict::News);
    assert_eq!(book.judge(&ready("a", 5, 2), at(1)), HeartbeatVerdict::Stale);
    assert_eq!(book.judge(&ready("a", 5, 1), at(1)), HeartbeatVerdict::Stale);
    assert_eq!(book.judge(&ready("a", 4, 9), at(1)), HeartbeatVerdict::Stale);
    // A drain that was told late is still a drain.
    let drain = beat("a", 5, 1, EndpointStatus::Draining);
    assert_eq!(book.judge(&drain, at(1)), HeartbeatVerdict::News);
    assert_eq!(book.judge(&ready("a", 5, 3), at(2)), HeartbeatVerdict::News);
}

/// A process that was thought dead is heard once more after another one took its address. Callers
/// would be sent to an address at which another process answers.
#[test]
fn displaced_process() {
    let mut book = HeartbeatBook::default();
    book.judge(&ready("new", 50, 1), at(10));
    assert_eq!(book.judge(&ready("old", 40, 7), at(11)), HeartbeatVerdict::Stale);
    // A clock that was set back must not keep a server out once its predecessor is silent.
    assert_eq!(book.judge(&ready("later", 45, 1), at(20)), HeartbeatVerdict::News);
}

/// A server says good-bye to a daemon that has just started, and one of its heartbeats comes after.
#[test]
fn goodbye_first() {
    let mut book = HeartbeatBook::default();
    assert_eq!(book.leave("a", 1_000, at(1)), None);
    assert_eq!(book.judge(&ready("a", 900, 4), at(2)), HeartbeatVerdict::Stale);
    assert_eq!(book.judge(&ready("a", 1_500, 1), at(3)), HeartbeatVerdict::News);
    assert_eq!(book.leave("a", 2_000, at(4)).as_deref(), Some("a:1500"));
    assert_eq!(book.judge(&ready("a", 1_500, 9), at(5)), HeartbeatVerdict::Stale);
}

#[test]
fn memory_bounded() {
    let mut book = HeartbeatBook::default();
    for index in 0..1_000 {
        let name = format!("server{index}");
        assert_eq!(book.judge(&ready(&name, index + 1, 1), at(index)), HeartbeatVerdict::News);
    }
    assert!(format!("{book:?}").len() < 64 * 200);
}
