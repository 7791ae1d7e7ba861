//! A service of 41 servers of each version whose counts follow from rates, without chance.

use std::time::Duration;

use sk_decide::rollout::{
    RolloutController, RolloutSample, RolloutSettings, RolloutStage, RolloutVerdict,
    VersionCapacity,
};

/// Time between two samples.
const INTERVAL: Duration = Duration::from_millis(250);
/// Requests of the service in that time.
const REQUESTS: f64 = 300.0;
const SERVERS: u32 = 41;

/// What a server does to a request of a kind of work at a time: the part that fails, and how long
/// the others take.
pub type Behaviour<'a> = dyn Fn(u64, u64, Duration) -> (f64, Duration) + 'a;

/// Works as it should.
pub fn healthy(_server: u64, _work: u64, _at: Duration) -> (f64, Duration) {
    (0.01, Duration::from_millis(200))
}

/// How a roll-out ended.
#[allow(dead_code)]
pub struct Course {
    pub verdict: RolloutVerdict,
    pub at: Duration,
    pub to_target: f64,
    pub stages: Vec<(Duration, RolloutStage)>,
}

/// Runs an order of 12 s to its verdict. Samples are a second old, like the evidence of guards.
pub fn run(base: &Behaviour<'_>, target: &Behaviour<'_>) -> Course {
    let mut controller =
        RolloutController::new(RolloutSettings::default(), Duration::from_secs(12));
    let capacity = VersionCapacity { servers: SERVERS, warm_servers: SERVERS, slots: 12 * SERVERS };
    let mut counts = RolloutSample {
        target_capacity: capacity,
        base_capacity: capacity,
        ..RolloutSample::default()
    };
    let (mut samples, mut stages, mut carry) = (Vec::new(), Vec::new(), [0.0_f64; 2]);
    let (mut now, mut share, mut used, mut to_target) = (Duration::ZERO, 0.0, 1, 0.0);
    loop {
        now += INTERVAL;
        to_target += REQUESTS * share;
        for (group, behaviour) in [base, target].into_iter().enumerate() {
            let part = if group == 1 { share } else { 1.0 - share };
            let servers = if group == 1 { used } else { u64::from(SERVERS) };
            let evidence = if group == 1 { &mut counts.target } else { &mut counts.base };
            for request in 0..(REQUESTS * part) as u64 {
                let (server, work) = (request % servers, request / servers % 5);
                let (failing, took) = behaviour(server, work, now);
                carry[group] += failing;
                let is_failure = carry[group] >= 1.0;
                carry[group] -= if is_failure { 1.0 } else { 0.0 };
                evidence.by_server.entry(server).or_default().record(work, is_failure, took);
            }
        }
        counts.sent += REQUESTS as u64;
        counts.sent_to_target = to_target as u64;
        counts.base_running = (240.0 * (1.0 - share)) as u32;
        samples.push(counts.clone());
        let Some(seen) = samples.len().checked_sub(5) else { continue };
        let step = controller.assess(&RolloutSample { elapsed: now, ..samples[seen].clone() });
        (share, used) = (step.share, u64::from(step.servers.max(1)));
        stages.push((now, controller.stage()));
        if step.verdict != RolloutVerdict::Continue {
            return Course { verdict: step.verdict, at: now, to_target, stages };
        }
        assert!(now < Duration::from_secs(13), "no verdict");
    }
}

/// Returns whether the verdict is a roll-back within the exposure of a bad version.
#[allow(dead_code)]
pub fn is_contained(course: &Course) -> bool {
    let requests = REQUESTS * 48.0;
    matches!(course.verdict, RolloutVerdict::RollBack(_))
        && course.to_target <= 0.1 * requests + 50.0
}
