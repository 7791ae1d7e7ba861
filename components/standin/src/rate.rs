//! The platform's rate limits.

use std::{
    sync::{Mutex, PoisonError},
    time::Instant,
};

/// A token bucket that holds one second's worth of calls.
pub(crate) struct RateLimit {
    per_second: f64,
    state: Mutex<(f64, Instant)>,
}

impl RateLimit {
    pub(crate) fn new(per_second: f64) -> Self {
        Self { per_second, state: Mutex::new((per_second, Instant::now())) }
    }

    /// Takes one token, or tells that none is left.
    pub(crate) fn take(&self) -> bool {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let gained = now.duration_since(state.1).as_secs_f64() * self.per_second;
        *state = ((state.0 + gained).min(self.per_second), now);
        let is_left = state.0 >= 1.0;
        if is_left {
            state.0 -= 1.0;
        }
        is_left
    }
}
