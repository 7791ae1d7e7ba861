//! A request that crashes its servers, and the innocent requests in flight beside it.

use std::collections::HashMap;
use std::time::Duration;

use sk_decide::quarantine::{
    CrashReport, Fingerprint, QuarantineSettings, QuarantineTable, QuarantineVerdict,
};

const POISON: Fingerprint = 666;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(1_000_000 + count)
}

fn new_table() -> QuarantineTable {
    QuarantineTable::new(QuarantineSettings::default())
}

fn crash(table: &mut QuarantineTable, crash_id: u64, in_flight: &[Fingerprint], is_trial: bool) {
    let at = seconds(crash_id);
    table.record_crash(&CrashReport { crash_id, at, in_flight, is_trial });
}

/// Refuses requests that were in flight at two crashes, as a plain count does.
#[derive(Default)]
struct NaiveCount(HashMap<Fingerprint, u32>);

impl NaiveCount {
    fn crash(&mut self, in_flight: &[Fingerprint]) {
        in_flight.iter().for_each(|fingerprint| *self.0.entry(*fingerprint).or_default() += 1);
    }

    fn refuses(&self, fingerprint: Fingerprint) -> bool {
        self.0.get(&fingerprint).is_some_and(|count| *count >= 2)
    }
}

/// One request crashes each server that runs it and its caller sends it again. Without a check it
/// takes down one server after the other, until the whole service is gone.
#[test]
fn second_crash() {
    let mut table = new_table();
    assert_eq!(table.classify(POISON, seconds(0)), QuarantineVerdict::Clear);
    crash(&mut table, 1, &[POISON, 1, 2], false);
    assert_eq!(table.classify(POISON, seconds(2)), QuarantineVerdict::RunAlone);
    crash(&mut table, 3, &[POISON], true);
    let refusal_time = QuarantineSettings::default().refusal_time;
    assert_eq!(table.classify(POISON, seconds(3)), QuarantineVerdict::Refused(refusal_time));
    let later = seconds(3) + refusal_time;
    assert_eq!(table.classify(POISON, later), QuarantineVerdict::RunAlone);
    table.expire(later + QuarantineSettings::default().evidence_life);
    assert!(table.is_empty());
}

/// Frequent requests are in flight at every crash, and rarer ones are sent again by their callers
/// just when the crashing one is. A rule that counts crashes refuses them all, and callers who did
/// nothing wrong get no answer for minutes.
#[test]
fn innocent_requests() {
    let (mut table, mut naive) = (new_table(), NaiveCount::default());
    for crash_id in 1..6 {
        let in_flight = [POISON, 1, 2, 100 + crash_id, 200 + crash_id];
        crash(&mut table, crash_id, &in_flight, false);
        naive.crash(&in_flight);
    }
    for innocent in [1, 2, 101, 203] {
        let verdict = table.classify(innocent, seconds(6));
        assert_eq!(verdict, QuarantineVerdict::RunAlone, "a suspect, not refused");
    }
    assert!(naive.refuses(1) && naive.refuses(2), "the naive version refuses innocent requests");
    // The trial of an innocent request succeeds; that of the crashing one convicts it.
    table.record_success(1, seconds(7));
    assert_eq!(table.classify(1, seconds(7)), QuarantineVerdict::Clear);
    crash(&mut table, 8, &[POISON, POISON], true);
    assert!(matches!(table.classify(POISON, seconds(9)), QuarantineVerdict::Refused(_)));
    assert_eq!(table.classify(2, seconds(9)), QuarantineVerdict::RunAlone);
}

/// A frequent request was in flight at a crash elsewhere. Each of its copies would have to wait for
/// an empty server, unless a success since the crash clears it at once.
#[test]
fn frequent_request() {
    let (mut here, mut there) = (new_table(), new_table());
    crash(&mut there, 5, &[POISON, 1], false);
    here.record_success(1, seconds(4));
    here.merge(&there.export());
    assert_eq!(here.classify(1, seconds(6)), QuarantineVerdict::RunAlone, "succeeded before only");
    here.record_success(1, seconds(6));
    assert_eq!(here.classify(1, seconds(6)), QuarantineVerdict::Clear);
    there.merge(&here.export());
    assert_eq!(there.classify(1, seconds(6)), QuarantineVerdict::Clear, "cleared there too");
    // Data that crashes the server may come later, so a success clears of earlier crashes only.
    crash(&mut here, 9, &[POISON, 1], false);
    assert_eq!(here.classify(1, seconds(9)), QuarantineVerdict::RunAlone);
}

/// Two crashes with nothing else in flight, the second before its daemon knew of the first. They
/// convict without a trial; a single one, as of a server stopped by hand, does not.
#[test]
fn alone_twice() {
    let mut table = new_table();
    crash(&mut table, 1, &[POISON], false);
    assert_eq!(table.classify(POISON, seconds(1)), QuarantineVerdict::RunAlone);
    crash(&mut table, 2, &[POISON], false);
    assert!(matches!(table.classify(POISON, seconds(2)), QuarantineVerdict::Refused(_)));
}

/// Many crashes must not fill the daemon's memory. The oldest are dropped first.
#[test]
fn bounded_table() {
    let settings = QuarantineSettings { capacity: 8, ..QuarantineSettings::default() };
    let mut table = QuarantineTable::new(settings);
    for crash_id in 0..100 {
        crash(&mut table, crash_id, &[1000 + crash_id, 2000 + crash_id], false);
        assert!(table.len() <= 8);
    }
    assert_eq!(table.classify(1099, seconds(100)), QuarantineVerdict::RunAlone);
    assert_eq!(table.classify(1000, seconds(100)), QuarantineVerdict::Clear);
}
