//! A quarantine that goes by the number of crashes, and a request that many callers send.

use std::time::Duration;

use sk_decide::quarantine::{CrashReport, QuarantineSettings, QuarantineTable, QuarantineVerdict};

const LIMIT: u32 = 3;
const REFUSAL_TIME: Duration = Duration::from_secs(600);
/// The request of many callers.
const FREQUENT: u64 = 1;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(1_000_000 + count)
}

fn new_table() -> QuarantineTable {
    let settings = QuarantineSettings { crash_limit: Some(LIMIT), ..Default::default() };
    QuarantineTable::new(settings)
}

/// Records the crash of one of several servers, with the request and another one in flight.
fn crash(table: &mut QuarantineTable, server: u64, at: Duration) {
    let in_flight = [FREQUENT, 100 + server];
    table.record_crash(&CrashReport {
        crash_id: server,
        at,
        in_flight: &in_flight,
        is_trial: false,
    });
}

/// Guards against a request of many callers that is refused after three unrelated crashes within an
/// hour, although it has succeeded between them.
#[test]
fn unrelated_crashes() {
    let mut table = new_table();
    for round in 0..6 {
        let at = seconds(600 * round);
        crash(&mut table, round, at);
        assert_eq!(table.classify(FREQUENT, at), QuarantineVerdict::Clear, "crash {round}");
        table.record_success(FREQUENT, at + Duration::from_millis(50));
    }
}

/// Guards against a request of many callers that is refused for minutes after servers have crashed
/// all at once. A copy that ends on any other server clears it, there and at each daemon that hears
/// of it.
#[test]
fn crashes_at_once() {
    let (mut here, mut there) = (new_table(), new_table());
    (0..4).for_each(|server| crash(&mut here, server, seconds(1)));
    assert_eq!(here.classify(FREQUENT, seconds(1)), QuarantineVerdict::Refused(REFUSAL_TIME));
    there.merge(&here.export());
    there.record_success(FREQUENT, seconds(1) + Duration::from_millis(20));
    assert_eq!(there.classify(FREQUENT, seconds(2)), QuarantineVerdict::Clear);
    here.merge(&there.export());
    assert_eq!(here.classify(FREQUENT, seconds(2)), QuarantineVerdict::Clear);
}

/// Guards against a request that is sent again after each crash and takes down one server after the
/// other: without any success it is refused at the limit, for a set time.
#[test]
fn sent_again() {
    let mut table = new_table();
    for server in 0..u64::from(LIMIT) {
        assert_eq!(table.classify(FREQUENT, seconds(server)), QuarantineVerdict::Clear);
        crash(&mut table, server, seconds(server));
    }
    let last = seconds(u64::from(LIMIT) - 1);
    assert_eq!(table.classify(FREQUENT, last), QuarantineVerdict::Refused(REFUSAL_TIME));
    assert_eq!(table.classify(FREQUENT, last + REFUSAL_TIME), QuarantineVerdict::Clear);
}
