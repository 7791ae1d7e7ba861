//! How long a message was in transit, without a common clock.

use std::time::Duration;

use sk_decide::transit_time::{AnswerClock, LinkOpening, TransitClocks};

const CLOCK: u64 = 7;

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A link fills with documents, and the calls behind them arrive over half a second after they
/// left. The sender's clock is an hour ahead, so that no times can be compared; it only shows that
/// these took longer than others.
#[test]
fn full_link() {
    let hour = Duration::from_secs(3600);
    let mut clocks = TransitClocks::default();
    assert_eq!(
        clocks.record_message(CLOCK, hour, millis(5)),
        Duration::ZERO,
        "the first one known"
    );
    assert_eq!(clocks.record_message(CLOCK, hour + millis(100), millis(103)), Duration::ZERO);
    let late = clocks.record_message(CLOCK, hour + millis(200), millis(803));
    assert!(late >= millis(599) && late <= millis(600), "{late:?}");
    let late = clocks.record_message(CLOCK, hour + millis(900), millis(904));
    assert!(late <= millis(1), "the link is free again: {late:?}");
}

/// A daemon is replaced by another process, whose clock starts from another value. Its messages
/// must not count as late by the difference of the two clocks.
#[test]
fn other_process() {
    let mut clocks = TransitClocks::default();
    let _ = clocks.record_message(CLOCK, millis(500_000), millis(1000));
    assert_eq!(clocks.record_message(CLOCK + 1, millis(10), millis(2000)), Duration::ZERO);
}

/// Two clocks drift apart by a tenth of a millisecond a second. After an hour without a restart,
/// calls over a free link would count as late by a third of a second and be refused.
#[test]
fn drifting_clocks() {
    let mut clocks = TransitClocks::default();
    for second in 0..3600_u64 {
        let now = Duration::from_secs(second) + Duration::from_micros(100 * second);
        let late = clocks.record_message(CLOCK, Duration::from_secs(second), now);
        assert!(late <= millis(1), "{late:?} after {second} s");
    }
}

/// Guards against believing the time left that the first message of a daemon states, where the
/// opening of its connection, over the same link, shows that the message is late.
#[test]
fn first_message() {
    let mut clocks = TransitClocks::default();
    let opening = LinkOpening { began: millis(5_000), took: millis(2) };
    clocks.record_opening(CLOCK, opening, millis(103));
    let late = clocks.record_message(CLOCK, millis(5_002), millis(1_303));
    assert!(late >= millis(1_190) && late <= millis(1_200), "{late:?}");
    let late = clocks.record_message(CLOCK, millis(5_900), millis(1_002));
    assert!(late <= millis(3), "the link is free again: {late:?}");
}

/// Guards against believing the time left of calls behind bytes that also delayed the opening of
/// their connection, which then is no measure of a free link.
#[test]
fn slow_opening() {
    let mut clocks = TransitClocks::default();
    let opening = LinkOpening { began: millis(5_000), took: millis(700) };
    clocks.record_opening(CLOCK, opening, millis(1_400));
    for step in 0..5 {
        let late = clocks.record_message(CLOCK, millis(5_700 + step), millis(1_400 + step));
        assert!(late >= millis(700), "{late:?}");
    }
    let late = clocks.record_message(CLOCK, millis(7_000), millis(2_010));
    assert!(late <= millis(1), "the link is free again: {late:?}");
}

/// Guards against the opening of a further connection, which takes longer than a message, being
/// counted against a clock that is known.
#[test]
fn second_opening() {
    let mut clocks = TransitClocks::default();
    let _ = clocks.record_message(CLOCK, millis(5_000), millis(100));
    let opening = LinkOpening { began: millis(6_000), took: millis(300) };
    clocks.record_opening(CLOCK, opening, millis(1_400));
    assert!(clocks.record_message(CLOCK, millis(6_300), millis(1_400)) <= millis(1));
}

/// Guards against a delay that all messages of a daemon have had since the start and that is
/// therefore not seen: its sender knows better from the answers, which came over a free link.
#[test]
fn full_since_start() {
    let hour = Duration::from_secs(3600);
    let mut clocks = TransitClocks::default();
    // The first message takes 500 ms, its answer 2 ms.
    assert_eq!(clocks.record_message(CLOCK, hour, millis(500)), Duration::ZERO);
    let answers = AnswerClock::new(CLOCK + 1, millis(501), hour + millis(503));
    let bound = answers.bound(hour + millis(2_000));
    let late = clocks.record_message(CLOCK, hour + millis(2_000), millis(3_000));
    assert!(late <= millis(501), "nothing here shows more: {late:?}");
    let longest = bound.longest_transit(hour + millis(2_000), millis(3_000));
    assert!(longest >= millis(1_000) && longest <= millis(1_003), "{longest:?}");
}

/// Guards against calls over a free link that count as late, by clocks that drift or by one slow
/// answer.
#[test]
fn answers_bound() {
    let at = Duration::from_secs;
    let mut answers = AnswerClock::new(CLOCK, at(0), millis(800));
    for second in 1..3_600_u64 {
        // This clock gains a tenth of a millisecond a second on the other one.
        let now = at(second) + Duration::from_micros(100 * second);
        let slow = if second % 7 == 0 { 900 } else { 1 };
        answers.record_answer(CLOCK, at(second), now + millis(slow));
        let longest = answers.bound(now).longest_transit(now, at(second) + millis(1));
        assert!(longest <= millis(4), "{longest:?} after {second} s");
        assert!(longest >= millis(1), "never less than the transit: {longest:?} after {second} s");
    }
}

/// Guards against the clock of an earlier process being taken for that of its successor.
#[test]
fn replaced_process() {
    let mut answers = AnswerClock::new(CLOCK, Duration::from_secs(9_000), millis(1));
    answers.record_answer(CLOCK + 1, millis(5), millis(1_006));
    let bound = answers.bound(millis(1_006));
    assert_eq!((bound.clock, bound.ahead_micros), (CLOCK + 1, -1_001_000));
}
