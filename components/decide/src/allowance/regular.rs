//! Holders that asked regularly and have stopped: most likely they are cut off and use their own
//! parts, which the owner learns from the members only seconds later.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// Mean time between asks up to which a holder asks regularly.
const REGULAR_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest silence that counts.
const MIN_SILENCE: Duration = Duration::from_millis(400);
/// Silence that counts, in mean times between asks. Asks that come at random exceed it in one of 55
/// cases.
const SILENT_INTERVALS: u32 = 4;
/// Time after which a silent holder no longer counts: the members tell by then whether it is lost.
const FORGET_TIME: Duration = Duration::from_secs(3);
/// Weight of the newest time between asks in the mean.
const NEWEST_WEIGHT: f64 = 0.2;

/// When the holders of one workspace asked.
#[derive(Clone, Debug, Default)]
pub(super) struct RegularHolders {
    asked: BTreeMap<Arc<str>, (Duration, Duration)>,
    silent: u32,
    counted_at: Duration,
}

impl RegularHolders {
    /// Records an ask of a holder.
    pub(super) fn record(&mut self, holder: &Arc<str>, now: Duration) {
        match self.asked.get_mut(holder) {
            Some((at, mean)) => {
                let interval = now.saturating_sub(*at).min(FORGET_TIME);
                let mean_s = mean.as_secs_f64() * (1.0 - NEWEST_WEIGHT);
                *mean = Duration::from_secs_f64(mean_s + interval.as_secs_f64() * NEWEST_WEIGHT);
                *at = now;
            }
            None => drop(self.asked.insert(holder.clone(), (now, FORGET_TIME))),
        }
    }

    /// Returns the number of regular holders that are silent. It is counted anew every 100 ms at
    /// most, so that an ask costs the same in a large fleet.
    pub(super) fn silent(&mut self, now: Duration) -> u32 {
        if now.saturating_sub(self.counted_at) >= MIN_SILENCE / 4 {
            self.counted_at = now;
            self.asked.retain(|_, (at, _)| now.saturating_sub(*at) < FORGET_TIME);
            let is_silent = |(at, mean): &&(Duration, Duration)| {
                let silence = now.saturating_sub(*at);
                *mean <= REGULAR_INTERVAL && silence >= MIN_SILENCE.max(*mean * SILENT_INTERVALS)
            };
            self.silent = self.asked.values().filter(is_silent).count() as u32;
        }
        self.silent
    }
}
