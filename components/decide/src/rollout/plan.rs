//! When the steps of a roll-out are due, and how large they are.
//!
//! A long canary of a few per cent costs little of the exposure and shows faults that begin late.
//! The steps after it are short, so that a fault that shows only there is found before it has cost
//! the rest.

use std::time::Duration;

use crate::rollout::{RolloutSample, RolloutSettings};

/// Time of calls that the canary serves at least.
pub(crate) const MIN_CANARY: Duration = Duration::from_secs(4);
/// Part of the duration that is left for the old servers to finish their requests.
const DRAIN_PART: f64 = 0.33;
/// Bounds of that time. The evidence that nothing runs any more takes 2 s.
const DRAIN_BOUNDS: [Duration; 2] = [Duration::from_secs(3), Duration::from_secs(60)];
/// Part of the duration that each step takes.
const STEP_PART: f64 = 0.125;
/// Bounds of that time. A second passes before a step shows in the evidence.
const STEP_BOUNDS: [Duration; 2] = [Duration::from_millis(1300), Duration::from_secs(20)];
/// Steps between the canary and the move of all traffic.
const GROWING_STEPS: u32 = 2;
/// Time before the end at which a roll-out that is not done is rolled back, so that its status is
/// written within the duration.
const END_MARGIN: Duration = Duration::from_secs(1);
/// The same once all traffic has been moved.
const MOVED_MARGIN: Duration = Duration::from_millis(400);

/// Time that a fault takes to be found and its roll-back to reach all daemons.
const REACTION: Duration = Duration::from_millis(2500);
/// Part of the exposure that the canary may use.
const CANARY_PART: f64 = 0.4;
/// Part of what is left that a step may use, the last one excepted.
const STEP_EXPOSURE_PART: f64 = 0.45;
/// Part of what is left that the last step before the move may use.
const LAST_EXPOSURE_PART: f64 = 0.85;
/// Most requests that the canary gets, also of a service with few of them.
const MAX_CANARY_SHARE: f64 = 0.25;
/// Least requests that the canary gets, as a part of the exposure.
const MIN_CANARY_PART: f64 = 0.3;
/// Time after which the rate of the service's requests is known.
const RATE_TIME: Duration = Duration::from_secs(1);
/// Load of a target server in use, relative to that of a base server. Above 1, so that a fault that
/// shows only under load shows at the canary.
const TARGET_LOAD: f64 = 1.15;

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
    /// Plans a roll-out.
    pub(crate) fn new(duration: Duration) -> Self {
        let part = |part: f64, [min, max]: [Duration; 2]| duration.mul_f64(part).clamp(min, max);
        let step = part(STEP_PART, STEP_BOUNDS);
        let move_at = duration
            .saturating_sub(part(DRAIN_PART, DRAIN_BOUNDS))
            .max(MIN_CANARY + step * GROWING_STEPS);
        let canary_until = move_at - step * GROWING_STEPS;
        Self { duration, step, canary_until, move_at }
    }

    /// Returns the time after which traffic is not moved any more, since the old servers could not
    /// finish within the duration.
    pub(crate) fn move_until(&self) -> Duration {
        (self.duration + self.move_at) / 2
    }

    /// Returns the time at which a roll-out that is not done is rolled back.
    pub(crate) fn end(&self, is_moved: bool) -> Duration {
        let margin = if is_moved { MOVED_MARGIN } else { END_MARGIN };
        self.duration.saturating_sub(margin.min(self.duration / 12))
    }

    /// Returns the share of the canary.
    pub(crate) fn canary_share(&self, settings: &RolloutSettings, sample: &RolloutSample) -> f64 {
        let min = settings.exposure_share * MIN_CANARY_PART;
        let rate = rate(sample);
        let requests = rate * (self.canary_until + REACTION).as_secs_f64();
        match sample.elapsed < RATE_TIME || requests <= 0.0 {
            true => min,
            false => (CANARY_PART * self.exposure(settings, rate) / requests)
                .clamp(min, MAX_CANARY_SHARE.max(min)),
        }
    }

    /// Returns the share of a step after the canary, such that a fault that shows only there stays
    /// within the exposure.
    pub(crate) fn step_share(
        &self,
        settings: &RolloutSettings,
        sample: &RolloutSample,
        is_last: bool,
    ) -> f64 {
        let rate = rate(sample);
        let left = self.exposure(settings, rate) - sample.sent_to_target as f64;
        let part = if is_last { LAST_EXPOSURE_PART } else { STEP_EXPOSURE_PART };
        let slots = |slots: u32| f64::from(slots.max(1));
        let room = slots(sample.target_capacity.slots) / slots(sample.base_capacity.slots);
        (part * left / (rate * REACTION.as_secs_f64()).max(1.0)).clamp(0.0, room.min(0.5))
    }

    /// Returns the number of target servers that carry a share at slightly more than the load of
    /// the base servers.
    pub(crate) fn servers(&self, share: f64, sample: &RolloutSample) -> u32 {
        let (target, base) = (sample.target_capacity, sample.base_capacity);
        let slots = f64::from(target.slots) / f64::from(target.servers.max(1));
        let needed = share * f64::from(base.slots) / (TARGET_LOAD * slots.max(1.0));
        (needed.round() as u32).clamp(1, target.servers.max(1))
    }

    /// Returns the requests that a bad version may get within the duration.
    fn exposure(&self, settings: &RolloutSettings, rate: f64) -> f64 {
        settings.exposure_share * rate * self.duration.as_secs_f64()
            + f64::from(settings.exposure_slack)
    }
}

/// Returns the requests per second that the service gets.
fn rate(sample: &RolloutSample) -> f64 {
    sample.sent as f64 / sample.elapsed.as_secs_f64().max(0.1)
}
