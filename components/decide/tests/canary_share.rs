//! The course of a good version.

mod rollout_service;

use std::time::Duration;

use rollout_service::{healthy, run};
use sk_decide::rollout::{
    RollbackReason, RolloutController, RolloutPhase, RolloutSample, RolloutSettings, RolloutStage,
    RolloutVerdict, VersionCapacity,
};

/// A share that grows too early exposes callers; one that grows too late leaves a good version
/// undone. The canary takes four seconds of calls on few servers, and the order is done in time.
#[test]
fn good_course() {
    let course = run(&healthy, &healthy);
    assert_eq!(course.verdict, RolloutVerdict::Finish);
    assert!(course.at < Duration::from_secs(12));
    let canaries = course.stages.iter().filter(|(_, stage)| stage.phase == RolloutPhase::Canary);
    let last = canaries.max_by_key(|(at, _)| *at).expect("a canary");
    assert!(last.0 >= Duration::from_secs(4), "the canary ended after {:?}", last.0);
    assert!(last.1.share() <= 0.1 && last.1.servers <= 4, "canary {}", last.1);
    assert!(course.stages.is_sorted_by_key(|(_, stage)| *stage), "stages only go forward");
}

/// A controller without evidence would move all traffic to a version that answers nothing.
#[test]
fn no_answers() {
    let capacity = VersionCapacity { servers: 3, warm_servers: 3, slots: 30 };
    let mut controller =
        RolloutController::new(RolloutSettings::default(), Duration::from_secs(12));
    let mut sample = RolloutSample {
        target_capacity: capacity,
        base_capacity: capacity,
        ..RolloutSample::default()
    };
    let mut step = controller.assess(&sample);
    while step.verdict == RolloutVerdict::Continue {
        assert!(step.share <= 0.25);
        sample.elapsed += Duration::from_millis(250);
        sample.sent += 20;
        step = controller.assess(&sample);
    }
    assert_eq!(step.verdict, RolloutVerdict::RollBack(RollbackReason::TooLittleEvidence));
    assert!(sample.elapsed <= Duration::from_secs(12));
}

/// A restarted daemon that forgot the stage would begin at a higher share, or send to a version that
/// was rolled back.
#[test]
fn resumed_stage() {
    let stage = RolloutStage { phase: RolloutPhase::Growing, share_thousandths: 150, servers: 4 };
    let settings = RolloutSettings::default();
    let mut controller = RolloutController::resume(settings, Duration::from_secs(60), stage);
    let sample = RolloutSample { elapsed: Duration::from_secs(59), ..RolloutSample::default() };
    let early = RolloutSample { elapsed: Duration::from_secs(20), ..sample.clone() };
    assert_eq!(controller.assess(&early).share, 0.15);
    let step = controller.assess(&sample);
    assert_eq!(step.verdict, RolloutVerdict::RollBack(RollbackReason::NoServers));
    controller.advance(stage);
    assert_eq!(controller.assess(&early).share, 0.0, "a roll-back stays");
}
