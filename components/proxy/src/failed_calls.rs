//! Calls of the local backend server, for the line of the request they were made for.
//!
//! A server that cannot finish because a call of its own failed answers 500, and nothing in the answer
//! says why. Its call went through this daemon; what is known of the call goes with the answer to the
//! daemon of entry, whose line then tells it. Open calls are a part of that: a server that gives a call
//! up answers before this daemon sees the end of the call's connection.

use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// Calls that are remembered: a second's calls of a busy server, and their failures.
const MAX_CALLS: usize = 512;
/// Time for which one is of use: longer than a server takes to give up after it.
const CALL_RETENTION: Duration = Duration::from_secs(10);

/// Identifies a call from its start to its end.
pub(crate) type CallNumber = u64;

struct ServerCall {
    number: CallNumber,
    parent: String,
    service: String,
    begun: Instant,
    /// How it failed, none while it is open.
    failure: Option<String>,
}

#[derive(Default)]
struct CallList {
    calls: VecDeque<ServerCall>,
    next: CallNumber,
}

/// The calls that are open or failed lately.
#[derive(Default)]
pub struct FailedCalls(Mutex<CallList>);

impl FailedCalls {
    /// Records that a call begins.
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

    /// Records how a call ended; one that succeeded is forgotten.
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

    /// Takes what is known of the calls that were made for a request.
    pub(crate) fn take(&self, parent: &str) -> Option<String> {
        let mut list = self.lock();
        let mut found = Vec::new();
        list.calls.retain(|call| {
            let is_its = call.parent == parent;
            if is_its {
                found.push(call.describe());
            }
            !is_its
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
