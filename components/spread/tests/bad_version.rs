//! Versions that no proxy may put in force, and peers from outside the fleet.

mod common;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use common::{
    FakePlatform, MAX_WAIT, TestFleet, all_hold, dangling, make_snapshot, numbered, wait_for,
};
use sk_spread::SpreadOptions;

/// Guards against a faulty acceptance that lets a route through whose service does not exist. A
/// proxy that applied the rest of the version would serve what nobody accepted, and one that
/// applied all of it would have a route to nothing.
#[test]
fn rejected_whole() {
    let fleet = TestFleet::new();
    let daemons = fleet.start_all(&["lj1"], 5);
    fleet.platform.accept(numbered(1));
    wait_for("the good version", || all_hold(&daemons, 1));
    fleet.platform.accept(dangling(2));
    let refused = || {
        let acks = daemons.iter().filter_map(|daemon| fleet.sink.get(&daemon.name));
        acks.filter_map(|ack| ack.rejected).find(|rejected| rejected.version == 2)
    };
    wait_for("the report of the refusal", || refused().is_some());
    let reason = refused().expect("a refusal").reason;
    assert!(reason.contains("/board/missing"), "{reason}");
    assert!(daemons.iter().all(|daemon| *daemon.config.current() == numbered(1)));
    fleet.platform.accept(numbered(3));
    let took = wait_for("the next good version", || all_hold(&daemons, 3));
    assert!(took < Duration::from_secs(3), "took {took:?}");
}

/// Guards against an unnoticed swap between two histories under the same version number, such as
/// after a platform was restored from an old copy.
#[test]
fn same_version_other_content() {
    let fleet = TestFleet::new();
    let daemons = fleet.start_all(&["lj1"], 3);
    fleet.platform.accept(numbered(1));
    wait_for("the version", || all_hold(&daemons, 1));
    let other = FakePlatform::new();
    let foreign = make_snapshot(1, &[("board", "a", "foreign")]);
    other.accept(foreign.clone());
    let options = SpreadOptions { seeds: Vec::new(), ..fleet.options.clone() };
    let foreign_daemon = fleet.start_with("lj2-00", "lj2", options, other);
    wait_for("the foreign version", || foreign_daemon.version() == 1);
    let options = SpreadOptions { seeds: vec![foreign_daemon.address], ..fleet.options.clone() };
    let bridge = fleet.start_with("lj1-bridge", "lj1", options, fleet.platform.clone());
    wait_for("the fault to show", || {
        bridge.handle.reader().state().diverged == 1
            || foreign_daemon.handle.reader().state().diverged == 1
    });
    assert_eq!(*foreign_daemon.config.current(), foreign);
    assert!(daemons.iter().all(|daemon| *daemon.config.current() == numbered(1)));
}

/// Guards against a process without the fleet's secret, such as another fleet's daemon with a
/// stale seed, that reaches a control port. It must neither learn nor change anything.
#[test]
fn wrong_secret() {
    let fleet = TestFleet::new();
    let daemons = fleet.start_all(&["lj1"], 2);
    fleet.platform.accept(numbered(1));
    wait_for("the version", || all_hold(&daemons, 1));
    let foreign = FakePlatform::new();
    foreign.accept(make_snapshot(9, &[("board", "a", "foreign")]));
    let secret = "secret of another fleet".to_owned();
    let seeds: Vec<SocketAddr> = daemons.iter().map(|daemon| daemon.address).collect();
    let options = SpreadOptions { secret, seeds, ..fleet.options.clone() };
    let foreign_daemon = fleet.start_with("lj1-99", "lj1", options, foreign);
    // It is refused, reads its own platform at the end of its start window, and stays alone.
    wait_for("the foreign daemon's own start", || foreign_daemon.version() == 9);
    assert_eq!(foreign_daemon.present_count(), 1);
    assert!(daemons.iter().all(|daemon| daemon.present_count() == 2 && daemon.version() == 1));
}

/// Guards against a port scanner that opens more connections than a restarting fleet would. Those
/// beyond the limit end at once, and a daemon that joins a moment later is still accepted.
#[test]
fn unauthenticated_connections_limited() {
    let fleet = TestFleet::new();
    let daemon = fleet.start("lj1-00", "lj1", &[]);
    wait_for("the start", || daemon.config.is_ready());
    let connect = |_| TcpStream::connect(daemon.address).expect("connects");
    let mut foreign_connections: Vec<TcpStream> = (0..160).map(connect).collect();
    let started_at = std::time::Instant::now();
    let refused = foreign_connections.last_mut().expect("a connection");
    refused.set_read_timeout(Some(MAX_WAIT)).expect("timeout");
    assert_eq!(refused.read(&mut [0; 64]).expect("the end"), 0);
    assert!(started_at.elapsed() < Duration::from_secs(2), "{:?}", started_at.elapsed());
    let late = fleet.start("lj1-01", "lj1", &[daemon.address]);
    wait_for("the next daemon to join", || {
        late.present_count() == 2 && daemon.present_count() == 2
    });
}

/// Guards against a port scanner that connects to a control port and sends nothing, or floods it.
/// Its connections must end by themselves, or the daemon runs out of file descriptors or memory.
#[test]
fn unauthenticated_connections_closed() {
    let fleet = TestFleet::new();
    let daemon = fleet.start("lj1-00", "lj1", &[]);
    wait_for("the start", || daemon.config.is_ready());
    let mut silent = TcpStream::connect(daemon.address).expect("connects");
    silent.set_read_timeout(Some(MAX_WAIT)).expect("timeout");
    let mut flooding = TcpStream::connect(daemon.address).expect("connects");
    flooding.set_read_timeout(Some(MAX_WAIT)).expect("timeout");
    // One segment of half a megabyte that never becomes whole.
    let mut flood = vec![0, 0, 0, 0, 0, 0, 1, 0];
    flood.resize(64 * 1_024, 7);
    let _ = flooding.write_all(&flood);
    let mut rest = Vec::new();
    let _ = flooding.read_to_end(&mut rest);
    assert!(rest.len() < 1_024);
    let mut rest = Vec::new();
    silent.read_to_end(&mut rest).expect("the end, after a closing message");
    assert!(rest.len() < 256);
    assert!(daemon.meter.bytes().received < 32 * 1_024, "{:?}", daemon.meter.bytes());
}
