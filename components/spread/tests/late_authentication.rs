//! Connections to a peer that does not authenticate in time.

mod common;

use std::{
    io::{ErrorKind, Read},
    net::TcpListener,
    time::{Duration, Instant},
};

use common::TestFleet;
use sk_member::{MemberRecord, MemberStatus, MergeOutcome};

/// Calls give up after 2 s and closing takes 0.5 s; the rest is for a busy machine.
const MAX_CLOSE_TIME: Duration = Duration::from_secs(15);

/// Guards against connections left open to a paused instance, whose kernel accepts connections
/// while its daemon does not answer. The call that opened a connection gives up. If the connection
/// stayed open, each further call would leave one more behind; and the peer, once resumed, would
/// store it as its connection back, on which every call is refused. The symptoms are a growing
/// number of open files, and missing heartbeats of a peer that runs.
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
    let started_at = Instant::now();
    stream.set_read_timeout(Some(MAX_CLOSE_TIME)).expect("timeout is set");
    let mut bytes = [0; 1024];
    loop {
        match stream.read(&mut bytes) {
            Ok(0) => break,
            Err(err) if err.kind() == ErrorKind::ConnectionReset => break,
            Ok(_) => assert!(started_at.elapsed() < MAX_CLOSE_TIME, "still sends"),
            Err(err) => panic!("still open after {:?}: {err}", started_at.elapsed()),
        }
    }
    println!("closed after {:?}", started_at.elapsed());
}
