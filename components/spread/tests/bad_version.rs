//! Versions that no proxy may put in force, and peers that are none.

mod common;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use common::{
    FakePlatform, TestFleet, WAIT_BOUND, all_hold, dangling, make_snapshot, numbered, wait_for,
};
use sk_spread::SpreadOptions;

/// A fault in acceptance lets a route through whose service does not exist. A proxy that applied
/// the rest of the version would serve what nobody accepted, and one that applied all of it would
/// have a route into nothing.
#[test]
fn refused_whole() {
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
    assert!(daemons.iter().all(|daemon| *daemon.held.current() == numbered(1)));
    fleet.platform.accept(numbered(3));
    let took = wait_for("the next good version", || all_hold(&daemons, 3));
    assert!(took < Duration::from_secs(3), "took {took:?}");
}

/// Two histories meet under one version number, such as after a platform was restored from an old
/// copy. Whichever a proxy holds, it must not swap to the other without anyone noticing.
#[test]
fn same_number_other_content() {
    let fleet = TestFleet::new();
    let daemons = fleet.start_all(&["lj1"], 3);
    fleet.platform.accept(numbered(1));
    wait_for("the version", || all_hold(&daemons, 1));
    let other = FakePlatform::new();
    let foreign = make_snapshot(1, &[("board", "a", "foreign")]);
    other.accept(foreign.clone());
    let options = SpreadOptions { seeds: Vec::new(), ..fleet.options.clone() };
    let stranger = fleet.start_with("lj2-00", "lj2", options, other);
    wait_for("the foreign version", || stranger.version() == 1);
    let options = SpreadOptions { seeds: vec![stranger.address], ..fleet.options.clone() };
    let bridge = fleet.start_with("lj1-bridge", "lj1", options, fleet.platform.clone());
    wait_for("the fault to show", || {
        bridge.handle.reader().state().diverged == 1
            || stranger.handle.reader().state().diverged == 1
    });
    assert_eq!(*stranger.held.current(), foreign);
    assert!(daemons.iter().all(|daemon| *daemon.held.current() == numbered(1)));
}

/// A process without the fleet's secret, such as another fleet's daemon with a stale seed, reaches
/// a control port. It must learn nothing and change nothing.
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
    let stranger = fleet.start_with("lj1-99", "lj1", options, foreign);
    // It is refused, reads its own platform when its time has come, and stays alone.
    wait_for("the stranger's own start", || stranger.version() == 9);
    assert_eq!(stranger.present(), 1);
    assert!(daemons.iter().all(|daemon| daemon.present() == 2 && daemon.version() == 1));
}

/// A scanner opens more connections than any herd of daemons would. Those beyond the bound end at
/// once, and a daemon that joins a moment later still finds a place.
#[test]
fn unproven_connections_are_few() {
    let fleet = TestFleet::new();
    let daemon = fleet.start("lj1-00", "lj1", &[]);
    wait_for("the start", || daemon.held.is_ready());
    let connect = |_| TcpStream::connect(daemon.address).expect("connects");
    let mut strangers: Vec<TcpStream> = (0..160).map(connect).collect();
    let begin = std::time::Instant::now();
    let refused = strangers.last_mut().expect("a stranger");
    refused.set_read_timeout(Some(WAIT_BOUND)).expect("timeout");
    assert_eq!(refused.read(&mut [0; 64]).expect("the end"), 0);
    assert!(begin.elapsed() < Duration::from_secs(2), "{:?}", begin.elapsed());
    let late = fleet.start("lj1-01", "lj1", &[daemon.address]);
    wait_for("the next daemon to join", || late.present() == 2 && daemon.present() == 2);
}

/// A scanner connects to a control port and says nothing, or pours bytes into it. Its connections
/// must end by themselves, or the daemon runs out of file descriptors or memory.
#[test]
fn unproven_connections_end() {
    let fleet = TestFleet::new();
    let daemon = fleet.start("lj1-00", "lj1", &[]);
    wait_for("the start", || daemon.held.is_ready());
    let mut silent = TcpStream::connect(daemon.address).expect("connects");
    silent.set_read_timeout(Some(WAIT_BOUND)).expect("timeout");
    let mut loud = TcpStream::connect(daemon.address).expect("connects");
    loud.set_read_timeout(Some(WAIT_BOUND)).expect("timeout");
    // One segment of half a megabyte that never becomes whole.
    let mut flood = vec![0, 0, 0, 0, 0, 0, 1, 0];
    flood.resize(64 * 1_024, 7);
    let _ = loud.write_all(&flood);
    let mut rest = Vec::new();
    let _ = loud.read_to_end(&mut rest);
    assert!(rest.len() < 1_024);
    let mut rest = Vec::new();
    silent.read_to_end(&mut rest).expect("the end, after a word of farewell");
    assert!(rest.len() < 256);
    assert!(daemon.meter.bytes().received < 32 * 1_024, "{:?}", daemon.meter.bytes());
}
