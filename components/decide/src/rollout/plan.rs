//! When the steps of a roll-out are due, and how large they are.
//!
//! A long canary of a few per cent costs little of the exposure and shows faults that begin late.
//! The steps after it are short, so that a fault that shows only there is found before it has cost
//! the rest.

use std::time::Duration;

use crate::rollout::{RolloutSample, RolloutSettings};

/// Time after the first answer for which the canary lasts at least. With the delay of the evidence
/// and of the next step, its servers get 4.5 s of calls.
pub(crate) const MIN_CANARY: Duration = Duration::from_secs(3);
/// Earliest end of the canary after the order.
const MIN_CANARY_END: Duration = Duration::from_secs(4);
/// Bounds of the part of the duration that is left for the old servers to finish their requests.
const DRAIN_PARTS: [f64; 2] = [0.33, 0.5];
/// Bounds of that time.
const DRAIN_BOUNDS: [Duration; 2] = [Duration::from_secs(3), Duration::from_secs(60)];
/// Time that it takes beside the longest request: the step takes effect, the evidence that nothing
/// runs comes a second late, and the status is written.
const DRAIN_DELAY: Duration = Duration::from_millis(2100);
/// Factor on the longest service time seen so far.
const LONGEST_FACTOR: f64 = 1.2;
/// Part of the duration that each step takes.
const STEP_PART: f64 = 0.17;
/// Bounds of that time. A step takes effect and shows in the evidence after 1.5 s.
const STEP_BOUNDS: [Duration; 2] = [Duration::from_millis(1900), Duration::from_secs(20)];
/// Duration from which there are two steps between the canary and the move of all traffic, and not
/// one. The evidence of a step costs more than a second.
const TWO_STEPS_FROM: Duration = Duration::from_secs(20);
/// Part of the duration after which traffic is not moved any more.
const LAST_MOVE_PART: f64 = 0.8;
/// Time before the end at which a roll-out that is not done is rolled back, so that its status is
/// written within the duration.
const END_MARGIN: Duration = Duration::from_secs(1);
/// The same once all traffic has been moved.
const MOVED_MARGIN: Duration = Duration::from_millis(400);

/// Time that a fault takes to be found and its roll-back to reach all daemons.
const REACTION: Duration = Duration::from_millis(2500);
/// Time that a roll-back takes to reach all daemons, beside that of a step.
const STEP_DELAY: Duration = Duration::from_secs(1);
/// Part of the exposure that the canary may use.
const CANARY_PART: f64 = 0.4;
/// Part of what is left that a step may use, the last one excepted.
const STEP_EXPOSURE_PART: f64 = 0.45;
/// Part of what is left that the last step before the move may use.
const LAST_EXPOSURE_PART: f64 = 0.85;
/// Most requests that the canary gets, also of a service with few of them.
const MAX_CANARY_SHARE: f64 = 0.25;
/// Greatest share of a step before the move.
const MAX_STEP_SHARE: f64 = 0.5;
/// Least requests that the canary gets, as a part of the exposure.
const MIN_CANARY_PART: f64 = 0.3;
/// Load of a target server in use, relative to that of a base server.
const TARGET_LOAD: f64 = 1.15;
/// Part of its slots that a target server uses at least, so that a fault that shows only above half
/// of them shows at the canary.
const MIN_TARGET_LOAD: f64 = 0.75;
/// Part of its slots that a target server uses at most.
const MAX_TARGET_LOAD: f64 = 0.85;

/// Times of the steps of one roll-out.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RolloutPlan {
    duration: Duration,
    /// Time that a step lasts at least.
    pub(crate) step: Duration,
    /// End of the canary.
    pub(crate) canary_until: Duration,
    /// Time to move all traffic.
    pub(crate) move_at: Duration,
}

impl RolloutPlan {
    /// Plans a roll-out of a service whose longest request takes `longest`.
    pub(crate) fn new(duration: Duration, longest: Duration) -> Self {
        let [least, most] = DRAIN_PARTS.map(|part| duration.mul_f64(part));
        let [min, max] = DRAIN_BOUNDS;
        let drain =
            (DRAIN_DELAY + longest.mul_f64(LONGEST_FACTOR)).clamp(least, most).clamp(min, max);
        let [shortest, longest] = STEP_BOUNDS;
        let step = duration.mul_f64(STEP_PART).clamp(shortest, longest);
        let growing = step * if duration >= TWO_STEPS_FROM { 2 } else { 1 };
        let move_at = duration.saturating_sub(drain).max(MIN_CANARY_END + growing);
        Self { duration, step, canary_until: move_at - growing, move_at }
    }

    /// Returns the time after which traffic is not moved any more, since the old servers could not
    /// finish within the duration.
    pub(crate) fn move_until(&self) -> Duration {
        self.duration.mul_f64(LAST_MOVE_PART).max(self.move_at)
    }

    /// Returns the time at which a roll-out that is not done is rolled back.
    pub(crate) fn end(&self, is_moved: bool) -> Duration {
        let margin = if is_moved { MOVED_MARGIN } else { END_MARGIN };
        self.duration.saturating_sub(margin.min(self.duration / 12))
    }

    /// Returns the share of the canary. `rate` is that of the service's requests per second, once it
    /// is known.
    pub(crate) fn canary_share(&self, settings: &RolloutSettings, rate: Option<f64>) -> f64 {
        let min = settings.exposure_share * MIN_CANARY_PART;
        let time = (self.canary_until + REACTION).as_secs_f64();
        match rate {
            Some(rate) if rate > 0.0 => (CANARY_PART * self.exposure(settings, rate)
                / (rate * time))
                .clamp(min, MAX_CANARY_SHARE.max(min)),
            _ => min,
        }
    }

    /// Returns the share of a step after the canary, such that a fault that shows only there stays
    /// within the exposure.
    pub(crate) fn step_share(
        &self,
        settings: &RolloutSettings,
        sample: &RolloutSample,
        rate: Option<f64>,
        is_last: bool,
    ) -> f64 {
        let rate = rate.unwrap_or_default();
        let left = self.exposure(settings, rate) - sample.sent_to_target as f64;
        let is_last = is_last || self.duration < TWO_STEPS_FROM;
        let part = if is_last { LAST_EXPOSURE_PART } else { STEP_EXPOSURE_PART };
        let slots = |slots: u32| f64::from(slots.max(1));
        let room = slots(sample.target_capacity.slots) / slots(sample.base_capacity.slots);
        let time = (self.step + STEP_DELAY).as_secs_f64();
        (part * left / (rate * time).max(1.0)).clamp(0.0, room.min(MAX_STEP_SHARE))
    }

    /// Returns the number of target servers that carry a share, rounded down, so that they work
    /// under load. `running` is the number of requests
    /// that run at the whole service.
    pub(crate) fn servers(&self, share: f64, sample: &RolloutSample, running: f64) -> u32 {
        let (target, base) = (sample.target_capacity, sample.base_capacity);
        let slots = f64::from(target.slots) / f64::from(target.servers.max(1));
        let load = TARGET_LOAD * running / f64::from(base.slots.max(1));
        let used = load.clamp(MIN_TARGET_LOAD, MAX_TARGET_LOAD) * slots.max(1.0);
        ((share * running / used) as u32).clamp(1, target.servers.max(1))
    }

    /// Returns the requests that a bad version may get within the duration.
    fn exposure(&self, settings: &RolloutSettings, rate: f64) -> f64 {
        settings.exposure_share * rate * self.duration.as_secs_f64()
            + f64::from(settings.exposure_slack)
    }
}
