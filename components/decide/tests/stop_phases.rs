//! The phases of a stop follow the grace that the platform gives.

use std::time::Duration;

use sk_decide::stopping::StopSchedule;

const LEAVE: Duration = Duration::from_millis(2_600);

/// Guards against a stop whose requests are ended long before its grace is over, or that is still
/// under way when the platform ends the process.
#[test]
fn follows_grace() {
    for grace_ms in [1_000, 1_500, 2_000, 3_000, 6_000, 7_300, 10_000, 16_000, 60_000, 600_000] {
        let grace = Duration::from_millis(grace_ms);
        let schedule = StopSchedule::within_grace(grace, LEAVE);
        assert!(schedule.answer_by >= grace * 5 / 6, "{grace:?}: {schedule:?}");
        assert!(schedule.end < grace, "{grace:?}: {schedule:?}");
        assert!(schedule.answer_by < schedule.end, "{grace:?}: {schedule:?}");
    }
}

/// Guards against requests that are accepted so late that the grace leaves no time for them.
#[test]
fn accepts_early() {
    for grace_ms in [1_000, 3_000, 6_000, 10_000, 600_000] {
        let schedule = StopSchedule::within_grace(Duration::from_millis(grace_ms), LEAVE);
        assert!(schedule.leave <= LEAVE && schedule.leave * 2 <= schedule.end, "{schedule:?}");
        assert!(schedule.leave < schedule.refuse_queued, "{schedule:?}");
        assert!(schedule.refuse_queued < schedule.answer_by, "{schedule:?}");
    }
    let short = StopSchedule::within_grace(Duration::ZERO, LEAVE);
    assert_eq!(short.end, Duration::ZERO);
}

/// Without a grace the two phases are as long as the settings say.
#[test]
fn keeps_phases() {
    let (leave, drain) = (Duration::from_millis(50), Duration::from_millis(400));
    let schedule = StopSchedule::of_phases(leave, drain);
    let millis = Duration::from_millis;
    assert_eq!((schedule.leave, schedule.refuse_queued), (leave, millis(250)));
    assert_eq!((schedule.answer_by, schedule.end), (millis(350), millis(450)));
}
