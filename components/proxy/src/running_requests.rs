//! Requests that the local backend server is running, by which the calls that it makes for them are
//! told from requests of callers.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// Number of copies of a request that the server is running, by the id of the attempt.
type RunCounts = HashMap<String, u32>;

/// Requests that the local backend server is running.
#[derive(Clone, Default)]
pub struct RunningRequests(Arc<Mutex<RunCounts>>);

/// A request that the server is running until this is dropped.
#[must_use]
pub(crate) struct RunningRequest {
    requests: RunningRequests,
    attempt: String,
}

impl RunningRequests {
    /// Adds a request that is sent to the server.
    pub(crate) fn begin(&self, attempt: &str) -> RunningRequest {
        *self.lock().entry(attempt.to_owned()).or_default() += 1;
        RunningRequest { requests: self.clone(), attempt: attempt.to_owned() }
    }

    /// Returns whether the server is running a request with this id.
    pub(crate) fn contains(&self, attempt: &str) -> bool {
        self.lock().contains_key(attempt)
    }

    fn lock(&self) -> MutexGuard<'_, RunCounts> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let mut counts = self.requests.lock();
        if let Some(count) = counts.get_mut(&self.attempt) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.attempt);
            }
        }
    }
}
