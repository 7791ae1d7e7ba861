//! Failed calls of the local backend server, for the log line of the request for which it made
//! them.
//!
//! A server that cannot finish because a call of its own failed answers 500, and nothing in the
//! answer says why. Its call went through this daemon, which sends what it knows of the call with
//! the answer to the entry daemon, whose log line then shows it. Open calls are included: a server
//! that abandons a call answers before this daemon sees the end of the call's connection.

use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// Number of calls kept: a second's calls of a busy server, and their failures.
const MAX_CALLS: usize = 512;
/// Time from its start for which a call is kept: longer than a server takes to give up after it
/// failed.
const CALL_RETENTION: Duration = Duration::from_secs(10);

/// Identifies a call from its start to its end.
pub(crate) type CallNumber = u64;

struct ServerCall {
    number: CallNumber,
    parent: String,
    service: String,
    begun: Instant,
    /// How it failed; `None` while it is open.
    failure: Option<String>,
}

#[derive(Default)]
struct CallList {
    calls: VecDeque<ServerCall>,
    next: CallNumber,
}

/// Calls that are open or failed recently.
#[derive(Default)]
pub struct FailedCalls(Mutex<CallList>);

impl FailedCalls {
    /// Adds a call that begins now, made for the request with the id `parent`.
    pub(crate) fn begin(&self, parent: &str, service: &str) -> CallNumber {
        let mut list = self.lock();
        list.calls.retain(|call| call.begun.elapsed() < CALL_RETENTION);
        if list.calls.len() >= MAX_CALLS {
            list.calls.pop_front();
        }
        list.next += 1;
        let number = list.next;
        list.calls.push_back(ServerCall {
            number,
            parent: parent.to_owned(),
            service: service.to_owned(),
            begun: Instant::now(),
            failure: None,
        });
        number
    }

    /// Records how a call ended; a successful one is removed.
    pub(crate) fn end(&self, number: CallNumber, failure: Option<String>) {
        let mut list = self.lock();
        match failure {
            None => list.calls.retain(|call| call.number != number),
            Some(failure) => {
                let found = list.calls.iter_mut().find(|call| call.number == number);
                if let Some(call) = found {
                    call.failure = Some(failure);
                }
            }
        }
    }

    /// Removes the calls made for a request and returns their description; `None` if there are
    /// none.
    pub(crate) fn take(&self, parent: &str) -> Option<String> {
        let mut list = self.lock();
        let mut found = Vec::new();
        list.calls.retain(|call| {
            let is_match = call.parent == parent;
            if is_match {
                found.push(call.describe());
            }
            !is_match
        });
        (!found.is_empty()).then(|| found.join(", "))
    }

    fn lock(&self) -> MutexGuard<'_, CallList> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ServerCall {
    fn describe(&self) -> String {
        let open = || format!("open after {}ms", self.begun.elapsed().as_millis());
        let end = self.failure.clone().unwrap_or_else(open);
        format!("its call to {}: {end}", self.service)
    }
}
