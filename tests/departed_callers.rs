//! Callers that leave while a daemon has no processor time.

mod common;

use std::{io::Write, net::TcpStream, time::Duration};

use common::requests::RequestFleet;

/// Time that the callers have, by what they state.
const CALL_TIME: Duration = Duration::from_millis(540);
/// Time in which a request that was missed would have been run.
const RUN_TIME: Duration = Duration::from_secs(2);
/// Callers at once.
const CALLERS: usize = 20;

/// Opens a connection for each caller, before the daemon stops.
fn connect(entry: &str) -> Vec<TcpStream> {
    (0..CALLERS).map(|_| TcpStream::connect(entry).expect("the daemon listens")).collect()
}

/// Sends a request on each connection.
fn send_all(streams: &mut [TcpStream], wave: &str) {
    for (number, stream) in streams.iter_mut().enumerate() {
        let head = format!(
            "GET /query?tag={wave}{number} HTTP/1.1\r\nHost: test\r\n\
             x-sapphirekeel-deadline-ms: {}\r\n\r\n",
            CALL_TIME.as_millis()
        );
        stream.write_all(head.as_bytes()).expect("the head is sent");
    }
}

/// Counts the requests of a wave that a server has begun.
fn count_runs(fleet: &RequestFleet, wave: &str) -> u64 {
    (0..CALLERS).map(|number| fleet.count_runs(&format!("{wave}{number}"))).sum()
}

/// Guards against requests that are run for callers that left while the requests, and their
/// departure, lay unread at the entry daemon.
#[test]
fn unread_at_entry() {
    let fleet = RequestFleet::start("unread_at_entry", 1);
    let mut streams = connect(&fleet.entry(0));
    fleet.daemon(0).pause();
    send_all(&mut streams, "a");
    std::thread::sleep(CALL_TIME);
    drop(streams);
    std::thread::sleep(CALL_TIME);
    fleet.daemon(0).signal("-CONT");
    std::thread::sleep(RUN_TIME);
    assert_eq!(count_runs(&fleet, "a"), 0);
}

/// Guards against the same where the guard has no processor time: requests and resets reach it
/// together.
#[test]
fn unread_at_guard() {
    let fleet = RequestFleet::start("unread_at_guard", 1);
    let mut streams = connect(&fleet.entry(0));
    fleet.daemon(1).pause();
    send_all(&mut streams, "b");
    std::thread::sleep(CALL_TIME);
    drop(streams);
    std::thread::sleep(CALL_TIME);
    fleet.daemon(1).signal("-CONT");
    std::thread::sleep(RUN_TIME);
    assert_eq!(count_runs(&fleet, "b"), 0);
}
