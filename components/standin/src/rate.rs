//! Rate limits of the platform's stand-in.

use std::{
    sync::{Mutex, PoisonError},
    time::Instant,
};

/// Token bucket that holds up to one second's calls.
pub(crate) struct RateLimit {
    per_second: f64,
    /// Tokens left, and when they were last counted.
    state: Mutex<(f64, Instant)>,
}

impl RateLimit {
    /// Creates a full bucket that refills at `per_second` tokens a second.
    pub(crate) fn new(per_second: f64) -> Self {
        Self { per_second, state: Mutex::new((per_second, Instant::now())) }
    }

    /// Takes one token. Returns false when none is left.
    pub(crate) fn try_take(&self) -> bool {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let refilled = now.duration_since(state.1).as_secs_f64() * self.per_second;
        *state = ((state.0 + refilled).min(self.per_second), now);
        let has_token = state.0 >= 1.0;
        if has_token {
            state.0 -= 1.0;
        }
        has_token
    }
}
