//! Calls of the local backend server that failed, for the line of the request they were made for.
//!
//! A server that cannot finish because a call of its own failed answers 500, and nothing in the answer
//! says why. Its call went through this daemon; what it knows of the call's end goes with the answer to
//! the daemon of entry, whose line then tells it.

use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// Calls that are remembered: a second's failures of a busy server.
const KEPT: usize = 256;
/// Time for which one is of use: longer than a server takes to give up after it.
const KEPT_FOR: Duration = Duration::from_secs(10);

struct FailedCall {
    parent: String,
    text: String,
    at: Instant,
}

/// The calls that failed lately.
#[derive(Default)]
pub struct FailedCalls(Mutex<VecDeque<FailedCall>>);

impl FailedCalls {
    /// Notes a call that failed.
    pub(crate) fn note(&self, parent: &str, text: String) {
        let mut calls = self.lock();
        if calls.len() >= KEPT {
            calls.pop_front();
        }
        calls.push_back(FailedCall { parent: parent.to_owned(), text, at: Instant::now() });
    }

    /// Takes what is known of the calls that were made for a request.
    pub(crate) fn take(&self, parent: &str) -> Option<String> {
        let mut calls = self.lock();
        let mut found = Vec::new();
        calls.retain(|call| {
            let is_its = call.parent == parent;
            if is_its {
                found.push(call.text.clone());
            }
            !is_its && call.at.elapsed() < KEPT_FOR
        });
        (!found.is_empty()).then(|| found.join(", "))
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<FailedCall>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
