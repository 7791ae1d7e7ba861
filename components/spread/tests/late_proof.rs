//! Connections to a peer that does not prove the secret in time.

mod common;

use std::{
    io::{ErrorKind, Read},
    net::TcpListener,
    time::{Duration, Instant},
};

use common::TestFleet;
use sk_member::{MemberRecord, MemberStatus, MergeOutcome};

/// Calls give up after 2 s and the connection's end takes 0.5 s; the rest is for a busy machine.
const BOUND: Duration = Duration::from_secs(15);

/// The instance beside is paused: its kernel accepts connections and nobody answers. The call that
/// opened a connection gives up. If the connection stayed open, each further call would leave one
/// more behind, and the peer, once awake, would enter it among its own as a way back here that
/// refuses every call. One would notice growing numbers of open files, and heartbeats of the peer
/// that stay away although it runs.
#[test]
fn connection_closed() {
    let fleet = TestFleet::new();
    let daemon = fleet.start("lj1-00", "lj1", &[]);
    let paused = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = paused.local_addr().expect("an address");
    let record = MemberRecord {
        proxy: "lj1-01".to_owned(),
        incarnation: 1,
        sequence: 1,
        status: MemberStatus::Alive,
        data_centre: "lj1".to_owned(),
        region: "slovenia".to_owned(),
        control: address,
        guard: address,
        endpoints: Vec::new(),
    };
    let merge = |outcome: &MergeOutcome| *outcome == MergeOutcome::Newer;
    daemon.members.update(|table| table.merge(record), merge);
    let (mut stream, _) = paused.accept().expect("a call connects");
    let begin = Instant::now();
    stream.set_read_timeout(Some(BOUND)).expect("timeout is set");
    let mut bytes = [0; 1024];
    loop {
        match stream.read(&mut bytes) {
            Ok(0) => break,
            Err(err) if err.kind() == ErrorKind::ConnectionReset => break,
            Ok(_) => assert!(begin.elapsed() < BOUND, "still sends"),
            Err(err) => panic!("still open after {:?}: {err}", begin.elapsed()),
        }
    }
    println!("closed after {:?}", begin.elapsed());
}
