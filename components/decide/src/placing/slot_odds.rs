//! Whether it pays to ask for a free slot.
//!
//! What a daemon knows of a server is older than the state that it describes. While most servers
//! have a free slot, asking the best one by what is known finds it. With many daemons on full
//! servers most of the asking is in vain: each attempt costs two daemons a message, often between
//! data centres, and the request queues in the end. Each daemon finds out by its own attempts which
//! of the two it is.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Share of vain attempts above which requests queue without asking for a free slot.
const MAX_VAIN_SHARE: f64 = 0.15;
/// Weight of one attempt in that share. A single one says little, and a daemon of few requests, to
/// which messages cost little, goes on asking.
const ATTEMPT_WEIGHT: f64 = 1.0 / 16.0;
/// Time in which the share falls to about a third without attempts, so that servers that have slots
/// again are found.
const SHARE_DECAY: Duration = Duration::from_secs(1);

/// Share of the latest attempts that were in vain, and when it was last updated.
#[derive(Clone, Copy, Debug, Default)]
struct VainShare {
    share: f64,
    at: Duration,
}

/// How the latest attempts to find room ended.
#[derive(Debug, Default)]
pub(super) struct SlotOdds(Mutex<VainShare>);

impl SlotOdds {
    /// Records whether an attempt was in vain.
    pub(super) fn record(&self, is_vain: bool, now: Duration) {
        let mut vain = self.lock();
        let share = vain.level(now);
        let sample = if is_vain { 1.0 } else { 0.0 };
        *vain = VainShare { share: share + (sample - share) * ATTEMPT_WEIGHT, at: now };
    }

    /// Returns whether too many of the latest attempts were in vain.
    pub(super) fn is_asking_vain(&self, now: Duration) -> bool {
        self.lock().level(now) > MAX_VAIN_SHARE
    }

    fn lock(&self) -> MutexGuard<'_, VainShare> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl VainShare {
    /// Returns the share as it has fallen by `now`.
    fn level(&self, now: Duration) -> f64 {
        let idle = now.saturating_sub(self.at);
        self.share * (-idle.as_secs_f64() / SHARE_DECAY.as_secs_f64()).exp()
    }
}
