//! Whether it pays to ask for a free slot.
//!
//! What a daemon knows of a server is older than the state that it describes. While most servers
//! have a free slot, asking the best one by what is known finds it. With many daemons on full
//! servers most of the asking is in vain: each attempt costs two daemons a message, often between
//! data centres, and the request queues in the end. Each daemon finds out by its own attempts which
//! of the two it is.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::admitting::estimate::DecayingMean;

/// Share of vain attempts above which requests queue without asking for a free slot.
const MAX_VAIN_SHARE: f64 = 0.2;

/// How the latest attempts to find a free slot ended.
#[derive(Debug, Default)]
pub(super) struct SlotOdds(Mutex<DecayingMean>);

impl SlotOdds {
    /// Records whether an attempt to find a free slot was in vain.
    pub(super) fn record(&self, is_vain: bool, now: Duration) {
        self.lock().add(if is_vain { 1.0 } else { 0.0 }, now);
    }

    /// Returns whether most of the latest attempts were in vain. Without attempts the answer turns
    /// to no within about a second, so that servers that have slots again are found.
    pub(super) fn is_asking_vain(&self, now: Duration) -> bool {
        self.lock().level(now) > MAX_VAIN_SHARE
    }

    fn lock(&self) -> MutexGuard<'_, DecayingMean> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
